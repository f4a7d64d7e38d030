//! Fetches grants for one team from the budget owners in all data centres.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    Contract, DataCentreId, DatagramQuery, DatagramReply, GrantClose, GrantQuery, GrantReply,
    GrantRequest, Instance, InstanceId, InstanceRole, InstanceState, METHOD_GRANT, OwnerReply,
    Published, RpcClient, TeamId, Tokens, rendezvous_rank,
};
use futures_util::future::join_all;

use super::{
    grant_pool::{GrantPool, LocalGrant},
    owned::OwnedAccounts,
    share::{Share, nearest_first, share, shares},
    team_account::GrantTimes,
};
use crate::{
    datagrams::{QueryClient, RetryPolicy},
    membership::{Group, Ownership},
    published::PublishedStore,
};

/// How long an owner may take to answer, by datagrams and the call together.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);

/// Datagrams sent to an owner in the local data centre before falling back to a call.
const LOCAL_RETRY_POLICY: RetryPolicy = RetryPolicy {
    tries: 2,
    timeout: Duration::from_millis(50),
};

/// Datagrams sent to an owner in another data centre before falling back to a call.
const REMOTE_RETRY_POLICY: RetryPolicy = RetryPolicy {
    tries: 2,
    timeout: Duration::from_millis(150),
};

/// Queries to one owner: the first, and a second one with the epoch that the owner reported.
const EPOCH_TRIES: u32 = 2;

/// How long a data centre is skipped after it did not answer.
const SKIP_DURATION: Duration = Duration::from_secs(1);

/// Maximum number of entries to try in one data centre until one owns the team.
const MAX_ENTRIES_TRIED: usize = 3;

/// Refill of one data centre's share, as reported by its owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refill {
    pub(crate) starts_in: Duration,
    pub(crate) share: Share,
}

/// Result of a round of fetches.
#[derive(Debug, Default)]
pub(crate) struct FetchRound {
    /// Refills by data centre, for the owners that answered.
    pub(crate) refills: BTreeMap<DataCentreId, Refill>,
    /// Data centres whose owner has tokens left, with the amount.
    left: Vec<(DataCentreId, u64)>,
}

/// Amounts to fetch from one data centre.
struct FetchTarget {
    data_centre: DataCentreId,
    need_tokens: u64,
    prefetch_tokens: u64,
    /// Whether the request is sent even if no tokens are needed, to exchange the held grants.
    is_exchange: bool,
}

/// One request to one data centre, with the held grants that it closes.
struct GrantFetch {
    target: FetchTarget,
    closes: Vec<GrantClose>,
}

/// Transports for grant requests: datagrams, and calls for peers that datagrams don't reach.
pub(crate) struct GrantChannels {
    pub(crate) client: RpcClient,
    pub(crate) query_client: Rc<QueryClient>,
}

/// Fetches grants from the owners of budgets, and answers for the teams that this process owns.
pub(crate) struct BudgetOwners {
    pub(crate) times: GrantTimes,
    pub(crate) local_instance: InstanceId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) published: PublishedStore,
    /// Group of the entries; `None` in a process that only fetches grants and owns no team.
    group: Option<Rc<Group>>,
    channels: GrantChannels,
    pub(crate) accounts: OwnedAccounts,
    skipped_until: RefCell<BTreeMap<DataCentreId, Instant>>,
}

impl BudgetOwners {
    pub(crate) fn new(
        local_instance: InstanceId,
        data_centre: DataCentreId,
        published: PublishedStore,
        group: Option<Rc<Group>>,
        channels: GrantChannels,
        times: GrantTimes,
    ) -> Self {
        Self {
            times,
            local_instance,
            data_centre,
            published,
            group,
            channels,
            accounts: OwnedAccounts::new(times, rand::random()),
            skipped_until: RefCell::default(),
        }
    }

