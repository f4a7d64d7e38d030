//! A caller for tests, the demo and the load tool.

use std::{io, net::SocketAddr, pin::Pin};

use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use serde_json::{Value, json};

use crate::{CallerRecord, Ending};

/// Whole answer that a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// The request's id.
    #[must_use]
    pub fn request_id(&self) -> String {
        request_id(&self.headers)
    }

    /// Body as JSON, or null.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A piece of the answer's text.
    Text(String),
    /// The answer is whole.
    Done,
    /// The answer ends early, with the problem.
    Error(Value),
}

/// A caller with a key.
#[derive(Clone)]
pub struct Caller {
    client: cyper::Client,
    address: SocketAddr,
    key: Option<String>,
}

impl Caller {
    /// Makes a caller of one entry.
    ///
    /// # Panics
    /// Never: a client without TLS has nothing that can fail.
    #[must_use]
    pub fn new(address: SocketAddr, key: Option<&str>) -> Self {
        let client = cyper::Client::new().expect("a client without TLS can be made");
        Self {
            client,
            address,
            key: key.map(str::to_owned),
        }
    }

    /// Sends a request and returns the response, whose body can be streamed.
    ///
    /// # Errors
    /// When no response comes.
    pub async fn send(
        &self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> cyper::Result<cyper::Response> {
        let mut request = self
            .client
            .request(method, format!("http://{}{path}", self.address))?;
        if let Some(key) = &self.key {
            request = request.bearer_auth(key)?;
        }
        for (name, value) in headers {
            request = request.header(*name, *value)?;
        }
        Box::pin(request.body(body).send()).await
    }

    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    /// When no whole answer comes.
    pub async fn call(
        &self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> cyper::Result<Answer> {
        let response = self.send(method, path, headers, body).await?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        Ok(Answer {
            status,
            headers,
            body: response.bytes().await?,
        })
    }

    /// Asks for a whole completion.
    ///
    /// # Errors
    /// When no whole answer comes.
    pub async fn complete(&self, prompt: &str, max_tokens: u64) -> cyper::Result<Answer> {
        let body = json!({"prompt": prompt, "max_tokens": max_tokens}).to_string();
        self.call(
            http::Method::POST,
            "/v1/completions",
            &[],
            body.into_bytes(),
        )
        .await
    }

    /// Asks for a streamed completion.
    ///
    /// # Errors
    /// When no response comes. A problem is returned as the answer of the inner result.
    pub async fn stream(
        &self,
        prompt: &str,
        max_tokens: u64,
    ) -> cyper::Result<Result<Events, Answer>> {
        let body = json!({"prompt": prompt, "max_tokens": max_tokens, "stream": true}).to_string();
        let response = self
            .send(
                http::Method::POST,
                "/v1/completions",
                &[],
                body.into_bytes(),
            )
            .await?;
        let status = response.status().as_u16();
        if status != 200 {
            let headers = response.headers().clone();
            return Ok(Err(Answer {
                status,
                headers,
                body: response.bytes().await?,
            }));
        }
        let request_id = request_id(response.headers());
        let chunks = response
            .bytes_stream()
            .map(|chunk| chunk.map_err(io::Error::other));
        Ok(Ok(Events {
            chunks: Box::pin(chunks),
            buffer: String::new(),
            request_id,
        }))
    }

    /// Streams a completion to its end and records what arrived.
    pub async fn record(&self, prompt: &str, max_tokens: u64) -> CallerRecord {
        let mut record = CallerRecord {
            request_id: String::new(),
            prompt: prompt.into(),
            max_tokens,
            text: String::new(),
            ending: Ending::Cut,
        };
        match self.stream(prompt, max_tokens).await {
            Ok(Ok(mut events)) => {
                record.request_id = events.request_id().into();
                let (text, last) = events.read_to_end().await;
                record.text = text;
                record.ending = match last {
                    Some(Event::Done) => Ending::Complete,
                    Some(Event::Error(problem)) => Ending::Problem(problem),
                    Some(Event::Text(_)) | None => Ending::Cut,
                };
            }
            Ok(Err(answer)) => {
                record.request_id = answer.request_id();
                record.ending = Ending::Problem(answer.json());
            }
            Err(_) => {}
        }
        record
    }
}

/// Events of a streamed answer. Dropping it closes the connection, as a caller does that leaves.
pub struct Events {
    chunks: Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>,
    buffer: String,
    request_id: String,
}

fn request_id(headers: &http::HeaderMap) -> String {
    let value = headers.get("camphorwall-request-id");
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

impl Events {
    /// The request's id.
    #[must_use]
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Next event; `None` when the stream ends, cleanly or not.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some(end) = self.buffer.find("\n\n") {
                let event: String = self.buffer.drain(..end + 2).collect();
                return Some(parse_event(event.trim_end()));
            }
            let chunk = self.chunks.next().await?.ok()?;
            self.buffer.push_str(&String::from_utf8_lossy(&chunk));
        }
    }

    /// Reads to the end; returns the text and the last event.
    pub async fn read_to_end(&mut self) -> (String, Option<Event>) {
        let mut text = String::new();
        let mut last = None;
        while let Some(event) = self.next().await {
            if let Event::Text(more) = &event {
                text.push_str(more);
            }
            last = Some(event);
        }
        (text, last)
    }
}

fn parse_event(event: &str) -> Event {
    let is_error = event.starts_with("event: error");
    let data = event
        .lines()
        .find_map(|line| line.strip_prefix("data: "))
        .unwrap_or_default();
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    let choice = &value["choices"][0];
    let text = choice["text"]
        .as_str()
        .or_else(|| choice["delta"]["content"].as_str());
    match data {
        _ if is_error => Event::Error(value),
        "[DONE]" => Event::Done,
        _ => Event::Text(text.unwrap_or_default().to_owned()),
    }
}
