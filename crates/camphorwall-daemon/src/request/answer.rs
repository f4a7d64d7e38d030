//! Writes a model's answer in the format that the caller requested: server-sent events or one JSON object.

use std::time::{Duration, Instant};

use bytes::Bytes;
use camphorwall::{BoxedBody, Problem, RouteKind, full_body, json_response, stream_body};
use hyper::Response;
use serde_json::{Value, json};

use super::{model::ModelAnswer, timing::AnswerTiming};

/// Content type of a problem.
const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// Last event of a complete stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

fn choice(kind: RouteKind, text: &str, finish_reason: Option<&str>, is_stream: bool) -> Value {
    match kind {
        RouteKind::Chat if is_stream => json!({
            "index": 0, "delta": {"role": "assistant", "content": text}, "finish_reason": finish_reason,
        }),
        RouteKind::Chat => json!({
            "index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": finish_reason,
        }),
        RouteKind::Completions | RouteKind::Plain => {
            json!({"index": 0, "text": text, "finish_reason": finish_reason})
        }
    }
}

const fn object(kind: RouteKind, is_stream: bool) -> &'static str {
    match kind {
        RouteKind::Chat if is_stream => "chat.completion.chunk",
        RouteKind::Chat => "chat.completion",
        RouteKind::Completions | RouteKind::Plain => "text_completion",
    }
}

fn chunk(kind: RouteKind, answer: &ModelAnswer, text: &str, finish_reason: Option<&str>) -> String {
    let value = json!({
        "id": answer.request_id,
        "object": object(kind, true),
        "choices": [choice(kind, text, finish_reason, true)],
    });
    format!("data: {value}\n\n")
}

/// Next token of an answer; `None` after the last.
type Token = Result<Option<String>, Problem>;

/// Answers with a stream of server-sent events; the first token was already read.
pub(crate) fn stream_answer(
    kind: RouteKind,
    answer: ModelAnswer,
    first: Option<String>,
    timing: AnswerTiming,
) -> Response<BoxedBody> {
    enum State {
        First(ModelAnswer, AnswerTiming, Option<String>),
        Rest(ModelAnswer, AnswerTiming),
        Done,
    }
    let request_id = answer.request_id;
    let event = move |answer: ModelAnswer, mut timing: AnswerTiming, token: Token| match token {
        Ok(Some(text)) => {
            timing.note_token(Instant::now());
            (
                chunk(kind, &answer, &text, None),
                State::Rest(answer, timing),
            )
        }
        Ok(None) => {
            timing.note_end(Instant::now());
            (
                format!("{}{DONE_EVENT}", chunk(kind, &answer, "", Some("stop"))),
                State::Done,
            )
        }
        Err(problem) => (
            error_event(&problem.with_request_id(request_id)),
            State::Done,
        ),
    };
    let first = State::First(answer, timing, first);
    let stream = futures_util::stream::unfold(first, move |state| async move {
        let (text, state) = match state {
            State::First(answer, timing, first) => event(answer, timing, Ok(first)),
            State::Rest(mut answer, timing) => {
                let token = answer.next_token().await;
                event(answer, timing, token)
            }
            State::Done => return None,
        };
        Some((Ok(Bytes::from(text)), state))
    });
    let mut response = Response::new(stream_body(stream));
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(
        http::header::CACHE_CONTROL,
        http::HeaderValue::from_static("no-store"),
    );
    response
}

fn error_event(problem: &Problem) -> String {
    let text = serde_json::to_string(problem).unwrap_or_default();
    format!("event: error\ndata: {text}\n\n")
}

/// Answers with one JSON object once all tokens have been read.
pub(crate) async fn complete_answer(
    kind: RouteKind,
    mut answer: ModelAnswer,
    first: Option<String>,
    mut timing: AnswerTiming,
) -> Result<Response<BoxedBody>, Problem> {
    let mut text = String::new();
    let mut token = first;
    while let Some(more) = token {
        text.push_str(&more);
        timing.note_token(Instant::now());
        token = answer.next_token().await?;
    }
    timing.note_end(Instant::now());
    let (prompt_tokens, output_tokens) = answer.usage();
    let value = json!({
        "id": answer.request_id,
        "object": object(kind, false),
        "choices": [choice(kind, &text, Some("stop"), false)],
        "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": output_tokens},
    });
    Ok(json_response(200, &value))
}

/// Writes a problem as a response, with a `Retry-After` header where the problem has such a time.
pub(crate) fn problem_response(problem: &Problem) -> Response<BoxedBody> {
    let text = serde_json::to_vec(problem).unwrap_or_default();
    let mut response: Response<BoxedBody> = Response::new(full_body(text));
    *response.status_mut() = http::StatusCode::from_u16(problem.status)
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static(PROBLEM_CONTENT_TYPE),
    );
    if let Some(retry_after_ms) = problem.retry_after_ms {
        let seconds = Duration::from_millis(retry_after_ms).as_secs_f64().ceil();
        if let Ok(value) = http::HeaderValue::try_from(format!("{seconds}")) {
            headers.insert(http::header::RETRY_AFTER, value);
        }
    }
    response
}