    /// Fetches from the local data centre, then from all others in parallel, then again from those with tokens left.
    pub(crate) async fn fetch_grants(
        &self,
        contract: &Contract,
        cost_tokens: u64,
        prefetch_tokens: u64,
        pool: &mut GrantPool,
    ) -> FetchRound {
        let shares = shares(&self.published.get(), contract);
        let order = nearest_first(&self.published.get(), &self.data_centre);
        let (local, remote): (Vec<_>, Vec<_>) = order
            .into_iter()
            .partition(|data_centre| *data_centre == self.data_centre);
        let mut round = FetchRound::default();
        let missing_tokens =
            |pool: &GrantPool, tokens: u64| tokens.saturating_sub(pool.free_tokens(Instant::now()));
        let total_tokens = cost_tokens + prefetch_tokens;
        let targets = local.into_iter().map(|data_centre| FetchTarget {
            data_centre,
            need_tokens: missing_tokens(pool, cost_tokens),
            prefetch_tokens: missing_tokens(pool, total_tokens) - missing_tokens(pool, cost_tokens),
            is_exchange: false,
        });
        let targets = targets.collect();
        self.fetch_from_all(contract, &shares, targets, pool, &mut round)
            .await;
        let need_tokens = missing_tokens(pool, cost_tokens);
        let prefetch_tokens = missing_tokens(pool, total_tokens) - need_tokens;
        let targets = split(need_tokens, prefetch_tokens, remote, &shares);
        self.fetch_from_all(contract, &shares, targets, pool, &mut round)
            .await;
        let mut rest = missing_tokens(pool, cost_tokens);
        let left = std::mem::take(&mut round.left).into_iter();
        let targets = left.map(|(data_centre, level_tokens)| {
            let need_tokens = rest.min(level_tokens);
            rest -= need_tokens;
            FetchTarget {
                data_centre,
                need_tokens,
                prefetch_tokens: 0,
                is_exchange: false,
            }
        });
        let targets = targets.collect();
        self.fetch_from_all(contract, &shares, targets, pool, &mut round)
            .await;
        round
    }

    /// Exchanges all held grants for new ones with the same tokens, so that none expires.
    pub(crate) async fn exchange(&self, contract: &Contract, pool: &mut GrantPool) {
        let shares = shares(&self.published.get(), contract);
        let held = pool.data_centres().into_iter();
        let targets = held.map(|data_centre| FetchTarget {
            data_centre,
            need_tokens: 0,
            prefetch_tokens: 0,
            is_exchange: true,
        });
        let targets = targets.collect();
        self.fetch_from_all(contract, &shares, targets, pool, &mut FetchRound::default())
            .await;
    }

    async fn fetch_from_all(
        &self,
        contract: &Contract,
        shares: &BTreeMap<DataCentreId, Share>,
        targets: Vec<FetchTarget>,
        pool: &mut GrantPool,
        round: &mut FetchRound,
    ) {
        let now = Instant::now();
        let mut fetches = Vec::new();
        for mut target in targets {
            let is_empty =
                target.need_tokens == 0 && target.prefetch_tokens == 0 && !target.is_exchange;
            if is_empty || self.is_skipped(&target.data_centre, now) {
                continue;
            }
            // Held grants are exchanged, so that none expires while the request waits for the rest.
            let closes = pool.close_all(&target.data_centre, now);
            let exchanged = closes.iter().map(|close| close.unspent_tokens.get());
            target.need_tokens += exchanged.sum::<u64>();
            fetches.push(GrantFetch { target, closes });
        }
        let replies = fetches.into_iter().map(|fetch| async move {
            let data_centre = fetch.target.data_centre.clone();
            (
                data_centre,
                self.request_from_owner(&contract.team, fetch).await,
            )
        });
        for (data_centre, reply) in join_all(replies).await {
            let Some(reply) = reply else {
                self.skip_data_centre(data_centre, Instant::now());
                continue;
            };
            if let Some(grant) = reply.grant {
                pool.add(LocalGrant {
                    data_centre: data_centre.clone(),
                    grant_id: grant.grant_id,
                    free_tokens: grant.tokens.get(),
                    expires_at: now + Duration::from_millis(grant.lifetime_ms),
                });
            }
            let refill = Refill {
                starts_in: Duration::from_millis(reply.refill_in_ms),
                share: shares.get(&data_centre).copied().unwrap_or_default(),
            };
            round.refills.insert(data_centre.clone(), refill);
            if reply.level_tokens > Tokens(0) {
                round.left.push((data_centre, reply.level_tokens.get()));
            }
        }
    }

