//! The little of HTTP/1.1 that the stand-ins speak, on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// First line and header fields of a message; names are in lowercase.
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(known, _)| known == name);
        field.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("/")
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn parse_head(bytes: &[u8]) -> Head {
    let text = String::from_utf8_lossy(bytes);
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
    Head {
        line,
        fields: fields.collect(),
    }
}

/// Reads a head; returns it with the bytes that came after it.
pub fn read_head(stream: &mut TcpStream) -> io::Result<(Head, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            return Ok((parse_head(&bytes[..end]), rest));
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// Reads a request with a body of an announced length.
pub fn read_request(stream: &mut TcpStream) -> io::Result<(Head, Vec<u8>)> {
    let (head, mut body) = read_head(stream)?;
    let length = head.get("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut buffer = [0; 16 * 1024];
    while body.len() < length {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&buffer[..count]);
    }
    Ok((head, body))
}

/// How an answer ended, as its framing shows it to a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Complete,
    BrokenOff,
    NotInTime,
}

/// An answer as a client sees it.
pub struct Answer {
    pub head: Option<Head>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }
}

/// Takes whole chunks from raw bytes; returns whether the last one has come.
fn take_chunks(raw: &mut Vec<u8>, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(end) = raw.windows(2).position(|two| two == b"\r\n") else {
            return false;
        };
        let size = String::from_utf8_lossy(&raw[..end]);
        let size = size.split(';').next().unwrap_or_default().trim().to_owned();
        let Ok(size) = usize::from_str_radix(&size, 16) else {
            return false;
        };
        if raw.len() < end + 2 + size + 2 {
            return false;
        }
        body.extend_from_slice(&raw[end + 2..end + 2 + size]);
        raw.drain(..end + 2 + size + 2);
        if size == 0 {
            return true;
        }
    }
}

/// Sends a request over a new connection and reads its answer until it ends or the time is over.
pub fn call(address: SocketAddr, request: &[u8], time: Duration) -> Answer {
    let until = Instant::now() + time;
    let mut answer = Answer {
        head: None,
        body: Vec::new(),
        end: End::BrokenOff,
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(time));
    if stream.write_all(request).is_err() {
        return answer;
    }
    let (head, mut raw) = match read_head(&mut stream) {
        Ok(read) => read,
        Err(error) => {
            if matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ) {
                answer.end = End::NotInTime;
            }
            return answer;
        }
    };
    let is_chunked = head.get("transfer-encoding") == Some("chunked");
    let length: Option<usize> = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    answer.head = Some(head);
    let mut buffer = [0; 16 * 1024];
    loop {
        if is_chunked {
            if take_chunks(&mut raw, &mut answer.body) {
                answer.end = End::Complete;
                return answer;
            }
        } else {
            answer.body.append(&mut raw);
            if length.is_some_and(|length| answer.body.len() >= length) {
                answer.end = End::Complete;
                return answer;
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            answer.end = End::NotInTime;
            return answer;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => {
                let ends_with_connection = !is_chunked && length.is_none();
                if ends_with_connection {
                    answer.end = End::Complete;
                }
                return answer;
            }
            Ok(count) => raw.extend_from_slice(&buffer[..count]),
            Err(error) => {
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) {
                    answer.end = End::NotInTime;
                }
                return answer;
            }
        }
    }
}
