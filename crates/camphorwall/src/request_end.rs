//! How a request ended, as logs, metrics and refusals name it.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// How a request ended at an entry that reaches endpoints itself.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RequestEnd {
    /// The whole answer was delivered.
    Answered,
    /// The entry holds as many bytes of bodies as it may.
    BodiesFillMemory,
    /// The body was larger than allowed, or did not come whole.
    BodyTooLargeOrBroken,
    /// The endpoint broke its answer off, which must not go on elsewhere or could not.
    BrokeOff,
    /// The caller closed its connection.
    CallerLeft,
    /// The request crashed several endpoints.
    CrashesEndpoints,
    /// The endpoint answered that it failed.
    EndpointFailed,
    /// All endpoints that were asked refused the request.
    EndpointsFull,
    /// The head was larger than allowed.
    HeadTooLarge,
    /// The configuration was not proved to be the newest in time.
    KeysNotProved,
    /// No endpoint has memory for the prompt.
    LargerThanAnyEndpoint,
    /// The entry knows no configuration yet.
    NoConfiguration,
    /// No endpoint of the service is registered, or each was tried.
    NoEndpoint,
    /// No decode endpoint had room before the target.
    NoPlaceInTime,
    /// No prefill endpoint read the prompt.
    NoPrefill,
    /// No route matches host and path.
    NoRoute,
    /// An endpoint may have run the request and gave no whole answer.
    NoWholeAnswer,
    /// The team is beyond its rate and burst.
    OverQuota,
    /// The stream could not go on elsewhere.
    ResumeFailed,
    /// The fleet's budget for repeats is used up.
    RetryBudget,
    /// The route names no service.
    RouteWithoutService,
    /// The process is stopping.
    Stopping,
    /// The route's or the caller's time was over.
    TimedOut,
    /// The head gives two lengths for one body.
    TwoLengths,
    /// No team holds the key.
    UnknownKey,
}

impl RequestEnd {
    /// The word that logs, metrics and refusals use.
    #[must_use]
    pub fn label(self) -> &'static str {
        self.into()
    }

    /// What it means and what to look at next.
    #[must_use]
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Answered => {
                "the whole answer was delivered; compare first_ms and the waits for a late one"
            }
            Self::BodiesFillMemory => {
                "bodies of other requests fill a quarter of the memory; look at active requests"
            }
            Self::BodyTooLargeOrBroken => {
                "the body is larger than the published limit, or the caller broke it off"
            }
            Self::BrokeOff => {
                "the endpoint closed the stream midway; stream_broke tells where and why, endpoint_crashed whether it died"
            }
            Self::CallerLeft => {
                "the caller closed its connection; the waits tell what it was waiting for"
            }
            Self::CrashesEndpoints => {
                "endpoints crashed three times while they ran it; endpoint_crashed names them"
            }
            Self::EndpointFailed => {
                "the endpoint answered with its own failure, which was passed on"
            }
            Self::EndpointsFull => {
                "each endpoint that was asked said that it is full; it has not run"
            }
            Self::HeadTooLarge => "the head is larger than the published limit",
            Self::KeysNotProved => {
                "the store proved nothing for longer than a withdrawn key may be served; look for store_lost"
            }
            Self::LargerThanAnyEndpoint => "the prompt exceeds the memory of one engine",
            Self::NoConfiguration => {
                "the process has just started or never reached the store; look for store_lost"
            }
            Self::NoEndpoint => {
                "no endpoint is registered or left to try; look at endpoint_changed"
            }
            Self::NoPlaceInTime => {
                "all decode engines were forecast to be full until the target; place_wait_ms tells for how long"
            }
            Self::NoPrefill => {
                "prefill endpoints refused or failed; look at prefill_refused and prefill_failed"
            }
            Self::NoRoute => {
                "the configuration in force has no such route; configuration tells its version"
            }
            Self::NoWholeAnswer => {
                "an attempt may have run and brought no whole answer; attempt_failed or answer_not_usable tells why"
            }
            Self::OverQuota => {
                "the team used its rate and burst; over_quota tells its level and contract"
            }
            Self::ResumeFailed => "another endpoint did not take the stream over",
            Self::RetryBudget => "the fleet sends as many repeats as it may; it has not run",
            Self::RouteWithoutService => "the published route names no service",
            Self::Stopping => "the instance is leaving; the caller is to come back at another one",
            Self::TimedOut => {
                "the route's timeout or the caller's deadline passed; the waits tell where the time went"
            }
            Self::TwoLengths => {
                "the head gives both a length and chunks; it could smuggle a second request"
            }
            Self::UnknownKey => {
                "the configuration in force has no such key; configuration tells its version"
            }
        }
    }
}
