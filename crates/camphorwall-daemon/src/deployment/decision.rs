//! Decisions on orders, as functions of what is wanted, what the engine told and what was ordered.

use std::time::{Duration, Instant};

use camphorwall::{EngineSetup, Revision};

use super::desired::DesiredEngine;

/// Longest time between the question that confirmed documents and engine, and the order that follows from them. A
/// process that was paused for longer asks again.
pub(super) const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(1);

/// How long an engine may load before it is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// What an engine told of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct EngineState {
    pub(super) setup: EngineSetup,
    /// Highest fencing number that the engine remembers; absent for one that ignores them.
    pub(super) fence: Option<Revision>,
    /// What it loads in place of it.
    pub(super) loading: Option<EngineSetup>,
}

/// The last order of this daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct LastOrder {
    pub(super) revision: Revision,
    pub(super) at: Instant,
}

/// What to do about an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Step {
    /// The engine knows a newer revision than this daemon, whose documents are old.
    AwaitDocuments,
    /// It loads.
    AwaitLoad,
    /// It runs something else and has to be ordered.
    Order,
    /// It runs what is wanted.
    Serve,
}

/// Decides what to do about an engine.
pub(super) fn next_step(
    desired: &DesiredEngine,
    running: &EngineState,
    last: Option<&LastOrder>,
    now: Instant,
) -> Step {
    let is_ahead = |revision: Option<Revision>| revision.is_some_and(|one| one > desired.revision);
    let is_stuck = last.is_some_and(|last| now >= last.at + LOAD_TIMEOUT);
    match running {
        EngineState {
            loading: None,
            setup,
            ..
        } if *setup == desired.setup => Step::Serve,
        // Whoever ordered it, it is what is wanted.
        EngineState {
            loading: Some(loading),
            ..
        } if *loading == desired.setup && !is_stuck => Step::AwaitLoad,
        EngineState { fence, .. } if is_ahead(*fence) => Step::AwaitDocuments,
        EngineState { .. } if is_ahead(last.map(|last| last.revision)) => Step::AwaitDocuments,
        EngineState { .. } => Step::Order,
    }
}

/// Whether an engine may serve what it runs until its order: only another version of the same is wanted.
pub(super) fn serves_until_order(desired: &DesiredEngine, running: &EngineState) -> bool {
    let versionless = EngineSetup {
        version: desired.setup.version.clone(),
        ..running.setup.clone()
    };
    running.loading.is_none() && versionless == desired.setup
}

/// Whether an order that was decided on may leave now. To be asked immediately before it is sent.
pub(super) fn may_order(
    desired: &DesiredEngine,
    in_force: Option<&DesiredEngine>,
    last: Option<&LastOrder>,
    queried_at: Instant,
    now: Instant,
) -> bool {
    let is_fresh = now < queried_at + MAX_CONFIRMATION_AGE;
    let rises = last.is_none_or(|last| last.revision <= desired.revision);
    is_fresh && rises && in_force == Some(desired)
}
