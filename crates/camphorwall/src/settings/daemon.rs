//! Fields of a daemon's settings file.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{DataCentreId, EngineRole, InstanceId, InstanceRole, PeerSecret, ServiceId};

/// Role of a daemon.
pub type Role = InstanceRole;

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance, as in the published instance list.
    pub instance: InstanceId,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Role of this instance.
    pub role: Role,
    /// Address for other processes of the system; with port 0, the operating system chooses the port.
    pub peer_address: SocketAddr,
    /// Addresses of peers from which documents are requested before the instance list is known.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// Secrets that all processes of the system share: the first one signs and all of them verify. Only processes on
    /// loopback may do without.
    #[serde(default)]
    pub peer_secrets: Vec<PeerSecret>,
    /// Settings of ownership leases; they must be the same at all instances.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Settings of an entry; absent for endpoint daemons.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// Settings of an endpoint daemon; absent for entries.
    #[serde(default)]
    pub endpoint: Option<EndpointSettings>,
}

/// Minimum lease duration in heartbeat periods, so that one lost datagram does not let a lease expire.
const MIN_LEASE_HEARTBEAT_PERIODS: u64 = 3;

/// Settings of ownership leases.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// Lease duration: the time for which a promise to count a member is valid.
    pub hold_ms: u64,
    /// Period of heartbeats.
    pub heartbeat_period_ms: u64,
    /// Time for which an entry may spend tokens after they were granted.
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
    /// Returns the lease duration.
    #[must_use]
    pub const fn duration(&self) -> Duration {
        Duration::from_millis(self.hold_ms)
    }

    /// Returns the period of heartbeats.
    #[must_use]
    pub const fn heartbeat_period(&self) -> Duration {
        Duration::from_millis(self.heartbeat_period_ms)
    }

    /// Returns the time for which a grant may be spent.
    #[must_use]
    pub const fn grant_lifetime(&self) -> Duration {
        Duration::from_millis(self.grant_lifetime_ms)
    }

    pub(super) const fn is_valid(&self) -> bool {
        self.heartbeat_period_ms > 0
            && self.hold_ms
                >= self
                    .heartbeat_period_ms
                    .saturating_mul(MIN_LEASE_HEARTBEAT_PERIODS)
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
    /// Maximum size of a request body.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Maximum time that a caller may take to send a request body.
    #[serde(default = "default_body_timeout_ms")]
    pub body_timeout_ms: u64,
    /// Maximum time that a caller may leave a part of its answer unread.
    #[serde(default = "default_write_timeout_ms")]
    pub write_timeout_ms: u64,
    /// Time for which a draining entry still accepts new requests, so that the load balancer can first notice that it
    /// is not ready.
    #[serde(default = "default_leave_grace_ms")]
    pub leave_grace_ms: u64,
    /// Settings of the choice of endpoints.
    #[serde(default)]
    pub routing: RoutingSettings,
}

/// Settings of how an entry chooses endpoints.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Policy of the choice; policies other than the default exist for comparison.
    pub policy: RoutingPolicy,
    /// Load reports that arrive sooner than this after the last accepted one are ignored; exists for comparison.
    pub report_period_ms: u64,
    /// Source of the expected cached prefixes; sources other than the default exist for comparison.
    pub prefix_belief: PrefixBelief,
}

/// Source of an entry's expectation of which prompt prefixes an engine has cached.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PrefixBelief {
    /// The prompts that the entry itself sent; for comparison.
    Sent,
    /// Those prompts, corrected by what endpoint daemons report of their caches.
    #[default]
    Told,
}

/// Policy by which an entry chooses endpoints.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RoutingPolicy {
    /// Least expected time among a few sampled candidates.
    #[default]
    Sampled,
    /// Round-robin over the endpoints; for comparison.
    RoundRobin,
    /// Least load by reports up to a second old; for comparison.
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
    /// Role of the endpoint.
    pub engine_role: EngineRole,
    /// Address of the endpoint beside this daemon.
    pub endpoint_address: SocketAddr,
    /// Maximum number of requests that the endpoint runs at once.
    #[serde(default = "default_slots")]
    pub slots: usize,
}

const fn default_slots() -> usize {
    20
}
