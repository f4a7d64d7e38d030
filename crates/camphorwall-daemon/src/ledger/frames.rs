//! Frames with which the ledger answers calls that must not run, or that have run.

use std::time::Duration;

use camphorwall::{
    Failed, Frame, LedgerOutcome, LedgerRefused, Outcome, ProblemKind, REPLAYED_HEADER,
    milliseconds,
};

use super::record_store::Verdict;

const LOOK_UP_ADVICE: &str = "look up whether it took effect before you send it under a new key";

pub(super) fn refused(
    kind: ProblemKind,
    outcome: Outcome,
    detail: &str,
    retry_after: Option<Duration>,
) -> LedgerRefused {
    LedgerRefused {
        kind,
        outcome,
        detail: detail.into(),
        retry_after_ms: retry_after.map(milliseconds),
    }
}

pub(super) fn failed(kind: ProblemKind, outcome: Outcome, detail: &str) -> Frame {
    Frame::Failed(Failed {
        kind,
        outcome,
        detail: detail.into(),
    })
}

/// Frame for a call that must not run.
pub(super) fn frame_of(verdict: Verdict) -> Frame {
    let not_run = |kind, detail: &str| failed(kind, Outcome::NotRun, detail);
    match verdict {
        Verdict::Settled(outcome) => outcome_frame(outcome, true),
        Verdict::ContentDiffers => not_run(
            ProblemKind::IdempotencyKeyReused,
            "the Idempotency-Key was used with another content; send the same again, or this under a new key",
        ),
        Verdict::IssuedInFuture => not_run(
            ProblemKind::BadRequest,
            "the Idempotency-Key was made in the future; set the caller's clock and make a new key",
        ),
        Verdict::IssuedBeforeRecords => failed(
            ProblemKind::Unknown,
            Outcome::MayHaveRun,
            &format!("the Idempotency-Key is older than the ledger's memory; {LOOK_UP_ADVICE}"),
        ),
        Verdict::Full { retry_after } => not_run(
            ProblemKind::Overloaded,
            &format!(
                "the ledger is full; repeat with a new key in {} s",
                retry_after.as_secs_f64().ceil()
            ),
        ),
        Verdict::NotOwner | Verdict::Run | Verdict::Running => not_run(
            ProblemKind::Unavailable,
            "the ledger's owner has changed; repeat with the same key",
        ),
    }
}

pub(super) fn outcome_frame(outcome: LedgerOutcome, is_replayed: bool) -> Frame {
    match outcome {
        LedgerOutcome::Answer {
            status,
            mut headers,
            body,
        } => {
            if is_replayed {
                headers.push((REPLAYED_HEADER.into(), "true".into()));
            }
            Frame::Answer {
                status,
                headers,
                body,
            }
        }
        LedgerOutcome::Ran => failed(
            ProblemKind::EndpointFailed,
            Outcome::Ran,
            "the call ran and its answer is not kept; look up its result",
        ),
        LedgerOutcome::MayHaveRun => failed(
            ProblemKind::Unknown,
            Outcome::MayHaveRun,
            &format!("contact was lost while the call ran; {LOOK_UP_ADVICE}"),
        ),
    }
}
