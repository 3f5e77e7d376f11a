//! RPC clients for other entry hosts. All tasks of this process share one connection per host.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tarpc::{client, context, serde_transport::tcp, tokio_serde::formats::Bincode};

use crate::{
    error::{Error, Kind, Result},
    wire::{MAX_FRAME_BYTES, owner::ServiceClient},
};

/// The maximum duration of one connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval of health checks on a connection that was used since the previous one.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// A connection is replaced if a health check gets no response within this time. The round trip between regions takes
/// 16 ms, so the rest allows for a busy host.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The clients of other entry hosts, by RPC address.
#[derive(Default)]
pub struct Peers {
    clients: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
    connect_locks: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<()>>>>,
}

#[derive(Clone)]
struct Peer {
    client: ServiceClient,
    used_since_probe: Arc<AtomicBool>,
    open: Arc<AtomicBool>,
}

impl Peers {
    /// Creates an empty set of clients.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the client for the host at this address. Connects if there is no open connection; concurrent calls for
    /// the same address share one attempt if it succeeds. A connection whose health check fails is removed, so the next
    /// call connects again.
    pub async fn get(&self, addr: SocketAddr) -> Result<ServiceClient> {
        if let Some(client) = self.open_client(addr) {
            return Ok(client);
        }
        let connect_lock = self.connect_locks.lock().entry(addr).or_default().clone();
        let _guard = connect_lock.lock().await;
        if let Some(client) = self.open_client(addr) {
            return Ok(client);
        }
        self.connect(addr).await
    }

    /// Removes the client for this address, so that the next call connects again. The connection closes once all clones
    /// of the client are dropped; its pending calls then fail.
    pub fn drop_peer(&self, addr: SocketAddr) {
        self.clients.lock().remove(&addr);
    }

    fn open_client(&self, addr: SocketAddr) -> Option<ServiceClient> {
        let clients = self.clients.lock();
        let peer = clients.get(&addr).filter(|it| it.open.load(Ordering::Acquire))?;
        peer.used_since_probe.store(true, Ordering::Relaxed);
        Some(peer.client.clone())
    }

    async fn connect(&self, addr: SocketAddr) -> Result<ServiceClient> {
        let mut transport = tcp::connect(addr, Bincode::default);
        transport.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let fail =
            |cause: String| Error::new(Kind::NotOwner, format!("cannot reach {addr}: {cause}"));
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, transport)
            .await
            .map_err(|_| fail("timeout".into()))?
            .map_err(|err| fail(err.to_string()))?;
        let _ = transport.get_ref().set_nodelay(true);
        let new = ServiceClient::new(client::Config::default(), transport);
        let open = Arc::new(AtomicBool::new(true));
        let closed = open.clone();
        tokio::spawn(async move {
            if let Err(err) = new.dispatch.await {
                log::warn!("event=peer_closed peer={addr} cause={:?}", err.to_string());
            }
            closed.store(false, Ordering::Release);
        });
        let peer =
            Peer { client: new.client, used_since_probe: Arc::new(AtomicBool::new(true)), open };
        self.clients.lock().insert(addr, peer.clone());
        tokio::spawn(probe(Arc::downgrade(&self.clients), addr, peer.clone()));
        Ok(peer.client)
    }
}

/// Sends health checks on a connection that is in use, and removes it from `clients` if one fails.
async fn probe(
    clients: std::sync::Weak<Mutex<HashMap<SocketAddr, Peer>>>,
    addr: SocketAddr,
    peer: Peer,
) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let Some(clients) = clients.upgrade() else { return };
        let current = clients.lock().get(&addr).is_some_and(|it| Arc::ptr_eq(&it.open, &peer.open));
        if !current || !peer.open.load(Ordering::Acquire) {
            return;
        }
        if !peer.used_since_probe.swap(false, Ordering::Relaxed) {
            continue;
        }
        let mut context = context::current();
        context.deadline = Instant::now() + PROBE_TIMEOUT;
        // Batch 0 does not exist, so the peer responds at once with an error. Any response shows that it works.
        if peer.client.collect(context, 0, 0).await.is_err() {
            log::warn!(
                "event=peer_silent peer={addr} cause=\"health check failed (timeout 500 ms)\""
            );
            peer.open.store(false, Ordering::Release);
            let mut clients = clients.lock();
            if clients.get(&addr).is_some_and(|it| Arc::ptr_eq(&it.open, &peer.open)) {
                clients.remove(&addr);
            }
            return;
        }
    }
}
