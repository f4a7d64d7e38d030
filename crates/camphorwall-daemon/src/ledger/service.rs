//! The ledger of one endpoint daemon: accepts offered calls, has each run at most once, and answers repeated calls.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    EngineRole, Frame, Instance, InstanceId, InstanceState, LedgerHandOver, LedgerHandOverReply,
    LedgerKey, LedgerOffer, LedgerOfferReply, LedgerRecord, LedgerStart, METHOD_LEDGER_RECALL,
    Outcome, PlainCall, ProblemKind, ReservationId, Reserve, RpcClient, ServiceId, Stop,
    milliseconds, rendezvous_winner, stop_pair,
};
use futures_util::future::join_all;

use super::{
    frames::{failed, frame_of, outcome_frame, refused},
    hand_over::hand_over,
    idempotency_key::content_digest,
    permit::{self, PermitOutcome},
    record_store::{IncomingCall, KeyStatus, Moment, RecordLimits, RecordStore, Verdict},
};
use crate::{membership::Group, published::PublishedStore};

/// How long an offered call is kept until its start.
const OFFER_LEASE: Duration = Duration::from_secs(2);

/// Maximum number of offers kept at once.
const MAX_OFFERS: usize = 10_000;

/// Maximum size of all records in bytes.
const MAX_RECORD_BYTES: usize = 48 * 1024 * 1024;

/// Maximum number of replicas to request a reservation from before a call is refused.
const MAX_REPLICAS: usize = 4;

/// How long a replica that returned a permit unused is tried last.
const DEPRIORITIZED_DURATION: Duration = Duration::from_secs(2);

/// How long another member may take to look up the record of a call.
const RECALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Period at which a leaving owner checks whether its calls have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Time after which a caller may repeat a call that was refused because of too many offers.
const OFFER_RETRY_AFTER: Duration = Duration::from_secs(1);

struct ReceivedOffer {
    offer: LedgerOffer,
    received_at: Instant,
}

/// The ledger of one endpoint daemon.
pub(crate) struct LedgerService {
    local_instance: InstanceId,
    service: ServiceId,
    group: Rc<Group>,
    published: PublishedStore,
    client: RpcClient,
    store: RefCell<RecordStore>,
    offers: RefCell<BTreeMap<ReservationId, ReceivedOffer>>,
    running: RefCell<BTreeMap<LedgerKey, Stop>>,
    deprioritized_until: RefCell<BTreeMap<InstanceId, Instant>>,
    is_leaving: Cell<bool>,
    /// Round-robin position among the replicas that are tried after this daemon's own.
    round_robin_position: Cell<usize>,
}

impl LedgerService {
    pub(crate) fn new(
        local_instance: InstanceId,
        service: ServiceId,
        group: Rc<Group>,
        published: PublishedStore,
        client: RpcClient,
    ) -> Rc<Self> {
        Rc::new(Self {
            store: RefCell::new(RecordStore::new(local_instance.clone())),
            local_instance,
            service,
            group,
            published,
            client,
            offers: RefCell::default(),
            running: RefCell::default(),
            deprioritized_until: RefCell::default(),
            is_leaving: Cell::new(false),
            round_robin_position: Cell::new(0),
        })
    }

    fn limits(&self) -> RecordLimits {
        let published = self.published.get();
        let service = published.services.get(&self.service);
        let (retention_s, skew_ms) = service.map_or((0, 0), |service| {
            (service.ledger_retention_s, service.ledger_skew_ms)
        });
        RecordLimits {
            retention: Duration::from_secs(retention_s),
            skew_margin: Duration::from_millis(skew_ms),
            max_bytes: MAX_RECORD_BYTES,
        }
    }

    /// Status of a key at this moment. Must be read immediately before each act for the key.
    fn key_status(&self, key: &LedgerKey, now: Instant) -> KeyStatus {
        let ownership = self.group.ownership(&key.to_string(), now);
        KeyStatus {
            ownership: ownership.filter(|_| !self.is_leaving.get()),
            state_complete_since: self.state_complete_since(now),
        }
    }

    fn state_complete_since(&self, now: Instant) -> Instant {
        let store = self.store.borrow();
        let is_handed_over = |member: &InstanceId, at| store.is_handed_over(member, at);
        self.group.state_complete_since(is_handed_over, now)
    }

    fn peers(&self) -> Vec<Instance> {
        let mut members = self.group.listed_members();
        members.retain(|member| member.instance != self.local_instance);
        members
    }

    /// Address of the key's owner as known here, if it is another instance.
    fn remote_owner(&self, key: &LedgerKey) -> Option<std::net::SocketAddr> {
        let key = key.to_string();
        let owner = if self.is_leaving.get() {
            let peers = self.group.ranked_members();
            let ids = peers.iter().map(|peer| &peer.instance);
            let next = rendezvous_winner(&key, ids).cloned();
            peers
                .into_iter()
                .find(|peer| Some(&peer.instance) == next.as_ref())
        } else {
            self.group.owner(&key)
        };
        owner
            .filter(|owner| owner.instance != self.local_instance)
            .map(|owner| owner.peer_address)
    }

