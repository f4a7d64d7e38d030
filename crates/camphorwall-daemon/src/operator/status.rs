//! Status and readiness of an instance.

use std::time::Duration;

use camphorwall::{BoxedBody, Load, Settings, Status, json_response, milliseconds};
use hyper::Response;

use crate::published::PublishedStore;

/// An instance that has read from the configuration service within this time is reported as one of its readers.
const READER_WINDOW: Duration = Duration::from_secs(15);

/// Builds the status of an instance, without its deployment.
pub(crate) fn status(
    settings: &Settings,
    ready: bool,
    lease_left: Duration,
    requests: u64,
    load: Option<Load>,
    published: &PublishedStore,
) -> Status {
    Status {
        instance: settings.instance.clone(),
        role: settings.role,
        data_centre: settings.data_centre.clone(),
        ready,
        lease_left_ms: milliseconds(lease_left),
        requests,
        load,
        revisions: published.revisions(),
        refused_documents: published.refused(),
        reads_configuration: published
            .read_at()
            .is_some_and(|at| at.elapsed() < READER_WINDOW),
        configuration_confirmed_ago_ms: published
            .confirmed_at()
            .and_then(|at| u64::try_from(at.elapsed().as_millis()).ok()),
        deployment: None,
    }
}

/// Path of the readiness probe.
pub(crate) const READY_PATH: &str = "/ready";

/// Returns 200 if the instance accepts new work, else 503.
pub(crate) fn ready_response(is_ready: bool) -> Response<BoxedBody> {
    let status = if is_ready { 200 } else { 503 };
    json_response(status, &serde_json::json!({"ready": is_ready}))
}
