//! Gate for reservations at an engine: which weights and role they may count on.

use std::cell::RefCell;

use camphorwall::{EngineRole, EngineSetup, Reserve};

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    Closed { reason: String },
    Open { setup: Option<EngineSetup> },
}

/// Gate of one engine.
pub(crate) struct Gate {
    role: EngineRole,
    state: RefCell<State>,
}

impl Gate {
    /// Gate of an endpoint with a role by its settings. Plain services run no weights, so that theirs is open.
    pub(crate) fn new(role: EngineRole) -> Self {
        let state = match role {
            EngineRole::Plain => State::Open { setup: None },
            EngineRole::Decode | EngineRole::Prefill => State::Closed {
                reason: "the endpoint daemon has not yet looked what its engine shall run".into(),
            },
        };
        Self {
            role,
            state: RefCell::new(state),
        }
    }

    /// Admits work for what the engine runs; `None` where no deployment is published for it.
    pub(super) fn open(&self, setup: Option<EngineSetup>) {
        self.state.replace(State::Open { setup });
    }

    /// Admits nothing; returns whether it did before.
    pub(super) fn close(&self, reason: impl Into<String>) -> bool {
        let reason = reason.into();
        let before = self.state.replace(State::Closed { reason });
        matches!(before, State::Open { .. })
    }

    /// Why nothing is admitted; `None` while the gate is open.
    pub(crate) fn closed(&self) -> Option<String> {
        match &*self.state.borrow() {
            State::Closed { reason } => Some(reason.clone()),
            State::Open { .. } => None,
        }
    }

    /// What the engine runs for a reservation, or why it can't be had here.
    pub(crate) fn admit(&self, request: &Reserve) -> Result<Option<EngineSetup>, String> {
        let state = self.state.borrow();
        let setup = match &*state {
            State::Closed { reason } => return Err(reason.clone()),
            State::Open { setup } => setup,
        };
        let role = setup.as_ref().map_or(self.role, |setup| setup.engine_role);
        match (&request.engine_role, &request.setup) {
            (Some(desired), _) if *desired != role => Err(format!("the engine's role is {role}")),
            (_, Some(desired))
                if !setup
                    .as_ref()
                    .is_some_and(|setup| is_same_weights(setup, desired)) =>
            {
                Err(format!("the engine does not run {desired}"))
            }
            _ => Ok(setup.clone()),
        }
    }
}

fn is_same_weights(one: &EngineSetup, other: &EngineSetup) -> bool {
    let weights = |setup: &EngineSetup| {
        (
            setup.model.clone(),
            setup.adapter.clone(),
            setup.version.clone(),
        )
    };
    weights(one) == weights(other)
}
