//! Serves a call that runs at most once: offers it to the owner of its idempotency key, then starts it there.
//!
//! Before the start is sent, the call has certainly not run. Afterwards only the owner's record can show that it has
//! not run. The entry itself never starts such a call a second time.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    Failed, Frame, Instance, InstanceState, LEDGER_START_PATH, LedgerKey, LedgerOffer,
    LedgerOfferReply, LedgerOutcome, LedgerRecord, LedgerRefused, LedgerStart, METHOD_LEDGER_OFFER,
    METHOD_LEDGER_RECALL, Outcome, PlainCall, Problem, ProblemKind, ReservationId, Reserve,
    ServiceId, rendezvous_rank,
};
use futures_util::StreamExt as _;

use crate::{endpoint::json_lines, entry::Entry, ledger::content_digest};

/// Time-out of an offer, and of a call that requests an outcome.
const OFFER_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to the owner that carries no frame, not even a heartbeat, for this long is given up.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Pause before the owner is searched for or queried again.
const OWNER_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long to search for the owner while ownership changes.
const OWNER_SEARCH_LIMIT: Duration = Duration::from_millis(1_500);

/// `Retry-After` of a call whose owner was not found or did not run it.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call that runs at most once under its idempotency key.
pub(super) struct LedgerCall {
    pub(super) key: LedgerKey,
    pub(super) issued_ms: u64,
    pub(super) reserve: Reserve,
    pub(super) call: PlainCall,
    pub(super) deadline: Instant,
}

/// An offer that the key's owner has accepted and holds until the start.
struct HeldOffer {
    owner: SocketAddr,
    reservation: ReservationId,
}

/// Runs a call at the owner of its key and returns the frame with its answer.
pub(super) async fn serve_ledger_call(
    entry: &Rc<Entry>,
    ledger_call: LedgerCall,
) -> Result<Frame, Problem> {
    let HeldOffer { owner, reservation } = offer(entry, &ledger_call).await?;
    let content = content_digest(&ledger_call.call);
    let start = LedgerStart {
        reservation,
        call: ledger_call.call,
    };
    let serving = async {
        match start_at(entry, owner, &start).await {
            Started::Completed(result) => result,
            Started::ContactLost(cause) => {
                let record = recall(entry, owner, &ledger_call.key, cause).await?;
                frame_from_record(record, &content, cause)
            }
        }
    };
    match compio::time::timeout_at(ledger_call.deadline, Box::pin(serving)).await {
        Ok(result) => result,
        Err(_) => Err(may_have_run(
            ProblemKind::DeadlinePassed,
            "no answer came before the deadline",
        )),
    }
}

fn may_have_run(kind: ProblemKind, cause: &str) -> Problem {
    let detail = format!(
        "{cause}; repeat with the same Idempotency-Key to learn the outcome, or look it up"
    );
    Problem::new(kind, Outcome::MayHaveRun, detail)
}

/// Addresses of a service's live instances, highest rendezvous rank for the key first; the first should be its owner.
fn ranked_owners(entry: &Entry, service: &ServiceId, key: &str) -> Vec<SocketAddr> {
    let published = entry.published.get();
    let is_member = |instance: &&Instance| {
        instance.state == InstanceState::Live && instance.service.as_ref() == Some(service)
    };
    let members = published.instances.values().filter(is_member);
    rendezvous_rank(key, members.map(|instance| &instance.instance))
        .into_iter()
        .filter_map(|id| published.instances.get(id))
        .map(|instance| instance.peer_address)
        .collect()
}

/// Finds the key's owner and offers it the call. If this fails, nothing has run.
async fn offer(entry: &Rc<Entry>, ledger_call: &LedgerCall) -> Result<HeldOffer, Problem> {
    let search_until = ledger_call
        .deadline
        .min(Instant::now() + OWNER_SEARCH_LIMIT);
    let key = ledger_call.key.to_string();
    let message = LedgerOffer {
        key: ledger_call.key.clone(),
        issued_ms: ledger_call.issued_ms,
        reserve: ledger_call.reserve.clone(),
    };
    let mut cause = format!("service {} has no endpoint", ledger_call.key.service);
    loop {
        let mut candidates = ranked_owners(entry, &ledger_call.key.service, &key);
        candidates.reverse();
        let mut tried = Vec::new();
        while let Some(owner) = candidates.pop() {
            if tried.contains(&owner) {
                continue;
            }
            tried.push(owner);
            match offer_to(entry, owner, &message).await {
                Ok(LedgerOfferReply::Held { reservation, .. }) => {
                    return Ok(HeldOffer { owner, reservation });
                }
                Ok(LedgerOfferReply::Refused(refused)) => {
                    return Err(problem_from_refusal(refused));
                }
                Ok(LedgerOfferReply::NotOwner { owner: Some(next) }) => candidates.push(next),
                Ok(LedgerOfferReply::NotOwner { owner: None }) => {
                    cause = "the ledger's owner is changing".into();
                }
                Err(error) => cause = error.to_string(),
            }
        }
        if Instant::now() >= search_until {
            let detail = format!("{cause}; repeat with the same Idempotency-Key");
            let problem = Problem::not_run(ProblemKind::Unavailable, detail);
            return Err(problem.with_retry_after(RETRY_AFTER));
        }
        compio::time::sleep(OWNER_RETRY_PAUSE).await;
    }
}