    /// Drops expired records and offers, and tries deprioritized replicas again after their time.
    pub(crate) fn expire(&self) {
        let moment = Moment::now();
        let limits = self.limits();
        // Without the service's document the retention is unknown, so nothing expires.
        if limits.retention.is_zero() {
            return;
        }
        self.store.borrow_mut().expire(&limits, moment);
        self.offers
            .borrow_mut()
            .retain(|_, received| moment.now < received.received_at + OFFER_LEASE);
        self.deprioritized_until
            .borrow_mut()
            .retain(|_, until| moment.now < *until);
    }

    /// Accepts or refuses an offered call. Records nothing in the ledger.
    pub(crate) fn offer(&self, offer: LedgerOffer) -> LedgerOfferReply {
        let moment = Moment::now();
        let is_known = self.is_known(&offer.key);
        let key_status = self.key_status(&offer.key, moment.now);
        let is_owned = key_status.ownership.is_some();
        if !is_known && !is_owned {
            return LedgerOfferReply::NotOwner {
                owner: self.remote_owner(&offer.key),
            };
        }
        let mut offers = self.offers.borrow_mut();
        if offers.len() >= MAX_OFFERS {
            return LedgerOfferReply::Refused(refused(
                ProblemKind::Overloaded,
                Outcome::NotRun,
                "too many calls wait at the ledger's owner; repeat with the same key",
                Some(OFFER_RETRY_AFTER),
            ));
        }
        let reservation = ReservationId::generate();
        let received = ReceivedOffer {
            offer,
            received_at: moment.now,
        };
        offers.insert(reservation, received);
        LedgerOfferReply::Held {
            reservation,
            lease_ms: milliseconds(OFFER_LEASE),
        }
    }

    fn is_known(&self, key: &LedgerKey) -> bool {
        let is_running = self.running.borrow().contains_key(key);
        is_running || self.recall(key).is_some()
    }

    /// Outcome of a known call.
    pub(crate) fn recall(&self, key: &LedgerKey) -> Option<LedgerRecord> {
        self.store.borrow().recall(key, Instant::now())
    }

    /// Serves a started call and returns the frame with its answer.
    pub(crate) async fn start(&self, start: LedgerStart) -> Frame {
        let now = Instant::now();
        let received = self.offers.borrow_mut().remove(&start.reservation);
        match received {
            Some(received) if now < received.received_at + OFFER_LEASE => {
                self.serve(received, start.call).await
            }
            // The lease has expired, for example while this daemon was paused.
            Some(_) | None => failed(
                ProblemKind::Unavailable,
                Outcome::NotRun,
                "the start came after the offer's lease; repeat with the same key",
            ),
        }
    }

    async fn serve(&self, received: ReceivedOffer, call: PlainCall) -> Frame {
        let ReceivedOffer { offer, received_at } = received;
        let deadline = received_at + Duration::from_millis(offer.reserve.deadline_ms);
        let content = content_digest(&call);
        let key = &offer.key;
        let incoming = IncomingCall {
            key,
            issued_ms: offer.issued_ms,
            content: &content,
        };
        loop {
            let moment = Moment::now();
            if moment.now >= deadline {
                return failed(
                    ProblemKind::DeadlinePassed,
                    Outcome::NotRun,
                    "the deadline passed before the call could run; repeat with the same key",
                );
            }
            let key_status = self.key_status(key, moment.now);
            let verdict =
                self.store
                    .borrow_mut()
                    .admit(&incoming, key_status, &self.limits(), moment);
            match verdict {
                Verdict::Run => return self.run(&offer, call, deadline).await,
                Verdict::Running => self.wait(key).await,
                Verdict::IssuedBeforeRecords => return self.recall_from_peers(&incoming).await,
                settled_or_refused => return frame_of(settled_or_refused),
            }
        }
    }

    async fn wait(&self, key: &LedgerKey) {
        let ended = self.running.borrow().get(key).cloned();
        if let Some(ended) = ended {
            ended.called().await;
        }
    }

    /// Has a replica run a recorded call, and records the outcome.
    async fn run(&self, offer: &LedgerOffer, call: PlainCall, deadline: Instant) -> Frame {
        let key = &offer.key;
        let (ended_handle, ended) = stop_pair();
        self.running.borrow_mut().insert(key.clone(), ended);
        let permit_outcome = self.run_on_replica(offer, call, deadline).await;
        let outcome = match permit_outcome.clone() {
            PermitOutcome::Unused { .. } => None,
            PermitOutcome::Used(outcome) => Some(outcome),
        };
        self.store.borrow_mut().settle(key, outcome, Instant::now());
        self.running.borrow_mut().remove(key);
        ended_handle.stop();
        match permit_outcome {
            PermitOutcome::Unused { detail } => failed(
                ProblemKind::Unavailable,
                Outcome::NotRun,
                &format!("no replica could take the call ({detail}); repeat with the same key"),
            ),
            PermitOutcome::Used(outcome) => outcome_frame(outcome, false),
        }
    }

