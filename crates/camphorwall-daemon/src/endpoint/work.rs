//! Runs started work at the endpoint and reports it in frames.

use std::time::Duration;

use camphorwall::{Frame, RequestId, RpcClient, Start, Stop, Tokens, Work};
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::{Either, select},
};
use snafu::Snafu;

use super::{
    cache::EngineCache,
    engine::{EngineClient, EngineError, EngineLine},
    frame_buffer::FrameBuffer,
    plain::call_service,
    slot_queue::{OccupiedSlot, SlotQueue},
    transfer::{KvReceiver, TransferError},
};

/// An engine's stream without a token for this long is resumed on a new connection.
const ENGINE_SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Maximum duration of a KV cache transfer, including its second try.
const TRANSFER_LIMIT: Duration = Duration::from_secs(2);

/// Reason why work brought no complete answer.
#[derive(Debug, Snafu)]
pub(super) enum WorkError {
    /// The engine failed.
    #[snafu(transparent)]
    Engine { source: EngineError },
    /// The KV cache did not arrive.
    #[snafu(transparent)]
    Transfer { source: TransferError },
    /// The engine's answer broke off.
    #[snafu(display("the engine's answer broke off: {message}"))]
    BrokenOff { message: String },
    /// The KV cache did not arrive in time.
    #[snafu(display("the transfer of the KV cache stalled"))]
    TransferStalled,
    /// The work was cancelled, or its lease or deadline ended.
    #[snafu(display("stopped: cancelled, or its lease or deadline ended"))]
    Stopped,
}

/// Runs work on behalf of its daemon.
#[derive(Clone)]
pub(super) struct Worker {
    pub(super) slot_queue: SlotQueue,
    pub(super) endpoint_address: std::net::SocketAddr,
    pub(super) client: RpcClient,
    pub(super) engine: EngineClient,
    pub(super) receiver: KvReceiver,
    pub(super) cache: EngineCache,
}

impl Worker {
    /// Runs the work to its end or until it must stop. If it did not complete, the engine's memory is freed.
    pub(super) async fn run(
        &self,
        start: Start,
        frame_buffer: &FrameBuffer,
        stop: Stop,
    ) -> Result<(), WorkError> {
        let request_id = start.request_id;
        let is_plain = matches!(start.work, Work::Plain(_));
        // The slot is released after the engine has freed its memory.
        let mut slot = None;
        let result = {
            let work = self.run_work(start, frame_buffer, &mut slot).boxed_local();
            match select(work, stop.called().boxed_local()).await {
                Either::Left((result, _)) => result,
                // A call of a plain service that has started is not interrupted.
                Either::Right(((), work)) if is_plain => work.await,
                Either::Right(_) => Err(WorkError::Stopped),
            }
        };
        if let Err(error) = &result {
            tracing::info!(event = "work_failed", %request_id, %error);
            if !is_plain {
                self.free(&request_id.to_string()).await;
            }
        }
        result
    }

    async fn run_work(
        &self,
        start: Start,
        frame_buffer: &FrameBuffer,
        slot: &mut Option<OccupiedSlot>,
    ) -> Result<(), WorkError> {
        match start.work {
            Work::Prefill { prompt } => {
                let prefilled = self.engine.prefill(start.request_id, &prompt).await?;
                let tokens = prefilled.tokens();
                self.cache.note_names(&prompt, prefilled.pieces);
                frame_buffer.push(Frame::Prefilled { tokens }).await;
            }
            Work::Decode {
                max_output_tokens,
                kv,
                from_offset,
                ..
            } => {
                let fetching = self.receiver.fetch_kv(start.request_id, &kv);
                compio::time::timeout(TRANSFER_LIMIT, fetching.boxed_local())
                    .await
                    .map_err(|_| WorkError::TransferStalled)??;
                let slot = slot.insert(self.slot_queue.occupy(max_output_tokens.get()).await);
                self.decode(
                    start.request_id,
                    max_output_tokens,
                    from_offset,
                    frame_buffer,
                    slot,
                )
                .await?;
            }
            Work::Plain(call) => {
                let answer = call_service(self.endpoint_address, &self.client, call).await;
                frame_buffer.push(answer).await;
            }
        }
        Ok(())
    }

    /// Forwards the engine's tokens. A silent connection to the engine is replaced and its stream resumed.
    async fn decode(
        &self,
        request_id: RequestId,
        max_output_tokens: Tokens,
        from_offset: u64,
        frame_buffer: &FrameBuffer,
        slot: &OccupiedSlot,
    ) -> Result<(), WorkError> {
        let mut next_offset = from_offset;
        let mut engine = self.engine.clone();
        let mut lines = engine
            .decode(request_id, max_output_tokens, next_offset)
            .await?;
        loop {
            match compio::time::timeout(ENGINE_SILENCE_LIMIT, lines.next()).await {
                Ok(Some(Ok(EngineLine::Token { offset, text }))) if offset == next_offset => {
                    slot.note_token();
                    frame_buffer.push(Frame::Token { offset, text }).await;
                    next_offset += 1;
                }
                Ok(Some(Ok(EngineLine::Token { offset, .. }))) => {
                    let message = format!("token {offset} came in place of {next_offset}");
                    return Err(WorkError::BrokenOff { message });
                }
                Ok(Some(Ok(EngineLine::End { end }))) => {
                    let output_tokens = Tokens(end.output_tokens);
                    frame_buffer.push(Frame::End { output_tokens }).await;
                    return Ok(());
                }
                Ok(Some(Err(error))) => {
                    let message = error.to_string();
                    return Err(WorkError::BrokenOff { message });
                }
                Ok(None) => {
                    let message = "no end came".into();
                    return Err(WorkError::BrokenOff { message });
                }
                Err(_) => {
                    tracing::info!(event = "engine_stream_resumed", %request_id, next_offset);
                    engine = engine.reconnected();
                    lines = engine
                        .decode(request_id, max_output_tokens, next_offset)
                        .await?;
                }
            }
        }
    }

    /// Frees the memory that the engine holds for a request.
    pub(super) async fn free(&self, request_id: &str) {
        let mut freed = self.engine.cancel(request_id).await;
        if freed.is_err() {
            freed = self.engine.reconnected().cancel(request_id).await;
        }
        if let Err(error) = freed {
            tracing::warn!(event = "engine_cancel_failed", request_id, %error);
        }
    }
}
