//! The little of HTTP/1.1 that the stand-ins and the clients need, over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head of a message: its first line and its fields, with names in lowercase.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn request(&self) -> (String, String) {
        let mut words = self.first.split(' ');
        let mut word = || words.next().unwrap_or_default().to_owned();
        (word(), word())
    }
}

/// A connection with what was read of it beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    held: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            held: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 65_536];
        let count = self.stream.read(&mut part)?;
        self.held.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// The next head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.held.windows(4).position(|window| window == b"\r\n\r\n");
            if let Some(end) = end {
                let text: Vec<u8> = self.held.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&text).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields =
                    fields.map(|(key, value)| (key.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head {
                    first,
                    fields: fields.collect(),
                }));
            }
            if self.fill()? == 0 {
                return if self.held.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.held.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.held.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.held.windows(2).position(|window| window == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// The body that belongs to a head. Without a length, that of a request is empty and that of an answer ends with the
    /// connection.
    pub fn body(&mut self, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
        if head.field("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
                if size == 0 {
                    self.line()?;
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                self.line()?;
            }
        }
        if let Some(length) = head.field("content-length") {
            return self.take(length.parse().map_err(io::Error::other)?);
        }
        let mut body = Vec::new();
        if is_answer {
            while self.fill()? > 0 {}
            body = std::mem::take(&mut self.held);
        }
        Ok(body)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// An answer with a body of known length.
pub fn answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in fields {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One part of a chunked body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut part = format!("{:x}\r\n", bytes.len()).into_bytes();
    part.extend_from_slice(bytes);
    part.extend_from_slice(b"\r\n");
    part
}
