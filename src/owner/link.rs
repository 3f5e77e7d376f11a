//! One HTTP/1.1 connection to a target, driven by the task that uses it.

use std::{
    future::poll_fn,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode, Uri,
    body::Incoming,
    client::conn::http1,
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::Instant};

use crate::wire::MAX_BODY_BYTES;

/// How long one attempt to connect may take. Connecting costs up to 6 ms, and regions are 16 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

const JSON: HeaderValue = HeaderValue::from_static("application/json");

const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

type Connection = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// A connection to a target. It makes progress only inside its own methods, so that an exchange needs no other task.
pub(super) struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: Option<Pin<Box<Connection>>>,
    host: HeaderValue,
}

/// Why an exchange has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The connection was closed before a byte of the request was written.
    Unsent,
    /// The connection broke before the head of the answer arrived.
    Broken,
    /// The answer was cut off.
    CutOff,
    /// No complete answer arrived in time.
    Timeout,
}

/// The status and the body of an answer.
pub(super) type Answer = (StatusCode, Bytes);

/// What is sent to a target.
pub(super) struct Message {
    pub method: Method,
    pub path: &'static str,
    pub body: Vec<u8>,
    pub traceparent: Option<HeaderValue>,
}

impl Message {
    pub fn post(path: &'static str, body: Vec<u8>) -> Self {
        Self { method: Method::POST, path, body, traceparent: None }
    }

    pub fn get(path: &'static str) -> Self {
        Self { method: Method::GET, path, body: Vec::new(), traceparent: None }
    }
}

impl Link {
    /// Connects to a target.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let host = HeaderValue::try_from(addr.to_string()).map_err(io::Error::other)?;
        Ok(Self { sender, connection: Some(Box::pin(connection)), host })
    }

    /// Sends a request and waits for the whole answer until `deadline`. `silent` is called once if the answer is not
    /// complete at `silent_at`.
    pub async fn exchange(
        &mut self,
        message: Message,
        silent_at: Instant,
        deadline: Instant,
        silent: impl FnOnce(),
    ) -> Result<Answer, Fault> {
        let request = self.request(message);
        let Self { sender, connection, .. } = self;
        let answer = async {
            let response = sender.try_send_request(request).await.map_err(|mut err| {
                if err.take_message().is_some() { Fault::Unsent } else { Fault::Broken }
            })?;
            let status = response.status();
            read(response.into_body()).await.map(|it| (status, it))
        };
        let mut driven = pin!(drive(connection, answer));
        if silent_at < deadline {
            if let Ok(answer) = tokio::time::timeout_at(silent_at, driven.as_mut()).await {
                return answer;
            }
            silent();
        }
        tokio::time::timeout_at(deadline, driven).await.unwrap_or(Err(Fault::Timeout))
    }

    /// Waits until the connection can take the next request; false if it was closed.
    pub async fn ready(&mut self, timeout: Duration) -> bool {
        if self.sender.is_ready() {
            return true;
        }
        let Self { sender, connection, .. } = self;
        let ready = drive(connection, sender.ready());
        matches!(tokio::time::timeout(timeout, ready).await, Ok(Ok(())))
    }

    /// Whether the connection has ended.
    pub fn ended(&self) -> bool {
        self.connection.is_none()
    }

    /// Completes when the connection ends.
    pub async fn closed(&mut self) {
        if let Some(connection) = &mut self.connection {
            let _ = connection.as_mut().await;
            self.connection = None;
        }
    }

    fn request(&self, message: Message) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::from(message.body));
        *request.method_mut() = message.method;
        *request.uri_mut() = Uri::from_static(message.path);
        let headers = request.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert(CONTENT_TYPE, JSON);
        if let Some(value) = message.traceparent {
            headers.insert(TRACEPARENT, value);
        }
        request
    }
}

async fn read(body: Incoming) -> Result<Bytes, Fault> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    body.map(http_body_util::Collected::to_bytes).map_err(|_| Fault::CutOff)
}

/// Runs a future together with the connection that it depends on.
async fn drive<F: Future>(connection: &mut Option<Pin<Box<Connection>>>, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|cx| {
        if let Poll::Ready(output) = future.as_mut().poll(cx) {
            return Poll::Ready(output);
        }
        if let Some(running) = connection
            && running.as_mut().poll(cx).is_ready()
        {
            *connection = None;
        }
        future.as_mut().poll(cx)
    })
    .await
}