    /// Returns grants to their owner.
    pub(crate) async fn refund(
        &self,
        team: &TeamId,
        data_centre: DataCentreId,
        closes: Vec<GrantClose>,
    ) {
        let target = FetchTarget {
            data_centre,
            need_tokens: 0,
            prefetch_tokens: 0,
            is_exchange: false,
        };
        let fetch = GrantFetch { target, closes };
        // If the message is lost, the owner counts the tokens as outstanding until the grants expire.
        self.request_from_owner(team, fetch).await;
    }

    async fn request_from_owner(&self, team: &TeamId, fetch: GrantFetch) -> Option<OwnerReply> {
        let request = GrantRequest {
            team: team.clone(),
            data_centre: fetch.target.data_centre,
            need_tokens: Tokens(fetch.target.need_tokens),
            prefetch_tokens: Tokens(fetch.target.prefetch_tokens),
            closes: fetch.closes,
        };
        let mut tried = Vec::new();
        let mut candidates = self.candidates(&request);
        while let Some(candidate) = candidates.pop_front()
            && tried.len() < MAX_ENTRIES_TRIED
        {
            tried.push(candidate.instance.clone());
            match self.request_from(&candidate, &request).await {
                Some(GrantReply::Owner(reply)) => return Some(reply),
                Some(GrantReply::NotOwner { owner: Some(owner) }) if !tried.contains(&owner) => {
                    candidates.retain(|one| one.instance != owner);
                    let published = self.published.get();
                    let reported_owner = published.instances.get(&owner).cloned();
                    candidates.extend(reported_owner);
                    candidates.rotate_right(1);
                }
                Some(GrantReply::NotOwner { .. }) | None => {
                    candidates.retain(|one| !tried.contains(&one.instance));
                }
            }
        }
        None
    }

    async fn request_from(
        &self,
        candidate: &Instance,
        request: &GrantRequest,
    ) -> Option<GrantReply> {
        if candidate.instance == self.local_instance {
            return Some(self.answer(request, Instant::now()));
        }
        let requested_at = Instant::now();
        if let Some(reply) = self.query_by_datagram(candidate, request).await {
            return Some(reply);
        }
        let address = candidate.peer_address;
        let left = GRANT_TIMEOUT.saturating_sub(requested_at.elapsed());
        let reply = self
            .channels
            .client
            .call(address, METHOD_GRANT, request, left)
            .await;
        match reply {
            Ok(reply) => {
                self.channels
                    .query_client
                    .note_blocked(address, Instant::now());
                Some(reply)
            }
            Err(error) => {
                tracing::debug!(event = "grant_failed", %error);
                if let Some(group) = self.group.as_ref().filter(|_| error.is_not_sent()) {
                    group.suspect(&candidate.instance);
                }
                None
            }
        }
    }

    /// Sends the request by datagram, and once more if the receiver reports another epoch.
    async fn query_by_datagram(
        &self,
        candidate: &Instance,
        request: &GrantRequest,
    ) -> Option<GrantReply> {
        let GrantChannels { query_client, .. } = &self.channels;
        let receiver = &candidate.instance;
        let retry_policy = self.retry_policy(candidate);
        for _ in 0..EPOCH_TRIES {
            let query = DatagramQuery::Grant(GrantQuery {
                epoch: query_client.epoch(receiver),
                nonce: rand::random(),
                request: request.clone(),
            });
            let address = candidate.peer_address;
            match query_client
                .query(receiver, address, query, retry_policy)
                .await?
            {
                DatagramReply::Grant(reply) => return Some(reply),
                DatagramReply::OtherEpoch(epoch) => query_client.note_epoch(receiver, epoch),
                DatagramReply::Renewed { .. } | DatagramReply::Pulse { .. } => return None,
            }
        }
        None
    }

    /// Owners in the local data centre get a call earlier, because a refused connection shows at once that one is dead.
    fn retry_policy(&self, candidate: &Instance) -> RetryPolicy {
        if candidate.data_centre == self.data_centre {
            LOCAL_RETRY_POLICY
        } else {
            REMOTE_RETRY_POLICY
        }
    }

