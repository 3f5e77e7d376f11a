//! A small HTTP/1.1 client and reader of messages, as far as the stand-ins need them.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The start line, the headers with lower-case names, and the body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// The method and the path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// A connection on which messages are read and written in turn.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&addr, timeout).map(Self::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes. False at the end of the stream.
    fn fill(&mut self, end: Option<Instant>) -> io::Result<bool> {
        let left = end.map(|it| it.saturating_duration_since(Instant::now()));
        if left.is_some_and(|it| it.is_zero()) {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(left)?;
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads the next message; none if the stream ends before it begins.
    pub fn read(&mut self, end: Option<Instant>) -> io::Result<Option<Message>> {
        let head = loop {
            if let Some(at) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill(end)? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ended()) };
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..head]).into_owned();
        self.buffer.drain(..head);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|it| it.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        let mut message = Message { start, headers: headers.collect(), body: Vec::new() };
        if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            message.body = self.read_chunks(end)?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
            message.body = self.take(length, end)?;
        }
        Ok(Some(message))
    }

    fn take(&mut self, length: usize, end: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill(end)? {
                return Err(ended());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self, end: Option<Instant>) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = self.take(at + 2, end)?;
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if !self.fill(end)? {
                return Err(ended());
            }
        }
    }

    fn read_chunks(&mut self, end: Option<Instant>) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line(end)?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.read_line(end)?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size, end)?);
            self.take(2, end)?;
        }
    }

    /// Sends a request and reads its final response.
    pub fn exchange(&mut self, request: &[u8], timeout: Duration) -> io::Result<Message> {
        let end = Instant::now() + timeout;
        self.write(request)?;
        loop {
            let response = self.read(Some(end))?.ok_or_else(ended)?;
            if response.status() >= 200 {
                return Ok(response);
            }
        }
    }
}

fn ended() -> io::Error {
    ErrorKind::UnexpectedEof.into()
}

/// Composes a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a connection of its own.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let host = addr.to_string();
    let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
    let mut connection = Connection::connect(addr, timeout)?;
    connection.exchange(&request(method, path, &headers, body), timeout)
}
