//! Shared library of camphorwall: identifiers, units, settings, published documents, and the messages that its
//! processes exchange.

mod auth;
mod files;
mod http;
mod ids;
mod log_ring;
#[cfg(test)]
mod log_ring_tests;
mod logging;
mod problem;
mod published;
mod read_meter;
mod rendezvous;
mod request_end;
mod rpc;
mod settings;
mod tasks;
mod units;
mod wire;

pub use auth::{
    CallHeader, CallTarget, EpochLimits, Epochs, HeaderError, PeerAuth, PeerBody, PeerGuard,
    PeerRefusal, PeerRequest, PeerSecret, ProofHeader, QueryTag, ReplayError, ReplySigner,
    SecretError, read_secret_file,
};
pub use files::{FileError, document_files, read_json_with_comments};
pub use http::{
    BodyEnd, BoxedBody, CONNECTION_BYTES, ConnectionBounds, HttpLimits, HttpServer,
    OpenConnections, RequestBody, Stop, StopHandle, collect_body, empty_body, full_body,
    json_response, read_body, set_socket_buffers, stop_pair, stream_body,
};
pub use ids::{
    AdapterId, DataCentreId, EndpointId, IdError, InstanceId, KeyDigest, ModelId, ModelVersion,
    RegionId, RequestId, ReservationId, RouteId, ServiceId, TeamId,
};
pub use log_ring::LogRing;
pub use logging::{init_bounded_logging, init_logging};
pub use problem::{Outcome, Problem, ProblemKind};
pub use published::{
    Contract, DataCentre, Deployment, DeploymentTarget, Document, DocumentDigest, DocumentError,
    DocumentKind, DocumentName, DocumentUpdate, EngineRole, EngineSetup, Finding, HeldDocument,
    Instance, InstanceRole, InstanceState, Item, ItemId, KeptItem, Key, Link, Published, Route,
    RouteKind, Service, cross_check,
};
pub use read_meter::{MeteredStream, ReadMeter, ReserveMemory};
pub use rendezvous::{rendezvous_rank, rendezvous_winner};
pub use request_end::RequestEnd;
pub use rpc::{PeerResponse, RpcClient, RpcError, RpcServer};
pub use settings::{
    EndpointSettings, EntrySettings, LeaseSettings, PrefixBelief, Role, RoutingPolicy,
    RoutingSettings, Settings, SettingsError, SettingsFault,
};
pub use tasks::TaskGroup;
pub use units::{
    BytesPerSecond, Priority, Revision, Tokens, TokensPerSecond, UnitError, milliseconds,
};
pub use wire::*;
