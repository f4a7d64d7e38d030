//! HTTP client of an entry, for the tests, the demo and the load tool.

use std::{io, net::SocketAddr, pin::Pin};

use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use serde_json::{Value, json};

use crate::{CallerRecord, Ending};

/// Complete response that a caller received.
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
    /// Id of the request.
    #[must_use]
    pub fn request_id(&self) -> String {
        request_id(&self.headers)
    }

    /// Body as JSON; null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Text of one chunk of the answer.
    Text(String),
    /// The answer is complete.
    Done,
    /// The answer ended early with this problem.
    Error(Value),
}

/// A caller of one entry, with or without an API key.
#[derive(Clone)]
pub struct Caller {
    client: cyper::Client,
    address: SocketAddr,
    key: Option<String>,
}

impl Caller {
    /// Creates a caller of the entry at an address.
    ///
    /// # Panics
    /// Never: creating a client without TLS cannot fail.
    #[must_use]
    pub fn new(address: SocketAddr, key: Option<&str>) -> Self {
        let client = cyper::Client::new().expect("creating a client without TLS cannot fail");
        Self {
            client,
            address,
            key: key.map(str::to_owned),
        }
    }

    /// Sends a request and returns the response, whose body can be streamed.
    ///
    /// # Errors
    /// When no response arrives.
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

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    /// When no complete answer arrives.
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

    /// Requests a completion in one response.
    ///
    /// # Errors
    /// When no complete answer arrives.
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

    /// Requests a streamed completion.
    ///
    /// # Errors
    /// When no response arrives. A response with a status other than 200 is the error of the inner result.
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

    /// Streams a completion to its end and records what arrives.
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

/// Events of a streamed answer. Dropping them closes the connection, like a caller that disconnects.
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
    /// Id of the request.
    #[must_use]
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Next event; `None` when the stream ends or breaks.
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

    /// Reads the stream to its end; returns the text and the last event.
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
