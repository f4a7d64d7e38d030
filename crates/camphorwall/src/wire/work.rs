//! Messages about the work of one request: reserve, start, resume, cancel and renew.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::{
    DataCentreId, EngineRole, EngineSetup, InstanceId, Priority, ProblemKind, RequestId,
    ReservationId, RouteId, ServiceId, TeamId, Tokens,
};

/// JSON-RPC method of [`Reserve`].
pub const METHOD_RESERVE: &str = "reserve";
/// JSON-RPC method of [`Cancel`].
pub const METHOD_CANCEL: &str = "cancel";
/// JSON-RPC method of [`Renew`].
pub const METHOD_RENEW: &str = "renew";

/// Path for JSON-RPC calls.
pub const RPC_PATH: &str = "/rpc";
/// Path that starts work with a reservation; the body is a [`Start`], the answer a stream of [`Frame`]s.
pub const START_PATH: &str = "/start";
/// Path that resumes the frames of started work; the body is a [`Resume`], the answer a stream of [`Frame`]s.
pub const RESUME_PATH: &str = "/resume";
/// Path below which a prefill daemon serves exported KV caches by request id.
pub const KV_PATH: &str = "/kv/";

/// Reserves a slot at an endpoint daemon. Has no effect on the endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Reserve {
    /// The request.
    pub request_id: RequestId,
    /// Attempt of the request, counted from 1.
    pub attempt: u32,
    /// Entry that requests the slot.
    pub entry: InstanceId,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Team whose budget is charged; absent on open routes.
    pub team: Option<TeamId>,
    /// Priority of the team's contract.
    pub priority: Priority,
    /// Weight of the team's contract.
    pub weight: u32,
    /// Route of the request.
    pub route: RouteId,
    /// Service of the request.
    pub service: ServiceId,
    /// Tokens of the prompt; 0 for plain calls.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens of the answer; 0 for plain calls.
    pub max_output_tokens: Tokens,
    /// Time left until the slot must be free for the request to meet its target.
    pub wait_limit_ms: u64,
    /// Time left until the answer is of no use to the caller.
    pub deadline_ms: u64,
    /// Fingerprint of the request's content.
    pub fingerprint: u64,
    /// Role that the work needs; absent from entries that leave it to the endpoint.
    #[serde(default)]
    pub engine_role: Option<EngineRole>,
    /// Setup that the engine must run, its role excepted: a KV cache fits only the weights that it was computed with.
    #[serde(default)]
    pub setup: Option<EngineSetup>,
    /// Hashes of the prompt's full pieces, to look up how much of the prompt the engine's prefix cache holds.
    #[serde(default)]
    pub pieces: Vec<u64>,
}

/// Answer to [`Reserve`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReserveReply {
    /// The slot is reserved until the lease expires.
    Reserved(Reserved),
    /// No slot was reserved; nothing ran.
    Refused(Refused),
}

/// A reserved slot.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Reserved {
    /// The reservation, to name in [`Start`].
    pub reservation: ReservationId,
    /// Time after the receipt of [`Reserve`] during which the slot is reserved.
    pub lease_ms: u64,
    /// Expected time until the slot is free.
    pub ready_in_ms: u64,
    /// Load of the endpoint.
    pub load: Load,
    /// Setup that the engine runs; absent where no deployment is published for it.
    #[serde(default)]
    pub setup: Option<EngineSetup>,
    /// Number of leading pieces of the prompt in the engine's prefix cache; absent where unknown.
    #[serde(default)]
    pub cached_pieces: Option<usize>,
}

/// A refusal of an endpoint daemon; nothing ran.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Refused {
    /// Kind of the problem that the caller gets.
    pub kind: ProblemKind,
    /// Cause and remedy.
    pub detail: String,
    /// Time after which a retry can succeed.
    pub retry_after_ms: Option<u64>,
    /// Load of the endpoint.
    pub load: Load,
}

