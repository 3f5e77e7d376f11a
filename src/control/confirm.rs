//! Batched read index requests. A read index is the commit index of the leader at the start of a round in which a
//! quorum confirms that it still leads. A host that has applied this index can serve a linearizable read. Reads that
//! arrive while a request is in progress share the next one, so that the number of rounds does not grow with that of
//! polls.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    control::{driver::Input, host::Host},
    error::{Error, Kind, Result},
    raft::Index,
    wire::control::{ProcessId, ServiceClient},
};

/// Timeout of one request. After a failed poll an entry host must have time to poll another control host before its
/// lease expires.
const READ_INDEX_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of reads that share one request.
const MAX_BATCH_READS: usize = 4_096;

/// A read that waits for a read index.
pub struct Request {
    /// Heartbeats for the leader: the polling process, or targets whose announcements were renewed. Empty for other
    /// reads.
    pub heartbeats: Vec<ProcessId>,
    /// Receives the read index.
    pub tx: oneshot::Sender<Result<Index>>,
}

/// Serves reads, one batch after the other. A batch contains only reads that arrived before its request was sent, so
/// that none of them gets an index from before its arrival.
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
            index.unwrap_or_else(|_| Err(Error::new(Kind::NoQuorum, "read not confirmed in time")));
        for request in batch.drain(..) {
            let _ = request.tx.send(index.clone());
        }
    }
}

/// Asks the leader for a read index: the consensus thread of this host if it leads, else the leader by RPC.
async fn request_read_index(host: &Host, heartbeats: Vec<ProcessId>) -> Result<Index> {
    let (leader, addr) = host.leader().await?;
    if leader == host.id {
        return host.call_driver(|tx| Input::Read(heartbeats, tx)).await;
    }
    let call = async |client: &ServiceClient, context| client.read_index(context, heartbeats).await;
    host.peers.get(addr).call(READ_INDEX_TIMEOUT, call).await?
}
