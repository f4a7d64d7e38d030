//! Endpoints that recently failed this entry's own requests.

use std::{collections::HashMap, time::Duration};

use camphorwall::EndpointId;

use crate::clock::Moment;

/// How long an endpoint is passed over after its first failure; doubled at each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest time for which an endpoint is passed over.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct Failures {
    count: u32,
    until: Moment,
}

/// Endpoints that recently failed.
#[derive(Debug, Default)]
pub(crate) struct Suspicions(HashMap<EndpointId, Failures>);

impl Suspicions {
    /// Notes a request that the endpoint did not answer.
    pub(crate) fn note_failure(&mut self, endpoint: &EndpointId, now: Moment) {
        let failures = self.0.entry(endpoint.clone()).or_insert(Failures {
            count: 0,
            until: now,
        });
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(failures.count.min(8));
        failures.count += 1;
        failures.until = now + pause.min(LONGEST_PAUSE);
    }

    /// Notes a request that the endpoint answered.
    pub(crate) fn note_answer(&mut self, endpoint: &EndpointId) {
        self.0.remove(endpoint);
    }

    /// Whether the endpoint is passed over now.
    #[must_use]
    pub(crate) fn is_suspect(&self, endpoint: &EndpointId, now: Moment) -> bool {
        self.0
            .get(endpoint)
            .is_some_and(|failures| now < failures.until)
    }
}
