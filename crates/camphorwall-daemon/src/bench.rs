//! Access to internal parts of the daemon for benchmarks.

use std::time::{Duration, Instant};

use camphorwall::{
    Document, EngineRole, InstanceId, Load, Published, Revision, RoutingSettings, ServiceId,
};
use serde_json::{json, value::to_raw_value};

use crate::routing::{Router, RoutingRequest};

/// Number of data centres in the benchmark's fleet.
const DATA_CENTRES: usize = 21;

/// Seed of the router's sampling.
const SEED: u64 = 1;

/// A router with a fleet of one service and a load report of each endpoint.
pub struct RoutingBench {
    router: Router,
    published: Published,
    service: ServiceId,
}

impl RoutingBench {
    /// Creates a fleet of decode endpoints in 21 data centres.
    ///
    /// # Panics
    /// Never, because all names and documents are valid.
    #[must_use]
    pub fn new(replicas: usize) -> Self {
        let instance = |number: usize| {
            json!({
                "instance": format!("decode-{number:04}"), "role": "endpoint", "service": "summary-llm",
                "data_centre": format!("dc-{}", number % DATA_CENTRES), "engine_role": "decode",
                "peer_address": format!("127.0.0.1:{}", 1_000 + number),
            })
        };
        let instances: Vec<_> = (0..replicas).map(instance).collect();
        let body =
            to_raw_value(&json!({"instances": instances})).expect("a JSON value can be serialized");
        let mut published = Published::default();
        let document = Document {
            name: "instances"
                .parse()
                .expect("'instances' is a valid document name"),
            revision: Revision(1),
            body,
        };
        published
            .apply(&document)
            .expect("the list of instances is valid");
        let router = Router::new(RoutingSettings::default(), SEED);
        let load = Load {
            running: 19,
            slots: 20,
            ..Load::default()
        };
        let now = Instant::now();
        for instance in published.instances.keys() {
            router.note_load(instance, load, now);
        }
        Self {
            router,
            published,
            service: "summary-llm"
                .parse()
                .expect("'summary-llm' is a valid service name"),
        }
    }

    /// Chooses an endpoint for one request and notes its reservation and load report in the router.
    ///
    /// # Panics
    /// If the fleet is empty.
    #[must_use]
    pub fn choose(&self) -> InstanceId {
        let now = Instant::now();
        let request = RoutingRequest {
            service: &self.service,
            role: EngineRole::Decode,
            near: &"dc-0".parse().expect("'dc-0' is a valid data centre name"),
            prompt_tokens: 1_000,
            pieces: &[],
            fingerprint: 1,
        };
        let candidates = self.router.candidates(&self.published, &request, now);
        let chosen = candidates[0].instance.clone();
        self.router.note_reservation_sent(&chosen);
        self.router.note_reservation_answered(&chosen);
        self.router
            .note_load(&chosen, Load::default(), now + Duration::from_millis(1));
        chosen
    }
}
