//! Delivery of consensus messages. Messages may get lost; the consensus sends them again.

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

/// How many messages wait for a host; more are dropped.
const QUEUE_CAPACITY: usize = 1_024;

/// How many bytes go into one call.
const MAX_BATCH_BYTES: usize = 400 << 10;

/// How many calls to one host are under way.
const MAX_CALLS_IN_FLIGHT: usize = 4;

/// The pause after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends messages to other control hosts, each from its own_addr task.
pub struct RaftTransport {
    runtime: Handle,
    own_addr: SocketAddr,
    call_timeout: Duration,
    queues: HashMap<SocketAddr, Sender<Message>>,
}

impl RaftTransport {
    /// Makes queues whose calls take at most `call_timeout`.
    pub fn new(runtime: Handle, own_addr: SocketAddr, call_timeout: Duration) -> Self {
        Self { runtime, own_addr, call_timeout, queues: HashMap::new() }
    }

    /// Sends a message, or drops it if too many wait.
    pub fn send(&mut self, addr: SocketAddr, peer: impl FnOnce() -> Arc<Peer>, message: Message) {
        let (own_addr, call_timeout) = (self.own_addr, self.call_timeout);
        let queue = self.queues.entry(addr).or_insert_with(|| {
            let (tx, rx) = channel(QUEUE_CAPACITY);
            self.runtime.spawn(run_sender(peer(), own_addr, call_timeout, rx));
            tx
        });
        let _ = queue.try_send(message);
    }
}

async fn run_sender(
    peer: Arc<Peer>,
    own_addr: SocketAddr,
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
                let messages = collect_batch(message, &mut rx);
                let peer = &peer;
                calls.push(async move {
                    let call = async |client: &crate::wire::control::ServiceClient, context| {
                        client.raft(context, own_addr, messages).await
                    };
                    peer.call(call_timeout, call).await
                });
            }
        }
    }
}

fn collect_batch(first: Message, rx: &mut Receiver<Message>) -> Vec<Message> {
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
        Body::Snapshot { data, .. } => data.len(),
        _ => 0,
    };
    OVERHEAD_BYTES + content
}
