//! Topology: data centres, the links between them, and the instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{BytesPerSecond, DataCentreId, InstanceId, RegionId, ServiceId};

/// A data centre and its share of every team's budget.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Name.
    pub data_centre: DataCentreId,
    /// Region of the data centre.
    pub region: RegionId,
    /// Share of each team's rate and burst, relative to the other data centres.
    pub budget_weight: u32,
}

/// A link between two data centres, for transfers of KV caches.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Data centre of the sender.
    pub from: DataCentreId,
    /// Data centre of the receiver.
    pub to: DataCentreId,
    /// Maximum rate of each sender on the link.
    pub rate_bytes_per_s: BytesPerSecond,
    /// One-way delay.
    pub delay_us: u64,
}

/// Role of an instance.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceRole {
    /// Accepts the callers' requests and routes them to endpoints.
    Entry,
    /// Runs beside an endpoint as its daemon.
    Endpoint,
}

/// Kind of work that an endpoint does.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// A model engine that generates answers.
    Decode,
    /// A plain service.
    Plain,
    /// A model engine that processes prompts.
    Prefill,
}

/// Whether an instance accepts new work.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// It accepts new work.
    #[default]
    Live,
    /// It completes its work in progress and accepts no new work.
    Leaving,
}

/// One instance of the instance list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name.
    pub instance: InstanceId,
    /// Role.
    pub role: InstanceRole,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its address for other processes of the system.
    pub peer_address: SocketAddr,
    /// Whether it accepts new work.
    #[serde(default)]
    pub state: InstanceState,
    /// Service of the endpoint; absent for entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Role of the endpoint; absent for entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine_role: Option<EngineRole>,
}
