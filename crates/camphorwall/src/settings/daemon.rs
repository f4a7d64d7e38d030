//! Fields of a daemon's settings file.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{DataCentreId, EngineRole, InstanceId, InstanceRole, PeerSecret, ServiceId};

/// Duty of a daemon.
pub type Role = InstanceRole;

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance, as in the published list.
    pub instance: InstanceId,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Duty.
    pub role: Role,
    /// Address for the system's own processes; port 0 lets the system choose.
    pub peer_address: SocketAddr,
    /// Peers to ask for documents before the list is known.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// Secrets that the system's own processes share: the first signs, all verify. Only processes on loopback
    /// may go without.
    #[serde(default)]
    pub peer_secrets: Vec<PeerSecret>,
    /// Ownership leases; equal at all instances.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Settings of an entry.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// Settings of an endpoint daemon.
    #[serde(default)]
    pub endpoint: Option<EndpointSettings>,
}

/// Shortest hold time in heartbeat periods, so that one lost datagram does not end a lease.
const MIN_HOLD_PERIODS: u64 = 3;

/// Settings of ownership leases.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// How long a promise to count a member holds.
    pub hold_ms: u64,
    /// Period of heartbeats.
    pub heartbeat_period_ms: u64,
    /// How long an entry may spend tokens that it was granted.
    pub grant_lifetime_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            hold_ms: 20_000,
            heartbeat_period_ms: 5_000,
            grant_lifetime_ms: 2_000,
        }
    }
}

impl LeaseSettings {
    /// How long a promise holds.
    #[must_use]
    pub const fn duration(&self) -> Duration {
        Duration::from_millis(self.hold_ms)
    }

    /// Period of heartbeats.
    #[must_use]
    pub const fn heartbeat_period(&self) -> Duration {
        Duration::from_millis(self.heartbeat_period_ms)
    }

    /// How long a grant may be spent.
    #[must_use]
    pub const fn grant_lifetime(&self) -> Duration {
        Duration::from_millis(self.grant_lifetime_ms)
    }

    pub(super) const fn is_valid(&self) -> bool {
        self.heartbeat_period_ms > 0
            && self.hold_ms >= self.heartbeat_period_ms.saturating_mul(MIN_HOLD_PERIODS)
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the platform's configuration service.
    pub configuration_address: SocketAddr,
    /// Largest request body.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Longest time to send a request body.
    #[serde(default = "default_body_timeout_ms")]
    pub body_timeout_ms: u64,
    /// Longest time that a caller may leave a part of its answer unread.
    #[serde(default = "default_write_timeout_ms")]
    pub write_timeout_ms: u64,
    /// How long a leaving entry still serves new requests, until the balancer has seen that it is not ready.
    #[serde(default = "default_leave_grace_ms")]
    pub leave_grace_ms: u64,
    /// Choice of endpoints.
    #[serde(default)]
    pub routing: RoutingSettings,
}

/// How an entry chooses endpoints.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Policy of the choice; others than the default serve for comparison.
    pub policy: RoutingPolicy,
    /// Load reports that come sooner than this after the one held are ignored; serves for comparison.
    pub report_period_ms: u64,
    /// What the expectation of cached prefixes goes by; others than the default serve for comparison.
    pub prefix_belief: PrefixBelief,
}

/// What the expectation of cached prefixes goes by.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PrefixBelief {
    /// What the entry itself sent; for comparison.
    Sent,
    /// That, corrected by what endpoint daemons tell.
    #[default]
    Told,
}

/// Policy of the choice of endpoints.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RoutingPolicy {
    /// Least expected time of a few sampled candidates.
    #[default]
    Sampled,
    /// One after the other; for comparison.
    RoundRobin,
    /// Least load by a report of the last second; for comparison.
    LeastReported,
    /// The endpoint that the prompt's hash names; for comparison.
    Affinity,
}

const fn default_body_timeout_ms() -> u64 {
    10_000
}

const fn default_write_timeout_ms() -> u64 {
    30_000
}

const fn default_leave_grace_ms() -> u64 {
    3_000
}

const fn default_max_body_bytes() -> usize {
    1_048_576
}

/// Settings of an endpoint daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Work of the endpoint.
    pub engine_role: EngineRole,
    /// Address of the endpoint beside this daemon.
    pub endpoint_address: SocketAddr,
    /// Requests that the endpoint runs at once.
    #[serde(default = "default_slots")]
    pub slots: usize,
}

const fn default_slots() -> usize {
    20
}
