//! Whether the engine answers; slots are reserved only while it does.

use std::cell::Cell;

/// Result of the last check of the engine.
#[derive(Default)]
pub(super) struct EngineHealth {
    is_answering: Cell<bool>,
}

impl EngineHealth {
    /// Whether the engine answered the last check; `false` until its first answer.
    pub(super) const fn is_answering(&self) -> bool {
        self.is_answering.get()
    }

    /// Records that the engine has answered.
    pub(super) fn note_answer(&self) {
        if !self.is_answering.replace(true) {
            tracing::info!(event = "engine_answers");
        }
    }

    /// Records that the engine did not answer, even over a new connection.
    pub(super) fn note_silence(&self) {
        if self.is_answering.replace(false) {
            tracing::warn!(event = "engine_does_not_answer");
        }
    }
}
