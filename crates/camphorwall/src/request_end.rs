//! Ways in which a request ends, with the labels that logs, metrics and refusals use.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Way in which a request ended at an entry that calls endpoints directly.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RequestEnd {
    /// The endpoint's complete answer was delivered.
    Answered,
    /// The bodies of active requests fill the part of the memory that the entry allows for bodies.
    BodiesFillMemory,
    /// The caller sent the body too slowly.
    BodyStalled,
    /// The body was larger than allowed or incomplete.
    BodyTooLargeOrBroken,
    /// The endpoint closed its answer before the end, and no other endpoint could or may continue it.
    BrokeOff,
    /// The caller closed its connection.
    CallerLeft,
    /// A newer configuration is known that is not in force here yet.
    ConfigurationOutdated,
    /// A part of the configuration that the request may need could not be read.
    ConfigurationPartUnreadable,
    /// The request, or others with the same part in their prompts, crashed several endpoints.
    CrashesEndpoints,
    /// The endpoint answered with a failure.
    EndpointFailed,
    /// All endpoints of the service are in evacuated data centres.
    EndpointsEvacuated,
    /// Endpoints are cold, and this entry may send them nothing more at present.
    EndpointsCold,
    /// All endpoints that were tried refused the request.
    EndpointsFull,
    /// All endpoints asked for no requests, for longer than the caller waits.
    EndpointsHoldOff,
    /// The head was larger than allowed.
    HeadTooLarge,
    /// The configuration was not proved to be current in time.
    KeysNotProved,
    /// The prompt is larger than the KV cache of any endpoint.
    LargerThanAnyEndpoint,
    /// No endpoint of the service is in a region in which the request may be served.
    NoAllowedRegion,
    /// The entry has no configuration yet.
    NoConfiguration,
    /// No endpoint of the service is registered, or all of them were tried.
    NoEndpoint,
    /// No decode endpoint had free capacity in time for the target.
    NoPlaceInTime,
    /// No prefill endpoint processed the prompt.
    NoPrefill,
    /// No route matches the host and path.
    NoRoute,
    /// An endpoint may have run the request and returned no complete answer.
    NoWholeAnswer,
    /// The team has exceeded its rate and burst.
    OverQuota,
    /// No other endpoint could continue the stream.
    ResumeFailed,
    /// The fleet's budget for retries is used up.
    RetryBudget,
    /// The route has no service.
    RouteWithoutService,
    /// The process is stopping.
    Stopping,
    /// The route's timeout or the caller's deadline passed.
    TimedOut,
    /// The head states two lengths for one body.
    TwoLengths,
    /// No team has the key.
    UnknownKey,
}

impl RequestEnd {
    /// Returns the label that logs, metrics and refusals use.
    #[must_use]
    pub fn label(self) -> &'static str {
        self.into()
    }

    /// Explains the end and states what to check next, for operators.
    #[must_use]
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Answered => {
                "the complete answer was delivered; if it was late, compare first_ms and the wait times"
            }
            Self::BodiesFillMemory => {
                "connections, bodies and answers fill the half of the memory that is lent to them; check memory_held_bytes and the number of active requests"
            }
            Self::BodyStalled => {
                "the caller stopped sending the body, or sent it until after the request's deadline"
            }
            Self::BodyTooLargeOrBroken => {
                "the body is larger than the published limit, or the caller did not send it completely"
            }
            Self::BrokeOff => {
                "the endpoint closed the stream before its end; stream_broke states where and why, endpoint_crashed whether it crashed"
            }
            Self::CallerLeft => {
                "the caller closed its connection; the wait times show what it was waiting for"
            }
            Self::ConfigurationOutdated => {
                "a newer configuration is known or may exist that is not in force here yet, which may allow the request; look for configuration_not_read"
            }
            Self::ConfigurationPartUnreadable => {
                "a route, service or team of the configuration in force that the request may need can't be read; look for configuration_part_unreadable"
            }
            Self::CrashesEndpoints => {
                "endpoints crashed three times at the same point of the request, or three to five times on requests with the same prompt part; endpoint_crashed names them, prompt_parts_blocked the parts"
            }
            Self::EndpointFailed => "the endpoint answered with a failure, which was forwarded",
            Self::EndpointsEvacuated => {
                "all endpoints of the service are in evacuated data centres; evacuation_began names them, and Retry-After is how long the newest evacuation has lasted"
            }
            Self::EndpointsCold => {
                "endpoints of the service have just started and can sustain only few requests a second, of which this entry has no more at present, and no other endpoint had free capacity; endpoint_cold names them"
            }
            Self::EndpointsFull => {
                "each endpoint that was tried answered that it is full, or none would have had room in time for a call that waited at the entry; the request has not run"
            }
            Self::EndpointsHoldOff => {
                "all endpoints of the service asked for no requests for a time; endpoint_holds_off names them, and Retry-After is when the first is back"
            }
            Self::HeadTooLarge => "the head is larger than the published limit",
            Self::KeysNotProved => {
                "the configuration was not proved to be current for longer than a withdrawn key may be accepted; look for store_lost"
            }
            Self::LargerThanAnyEndpoint => "the prompt exceeds the memory of one engine",
            Self::NoAllowedRegion => {
                "no endpoint of the service is in a region that the route and the team allow; look for home_region_unknown and homes_disjoint, then at the allowed regions of both and where endpoints are registered"
            }
            Self::NoConfiguration => {
                "the process has just started or never reached the store, so it knows no configuration or no evacuations; look for store_lost and evacuations_not_read"
            }
            Self::NoEndpoint => {
                "no endpoint is registered, or all were tried; look at endpoint_changed"
            }
            Self::NoPlaceInTime => {
                "all decode engines were forecast to be full until the target; place_wait_ms states how long the request waited"
            }
            Self::NoPrefill => {
                "prefill endpoints refused or failed; look at prefill_refused and prefill_failed"
            }
            Self::NoRoute => {
                "the configuration in force has no such route; the field configuration states its version"
            }
            Self::NoWholeAnswer => {
                "an attempt may have run and returned no usable answer; attempt_failed, answer_broke, answer_not_usable or refusal_unconfirmed states why"
            }
            Self::OverQuota => {
                "the team used up its rate and burst; over_quota states its level and contract"
            }
            Self::ResumeFailed => "no other endpoint took over the stream",
            Self::RetryBudget => {
                "the fleet already sends as many retries as allowed; the request has not run"
            }
            Self::RouteWithoutService => "the published route has no service",
            Self::Stopping => {
                "the instance is shutting down; the caller should retry at another one"
            }
            Self::TimedOut => {
                "the route's timeout or the caller's deadline passed; the wait times show where the time was spent"
            }
            Self::TwoLengths => {
                "the head states both a length and chunked encoding, which could smuggle in a second request"
            }
            Self::UnknownKey => {
                "the configuration in force has no such key; the field configuration states its version"
            }
        }
    }
}
