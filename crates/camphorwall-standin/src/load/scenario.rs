//! Scenario files: the deployment, its teams and their load.

use std::path::Path;

use camphorwall::{FileError, read_json_with_comments};
use serde::{Deserialize, Serialize};

use crate::EngineOptions;

/// Deployment and load that are run and measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, also of its result files.
    pub name: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time in which requests arrive.
    pub duration_s: f64,
    /// Offered loads as shares of the capacity.
    pub loads: Vec<f64>,
    /// Routing policies of the entries; each is run once per load.
    pub policies: Vec<String>,
    /// Data centres; instances are assigned to them round-robin.
    pub data_centres: Vec<String>,
    /// Number of entries.
    pub entries: usize,
    /// Number of prefill engines.
    pub prefill: usize,
    /// Number of decode engines.
    pub decode: usize,
    /// Speed, capacity and faults of the engines.
    pub engine: EngineOptions,
    /// Prompt tokens of a request.
    pub prompt_tokens: SizeRange,
    /// Output tokens of a request.
    pub output_tokens: SizeRange,
    /// Target for the time to the first token.
    pub first_token_target_ms: u64,
    /// Target for the mean time between tokens.
    pub token_gap_target_ms: u64,
    /// Teams that send model requests.
    pub teams: Vec<TeamLoad>,
    /// Time span with more arrivals.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// Rate of each sender on the links between data centres; without it, no links are published.
    #[serde(default)]
    pub link_rate_bytes_per_s: Option<u64>,
    /// Interval at which entries accept load reports; 0 accepts each one.
    #[serde(default)]
    pub report_period_ms: u64,
    /// Time at which decode engine 0 and its daemon stop.
    #[serde(default)]
    pub lose_decode_at_s: Option<f64>,
    /// Calls of a plain service during the model requests.
    #[serde(default)]
    pub plain: Option<PlainLoad>,
}

/// A plain service and its calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainLoad {
    /// Name of the service.
    pub service: String,
    /// Number of replicas.
    pub replicas: usize,
    /// Calls that one replica serves at once.
    pub slots: usize,
    /// Time that the service takes for a call.
    pub answer_ms: u64,
    /// Deadline of the calls.
    pub deadline_ms: u64,
    /// Teams that send calls.
    pub teams: Vec<PlainTeam>,
}

/// One team's calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainTeam {
    /// Name.
    pub team: String,
    /// Priority of its contract.
    pub priority: u8,
    /// Offered calls as a share of the capacity of the replicas.
    pub load: f64,
}

impl PlainLoad {
    /// Offered calls of a team per second.
    #[must_use]
    pub fn calls_per_s(&self, team: &PlainTeam) -> f64 {
        let capacity_per_s = (self.replicas * self.slots) as f64 * 1e3 / self.answer_ms as f64;
        capacity_per_s * team.load
    }
}

/// Range of uniformly distributed sizes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeRange {
    /// Smallest size.
    pub min: u64,
    /// Largest size.
    pub max: u64,
}

impl SizeRange {
    /// Mean size.
    #[must_use]
    pub const fn mean(self) -> f64 {
        u64::midpoint(self.min, self.max) as f64
    }
}

/// One team's load of model requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamLoad {
    /// Name.
    pub team: String,
    /// Share of the offered load.
    pub share: f64,
    /// Weight of its contract.
    pub weight: u32,
    /// Rate of its contract as a share of the capacity.
    pub rate_share: f64,
    /// Factor on its offered load.
    #[serde(default = "default_times")]
    pub times: f64,
}

const fn default_times() -> f64 {
    1.0
}

/// Time span in which the arrival rate is multiplied.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start.
    pub from_s: f64,
    /// End.
    pub to_s: f64,
    /// Factor.
    pub times: f64,
}

/// A team's burst as seconds of its rate.
const BURST_S: f64 = 4.0;

impl Scenario {
    /// Reads a scenario from a file.
    ///
    /// # Errors
    /// When the file is unreadable or a field is not valid.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        read_json_with_comments(path)
    }

    /// Total number of decode slots.
    #[must_use]
    pub const fn slots(&self) -> usize {
        self.decode * self.engine.slots
    }

    /// Requests per second at which the scarcer of the prefill and decode pools is fully used.
    #[must_use]
    pub fn capacity_per_s(&self) -> f64 {
        let decode_s = self.output_tokens.mean() * self.engine.token_gap_us as f64 / 1e6;
        let prefill_s = self.prompt_tokens.mean() * self.engine.prefill_us_per_token as f64 / 1e6;
        (self.slots() as f64 / decode_s).min(self.prefill as f64 / prefill_s)
    }

    /// Rate of a team's contract in tokens per second.
    #[must_use]
    pub fn rate_tokens_per_s(&self, team: &TeamLoad) -> f64 {
        let cost_tokens = self.prompt_tokens.mean() + self.output_tokens.mean();
        self.capacity_per_s() * team.rate_share * cost_tokens
    }

    /// Burst of a team's contract in tokens.
    #[must_use]
    pub fn burst_tokens(&self, team: &TeamLoad) -> f64 {
        self.rate_tokens_per_s(team) * BURST_S
    }
}
