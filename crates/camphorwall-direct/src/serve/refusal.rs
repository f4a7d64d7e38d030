//! Responses that the entry itself generates for requests that were refused or failed.

use std::time::Duration;

use camphorwall::{BoxedBody, RequestEnd, full_body};
use http::{HeaderValue, StatusCode, header};
use hyper::Response;

/// A response that the entry itself generates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// Reason that the log line and the response's body state.
    pub(crate) reason: RequestEnd,
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// The request has not run and won't; the caller can retry after some time.
    pub(crate) fn not_run(reason: RequestEnd, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// The team has used up the rate of its contract.
    pub(crate) fn over_quota(retry_after: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: RequestEnd::OverQuota,
            retry_after: Some(retry_after),
        }
    }

    /// The request itself is invalid.
    pub(crate) fn caller_error(status: StatusCode, reason: RequestEnd) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// The request may have run, and there is no answer to deliver.
    pub(crate) fn may_have_run(reason: RequestEnd) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            reason,
            retry_after: None,
        }
    }

    /// The request may have run, and its deadline has passed.
    pub(crate) fn timed_out() -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: RequestEnd::TimedOut,
            retry_after: None,
        }
    }

    pub(crate) fn response(&self) -> Response<BoxedBody> {
        let mut response = Response::new(full_body(self.reason.label()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
