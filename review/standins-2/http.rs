//! As much of HTTP/1.1 as the stand-ins and clients need.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A head and a body, of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// A field of the query of a request.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(decode(value))
    }
}

fn decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let code = part
            .get(..2)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        bytes.push(code.unwrap_or(b'?'));
        bytes.extend_from_slice(part.get(2..).unwrap_or_default().as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads a head.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ended());
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.first_line.is_empty() {
            if line.is_empty() {
                continue;
            }
            message.first_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(message);
        } else if let Some((name, value)) = line.split_once(':') {
            let field = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.fields.push(field);
        }
    }
}

/// Reads one chunk; an empty one is the last.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ended());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::other("no chunk"))?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(size);
    Ok(bytes)
}

/// Reads the body that a head announces. An answer without a length ends with its connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Message,
    is_answer: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.field("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }
    match head
        .field("content-length")
        .and_then(|text| text.parse().ok())
    {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if is_answer => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Reads a whole request.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut request = read_head(reader)?;
    request.body = read_body(reader, &request, false)?;
    Ok(request)
}

/// Writes a request or an answer with a length.
pub fn write_message(
    stream: &mut TcpStream,
    first_line: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes one chunk.
pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk)
}

/// A client's connection.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self {
            reader: BufReader::with_capacity(1024, stream),
        })
    }

    pub fn send(
        &mut self,
        first_line: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        write_message(self.reader.get_mut(), first_line, fields, body)
    }

    /// Sends a request and reads the whole answer.
    pub fn call(
        &mut self,
        first_line: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Message> {
        self.send(first_line, fields, body)?;
        let mut answer = read_head(&mut self.reader)?;
        answer.body = read_body(&mut self.reader, &answer, true)?;
        Ok(answer)
    }
}
