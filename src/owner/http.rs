//! A client-side HTTP/1.1 connection to a target, polled by the task that uses it.

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

/// The timeout of one attempt to connect. Connecting takes up to 6 ms, and the round trip between regions 16 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long to wait for the response on the original connection after the target has confirmed a cancel request on
/// another one. A working connection delivers it within this time.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(20);

/// Size of the read buffer of a connection, in bytes, and so the longest response header that is accepted.
const READ_BUFFER_BYTES: usize = 16 << 10;

const JSON: HeaderValue = HeaderValue::from_static("application/json");

const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Reads and writes the socket; the `sender` makes progress only while this is polled.
type HttpDriver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// A connection to a target. It makes progress only while one of its methods is polled, so that an exchange needs no
/// second task.
pub(super) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Option<Pin<Box<HttpDriver>>>,
    host: HeaderValue,
}

/// Why an exchange has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// The connection was closed before a byte of the request was written.
    NotSent,
    /// The connection was closed before the head of the response arrived.
    Disconnected,
    /// The response body ended early, or was longer than [`MAX_BODY_BYTES`].
    Truncated,
    /// No complete response arrived before the deadline.
    Timeout,
    /// No complete response arrived, and the target has confirmed on another connection that it does not run the
    /// request.
    Stalled,
}

/// The status and the body of a response.
pub(super) type Response = (StatusCode, Bytes);

/// A request to a target.
pub(super) struct TargetRequest {
    pub method: Method,
    pub path: &'static str,
    pub body: Vec<u8>,
    pub traceparent: Option<HeaderValue>,
}

impl TargetRequest {
    pub fn post(path: &'static str, body: Vec<u8>) -> Self {
        Self { method: Method::POST, path, body, traceparent: None }
    }

    pub fn get(path: &'static str) -> Self {
        Self { method: Method::GET, path, body: Vec::new(), traceparent: None }
    }
}

impl Connection {
    /// Connects to a target.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let host = HeaderValue::try_from(addr.to_string()).map_err(io::Error::other)?;
        Ok(Self { sender, driver: Some(Box::pin(driver)), host })
    }

    /// Sends a request and waits for the complete response until `deadline`.
    ///
    /// If it is not complete at `stall_at`, `probe` is called. It returns true if the target has confirmed that it does
    /// not run the request; unless the response follows at once, the exchange then ends as [`ExchangeError::Stalled`].
    pub async fn exchange<P: Future<Output = bool>>(
        &mut self,
        request: TargetRequest,
        stall_at: Instant,
        deadline: Instant,
        probe: impl FnOnce() -> P,
    ) -> Result<Response, ExchangeError> {
        let request = self.http_request(request);
        let Self { sender, driver, .. } = self;
        let exchange = async {
            let response = sender.try_send_request(request).await.map_err(|mut err| {
                if err.take_message().is_some() {
                    ExchangeError::NotSent
                } else {
                    ExchangeError::Disconnected
                }
            })?;
            let status = response.status();
            read_body(response.into_body()).await.map(|it| (status, it))
        };
        let mut driven = pin!(drive(driver, exchange));
        if stall_at < deadline {
            if let Ok(result) = tokio::time::timeout_at(stall_at, driven.as_mut()).await {
                return result;
            }
            let stalled = async {
                if !tokio::time::timeout_at(deadline, probe()).await.unwrap_or(false) {
                    std::future::pending::<()>().await;
                }
                tokio::time::sleep(LATE_RESPONSE_GRACE).await;
            };
            tokio::select! {
                biased;
                result = driven.as_mut() => return result,
                () = stalled => return Err(ExchangeError::Stalled),
                () = tokio::time::sleep_until(deadline) => return Err(ExchangeError::Timeout),
            }
        }
        tokio::time::timeout_at(deadline, driven).await.unwrap_or(Err(ExchangeError::Timeout))
    }

    /// Sends a request and waits for the complete response, at most `timeout`.
    pub async fn send(
        &mut self,
        request: TargetRequest,
        timeout: Duration,
    ) -> Result<Response, ExchangeError> {
        let end = Instant::now() + timeout;
        self.exchange(request, end, end, || std::future::ready(false)).await
    }

    /// Waits until the connection can take the next request. Returns false if it was closed or `timeout` has passed.
    pub async fn wait_ready(&mut self, timeout: Duration) -> bool {
        if self.sender.is_ready() {
            return true;
        }
        let Self { sender, driver, .. } = self;
        let ready = drive(driver, sender.ready());
        matches!(tokio::time::timeout(timeout, ready).await, Ok(Ok(())))
    }

    /// Completes when the connection is closed.
    pub async fn wait_closed(&mut self) {
        if let Some(driver) = &mut self.driver {
            let _ = driver.as_mut().await;
            self.driver = None;
        }
    }

    fn http_request(&self, request: TargetRequest) -> Request<Full<Bytes>> {
        let mut http_request = Request::new(Full::from(request.body));
        *http_request.method_mut() = request.method;
        *http_request.uri_mut() = Uri::from_static(request.path);
        let headers = http_request.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert(CONTENT_TYPE, JSON);
        if let Some(value) = request.traceparent {
            headers.insert(TRACEPARENT, value);
        }
        http_request
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, ExchangeError> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    body.map(http_body_util::Collected::to_bytes).map_err(|_| ExchangeError::Truncated)
}

/// Polls a future together with the connection that it depends on.
async fn drive<F: Future>(driver: &mut Option<Pin<Box<HttpDriver>>>, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|cx| {
        if let Poll::Ready(output) = future.as_mut().poll(cx) {
            return Poll::Ready(output);
        }
        if let Some(running) = driver
            && running.as_mut().poll(cx).is_ready()
        {
            *driver = None;
        }
        future.as_mut().poll(cx)
    })
    .await
}
