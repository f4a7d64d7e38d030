//! Starts, resumes and cancels work, and sends exported KV caches.

use std::{rc::Rc, time::Instant};

use camphorwall::{
    BoxedBody, Cancel, CancelReply, Failed, Frame, LedgerStart, Outcome, PeerRequest, ProblemKind,
    ReplySigner, Resume, Start, Work, json_response, stream_body,
};
use hyper::Response;
use serde::de::DeserializeOwned;

use super::{
    attempts::StartedAttempt,
    crashes::AttemptEnd,
    daemon::EndpointDaemon,
    frame_buffer::FrameBuffer,
    frames::{frame_lines, single_frame},
    transfer::KvSender,
    work::WorkError,
};

/// Largest body of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Reads a message, or returns a signed refusal when it can't be read.
async fn read_message<T: DeserializeOwned>(
    request: PeerRequest,
) -> Result<(T, ReplySigner), Response<BoxedBody>> {
    let (body, signer) = request.into_parts();
    let refuse =
        |status, message: &str| signer.stream(json_response(status, &message), Instant::now());
    let Some(body) = body.collect(MAX_MESSAGE_BYTES).await else {
        let message = "the message is too large or not the one that was signed";
        return Err(refuse(413, message));
    };
    match serde_json::from_slice(&body) {
        Ok(message) => Ok((message, signer)),
        Err(error) => Err(refuse(400, &error.to_string())),
    }
}

impl EndpointDaemon {
    /// Starts a call that runs at most once and answers with its frames.
    pub(super) async fn start_in_ledger(
        self: &Rc<Self>,
        request: PeerRequest,
    ) -> Response<BoxedBody> {
        let (start, signer) = match read_message::<LedgerStart>(request).await {
            Ok(read) => read,
            Err(refusal) => return refusal,
        };
        let frame_buffer = FrameBuffer::default();
        let frames = Response::new(stream_body(frame_lines(frame_buffer.read_from(0))));
        let ledger = Rc::clone(&self.ledger);
        // The call runs to its end even when the entry disconnects.
        self.tasks.spawn(async move {
            frame_buffer.push(ledger.start(start).await).await;
            frame_buffer.close();
        });
        signer.stream(frames, Instant::now())
    }

    /// Starts reserved work and answers with its frames.
    pub(super) async fn start(self: &Rc<Self>, request: PeerRequest) -> Response<BoxedBody> {
        let (start, signer) = match read_message::<Start>(request).await {
            Ok(read) => read,
            Err(refusal) => return refusal,
        };
        let started = self.attempts.borrow_mut().begin(&start, Instant::now());
        let frames = match started {
            Ok(started) => {
                let reader = started.frame_buffer.read_from(0);
                self.spawn_work(start, started);
                stream_body(frame_lines(reader))
            }
            Err(failed) => stream_body(single_frame(&Frame::Failed(failed))),
        };
        signer.stream(Response::new(frames), Instant::now())
    }

    /// Answers with the frames of started work from a position on.
    pub(super) async fn resume(&self, request: PeerRequest) -> Response<BoxedBody> {
        let (resume, signer) = match read_message::<Resume>(request).await {
            Ok(read) => read,
            Err(refusal) => return refusal,
        };
        let frame_buffer = self.attempts.borrow_mut().resume(&resume, Instant::now());
        let request_id = resume.request_id;
        tracing::info!(event = "resumed", %request_id, from_frame = resume.from_frame, found = frame_buffer.is_ok());
        let frames = match frame_buffer {
            Ok(frame_buffer) => stream_body(frame_lines(frame_buffer.read_from(resume.from_frame))),
            Err(failed) => stream_body(single_frame(&Frame::Failed(failed))),
        };
        signer.stream(Response::new(frames), Instant::now())
    }

    pub(super) async fn cancel(&self, cancel: &Cancel) -> CancelReply {
        let reply = self.attempts.borrow_mut().cancel(cancel, Instant::now());
        // An exported KV cache outlives the attempt that made it.
        if self.attempts.borrow().holds_export(cancel) {
            self.worker.free(&cancel.request_id.to_string()).await;
            self.attempts
                .borrow_mut()
                .note_export_released(cancel.request_id);
        }
        reply
    }

    pub(super) async fn send_kv(&self, path: &str) -> Response<BoxedBody> {
        let Some((request_id, to)) = KvSender::parse(path) else {
            return json_response(400, &"use a request id and the receiver's data centre");
        };
        let rate = self.sender.rate(&self.published.get(), &to);
        let response = self.sender.send_kv(request_id, to, rate).await;
        if response.status().is_success() {
            self.attempts.borrow_mut().note_export_released(request_id);
        }
        response
    }

    fn spawn_work(self: &Rc<Self>, start: Start, started: StartedAttempt) {
        let daemon = Rc::clone(self);
        let key = (start.request_id, start.attempt);
        let is_prefill = matches!(start.work, Work::Prefill { .. });
        self.crashes.note_started(key, &started.frame_buffer);
        self.tasks.spawn(async move {
            let StartedAttempt { stop, frame_buffer } = started;
            let result = daemon.worker.run(start, &frame_buffer, stop).await;
            let holds_export = is_prefill && result.is_ok();
            let end = match &result {
                Ok(()) => AttemptEnd::Completed,
                Err(WorkError::Stopped) => AttemptEnd::Stopped,
                Err(_) => AttemptEnd::Failed,
            };
            daemon
                .crashes
                .note_ended(key, end, &daemon.quarantine)
                .await;
            daemon
                .attempts
                .borrow_mut()
                .end(key, holds_export, Instant::now());
            if let Err(error) = result {
                let failed = Failed {
                    kind: ProblemKind::EndpointFailed,
                    outcome: Outcome::Incomplete,
                    detail: error.to_string(),
                };
                frame_buffer.push_last(Frame::Failed(failed));
            }
            frame_buffer.close();
        });
    }
}
