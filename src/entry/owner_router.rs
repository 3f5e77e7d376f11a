//! Routes calls to the owner of a target: a function call if it is this process, tarpc if it is another entry host.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tarpc::{client::RpcError, context};

use crate::{
    entry::owners::{Owners, Peer},
    error::{Error, Kind, Result},
    owner::Owner,
    peer::Peers,
    state::View,
    wire::{
        operator::OwnedTarget,
        owner::{Batch, BatchId, Dispatch, Dispatched, Progress},
        target::Announcement,
    },
};

/// The timeout of calls that the other host answers at once.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long to wait for the answer to a dispatch beyond the deadline of the dispatch itself.
const DISPATCH_REPLY_MARGIN: Duration = Duration::from_millis(20);

/// The owner in this process and the connections to those in other entry hosts.
pub struct OwnerRouter {
    name: String,
    incarnation: u64,
    owner: Arc<Owner>,
    peers: Arc<Peers>,
}

impl OwnerRouter {
    /// Creates a router for the process `incarnation` of the host `name`.
    pub fn new(name: &str, incarnation: u64, owner: Arc<Owner>, peers: Arc<Peers>) -> Self {
        Self { name: name.to_owned(), incarnation, owner, peers }
    }

    fn is_local(&self, peer: &Peer) -> bool {
        peer.incarnation == self.incarnation && peer.name == self.name
    }
}

impl Owners for OwnerRouter {
    fn apply(&self, view: &Arc<View>) {
        self.owner.apply(view);
    }

    async fn exec(&self, peer: &Peer, batch: Batch) -> Result<Progress> {
        if self.is_local(peer) {
            return self.owner.exec(batch).await;
        }
        let timeout = Duration::from_millis(batch.deadline_ms);
        let client = self.peers.get(peer.rpc).await?;
        client.exec(call_context(timeout), batch).await.unwrap_or_else(|err| call_error(&err))
    }

    async fn collect(&self, peer: &Peer, id: BatchId, wait: Duration) -> Result<Progress> {
        if self.is_local(peer) {
            return self.owner.collect(id, wait).await;
        }
        let client = self.peers.get(peer.rpc).await?;
        let wait_ms = wait.as_millis() as u64;
        client.collect(call_context(wait), id, wait_ms).await.unwrap_or_else(|err| call_error(&err))
    }

    async fn cancel(&self, peer: &Peer, id: BatchId, shards: Vec<u32>) {
        if self.is_local(peer) {
            return self.owner.cancel(id, shards).await;
        }
        if let Ok(client) = self.peers.get(peer.rpc).await {
            let _ = client.cancel(call_context(SHORT_CALL_TIMEOUT), id, shards).await;
        }
    }

    async fn dispatch(&self, peer: &Peer, dispatch: Dispatch) -> Result<Dispatched> {
        if self.is_local(peer) {
            return self.owner.dispatch(dispatch).await;
        }
        let timeout = Duration::from_millis(dispatch.deadline_ms) + DISPATCH_REPLY_MARGIN;
        let client = self.peers.get(peer.rpc).await?;
        client
            .dispatch(call_context(timeout), dispatch)
            .await
            .unwrap_or_else(|err| call_error(&err))
    }

    async fn renew(&self, peer: &Peer, announcement: Announcement) -> Result<()> {
        if self.is_local(peer) {
            return self.owner.renew(announcement);
        }
        let client = self.peers.get(peer.rpc).await?;
        client
            .renew(call_context(SHORT_CALL_TIMEOUT), announcement)
            .await
            .unwrap_or_else(|err| call_error(&err))
    }

    fn status(&self) -> Vec<OwnedTarget> {
        self.owner.status()
    }

    async fn stop(&self) {
        self.owner.stop().await;
    }
}

fn call_context(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// Maps a failed call to an error kind whose outcome is `unknown`, because the call may have arrived.
fn call_error<T>(err: &RpcError) -> Result<T> {
    let kind = match err {
        RpcError::DeadlineExceeded => Kind::Timeout,
        _ => Kind::Disconnected,
    };
    Err(Error::new(kind, format!("call to another entry host failed: {err}")))
}
