//! KV caches in the engine's memory: expiry, export and import.

use std::{io, time::Instant};

use bytes::Bytes;
use camphorwall::{BoxedBody, empty_body, json_response, stream_body};
use hyper::Response;
use serde_json::json;

use super::Engine;

/// Size of the chunks in which a cache is exported.
const EXPORT_CHUNK_BYTES: usize = 64 * 1024;

/// The KV cache of a prompt.
pub(super) struct KvCache {
    pub(super) prompt: String,
    pub(super) tokens: u64,
    pub(super) expires_at: Option<Instant>,
}

impl Engine {
    pub(super) fn drop_expired_kv(&self) {
        let now = Instant::now();
        let mut kv = self.0.kv.borrow_mut();
        let before = kv.len();
        kv.retain(|_, cache| cache.expires_at.is_none_or(|expires_at| expires_at > now));
        let expired = before - kv.len();
        self.count(|counts| counts.kv_expired += expired as u64);
    }

    pub(super) fn export_kv(&self, request_id: &str) -> Response<BoxedBody> {
        self.drop_expired_kv();
        let Some(cache) = self.0.kv.borrow_mut().remove(request_id) else {
            return json_response(404, &json!({"error": "no such cache"}));
        };
        let size_bytes =
            self.0.options.kv_bytes_per_token * usize::try_from(cache.tokens).unwrap_or(0);
        let mut bytes = cache.prompt.clone().into_bytes();
        bytes.push(0);
        bytes.extend(self.weights().into_bytes());
        bytes.push(0);
        bytes.resize(bytes.len().max(size_bytes), 0);
        let export = Export {
            engine: self.clone(),
            request_id: request_id.into(),
            cache: Some(cache),
            remaining: bytes.into(),
        };
        Response::new(stream_body(export_stream(export)))
    }

    pub(super) fn import_kv(&self, request_id: &str, body: &Bytes) -> Response<BoxedBody> {
        let mut parts = body.split(|byte| *byte == 0);
        let mut next_text =
            || String::from_utf8_lossy(parts.next().unwrap_or_default()).into_owned();
        let (prompt, weights) = (next_text(), next_text());
        if weights != self.weights() {
            self.count(|counts| counts.kv_misfits += 1);
            return json_response(422, &json!({"error": "the cache belongs to other weights"}));
        }
        let tokens = prompt.split_whitespace().count() as u64;
        self.0.kv.borrow_mut().insert(
            request_id.into(),
            KvCache {
                prompt,
                tokens,
                expires_at: None,
            },
        );
        Response::new(empty_body())
    }
}

/// An export in progress. If it is dropped before its end, the cache returns to the engine and expires at its time.
struct Export {
    engine: Engine,
    request_id: String,
    cache: Option<KvCache>,
    remaining: Bytes,
}

impl Drop for Export {
    fn drop(&mut self) {
        let unfinished = self.cache.take().filter(|_| !self.remaining.is_empty());
        if let Some(cache) = unfinished {
            let mut kv = self.engine.0.kv.borrow_mut();
            kv.insert(self.request_id.clone(), cache);
        }
    }
}

fn export_stream(export: Export) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    futures_util::stream::unfold(export, |mut export| async move {
        let length = export.remaining.len().min(EXPORT_CHUNK_BYTES);
        let chunk = export.remaining.split_to(length);
        (length > 0).then_some((Ok(chunk), export))
    })
}
