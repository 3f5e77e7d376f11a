//! Connections to other entry hosts, shared by everything in this process.

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

/// How long one attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a connection in use is checked.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// How long the answer to a check may take before the connection is replaced. Regions are 16 ms apart (there and
/// back), so this leaves ample room for a busy host.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Clients of other entry hosts by address.
#[derive(Default)]
pub struct Peers {
    clients: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
    connecting: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<()>>>>,
}

#[derive(Clone)]
struct Peer {
    client: ServiceClient,
    used: Arc<AtomicBool>,
    open: Arc<AtomicBool>,
}

impl Peers {
    /// Makes an empty set of clients.
    pub fn new() -> Self {
        Self::default()
    }

    /// The client of the host at this address; connects if there is no working connection. A connection that does not
    /// answer a check within 500 ms is dropped, so that the next call gets a new one.
    pub async fn get(&self, addr: SocketAddr) -> Result<ServiceClient> {
        if let Some(client) = self.open_client(addr) {
            return Ok(client);
        }
        let connecting = self.connecting.lock().entry(addr).or_default().clone();
        let _guard = connecting.lock().await;
        if let Some(client) = self.open_client(addr) {
            return Ok(client);
        }
        self.connect(addr).await
    }

    /// Drops the connection to this address; calls that wait on it end with an error once their clients are dropped.
    pub fn drop_peer(&self, addr: SocketAddr) {
        self.clients.lock().remove(&addr);
    }

    fn open_client(&self, addr: SocketAddr) -> Option<ServiceClient> {
        let clients = self.clients.lock();
        let peer = clients.get(&addr).filter(|it| it.open.load(Ordering::Acquire))?;
        peer.used.store(true, Ordering::Relaxed);
        Some(peer.client.clone())
    }

    async fn connect(&self, addr: SocketAddr) -> Result<ServiceClient> {
        let mut transport = tcp::connect(addr, Bincode::default);
        transport.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let fail =
            |cause: String| Error::new(Kind::NotOwner, format!("no connection to {addr}: {cause}"));
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
        let peer = Peer { client: new.client, used: Arc::new(AtomicBool::new(true)), open };
        self.clients.lock().insert(addr, peer.clone());
        tokio::spawn(probe(Arc::downgrade(&self.clients), addr, peer.clone()));
        Ok(peer.client)
    }
}

/// Checks a connection in use and drops it when it does not answer.
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
        if !peer.used.swap(false, Ordering::Relaxed) {
            continue;
        }
        let mut context = context::current();
        context.deadline = Instant::now() + PROBE_TIMEOUT;
        // No batch has the number 0, so that this call only shows that the peer answers.
        if peer.client.collect(context, 0, 0).await.is_err() {
            log::warn!("event=peer_silent peer={addr} cause=\"no answer within 500 ms\"");
            peer.open.store(false, Ordering::Release);
            let mut clients = clients.lock();
            if clients.get(&addr).is_some_and(|it| Arc::ptr_eq(&it.open, &peer.open)) {
                clients.remove(&addr);
            }
            return;
        }
    }
}
