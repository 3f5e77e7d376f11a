//! Transport of Raft messages to other control hosts, with one queue and one task per host. Delivery is best effort:
//! Raft retransmits lost messages.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use tokio::{
    runtime::Handle,
    sync::mpsc::{Receiver, Sender, channel},
};

use crate::{
    control::peer::Peer,
    raft::{Body, Entry, Message},
};

/// Maximum number of queued messages per host; further ones are dropped.
const QUEUE_CAPACITY: usize = 1_024;

/// No message is added to a call that has reached this size, in bytes. A call exceeds it by at most one message, and so
/// fits into an RPC frame also with a route table of the maximum size.
const MAX_BATCH_BYTES: usize = 400 << 10;

/// Maximum number of concurrent calls to one host.
const MAX_CALLS_IN_FLIGHT: usize = 4;

/// Delay after a failed call, during which no further call to this host is started.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends Raft messages to other control hosts.
pub struct RaftTransport {
    runtime: Handle,
    own: SocketAddr,
    call_timeout: Duration,
    queues: HashMap<SocketAddr, Sender<Message>>,
}

impl RaftTransport {
    /// Creates a transport. `own` is the RPC address that receivers should reply to.
    pub fn new(runtime: Handle, own: SocketAddr, call_timeout: Duration) -> Self {
        Self { runtime, own, call_timeout, queues: HashMap::new() }
    }

    /// Queues a message for the host at `addr`, or drops it if the queue is full. The task that sends is started with the
    /// first message, and again if it has ended: otherwise this host would never again hear from the other one.
    pub fn send(&mut self, addr: SocketAddr, peer: impl FnOnce() -> Arc<Peer>, message: Message) {
        if self.queues.get(&addr).is_none_or(Sender::is_closed) {
            let (tx, rx) = channel(QUEUE_CAPACITY);
            self.runtime.spawn(run_sender(peer(), self.own, self.call_timeout, rx));
            if self.queues.insert(addr, tx).is_some() {
                log::error!(
                    "event=task_ended task=raft_sender peer={addr} cause=\"started again\""
                );
            }
        }
        let _ = self.queues[&addr].try_send(message);
    }
}

/// Sends the queued messages of one host in batches.
async fn run_sender(
    peer: Arc<Peer>,
    own: SocketAddr,
    call_timeout: Duration,
    mut rx: Receiver<Message>,
) {
    let mut calls = FuturesUnordered::new();
    loop {
        tokio::select! {
            Some(result) = calls.next(), if !calls.is_empty() => {
                let result: crate::error::Result<()> = result;
                if result.is_err() {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            message = rx.recv(), if calls.len() < MAX_CALLS_IN_FLIGHT => {
                let Some(message) = message else { return };
                let messages = batch(message, &mut rx);
                let peer = &peer;
                calls.push(async move {
                    let call = async |client: &crate::wire::control::ServiceClient, context| {
                        client.raft(context, own, messages).await
                    };
                    peer.call(call_timeout, call).await
                });
            }
        }
    }
}

/// Collects the messages that are already queued, up to the size of a call.
fn batch(first: Message, rx: &mut Receiver<Message>) -> Vec<Message> {
    let mut bytes = approx_bytes(&first);
    let mut messages = vec![first];
    while bytes < MAX_BATCH_BYTES
        && let Ok(message) = rx.try_recv()
    {
        bytes += approx_bytes(&message);
        messages.push(message);
    }
    messages
}

fn approx_bytes(message: &Message) -> usize {
    const OVERHEAD_BYTES: usize = 128;
    let content = match &message.body {
        Body::Append { entries, .. } => entries.iter().map(Entry::bytes).sum(),
        Body::SnapshotPart { data, .. } => data.len(),
        _ => 0,
    };
    OVERHEAD_BYTES + content
}
