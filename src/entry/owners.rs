//! How the root of a query reaches the owners of targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    error::Result,
    state::{NodeView, View},
    wire::{
        operator::OwnedTarget,
        owner::{Batch, BatchId, Dispatch, Dispatched, Progress},
        target::Announcement,
    },
};

/// The process of an entry host that owns targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer {
    /// The name of the host.
    pub name: String,
    /// The process of the host.
    pub incarnation: u64,
    /// The address for other processes of the system.
    pub rpc: SocketAddr,
}

impl From<&NodeView> for Peer {
    fn from(node: &NodeView) -> Self {
        Self { name: node.name.clone(), incarnation: node.incarnation, rpc: node.rpc }
    }
}

/// The owners of all targets, this process included.
pub trait Owners: Send + Sync + 'static {
    /// Puts a revision of the configuration into force for the targets that this process owns.
    fn apply(&self, view: &Arc<View>);

    /// Runs a batch; answers when all is finished or after `partial_after_ms`.
    fn exec(&self, peer: &Peer, batch: Batch) -> impl Future<Output = Result<Progress>> + Send;

    /// Waits until something more of a batch is finished, at most `wait`.
    fn collect(
        &self,
        peer: &Peer,
        id: BatchId,
        wait: Duration,
    ) -> impl Future<Output = Result<Progress>> + Send;

    /// Cancels these shards of a batch.
    fn cancel(&self, peer: &Peer, id: BatchId, shards: Vec<u32>)
    -> impl Future<Output = ()> + Send;

    /// Runs a request that may not be repeated. An error whose kind has the outcome `not_run` means that no byte of the
    /// request reached a target; any other error means that it may have run.
    fn dispatch(
        &self,
        peer: &Peer,
        dispatch: Dispatch,
    ) -> impl Future<Output = Result<Dispatched>> + Send;

    /// Forwards a renewal to the target's owner.
    fn renew(
        &self,
        peer: &Peer,
        announcement: Announcement,
    ) -> impl Future<Output = Result<()>> + Send;

    /// The targets that this process owns.
    fn status(&self) -> Vec<OwnedTarget>;

    /// Finishes the work of this process's targets and releases them.
    fn stop(&self) -> impl Future<Output = ()> + Send;
}
