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
    wire::control::{ProcessId, ServiceClient},
};

/// How long a confirmation may take. An entry host must have time left to poll another control host.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// How many reads share one round.
const MAX_BATCH: usize = 4_096;

/// A read that waits for a confirmation, and the entry host that polled.
pub struct Request {
    /// The entry host, if the read is a poll, or targets that renewed their announcements.
    pub heard: Vec<ProcessId>,
    /// Takes the index at which the read is not stale.
    pub tx: oneshot::Sender<Result<Index>>,
}

/// Confirms reads, one round after the other. A round covers only requests that arrived before it started.
pub async fn run(host: Arc<Host>, mut rx: mpsc::Receiver<Request>) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let heard = batch.iter_mut().flat_map(|it| std::mem::take(&mut it.heard));
        let heard: BTreeSet<_> = heard.collect();
        let index = timeout(CONFIRM_TIMEOUT, confirm(&host, heard.into_iter().collect())).await;
        let index =
            index.unwrap_or_else(|_| Err(Error::new(Kind::NoQuorum, "not confirmed in time")));
        for request in batch.drain(..) {
            let _ = request.tx.send(index.clone());
        }
    }
}

async fn confirm(host: &Host, heard: Vec<ProcessId>) -> Result<Index> {
    let (leader, addr) = host.leader().await?;
    if leader == host.id {
        return host.ask(|tx| Input::Read(heard, tx)).await;
    }
    let call = async |client: &ServiceClient, context| client.read_index(context, heard).await;
    host.peers.at(addr).call(CONFIRM_TIMEOUT, call).await?
}
