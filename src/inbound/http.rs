//! HTTP/1.1 server for routers whose connections are bounded and closed when they are idle.

use std::{
    future::Future,
    io::{self, IoSlice},
    net::{IpAddr, SocketAddr},
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use axum::{Router, body::Body, extract::ConnectInfo};
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{Notify, futures::OwnedNotified},
    time::{Sleep, sleep},
};
use tower::ServiceExt;

use crate::inbound::{Connections, Listener, Slot};

/// A connection on which nothing was sent or received for this time is closed. Instances send a heartbeat each second or
/// two, and no request takes as long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The longest head of a request, in bytes. It bounds the read buffer of a connection.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// How long the head of a request may take to arrive, from the end of the previous response on.
const HEAD_TIMEOUT: Duration = IDLE_TIMEOUT;

/// How long a connection that is being closed is read on. Bytes that are not read would make the kernel reset it, and the
/// other end might lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// The most that is read at once, in bytes. It is below the first size of hyper's read buffers, which grow when a read fills
/// them, and stay as large while the connection is idle.
const READ_BYTES: usize = 4 << 10;

/// The other end of a connection.
#[derive(Clone)]
pub struct Peer {
    pub(super) ip: IpAddr,
    /// Notified when the connection must be closed to release memory.
    pub(super) evicted: Arc<Notify>,
}

impl Peer {
    /// Its IP address.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }
}

/// Accepts a bounded number of connections.
pub struct HttpListener {
    inner: Listener,
    connections: Arc<Connections>,
}

impl HttpListener {
    /// At most `max` connections with receive buffers of this size; `kind` names them in the log.
    pub fn new(inner: TcpListener, kind: &'static str, max: usize, receive_bytes: usize) -> Self {
        let connections = Arc::new(Connections::new(kind, max));
        Self { inner: Listener::with_receive_buffers(inner, receive_bytes), connections }
    }

    async fn accept(&mut self) -> (HttpStream, SocketAddr) {
        loop {
            let (stream, addr) = self.inner.accept().await;
            if let Some(slot) = self.connections.admit(Instant::now()) {
                return (HttpStream::new(stream, slot), addr);
            }
        }
    }
}

/// Serves a router until `stop` completes, and then until the requests in progress have ended. HTTP/2 is not spoken: what a
/// connection holds is bounded because it carries one request at a time.
pub async fn serve(mut listener: HttpListener, router: Router, stop: impl Future<Output = ()>) {
    let connections = GracefulShutdown::new();
    let mut stop = pin!(stop);
    loop {
        let (stream, addr) = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        let peer = Peer { ip: addr.ip(), evicted: stream.evicted.clone() };
        let (slot, has_request) = (stream.slot.clone(), stream.has_request.clone());
        let router = router.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            if !has_request.swap(true, Ordering::Relaxed) {
                slot.set_busy(true);
            }
            let mut request = request.map(Body::new);
            request.extensions_mut().insert(ConnectInfo(peer.clone()));
            router.clone().oneshot(request)
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let connection = connections.watch(connection);
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("event=connection_ended cause={err:?}");
            }
        });
    }
    drop(listener);
    connections.shutdown().await;
}

/// A connection that ends for its reader once it was idle for too long, or has to make room while no request runs.
pub struct HttpStream {
    stream: TcpStream,
    idle: Pin<Box<Sleep>>,
    close: Pin<Box<OwnedNotified>>,
    evicted: Arc<Notify>,
    evict: Pin<Box<OwnedNotified>>,
    slot: Arc<Slot>,
    /// Whether the head of a request has arrived.
    has_request: Arc<AtomicBool>,
    /// Whether a request has arrived, in whole or in part, that has no response yet.
    is_busy: bool,
    /// Whether a part of that response was written.
    has_written: bool,
    /// Whether the connection was told to close.
    is_closing: bool,
    /// Runs once the last response has been sent.
    linger: Option<Pin<Box<Sleep>>>,
}

impl HttpStream {
    fn new(stream: TcpStream, slot: Slot) -> Self {
        let (idle, close) = (Box::pin(sleep(IDLE_TIMEOUT)), Box::pin(slot.close_signal()));
        let evicted = Arc::<Notify>::default();
        let evict = Box::pin(evicted.clone().notified_owned());
        Self {
            stream,
            idle,
            close,
            evicted,
            evict,
            slot: Arc::new(slot),
            has_request: Arc::default(),
            is_busy: false,
            has_written: false,
            is_closing: false,
            linger: None,
        }
    }

    /// The first head may be one that does not end: it makes no connection busy before it is complete.
    fn set_busy(&mut self, is_busy: bool) {
        (self.is_busy, self.has_written) = (is_busy, false);
        if self.has_request.load(Ordering::Relaxed) {
            self.slot.set_busy(is_busy);
        }
    }

    /// Passes on the result of a write, or fails if it waits for too long or must release its memory.
    fn limit(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.has_written = true;
            self.restart_idle();
            return written;
        }
        if self.evict.as_mut().poll(cx).is_pending() {
            ready!(self.idle.as_mut().poll(cx));
        }
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn restart_idle(&mut self) {
        self.idle.as_mut().reset(tokio::time::Instant::now() + IDLE_TIMEOUT);
    }
}

impl AsyncRead for HttpStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let mut part = ReadBuf::new(&mut bytes[..READ_BYTES.min(buf.remaining())]);
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_read(cx, &mut part) {
            buf.put_slice(part.filled());
            if !part.filled().is_empty() {
                self.set_busy(true);
                self.restart_idle();
            }
            return Poll::Ready(result);
        }
        if !self.is_closing && self.close.as_mut().poll(cx).is_ready() {
            self.is_closing = true;
        }
        if self.is_closing && !(self.is_busy && self.has_request.load(Ordering::Relaxed)) {
            return Poll::Ready(Ok(()));
        }
        ready!(self.idle.as_mut().poll(cx));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HttpStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.limit(cx, written)
    }

    /// Without it, hyper would copy each response, and the account would not see how long it is held.
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.limit(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if self.has_written {
            self.set_busy(false);
            // The reader that waits now was not told to end while the request was running.
            cx.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { stream, linger, .. } = &mut *self;
        if linger.is_none() {
            ready!(Pin::new(&mut *stream).poll_shutdown(cx))?;
        }
        let linger = linger.get_or_insert_with(|| Box::pin(sleep(LINGER_TIMEOUT)));
        while linger.as_mut().poll(cx).is_pending() {
            let mut bytes = [0; READ_BYTES];
            let mut rest = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut *stream).poll_read(cx, &mut rest));
            if read.is_err() || rest.filled().is_empty() {
                break;
            }
        }
        Poll::Ready(Ok(()))
    }
}
