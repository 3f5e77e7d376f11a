//! Connection pool of one target.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::relay::idle::IdleConnections;

/// Timeout for a new connection. A running target accepts within one round trip, at most some tens of milliseconds.
/// Nothing has been sent yet, so another target can take the request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Size of the read buffer of a connection, in bytes, and so the longest response header that is accepted. Targets that
/// send without end fill the buffers of all their connections at once.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Idle connections are not reused in the last part of the target's keep-alive timeout, because the target may close
/// them while a request is on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);

/// Keep-alive timeout that is assumed if the target does not send one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(20);

/// The number of idle connections that are kept to one target.
const MAX_IDLE: usize = 128;

/// An HTTP/1 connection. Dropping it closes it.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    created_at: Instant,
    /// Whether a response has been read from it before. A late second copy of that response may follow.
    pub(super) is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connection pool of one target.
pub(super) struct Pool {
    addr: SocketAddr,
    idle: Mutex<IdleConnections<Connection>>,
    /// Connections that were opened before this moment are not reused.
    valid_from: Mutex<Instant>,
    /// Shortest time that a connect took, in microseconds, as an estimate of the round-trip time.
    round_trip_us: AtomicUsize,
}

impl Pool {
    pub(super) fn new(addr: SocketAddr, round_trip: Duration) -> Self {
        Self {
            addr,
            idle: Mutex::new(IdleConnections::new(MAX_IDLE)),
            valid_from: Mutex::new(Instant::now()),
            round_trip_us: AtomicUsize::new(round_trip.as_micros() as usize),
        }
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Estimated round-trip time to the target.
    pub(super) fn round_trip(&self) -> Duration {
        Duration::from_micros(self.round_trip_us.load(Ordering::Relaxed) as u64)
    }

    /// Takes an idle connection that is still usable, if there is one.
    pub(super) async fn take_idle(&self) -> Option<Connection> {
        loop {
            let mut conn = self.idle.lock().take(Instant::now())?;
            let valid_from = *self.valid_from.lock();
            if conn.created_at < valid_from || conn.sender.is_closed() {
                continue;
            }
            if conn.sender.ready().await.is_ok() {
                return Some(conn);
            }
        }
    }

    /// Opens a connection and updates the estimate of the round-trip time.
    pub(super) async fn connect(&self) -> std::io::Result<Connection> {
        let start = Instant::now();
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await??;
        let took_us = start.elapsed().as_micros() as usize;
        self.round_trip_us.fetch_min(took_us, Ordering::Relaxed);
        stream.set_nodelay(true)?;
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, conn) = handshake.map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            // An error surfaces in the request that is using the connection.
            let _ = conn.await;
        });
        Ok(Connection {
            sender,
            driver: driver.abort_handle(),
            created_at: Instant::now(),
            is_reused: false,
        })
    }

    /// Returns a connection to the pool after a complete response. `keep_alive` is the target's keep-alive timeout, if
    /// known.
    pub(super) fn put_idle(&self, mut conn: Connection, keep_alive: Option<Duration>) {
        let kept = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN);
        conn.is_reused = true;
        let now = Instant::now();
        self.idle.lock().put(conn, now + kept, now);
    }

    /// Closes idle connections now, and those in use when they become idle.
    pub(super) fn invalidate(&self) {
        *self.valid_from.lock() = Instant::now();
        self.idle.lock().clear();
    }
}
