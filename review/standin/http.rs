//! A minimal HTTP/1.1 client, and the parser that the servers share with it.

use std::{
    io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The head and body of a request or a response.
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// The status code of a response.
    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message with a `Content-Length`. `None` if the connection ended before its first byte.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut lines = Vec::new();
    let mut bytes = 0;
    loop {
        let mut line = String::new();
        let count = stream.read_line(&mut line)?;
        bytes += count;
        if count == 0 {
            let partial = bytes > 0;
            return if partial { Err(ErrorKind::UnexpectedEof.into()) } else { Ok(None) };
        }
        if bytes > MAX_HEAD_BYTES {
            return Err(Error::other("the head is too long"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        lines.push(line.to_owned());
    }
    let mut lines = lines.into_iter();
    let start = lines.next().ok_or(ErrorKind::InvalidData)?;
    let headers: Vec<_> = lines
        .filter_map(|it| {
            let (name, value) = it.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        })
        .collect();
    let mut message = Message { start, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// A kept connection of a client.
pub struct Connection {
    pub peer: SocketAddr,
    stream: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(peer: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&peer, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Self { peer, stream: BufReader::new(stream) })
    }

    /// Sends a request and reads its response.
    pub fn exchange(&mut self, request: &[u8], timeout: Duration) -> Result<Message> {
        self.stream.get_ref().set_read_timeout(Some(timeout))?;
        self.stream.get_mut().write_all(request)?;
        read_message(&mut self.stream)?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }
}

/// Makes one call on a connection of its own.
pub fn call(
    peer: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<Message> {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {peer}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    Connection::open(peer, timeout)?.exchange(request.as_bytes(), timeout)
}
