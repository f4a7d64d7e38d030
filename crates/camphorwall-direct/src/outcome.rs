//! What became of one attempt at an endpoint.

use std::rc::Rc;

use bytes::Bytes;
use http::{Request, StatusCode, header};

use crate::{
    clock::Moment,
    configuration::Endpoint,
    entry::Entry,
    request::Admitted,
    upstream::{self, Answer, SendError},
};

/// What became of one attempt.
pub(crate) enum Outcome {
    /// The endpoint's own answer, with its body to come.
    Answered(Answer),
    /// It certainly has not run and won't.
    NotRun,
    /// The request never reached the endpoint.
    NotSent,
    /// It may have run, and there is no answer to deliver.
    Lost,
}

/// Sends a request to an endpoint and judges the head of the answer.
pub(crate) async fn attempt(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    endpoint: &Endpoint,
    request: Request<Bytes>,
) -> Outcome {
    let sent = upstream::send(endpoint.address, request).await;
    let now = Moment::now();
    let answer = match sent {
        Ok(answer) => answer,
        Err(error) => {
            tracing::info!(
                event = "attempt_failed",
                request_id = admitted.id(),
                endpoint = %endpoint.id,
                %error,
            );
            let mut suspicions = entry.suspicions.borrow_mut();
            if matches!(error, SendError::NotSent { .. }) {
                suspicions.note_unreachable(&endpoint.id, now);
                return Outcome::NotSent;
            }
            suspicions.note_failure(&endpoint.id, now);
            entry.check_for_crash(endpoint, admitted.fingerprint);
            return Outcome::Lost;
        }
    };
    let facts = (entry.dialect.answer_facts)(&answer.parts);
    let is_own = match (&facts.request_id, &admitted.facts.request_id) {
        (Some(told), Some(own)) => told == own,
        _ => true,
    };
    if facts.has_not_run && is_own {
        if answer.parts.status == StatusCode::MISDIRECTED_REQUEST {
            entry
                .suspicions
                .borrow_mut()
                .note_failure(&endpoint.id, now);
        }
        tracing::debug!(event = "endpoint_refused", request_id = admitted.id(), endpoint = %endpoint.id);
        return Outcome::NotRun;
    }
    let is_success = answer.parts.status.is_success();
    let is_encoded = answer.parts.headers.contains_key(header::CONTENT_ENCODING);
    if !is_own || is_encoded || (is_success && !facts.is_signed) {
        tracing::info!(
            event = "answer_not_usable",
            request_id = admitted.id(),
            endpoint = %endpoint.id,
            is_own,
            is_signed = facts.is_signed,
        );
        entry
            .suspicions
            .borrow_mut()
            .note_failure(&endpoint.id, now);
        return Outcome::Lost;
    }
    if answer.parts.status.is_server_error() {
        entry
            .suspicions
            .borrow_mut()
            .note_failure(&endpoint.id, now);
    }
    Outcome::Answered(answer)
}
