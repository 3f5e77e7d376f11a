//! The connections to one target.

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

/// How long a new connection may take. A target that is there accepts within one round trip, which is at most some tens
/// of milliseconds; nothing was sent yet, so another target can take the request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// An idle connection is not used in the last part of the time for which the target keeps it, because the target may
/// close it while the request is on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);

/// How long an idle connection is used if the target does not say how long it keeps it.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(20);

/// A connection. It is closed when it is dropped.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    created_at: Instant,
    usable_until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The connections to one target.
pub(super) struct Pool {
    addr: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    /// Connections created_at before this moment are not used again.
    valid_from: Mutex<Instant>,
    /// The shortest time to connect, in microseconds: about one round trip.
    round_trip_us: AtomicUsize,
}

impl Pool {
    pub(super) fn new(addr: SocketAddr, round_trip: Duration) -> Self {
        Self {
            addr,
            idle: Mutex::default(),
            valid_from: Mutex::new(Instant::now()),
            round_trip_us: AtomicUsize::new(round_trip.as_micros() as usize),
        }
    }

    /// The address of the target.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// About the time to the target and back.
    pub(super) fn round_trip(&self) -> Duration {
        Duration::from_micros(self.round_trip_us.load(Ordering::Relaxed) as u64)
    }

    /// An idle connection that may be used, and whether there was one.
    pub(super) async fn take_idle(&self) -> Option<Connection> {
        loop {
            let now = Instant::now();
            let mut conn = self.idle.lock().pop()?;
            let valid_from = *self.valid_from.lock();
            if conn.usable_until <= now || conn.created_at < valid_from || conn.sender.is_closed() {
                continue;
            }
            if conn.sender.ready().await.is_ok() {
                return Some(conn);
            }
        }
    }

    /// A new connection.
    pub(super) async fn connect(&self) -> std::io::Result<Connection> {
        let start = Instant::now();
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await??;
        let took_us = start.elapsed().as_micros() as usize;
        self.round_trip_us.fetch_min(took_us, Ordering::Relaxed);
        stream.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            // A failure shows at the request that runs on the connection.
            let _ = conn.await;
        });
        Ok(Connection {
            sender,
            driver: driver.abort_handle(),
            created_at: Instant::now(),
            usable_until: Instant::now() + DEFAULT_KEEP_ALIVE,
        })
    }

    /// Keeps a connection whose last answer is complete. `keep_alive` is how long the target keeps it.
    pub(super) fn put_idle(&self, mut conn: Connection, keep_alive: Option<Duration>) {
        let kept = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN);
        conn.usable_until = Instant::now() + kept;
        self.idle.lock().push(conn);
    }

    /// Closes idle connections and those in use once they become idle.
    pub(super) fn invalidate(&self) {
        *self.valid_from.lock() = Instant::now();
        self.idle.lock().clear();
    }
}