    /// Gives the permit to one replica after another until one has used it or may have used it.
    async fn run_on_replica(
        &self,
        offer: &LedgerOffer,
        call: PlainCall,
        deadline: Instant,
    ) -> PermitOutcome {
        let mut last = PermitOutcome::Unused {
            detail: "the service has no live replica".into(),
        };
        for (number, replica) in (1..).zip(self.replicas(Instant::now())) {
            let reserve = Reserve {
                attempt: number,
                entry: self.local_instance.clone(),
                ..offer.reserve.clone()
            };
            let reserved = match permit::reserve(&self.client, &replica, &reserve).await {
                Ok(reserved) => reserved,
                Err(unused) => {
                    self.deprioritize_replica(&replica);
                    last = unused;
                    continue;
                }
            };
            // The last check before the permit is sent. The lease of the replica's reservation bounds how late the
            // permit can arrive.
            let now = Instant::now();
            let is_owner = self.group.ownership(&offer.key.to_string(), now).is_some();
            if now >= deadline || !is_owner {
                return PermitOutcome::Unused {
                    detail: "the deadline or the ownership of the key ended".into(),
                };
            }
            match permit::run(&self.client, &replica, &reserve, &reserved, call.clone()).await {
                PermitOutcome::Used(outcome) => return PermitOutcome::Used(outcome),
                unused @ PermitOutcome::Unused { .. } => {
                    self.deprioritize_replica(&replica);
                    last = unused;
                }
            }
        }
        last
    }

    fn deprioritize_replica(&self, replica: &Instance) {
        tracing::warn!(event = "permit_returned", replica = %replica.instance);
        self.deprioritized_until.borrow_mut().insert(
            replica.instance.clone(),
            Instant::now() + DEPRIORITIZED_DURATION,
        );
    }

    /// Replicas to try: this daemon's own first, those that recently returned a permit last.
    fn replicas(&self, now: Instant) -> Vec<Instance> {
        let published = self.published.get();
        let is_candidate = |instance: &&Instance| {
            instance.state == InstanceState::Live
                && instance.service.as_ref() == Some(&self.service)
                && instance.engine_role == Some(EngineRole::Plain)
        };
        let mut replicas: Vec<_> = published
            .instances
            .values()
            .filter(is_candidate)
            .cloned()
            .collect();
        let deprioritized_until = self.deprioritized_until.borrow();
        let is_deprioritized = |instance: &Instance| {
            deprioritized_until
                .get(&instance.instance)
                .is_some_and(|until| now < *until)
        };
        let round_robin_position = self.round_robin_position.get();
        self.round_robin_position
            .set(round_robin_position.wrapping_add(1));
        let count = replicas.len().max(1);
        replicas.rotate_left(round_robin_position % count);
        replicas.sort_by_key(|instance| {
            (
                is_deprioritized(instance),
                instance.instance != self.local_instance,
            )
        });
        replicas.truncate(MAX_REPLICAS);
        replicas
    }

    /// Looks up at the other members a call whose key was issued before this owner's records begin. It is never run.
    async fn recall_from_peers(&self, incoming: &IncomingCall<'_>) -> Frame {
        let peers = self.peers();
        let lookups = peers.iter().map(|peer| {
            self.client.call::<_, Option<LedgerRecord>>(
                peer.peer_address,
                METHOD_LEDGER_RECALL,
                incoming.key,
                RECALL_TIMEOUT,
            )
        });
        let found = join_all(lookups)
            .await
            .into_iter()
            .find_map(|reply| reply.ok().flatten());
        match found {
            Some(record) if record.content != incoming.content => frame_of(Verdict::ContentDiffers),
            Some(record) => frame_of(Verdict::Settled(record.outcome)),
            None => frame_of(Verdict::IssuedBeforeRecords),
        }
    }

    /// Accepts records that a leaving owner hands over.
    pub(crate) fn accept_hand_over(&self, handed: LedgerHandOver) -> LedgerHandOverReply {
        let now = Instant::now();
        let limits = self.limits();
        let mut store = self.store.borrow_mut();
        let is_kept = !self.is_leaving.get() && store.import(handed.records, &limits, now);
        // A joining member that does not act yet can't know who owns the keys until it does, so it must not treat the
        // records as complete.
        let has_lease = !self.group.lease_left(now).is_zero();
        if is_kept && has_lease && handed.is_last {
            store.note_hand_over(handed.from, handed.complete_from_ms, now);
        }
        LedgerHandOverReply { is_kept }
    }

    /// Permits no further call, waits for the running ones, and hands all records over to the next owners.
    pub(crate) async fn leave(&self) {
        self.is_leaving.set(true);
        while self.store.borrow().running() > 0 {
            compio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
        let moment = Moment::now();
        let state_complete_since = self.state_complete_since(moment.now);
        let (records, complete_from_ms) = {
            let store = self.store.borrow();
            let limits = self.limits();
            (
                store.settled(moment.now),
                store.complete_from_ms(state_complete_since, &limits, moment),
            )
        };
        let peers = self.group.ranked_members();
        hand_over(
            &self.client,
            &self.local_instance,
            complete_from_ms,
            records,
            &peers,
        )
        .await;
    }
}