async fn offer_to(
    entry: &Entry,
    owner: SocketAddr,
    message: &LedgerOffer,
) -> Result<LedgerOfferReply, camphorwall::RpcError> {
    entry
        .client
        .call(owner, METHOD_LEDGER_OFFER, message, OFFER_TIMEOUT)
        .await
}

fn problem_from_refusal(refused: LedgerRefused) -> Problem {
    let problem = Problem::new(refused.kind, refused.outcome, refused.detail);
    match refused.retry_after_ms {
        Some(retry_after_ms) => problem.with_retry_after(Duration::from_millis(retry_after_ms)),
        None => problem,
    }
}

/// Result of a start, as far as the entry knows it.
enum Started {
    /// The owner answered, or the start was certainly not sent.
    Completed(Result<Frame, Problem>),
    /// Contact was lost after the start may have been sent.
    ContactLost(&'static str),
}

/// Starts a call whose offer is held and waits for its only frame.
async fn start_at(entry: &Rc<Entry>, owner: SocketAddr, start: &LedgerStart) -> Started {
    let body = match serde_json::to_vec(start) {
        Ok(body) => body,
        Err(error) => {
            let problem = Problem::not_run(ProblemKind::BadRequest, error.to_string());
            return Started::Completed(Err(problem));
        }
    };
    let posting = entry.client.post_peer(owner, LEDGER_START_PATH, body);
    let response = match compio::time::timeout(SILENCE_LIMIT, posting).await {
        Ok(Ok(response)) if response.status().is_success() => response,
        Ok(Err(error)) if error.is_not_sent() => {
            let detail = format!("{error}; repeat with the same Idempotency-Key");
            let problem = Problem::not_run(ProblemKind::Unavailable, detail);
            return Started::Completed(Err(problem.with_retry_after(RETRY_AFTER)));
        }
        Ok(_) | Err(_) => return Started::ContactLost("contact with the ledger's owner was lost"),
    };
    let mut frames = json_lines(response.bytes_stream().boxed_local());
    loop {
        match compio::time::timeout(SILENCE_LIMIT, frames.next()).await {
            Ok(Some(Ok(Frame::Heartbeat))) => {}
            Ok(Some(Ok(Frame::Failed(failed)))) => {
                return Started::Completed(Err(problem_from_failure(failed)));
            }
            Ok(Some(Ok(frame))) => return Started::Completed(Ok(frame)),
            Ok(Some(Err(_)) | None) => {
                return Started::ContactLost("contact with the ledger's owner was lost");
            }
            Err(_) => return Started::ContactLost("the ledger's owner went silent"),
        }
    }
}

/// Requests, over a new connection, the outcome of a call that was started at the owner. This never starts the call.
async fn recall(
    entry: &Rc<Entry>,
    owner: SocketAddr,
    key: &LedgerKey,
    cause: &str,
) -> Result<LedgerRecord, Problem> {
    loop {
        let client = entry.client.reconnected();
        let reply: Result<Option<LedgerRecord>, _> = client
            .call(owner, METHOD_LEDGER_RECALL, key, OFFER_TIMEOUT)
            .await;
        match reply {
            Ok(Some(record)) => return Ok(record),
            Err(error) if error.is_not_sent() => {
                return Err(may_have_run(ProblemKind::Unknown, cause));
            }
            Ok(None) | Err(_) => compio::time::sleep(OWNER_RETRY_PAUSE).await,
        }
    }
}

fn frame_from_record(record: LedgerRecord, content: &str, cause: &str) -> Result<Frame, Problem> {
    match record.outcome {
        // An earlier call used the same key.
        _ if record.content != content => Err(Problem::not_run(
            ProblemKind::IdempotencyKeyReused,
            "the Idempotency-Key was used with another content; send this under a new key",
        )),
        LedgerOutcome::Answer {
            status,
            headers,
            body,
        } => Ok(Frame::Answer {
            status,
            headers,
            body,
        }),
        LedgerOutcome::Ran => Err(Problem::new(
            ProblemKind::EndpointFailed,
            Outcome::Ran,
            "the call ran and its answer is not kept; look up its result",
        )),
        LedgerOutcome::MayHaveRun => Err(may_have_run(ProblemKind::Unknown, cause)),
    }
}

fn problem_from_failure(failed: Failed) -> Problem {
    let problem = Problem::new(failed.kind, failed.outcome, failed.detail);
    match failed.outcome {
        Outcome::NotRun if failed.kind.status() == 503 => problem.with_retry_after(RETRY_AFTER),
        _ => problem,
    }
}
