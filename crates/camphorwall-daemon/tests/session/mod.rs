//! Records a session as seen by the caller, the endpoints and the log.

use std::{
    fmt::Write as _,
    io,
    sync::{Arc, Mutex},
};

use camphorwall::EngineRole;
use camphorwall_standin::{Answer, Caller, Engine, Event, Events, Fleet, wait_until};
use http::Method;
use tracing::subscriber::DefaultGuard;
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// Header fields of an answer that belong to the transcript.
const SHOWN_HEADERS: [&str; 3] = ["content-type", "idempotency-replayed", "retry-after"];

/// Log lines that the thread of the test wrote.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("no writer panics")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// A session of callers with a fleet, and its transcript.
pub(crate) struct Session {
    pub(crate) fleet: Fleet,
    transcript: String,
    /// Number of calls that each engine received before the session, prefill engines first.
    received_before: Vec<usize>,
    log: LogBuffer,
    _log_guard: DefaultGuard,
}

impl Session {
    /// Starts recording.
    pub(crate) fn new(fleet: Fleet) -> Self {
        let log = LogBuffer::default();
        let subscriber = tracing_subscriber::fmt()
            .with_env_filter(EnvFilter::new("info"))
            .with_writer(log.clone())
            .without_time()
            .with_ansi(false)
            .with_target(false)
            .finish();
        let log_guard = tracing::subscriber::set_default(subscriber);
        Self {
            fleet,
            transcript: String::new(),
            received_before: Vec::new(),
            log,
            _log_guard: log_guard,
        }
    }

    /// Excludes the log lines and the calls to engines up to now from the transcript.
    pub(crate) fn discard_preparation(&mut self) {
        self.log.0.lock().expect("no writer panics").clear();
        let engines = self.model_engines().into_iter();
        self.received_before = engines.map(|(_, engine)| engine.received().len()).collect();
    }

    fn model_engines(&self) -> Vec<(EngineRole, Engine)> {
        let of_role = |role| self.fleet.engines(role).map(move |one| (role, one.clone()));
        of_role(EngineRole::Prefill)
            .chain(of_role(EngineRole::Decode))
            .collect()
    }

    /// Caller of the first entry.
    pub(crate) fn caller(&self, key: &str) -> Caller {
        Caller::new(self.fleet.caller_address(0), Some(key))
    }

    fn note(&mut self, line: &str) {
        note(&mut self.transcript, line);
    }

    /// Sends a request and notes its complete answer.
    pub(crate) async fn call(
        &mut self,
        caller: &Caller,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        self.note(&format!("caller > {method} {path} {body}"));
        let answer = caller.call(method, path, headers, body.into()).await;
        let answer = answer.expect("an answer");
        self.note_answer(&answer);
        answer
    }

    fn note_answer(&mut self, answer: &Answer) {
        self.note(&format!("caller < {}", answer.status));
        for name in SHOWN_HEADERS {
            if let Some(value) = answer.headers.get(name) {
                self.note(&format!(
                    "caller < {name}: {}",
                    value.to_str().unwrap_or_default()
                ));
            }
        }
        self.note(&format!(
            "caller < {}",
            String::from_utf8_lossy(&answer.body)
        ));
    }

    /// Requests a stream.
    pub(crate) async fn stream(
        &mut self,
        caller: &Caller,
        prompt: &str,
        max_tokens: u64,
    ) -> Events {
        self.note(&format!(
            "caller > stream {max_tokens} tokens for {prompt:?}"
        ));
        caller
            .stream(prompt, max_tokens)
            .await
            .expect("an answer")
            .expect("a stream")
    }

    /// Notes one event of a stream.
    pub(crate) async fn read_event(&mut self, events: &mut Events) -> Option<Event> {
        let event = events.next().await;
        self.note(&format!("caller < {event:?}"));
        event
    }

    /// Notes the rest of a stream: its text and its last event.
    pub(crate) async fn read_to_end(&mut self, events: &mut Events) -> (String, Option<Event>) {
        let (text, last) = events.read_to_end().await;
        self.note(&format!("caller < text {text:?}"));
        self.note(&format!("caller < {last:?}"));
        (text, last)
    }

    /// Notes an action on the fleet.
    pub(crate) fn note_action(&mut self, action: &str) {
        self.note(&format!("operator: {action}"));
    }

    /// Waits until no engine holds memory and stops all daemons, so that no work is in flight. Returns the transcript.
    pub(crate) async fn finish(mut self) -> String {
        wait_until(async || (self.fleet.requests_in_memory() == 0).then_some(())).await;
        let engines = self.model_engines();
        let plain = self.fleet.plain.clone();
        self.fleet.stop().await;
        let before = self.received_before.iter().copied();
        for ((role, engine), before) in engines.iter().zip(before.chain(std::iter::repeat(0))) {
            let received = engine.received();
            note_received(&mut self.transcript, &role.to_string(), &received[before..]);
        }
        note_received(&mut self.transcript, "plain", &plain.received());
        let bytes = self.log.0.lock().expect("no writer panics").clone();
        let text = String::from_utf8_lossy(&bytes);
        let is_of_request = |line: &&str| line.contains("request_id=");
        let mut lines: Vec<_> = text.lines().filter(is_of_request).collect();
        // Tasks of several daemons log concurrently, so that only the set of lines is the same in each run.
        lines.sort_unstable();
        for line in lines {
            note(&mut self.transcript, &format!("log: {}", line.trim()));
        }
        self.transcript
    }
}

fn note(transcript: &mut String, line: &str) {
    writeln!(transcript, "{line}").expect("a string takes all text");
}

/// Notes the work that an endpoint received as method, path and body, without the periodic polls of its daemon.
fn note_received(transcript: &mut String, name: &str, received: &[String]) {
    let is_get_request = |text: &String, path: &str| text.starts_with(&format!("GET {path}"));
    let polled_paths = ["/v1/running", "/v1/load", "/v1/cache"];
    let is_work = |text: &&String| !polled_paths.iter().any(|path| is_get_request(text, path));
    for text in received.iter().filter(is_work) {
        let head = text.split('{').next().unwrap_or_default();
        let body = text.rsplit("} ").next().unwrap_or_default();
        let body = body.split('\0').next().unwrap_or_default();
        let head = head.trim_end_matches(' ');
        note(transcript, &format!("{name} endpoint < {head} {body}"));
    }
}

/// Compares a transcript with its golden file. Values that differ between runs are replaced by placeholders.
pub(crate) fn assert_golden(name: &str, transcript: &str) {
    let mut settings = insta::Settings::clone_current();
    settings.set_prepend_module_to_snapshot(false);
    settings.set_snapshot_path("golden");
    settings.set_omit_expression(true);
    settings.add_filter(
        r"[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}",
        "[id]",
    );
    settings.add_filter(r"127\.\d+\.\d+\.\d+:\d+", "[address]");
    settings.add_filter(r#""retry_after_ms":\d+"#, r#""retry_after_ms":[ms]"#);
    settings.add_filter(r"(?i)retry-after: \d+", "retry-after: [s]");
    settings.add_filter(
        r#"(result="(?:caller_left|deadline-passed|key-withdrawn|unavailable)" output_tokens=)\d+"#,
        "$1[n]",
    );
    settings.add_filter(r"(the engine.s answer broke off: )[^\n\x22]*", "$1[cause]");
    settings.bind(|| insta::assert_snapshot!(name, transcript));
}
