//! Decisions on orders, as pure functions of the desired setup, the engine's state and the last order.

use std::time::{Duration, Instant};

use camphorwall::{EngineSetup, Revision};

use super::desired::DesiredEngine;

/// Maximum time between the query that confirmed documents and engine state, and the order that follows from it. A
/// process that was paused for longer queries again.
pub(super) const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(1);

/// How long an engine may load before the order is repeated.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// State that an engine reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct EngineState {
    pub(super) setup: EngineSetup,
    /// Highest fencing number that the engine has seen; absent for engines that ignore them.
    pub(super) fence: Option<Revision>,
    /// Setup that it is loading to replace the current one.
    pub(super) loading: Option<EngineSetup>,
}

/// The last order that this daemon sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct LastOrder {
    pub(super) revision: Revision,
    pub(super) at: Instant,
}

/// Next step to reconcile an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Step {
    /// Wait for documents: the engine was given a newer revision than this daemon's documents have.
    AwaitDocuments,
    /// Wait until the engine has loaded the desired setup.
    AwaitLoad,
    /// Order the engine, which runs another setup.
    Order,
    /// Serve: the engine runs the desired setup.
    Serve,
}

/// Decides the next step to reconcile an engine.
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
        // The engine loads the desired setup, no matter which daemon ordered it.
        EngineState {
            loading: Some(loading),
            ..
        } if *loading == desired.setup && !is_stuck => Step::AwaitLoad,
        EngineState { fence, .. } if is_ahead(*fence) => Step::AwaitDocuments,
        EngineState { .. } if is_ahead(last.map(|last| last.revision)) => Step::AwaitDocuments,
        EngineState { .. } => Step::Order,
    }
}

/// Whether an engine may serve its current setup until it is ordered: only if nothing but the version differs.
pub(super) fn serves_until_order(desired: &DesiredEngine, running: &EngineState) -> bool {
    let versionless = EngineSetup {
        version: desired.setup.version.clone(),
        ..running.setup.clone()
    };
    running.loading.is_none() && versionless == desired.setup
}

/// Whether an order that was decided on may be sent now. To be called immediately before it is sent.
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
