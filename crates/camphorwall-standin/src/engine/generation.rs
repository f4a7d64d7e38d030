//! Generations of an engine. A generation continues when its stream breaks, until it ends or is cancelled.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use camphorwall::{BoxedBody, json_response, stream_body};
use hyper::Response;
use serde::Deserialize;
use serde_json::json;

use super::Engine;

/// One generation. It occupies the engine's memory until it ends or is cancelled.
pub(super) struct Generation {
    words: Vec<String>,
    written_tokens: Cell<u64>,
    pub(super) is_cancelled: Cell<bool>,
    waiters: RefCell<Vec<futures_channel::oneshot::Sender<()>>>,
}

impl Generation {
    pub(super) fn notify_streams(&self) {
        for waiter in self.waiters.take() {
            // The stream may have been dropped.
            let _ = waiter.send(());
        }
    }

    async fn wait_for_change(&self) {
        let (sender, receiver) = futures_channel::oneshot::channel();
        self.waiters.borrow_mut().push(sender);
        // An error means that the sender was dropped with the generation, which is a change too.
        let _ = receiver.await;
    }
}

#[derive(Deserialize)]
struct DecodeBody {
    request_id: String,
    max_output_tokens: u64,
    #[serde(default)]
    from_offset: u64,
}

/// Words of the answer to a prompt: the prompt's words, repeated up to the output length.
pub(super) fn answer_words(prompt: &str, max_output_tokens: u64) -> Vec<String> {
    let words: Vec<_> = prompt.split_whitespace().collect();
    let count = usize::try_from(max_output_tokens).unwrap_or(usize::MAX);
    match words.len() {
        0 => Vec::new(),
        length => (0..count)
            .map(|position| format!("{} ", words[position % length]))
            .collect(),
    }
}

impl Engine {
    pub(super) fn decode(&self, body: &Bytes) -> Response<BoxedBody> {
        let Ok(body) = serde_json::from_slice::<DecodeBody>(body) else {
            return json_response(
                400,
                &json!({"error": "use request_id, max_output_tokens and from_offset"}),
            );
        };
        let running = self.0.generations.borrow().get(&body.request_id).cloned();
        let generation = match running {
            Some(generation) => generation,
            None if self.0.generations.borrow().len() >= self.0.options.slots => {
                return json_response(429, &json!({"error": "all slots are busy"}));
            }
            None => match self.0.kv.borrow_mut().remove(&body.request_id) {
                Some(cache) => self.generate(&body, &cache.prompt),
                None => return json_response(409, &json!({"error": "no cache for this request"})),
            },
        };
        Response::new(stream_body(generation_stream(generation, body.from_offset)))
    }

    fn generate(&self, body: &DecodeBody, prompt: &str) -> Rc<Generation> {
        self.0.ran.borrow_mut().insert(body.request_id.clone());
        let generation = Rc::new(Generation {
            words: answer_words(prompt, body.max_output_tokens),
            // A resumed answer starts after its delivered part.
            written_tokens: Cell::new(body.from_offset),
            is_cancelled: Cell::new(false),
            waiters: RefCell::default(),
        });
        self.0
            .generations
            .borrow_mut()
            .insert(body.request_id.clone(), Rc::clone(&generation));
        let task = write_tokens(
            self.clone(),
            body.request_id.clone(),
            Rc::clone(&generation),
        );
        // Detached because a generation outlives its stream.
        compio::runtime::spawn(task).detach();
        generation
    }
}

async fn write_tokens(engine: Engine, request_id: String, generation: Rc<Generation>) {
    let gap = Duration::from_micros(engine.0.options.token_gap_us);
    let count = generation.words.len() as u64;
    let mut next_at = Instant::now();
    while generation.written_tokens.get() < count && !generation.is_cancelled.get() {
        next_at += gap;
        compio::time::sleep_until(next_at).await;
        generation
            .written_tokens
            .set(generation.written_tokens.get() + 1);
        engine.count(|counts| counts.tokens += 1);
        generation.notify_streams();
    }
    if !generation.is_cancelled.get() {
        engine.0.generations.borrow_mut().remove(&request_id);
    }
    generation.notify_streams();
}

/// Streams the tokens from an offset as one JSON object per line, then a line with `end`.
fn generation_stream(
    generation: Rc<Generation>,
    from_offset: u64,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    futures_util::stream::unfold(Some((generation, from_offset)), |state| async move {
        let (generation, offset) = state?;
        let count = generation.words.len() as u64;
        loop {
            match offset {
                _ if generation.is_cancelled.get() => {
                    let error = io::Error::other("the generation was cancelled");
                    return Some((Err(error), None));
                }
                _ if offset >= count => {
                    let line = format!("{}\n", json!({"end": {"output_tokens": count}}));
                    return Some((Ok(line.into()), None));
                }
                _ if offset < generation.written_tokens.get() => {
                    let text = &generation.words[usize::try_from(offset).unwrap_or(usize::MAX)];
                    let line = format!("{}\n", json!({"offset": offset, "text": text}));
                    return Some((Ok(line.into()), Some((generation, offset + 1))));
                }
                _ => generation.wait_for_change().await,
            }
        }
    })
}
