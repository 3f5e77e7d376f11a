//! Confirmation that a quorum still follows the leader: polls and reads that wait share one round.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    control::{driver::Input, host::Host},
    error::{Error, Kind, Result},
    raft::Index,
    wire::control::{Heard, ServiceClient},
};

/// How long a confirmation may take. An entry host must have time left to poll another control host.
const READ_INDEX_TIMEOUT: Duration = Duration::from_millis(400);

/// How many reads share one round.
const MAX_BATCH_READS: usize = 4_096;

/// A read that waits for a confirmation, and the entry host that polled.
pub struct Request {
    /// The entry host, if the read is a poll, or targets that renewed their announcements.
    pub heartbeats: Vec<Heard>,
    /// Takes the index at which the read is not stale.
    pub tx: oneshot::Sender<Result<Index>>,
}

/// Confirms reads, one round after the other. A round covers only requests that arrived before it started.
pub async fn run(host: Arc<Host>, mut rx: mpsc::Receiver<Request>) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH_READS).await > 0 {
        let heartbeats = batch.iter_mut().flat_map(|it| std::mem::take(&mut it.heartbeats));
        let heartbeats: BTreeSet<_> = heartbeats.collect();
        let index = timeout(
            READ_INDEX_TIMEOUT,
            request_read_index(&host, heartbeats.into_iter().collect()),
        )
        .await;
        let index =
            index.unwrap_or_else(|_| Err(Error::new(Kind::NoQuorum, "not confirmed in time")));
        for request in batch.drain(..) {
            let _ = request.tx.send(index.clone());
        }
    }
}

async fn request_read_index(host: &Host, heartbeats: Vec<Heard>) -> Result<Index> {
    let (leader, addr) = host.leader().await?;
    if leader == host.id {
        return host.call_driver(|tx| Input::Read(heartbeats, tx)).await;
    }
    let call = async |client: &ServiceClient, context| client.read_index(context, heartbeats).await;
    host.peers.get(addr).call(READ_INDEX_TIMEOUT, call).await?
}
