//! Connections to other relays, and the detection of relays that do not respond.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::{sleep, timeout},
};
use tokio_util::codec::Framed;

use crate::{
    inbound::{FrameCodec, FrameStream},
    relay::idle::IdleConnections,
    wire::{
        MAX_FRAME_BYTES,
        relay::{Message, Reply},
    },
};

/// A relay that does not accept a connection or a delegation within this time plus a round trip is suspended until it
/// answers a ping. The time is ten times what a busy relay needs.
pub(super) const ACCEPT_TIMEOUT: Duration = Duration::from_millis(40);

/// How often a suspended relay is pinged.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// How long an idle connection can be reused.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The number of idle connections that are kept to one relay.
const MAX_IDLE: usize = 32;

/// Initial estimate of the round-trip time. It is the one between regions; within a zone it is shorter.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(16);

/// Idle time before the kernel starts to send TCP keep-alive probes, and the interval between them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// A connection that carries length-prefixed, bincode-encoded messages.
pub(super) struct PeerConnection<S = TcpStream>(Framed<S, FrameCodec>);

impl PeerConnection {
    /// Wraps a connection that this relay has opened. Fails if its socket options cannot be set.
    fn opened(stream: TcpStream) -> std::io::Result<Self> {
        set_options(&stream)?;
        Ok(Self::framed(stream))
    }
}

impl PeerConnection<FrameStream> {
    /// Wraps a connection that another relay has opened. Fails if its socket options cannot be set.
    pub(super) fn accepted(stream: FrameStream) -> std::io::Result<Self> {
        set_options(stream.get_ref())?;
        Ok(Self::framed(stream))
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

impl<S: AsyncRead + AsyncWrite + Unpin> PeerConnection<S> {
    fn framed(stream: S) -> Self {
        Self(Framed::new(stream, FrameCodec { max_bytes: MAX_FRAME_BYTES }))
    }

    /// Sends a message.
    pub(super) async fn send<T: Serialize>(&mut self, message: &T) -> std::io::Result<()> {
        let bytes = bincode::serialize(message).map_err(std::io::Error::other)?;
        self.0.send(Bytes::from(bytes)).await
    }

    /// Receives a message. Fails if the connection has ended or the message cannot be decoded.
    pub(super) async fn receive<T: DeserializeOwned>(&mut self) -> std::io::Result<T> {
        let ended = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        let bytes = self.0.next().await.ok_or_else(ended)??;
        bincode::deserialize(&bytes).map_err(std::io::Error::other)
    }
}

/// Another relay.
pub(super) struct Peer {
    pub(super) addr: SocketAddr,
    idle: Mutex<IdleConnections<PeerConnection>>,
    suspended: AtomicBool,
    /// Shortest time that a connect took, in microseconds, as an estimate of the round-trip time.
    round_trip_us: AtomicU64,
}

impl Peer {
    fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Mutex::new(IdleConnections::new(MAX_IDLE)),
            suspended: AtomicBool::new(false),
            round_trip_us: AtomicU64::new(INITIAL_ROUND_TRIP.as_micros() as u64),
        }
    }

    /// Estimated round-trip time.
    pub(super) fn round_trip(&self) -> Duration {
        Duration::from_micros(self.round_trip_us.load(Ordering::Relaxed))
    }

    /// Whether the relay failed to respond and has not answered a ping since.
    pub(super) fn is_suspended(&self) -> bool {
        self.suspended.load(Ordering::Relaxed)
    }

    /// Returns an idle connection or opens a new one.
    pub(super) async fn connection(&self) -> std::io::Result<PeerConnection> {
        let start = Instant::now();
        if let Some(conn) = self.idle.lock().take(start) {
            return Ok(conn);
        }
        let stream =
            timeout(ACCEPT_TIMEOUT + self.round_trip(), TcpStream::connect(self.addr)).await??;
        let took_us = start.elapsed().as_micros() as u64;
        self.round_trip_us.fetch_min(took_us, Ordering::Relaxed);
        PeerConnection::opened(stream)
    }

    /// Keeps a connection for reuse. No reply may be outstanding on it.
    pub(super) fn put_idle(&self, conn: PeerConnection) {
        let now = Instant::now();
        self.idle.lock().put(conn, now + IDLE_TIMEOUT, now);
    }

    /// Excludes the relay from delegations until it answers a ping, and closes its idle connections.
    pub(super) fn suspend(self: &Arc<Self>, cause: &str) {
        self.idle.lock().clear();
        if self.suspended.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("event=relay_lost peer={} cause={cause:?}", self.addr);
        // A weak reference: the task ends once the peer is removed because its relay has left the view.
        let peer = Arc::downgrade(self);
        tokio::spawn(async move {
            loop {
                sleep(PROBE_INTERVAL).await;
                let Some(peer) = peer.upgrade() else { return };
                if peer.answers_ping().await {
                    peer.suspended.store(false, Ordering::Relaxed);
                    log::info!("event=relay_regained peer={}", peer.addr);
                    return;
                }
            }
        });
    }

    async fn answers_ping(&self) -> bool {
        let ping = async {
            let mut conn = self.connection().await?;
            conn.send(&Message::Ping).await?;
            let reply: Reply = conn.receive().await?;
            self.put_idle(conn);
            Ok::<_, std::io::Error>(reply == Reply::Accepted)
        };
        matches!(timeout(ACCEPT_TIMEOUT + 2 * self.round_trip(), ping).await, Ok(Ok(true)))
    }
}

/// The other relays that this one has used, by address.
#[derive(Default)]
pub(super) struct Peers(Mutex<HashMap<SocketAddr, Arc<Peer>>>);

impl Peers {
    /// The relay at this address.
    pub(super) fn get(&self, addr: SocketAddr) -> Arc<Peer> {
        self.0.lock().entry(addr).or_insert_with(|| Arc::new(Peer::new(addr))).clone()
    }

    /// Removes relays whose address does not satisfy `known`.
    pub(super) fn retain(&self, known: impl Fn(&SocketAddr) -> bool) {
        self.0.lock().retain(|addr, _| known(addr));
    }
}