/// Exact load of an endpoint, as its daemon knows it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Reservations that were not started yet.
    pub reserved: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_prompt_tokens: u64,
}

/// Starts reserved work.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Start {
    /// The request.
    pub request_id: RequestId,
    /// Attempt of the request.
    pub attempt: u32,
    /// The reservation from [`Reserved`].
    pub reservation: ReservationId,
    /// The work.
    pub work: Work,
}

/// Requests the frames of a started attempt again, on a new connection. A reserved attempt that was not started yet
/// is closed and can't be started later, so that the answer is final.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Resume {
    /// The request.
    pub request_id: RequestId,
    /// Attempt of the request.
    pub attempt: u32,
    /// First frame to send, counted from 0 without heartbeats.
    pub from_frame: u64,
}

/// Work of one request at one endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Prefill: process a prompt and export its KV cache.
    Prefill {
        /// The prompt.
        prompt: String,
    },
    /// Decode: generate an answer from an exported KV cache.
    Decode {
        /// The prompt, for engines that no longer have the cache.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_output_tokens: Tokens,
        /// Location of the KV cache.
        kv: KvSource,
        /// Offset of the first token to send; earlier ones were already delivered.
        from_offset: u64,
    },
    /// Call a plain service.
    Plain(PlainCall),
}

/// Location from which an exported KV cache can be fetched.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KvSource {
    /// Instance of the prefill daemon.
    pub instance: InstanceId,
    /// Its address for other processes of the system.
    pub address: std::net::SocketAddr,
    /// Tokens in the cache.
    pub tokens: Tokens,
}

/// One call of a plain service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlainCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header fields that are forwarded.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "super::base64_bytes")]
    pub body: Vec<u8>,
    /// Idempotency key; absent on idempotent routes.
    pub idempotency_key: Option<String>,
}

/// One line of a started request's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// Nothing new; it only shows that the connection is alive.
    Heartbeat,
    /// Prefill has ended and the KV cache is exported.
    Prefilled {
        /// Tokens in the cache.
        tokens: Tokens,
    },
    /// One token of the answer.
    Token {
        /// Position of the token, counted from 0.
        offset: u64,
        /// The token's text.
        text: String,
    },
    /// The complete answer of a plain service.
    Answer {
        /// HTTP status.
        status: u16,
        /// Header fields.
        headers: Vec<(String, String)>,
        /// Body.
        #[serde(with = "super::base64_bytes")]
        body: Vec<u8>,
    },
    /// The answer is complete.
    End {
        /// Tokens of the answer.
        output_tokens: Tokens,
    },
    /// The work ended without a complete answer.
    Failed(Failed),
}

/// Why started work has no complete answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Failed {
    /// Kind of the problem that the caller gets.
    pub kind: ProblemKind,
    /// What is known of the effect.
    pub outcome: crate::Outcome,
    /// Cause and remedy.
    pub detail: String,
}

/// Cancels an attempt: releases its reservation, cancels its running work at the endpoint, and refuses a later
/// [`Start`] of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Cancel {
    /// The request.
    pub request_id: RequestId,
    /// Attempt of the request.
    pub attempt: u32,
}

/// State of the attempt when the endpoint daemon received the [`Cancel`].
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CancelReply {
    /// The attempt never started at this daemon and never will.
    NotRun,
    /// It was running and has been stopped.
    Stopped,
    /// It had already ended.
    Ended,
    /// The daemon has no record of it; it may have run before the daemon was restarted.
    Unknown,
}

/// Renews the leases of requests that one entry has at one endpoint daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Renew {
    /// The entry.
    pub entry: InstanceId,
    /// Its requests at the daemon.
    pub requests: Vec<RequestId>,
}

/// Answer to [`Renew`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RenewReply {
    /// Requests that no longer run at the daemon.
    pub unknown: Vec<RequestId>,
    /// Load of the endpoint.
    pub load: Load,
    /// Whether the daemon is draining and accepts no new work.
    pub leaving: bool,
}
