//! RPC connections to other control hosts, one per address, opened on demand.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tarpc::{
    client::{self, RpcError},
    context::{self, Context},
    serde_transport::tcp,
    tokio_serde::formats::Bincode,
};
use tokio::time::timeout_at;

use crate::{
    error::{Error, Kind, Result},
    wire::{MAX_FRAME_BYTES, control::ServiceClient},
};

/// The connection to another control host. It is closed after a failed or timed-out call, and the next call opens a new
/// one.
pub struct Peer {
    addr: SocketAddr,
    connection: tokio::sync::Mutex<Option<Arc<ServiceClient>>>,
}

impl Peer {
    /// Makes a call with a timeout that includes opening the connection.
    pub async fn call<T>(
        &self,
        call_timeout: Duration,
        request: impl AsyncFnOnce(&ServiceClient, Context) -> Result<T, RpcError>,
    ) -> Result<T> {
        let mut context = context::current();
        context.deadline = Instant::now() + call_timeout;
        let client = match timeout_at(context.deadline.into(), self.connect()).await {
            Ok(client) => client?,
            Err(_) => return Err(self.error("connection timed out")),
        };
        let answer = timeout_at(context.deadline.into(), request(&client, context)).await;
        let cause = match answer {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(err)) => err.to_string(),
            Err(_) => "call timed out".into(),
        };
        self.disconnect(&client).await;
        Err(self.error(cause))
    }

    async fn connect(&self) -> Result<Arc<ServiceClient>> {
        let mut connection = self.connection.lock().await;
        if let Some(client) = &*connection {
            return Ok(client.clone());
        }
        let mut transport = tcp::connect(self.addr, Bincode::default);
        transport.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = transport.await.map_err(|err| self.error(err))?;
        let _ = transport.get_ref().set_nodelay(true);
        let client = Arc::new(ServiceClient::new(client::Config::default(), transport).spawn());
        *connection = Some(client.clone());
        Ok(client)
    }

    /// Closes the connection, unless another call has already replaced it.
    async fn disconnect(&self, client: &Arc<ServiceClient>) {
        let mut connection = self.connection.lock().await;
        if connection.as_ref().is_some_and(|it| Arc::ptr_eq(it, client)) {
            *connection = None;
        }
    }

    fn error(&self, cause: impl std::fmt::Display) -> Error {
        Error::new(Kind::NoQuorum, format!("control host {}: {cause}", self.addr))
    }
}

/// The connections to other control hosts, by RPC address.
#[derive(Default)]
pub struct Peers {
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

impl Peers {
    /// Returns the connection to this address, which may not be open yet.
    pub fn get(&self, addr: SocketAddr) -> Arc<Peer> {
        let new_peer = || Arc::new(Peer { addr, connection: tokio::sync::Mutex::default() });
        self.peers.lock().entry(addr).or_insert_with(new_peer).clone()
    }
}
