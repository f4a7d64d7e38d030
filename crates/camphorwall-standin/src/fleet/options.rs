//! Size, speed and lease of a fleet.

use serde_json::{Value, json};

use crate::EngineOptions;

/// Name of the service that the fleet's engines serve.
pub const MODEL_SERVICE: &str = "summary-llm";

/// Name of the service that the fleet's plain replicas serve.
pub const PLAIN_SERVICE: &str = "numbering-app";

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of entries.
    pub entries: usize,
    /// Number of prefill engines.
    pub prefill: usize,
    /// Number of decode engines.
    pub decode: usize,
    /// Number of replicas of the plain service.
    pub plain: usize,
    /// Options of each engine.
    pub engine: EngineOptions,
    /// Whether peers reach endpoint daemons through relays that can go silent.
    pub relays: bool,
    /// Lease duration of ownership in milliseconds. A daemon acts for its keys one lease duration after its start.
    pub hold_ms: u64,
    /// Further settings in the `entry` section of the entries.
    pub entry_settings: Value,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            entries: 1,
            prefill: 1,
            decode: 2,
            plain: 2,
            engine: EngineOptions::default(),
            relays: false,
            hold_ms: 1_500,
            entry_settings: json!({"leave_grace_ms": 0}),
        }
    }
}

/// Short leases, so that a fleet acts soon after its start.
pub(super) fn lease(options: &FleetOptions) -> Value {
    json!({"hold_ms": options.hold_ms, "heartbeat_period_ms": 100, "grant_lifetime_ms": 200})
}
