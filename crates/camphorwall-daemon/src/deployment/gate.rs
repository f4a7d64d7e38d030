//! Admission of reservations, by the weights and role that the engine has.

use std::cell::RefCell;

use camphorwall::{EngineRole, EngineSetup, Reserve};

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    Closed { reason: String },
    Open { setup: Option<EngineSetup> },
}

/// Admits reservations at one engine while open.
pub(crate) struct Gate {
    role: EngineRole,
    state: RefCell<State>,
}

impl Gate {
    /// Gate of an endpoint with the role of its settings; closed at first, except for plain services, which run no
    /// weights.
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

    /// Opens the gate for the setup that the engine runs; `None` where no deployment is published for it.
    pub(super) fn open(&self, setup: Option<EngineSetup>) {
        self.state.replace(State::Open { setup });
    }

    /// Closes the gate; returns whether it was open.
    pub(super) fn close(&self, reason: impl Into<String>) -> bool {
        let reason = reason.into();
        let before = self.state.replace(State::Closed { reason });
        matches!(before, State::Open { .. })
    }

    /// Why the gate is closed; `None` while it is open.
    pub(crate) fn closed(&self) -> Option<String> {
        match &*self.state.borrow() {
            State::Closed { reason } => Some(reason.clone()),
            State::Open { .. } => None,
        }
    }

    /// Setup that the engine runs for a reservation, or why the reservation is not admitted.
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
