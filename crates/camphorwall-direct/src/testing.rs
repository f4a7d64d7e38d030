//! Values that several tests need.

use std::time::Duration;

use camphorwall::EndpointId;

use crate::{
    clock::Moment,
    configuration::{Endpoint, Stage, Team},
    quota::Patience,
};

/// A moment, in milliseconds after the clock's origin.
pub(crate) fn at_ms(milliseconds: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(milliseconds))
}

/// A team with a rate and a burst in tokens.
pub(crate) fn team(rate_per_s: f64, burst: f64) -> Team {
    Team {
        name: "tills".parse().expect("a name"),
        priority: None,
        rate_per_s: Some(rate_per_s),
        burst,
        counts_tokens: true,
        default_cost: 200.0,
    }
}

/// A caller that wants its answer in time or not at all.
pub(crate) fn patience_until(end: Moment) -> Patience {
    Patience {
        on_time_until: end,
        start_by: end,
        ends_at: end,
    }
}

pub(crate) fn endpoint_id(name: &str) -> EndpointId {
    name.parse().expect("a name")
}

/// An endpoint that takes work.
pub(crate) fn endpoint(name: &str, stage: Stage) -> Endpoint {
    Endpoint {
        id: endpoint_id(name),
        born_ms: 1_000,
        service: "drafts".parse().expect("a name"),
        address: "127.0.0.1:9".parse().expect("an address"),
        data_centre: "north".parse().expect("a name"),
        slots: 4,
        is_draining: false,
        stage,
    }
}
