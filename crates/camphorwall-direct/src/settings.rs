//! Settings of an entry, read from a JSON file with comments.

use std::{collections::BTreeMap, net::SocketAddr, path::Path, time::Duration};

use crate::names::{DataCentreName, InstanceName, RegionName};
use camphorwall::{FileError, read_json_with_comments};
use serde::Deserialize;

/// Settings of one entry.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Name of this process in logs and among its peers.
    pub instance: InstanceName,
    /// Data centre that this process runs in.
    pub data_centre: DataCentreName,
    /// Region that this process runs in.
    pub region: Option<RegionName>,
    /// Region of each data centre; without it, only this process's own is known.
    pub data_centres: Option<BTreeMap<DataCentreName, RegionName>>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address that the load balancer probes for readiness.
    pub probe_address: SocketAddr,
    /// Address that serves metrics; without it, no metrics are served.
    pub metrics_address: Option<SocketAddr>,
    /// Address for other entries, over UDP and TCP; all entries use the same port.
    pub peer_address: SocketAddr,
    /// Addresses of some entries, possibly stale; only their hosts matter.
    pub seeds: Vec<SocketAddr>,
    /// Address of the configuration store.
    pub store_address: SocketAddr,
    /// Limit of open files of the process.
    pub max_open_files: Option<usize>,
    /// Rate of this machine's link, in Mbit/s; entries with faster links read the store for the others.
    pub link_mbps: Option<f64>,
    /// Memory limit of the process, in MiB.
    pub memory_mb: Option<usize>,
    /// Whether plain calls wait at the entry while the endpoints of their service are full; without it, they do where
    /// requests of different priorities compete for a service.
    pub queue_plain_calls: Option<bool>,
    /// Whether choices compare expected times. Without it, they do for a service while its endpoints state their paces.
    pub expected_times: Option<bool>,
    /// Bounds that the deployment requires the system to keep.
    pub bounds: Bounds,
}

/// Bounds that the deployment requires the system to keep; a missing one takes its default.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time after which a published configuration must be in force, in milliseconds.
    pub configuration_apply_ms: Option<u64>,
    /// Time after which a withdrawn key must not be served, in milliseconds.
    pub key_withdrawal_ms: Option<u64>,
    /// Time between the stop command and the kill, in seconds.
    pub shutdown_s: Option<f64>,
    /// Maximum retries as a share of requests.
    pub retry_share: Option<f64>,
    /// Window over which retries are counted, in seconds.
    pub retry_window_s: Option<f64>,
    /// Retries in each window beyond the share.
    pub retry_allowance: Option<f64>,
    /// Requests that a cold endpoint may get, as a multiple of the rate that it can sustain.
    pub cold_overshoot: Option<f64>,
    /// Requests that a cold endpoint may get in a second beyond that.
    pub cold_slack: Option<f64>,
}

impl Bounds {
    const DEFAULT_CONFIGURATION_APPLY_MS: u64 = 3_000;
    const DEFAULT_KEY_WITHDRAWAL_MS: u64 = 5_000;
    const DEFAULT_SHUTDOWN_S: f64 = 8.0;
    const DEFAULT_RETRY_SHARE: f64 = 0.1;
    const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
    const DEFAULT_RETRY_ALLOWANCE: f64 = 20.0;
    const DEFAULT_COLD_OVERSHOOT: f64 = 1.0;
    const DEFAULT_COLD_SLACK: f64 = 0.0;

    /// Time after which a published configuration must be in force.
    #[must_use]
    pub fn configuration_apply(&self) -> Duration {
        let apply_ms = self
            .configuration_apply_ms
            .unwrap_or(Self::DEFAULT_CONFIGURATION_APPLY_MS);
        Duration::from_millis(apply_ms)
    }

    /// Time after which a withdrawn key must not be served.
    #[must_use]
    pub fn key_withdrawal(&self) -> Duration {
        let withdrawal_ms = self
            .key_withdrawal_ms
            .unwrap_or(Self::DEFAULT_KEY_WITHDRAWAL_MS);
        Duration::from_millis(withdrawal_ms)
    }

    /// Time between the stop command and the kill.
    #[must_use]
    pub fn shutdown(&self) -> Duration {
        Duration::from_secs_f64(self.shutdown_s.unwrap_or(Self::DEFAULT_SHUTDOWN_S))
    }

    /// Maximum retries as a share of requests.
    #[must_use]
    pub fn retry_share(&self) -> f64 {
        self.retry_share.unwrap_or(Self::DEFAULT_RETRY_SHARE)
    }

    /// Window over which retries are counted.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s.unwrap_or(Self::DEFAULT_RETRY_WINDOW_S))
    }

    /// Retries in each window beyond the share.
    #[must_use]
    pub fn retry_allowance(&self) -> f64 {
        self.retry_allowance
            .unwrap_or(Self::DEFAULT_RETRY_ALLOWANCE)
    }

    /// Requests that a cold endpoint may get, as a multiple of the rate that it can sustain.
    #[must_use]
    pub fn cold_overshoot(&self) -> f64 {
        self.cold_overshoot.unwrap_or(Self::DEFAULT_COLD_OVERSHOOT)
    }

    /// Requests that a cold endpoint may get in a second beyond that.
    #[must_use]
    pub fn cold_slack(&self) -> f64 {
        self.cold_slack.unwrap_or(Self::DEFAULT_COLD_SLACK)
    }
}

impl DirectSettings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    /// When the file can't be read, or a field is unknown, missing or wrong.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        read_json_with_comments(path)
    }

    /// Region of a data centre, if it is known.
    pub(crate) fn region_of(&self, data_centre: &DataCentreName) -> Option<&RegionName> {
        let listed = self.data_centres.as_ref();
        let listed = listed.and_then(|regions| regions.get(data_centre));
        let own = self.region.as_ref();
        listed.or(own.filter(|_| *data_centre == self.data_centre))
    }

    /// Whether a data centre is in a region.
    pub(crate) fn has_region(&self, region: &RegionName) -> bool {
        let mut listed = self.data_centres.iter().flat_map(BTreeMap::values);
        self.region.as_ref() == Some(region) || listed.any(|known| known == region)
    }

    /// Rate of the link in whole Mbit/s, 0 if it is not known.
    pub(crate) fn link_mbps_or_zero(&self) -> u32 {
        self.link_mbps.map_or(0, whole_mbps)
    }
}

/// Clamps a rate to the range of the target and drops its fraction.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range"
)]
fn whole_mbps(rate: f64) -> u32 {
    rate.clamp(0.0, f64::from(u32::MAX)) as u32
}