    /// Live entries of the request's data centre, the likely owner first.
    fn candidates(&self, request: &GrantRequest) -> std::collections::VecDeque<Instance> {
        let published = self.published.get();
        let key = request.team.as_str();
        let likely_owner = (request.data_centre == self.data_centre)
            .then(|| self.owner(key))
            .flatten();
        let listed = live_entries(&published, &request.data_centre);
        let ranked = rendezvous_rank(key, listed.map(|instance| &instance.instance));
        let ranked = ranked
            .into_iter()
            .filter_map(|name| published.instances.get(name).cloned());
        let is_likely_owner = |one: &Instance| {
            likely_owner
                .as_ref()
                .is_some_and(|first| first.instance == one.instance)
        };
        let rest: Vec<_> = ranked.filter(|one| !is_likely_owner(one)).collect();
        likely_owner.into_iter().chain(rest).collect()
    }

    /// The owner of a key in the local data centre, if the group knows it.
    pub(super) fn owner(&self, key: &str) -> Option<Instance> {
        self.group.as_ref()?.owner(key)
    }

    fn ownership(&self, key: &str, now: Instant) -> Option<Ownership> {
        self.group.as_ref()?.ownership(key, now)
    }

    /// Remaining time of the lease under which this process owns keys.
    pub(super) fn lease_left(&self, now: Instant) -> Duration {
        let group = self.group.as_ref();
        group.map_or(Duration::ZERO, |group| group.lease_left(now))
    }

    /// Duration of a lease.
    pub(super) fn lease_duration(&self) -> Duration {
        let group = self.group.as_ref();
        group.map_or(Duration::ZERO, |group| group.lease_duration())
    }

    /// Answers a request for a grant; as the owner only while this process holds a valid lease.
    pub(crate) fn answer(&self, request: &GrantRequest, now: Instant) -> GrantReply {
        let published = self.published.get();
        let contract = published.contracts.get(&request.team);
        let key = request.team.as_str();
        let ownership = self.ownership(key, now);
        match (contract, ownership) {
            (Some(contract), Some(ownership)) if request.data_centre == self.data_centre => {
                let share = share(&published, contract, &self.data_centre);
                GrantReply::Owner(self.accounts.answer(request, share, ownership.since, now))
            }
            _ => GrantReply::NotOwner {
                owner: self.owner(key).map(|owner| owner.instance),
            },
        }
    }

    /// Share and start of ownership of a team that this entry owns.
    pub(crate) fn owned(&self, team: &TeamId, now: Instant) -> Option<(Share, Instant)> {
        let published = self.published.get();
        let contract = published.contracts.get(team)?;
        let ownership = self.ownership(team.as_str(), now)?;
        let share = share(&published, contract, &self.data_centre);
        Some((share, ownership.since))
    }

    fn is_skipped(&self, data_centre: &DataCentreId, now: Instant) -> bool {
        let skipped_until = self.skipped_until.borrow();
        skipped_until
            .get(data_centre)
            .is_some_and(|until| now < *until)
    }

    /// Skips a remote data centre for [`SKIP_DURATION`]; the local one is always tried.
    fn skip_data_centre(&self, data_centre: DataCentreId, now: Instant) {
        if data_centre != self.data_centre {
            self.skipped_until
                .borrow_mut()
                .insert(data_centre, now + SKIP_DURATION);
        }
    }
}

fn live_entries<'a>(
    published: &'a Published,
    data_centre: &'a DataCentreId,
) -> impl Iterator<Item = &'a Instance> {
    published.instances.values().filter(move |instance| {
        instance.role == InstanceRole::Entry
            && instance.state == InstanceState::Live
            && instance.data_centre == *data_centre
    })
}

/// Splits amounts between data centres in proportion to their shares, rounding up.
fn split(
    need_tokens: u64,
    prefetch_tokens: u64,
    data_centres: Vec<DataCentreId>,
    shares: &BTreeMap<DataCentreId, Share>,
) -> Vec<FetchTarget> {
    let burst = |one: &DataCentreId| shares.get(one).map_or(0, |share| share.burst_tokens);
    let total: u64 = data_centres.iter().map(burst).sum();
    let part = |tokens: u64, one: &DataCentreId| {
        let product = u128::from(tokens) * u128::from(burst(one));
        u64::try_from(product.div_ceil(u128::from(total.max(1)))).unwrap_or(tokens)
    };
    let target = |data_centre: DataCentreId| FetchTarget {
        need_tokens: part(need_tokens, &data_centre),
        prefetch_tokens: part(prefetch_tokens, &data_centre),
        is_exchange: false,
        data_centre,
    };
    data_centres.into_iter().map(target).collect()
}
