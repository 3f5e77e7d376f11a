//! The interface between the root of a request and the owners of targets.

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

/// The process of an entry host that owns targets, as an address for calls.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer {
    /// The name of the host.
    pub name: String,
    /// Distinguishes processes with the same host name.
    pub incarnation: u64,
    /// The address of its tarpc server.
    pub rpc: SocketAddr,
}

impl From<&NodeView> for Peer {
    fn from(node: &NodeView) -> Self {
        Self { name: node.name.clone(), incarnation: node.incarnation, rpc: node.rpc }
    }
}

/// Calls to the owners of targets, both in this process and in other entry hosts.
pub trait Owners: Send + Sync + 'static {
    /// Applies a configuration to the targets that this process owns.
    fn apply(&self, view: &Arc<View>);

    /// Runs a batch. Returns when all its sub-requests are finished, or after `partial_after_ms` with what is finished.
    fn exec(&self, peer: &Peer, batch: Batch) -> impl Future<Output = Result<Progress>> + Send;

    /// Waits until more sub-requests of a batch are finished, at most `wait`.
    fn collect(
        &self,
        peer: &Peer,
        id: BatchId,
        wait: Duration,
    ) -> impl Future<Output = Result<Progress>> + Send;

    /// Cancels the sub-requests of a batch for these shards.
    fn cancel(&self, peer: &Peer, id: BatchId, shards: Vec<u32>)
    -> impl Future<Output = ()> + Send;

    /// Runs a non-idempotent request. An error whose kind has the outcome `not_run` means that no byte of the request
    /// reached a target; any other error means that it may have run.
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

    /// Finishes the running work of the targets that this process owns and hands them over.
    fn stop(&self) -> impl Future<Output = ()> + Send;
}
