//! Refusals as RFC 9457 problem documents that state what is known of the request's effect.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{RequestId, milliseconds};

/// What is known of a request's effect when it is not answered normally.
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
pub enum Outcome {
    /// The request certainly did not run and will not.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// The request ran; its answer could not be delivered completely.
    Ran,
    /// The request ran partially and was stopped.
    Incomplete,
}

/// Kind of a problem, which decides its status and title.
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
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// The request body did not arrive in time.
    BodyTimeout,
    /// The request body exceeds the maximum size.
    BodyTooLarge,
    /// The cost of the request is over the team's burst, so that it can never run.
    CostOverBurst,
    /// The deadline passed before the request could run or end.
    DeadlinePassed,
    /// The endpoint failed while it ran the request.
    EndpointFailed,
    /// A non-idempotent route was called without an `Idempotency-Key`.
    IdempotencyKeyMissing,
    /// The `Idempotency-Key` was used before with another body.
    IdempotencyKeyReused,
    /// The key is unknown or withdrawn.
    KeyUnknown,
    /// The key was withdrawn while the request ran.
    KeyWithdrawn,
    /// No endpoint can meet the request's targets now.
    Overloaded,
    /// The request crashed endpoints and is quarantined.
    Quarantined,
    /// The team's rate and burst are used up.
    RateExceeded,
    /// No route matches, or the contract does not allow it.
    RouteUnknown,
    /// The instance is shutting down.
    ShuttingDown,
    /// No endpoint of the service answers.
    Unavailable,
    /// It is unknown whether the request ran.
    Unknown,
}

impl ProblemKind {
    /// Returns the HTTP status of the kind.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::IdempotencyKeyMissing => 400,
            Self::KeyUnknown | Self::KeyWithdrawn => 401,
            Self::RouteUnknown => 404,
            Self::BodyTimeout => 408,
            Self::BodyTooLarge | Self::CostOverBurst => 413,
            Self::IdempotencyKeyReused | Self::Quarantined => 422,
            Self::RateExceeded => 429,
            Self::EndpointFailed | Self::Unknown => 502,
            Self::Overloaded | Self::ShuttingDown | Self::Unavailable => 503,
            Self::DeadlinePassed => 504,
        }
    }

    /// Returns the title, which is the same for all problems of the kind.
    #[must_use]
    pub const fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "the request can't be understood",
            Self::BodyTimeout => "the request body came too slowly",
            Self::BodyTooLarge => "the request body is too large",
            Self::CostOverBurst => "the request costs more than the team's burst",
            Self::DeadlinePassed => "the deadline has passed",
            Self::EndpointFailed => "the endpoint failed",
            Self::IdempotencyKeyMissing => "an Idempotency-Key is needed",
            Self::IdempotencyKeyReused => "the Idempotency-Key was used with another body",
            Self::KeyUnknown => "the key is unknown or withdrawn",
            Self::KeyWithdrawn => "the key was withdrawn",
            Self::Overloaded => "no endpoint can answer in time",
            Self::Quarantined => "the request is quarantined",
            Self::RateExceeded => "the team's rate is used up",
            Self::RouteUnknown => "no such route",
            Self::ShuttingDown => "the instance is shutting down",
            Self::Unavailable => "no endpoint is available",
            Self::Unknown => "it is unknown whether the request ran",
        }
    }
}

/// A refusal or failure as it is sent to the caller (`application/problem+json`).
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Problem {
    /// URI reference of the kind.
    #[serde(rename = "type")]
    pub kind: ProblemKind,
    /// Title of the kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Cause and remedy in one sentence.
    pub detail: String,
    /// What is known of the request's effect.
    pub outcome: Outcome,
    /// Time after which a retry can succeed, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request's id, which all of its log lines contain too.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
}

impl Problem {
    /// Makes a problem of a kind and outcome; `detail` states the remedy.
    #[must_use]
    pub fn new(kind: ProblemKind, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self {
            kind,
            title: kind.title().into(),
            status: kind.status(),
            detail: detail.into(),
            outcome,
            retry_after_ms: None,
            request_id: None,
        }
    }

    /// Makes a problem of a request that certainly did not run.
    #[must_use]
    pub fn not_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self::new(kind, Outcome::NotRun, detail)
    }

    /// Adds the time after which a retry can succeed.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(milliseconds(wait));
        self
    }

    /// Adds the request's id.
    #[must_use]
    pub fn with_request_id(mut self, request_id: RequestId) -> Self {
        self.request_id = Some(request_id);
        self
    }
}
