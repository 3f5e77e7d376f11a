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
const QUEUED_MESSAGES: usize = 1_024;

/// How many bytes go into one call.
const MAX_CALL_BYTES: usize = 400 << 10;

/// How many calls to one host are under way.
const MAX_CALLS: usize = 4;

/// The pause after a failure.
const PAUSE: Duration = Duration::from_millis(50);

/// Sends messages to other control hosts, each from its own task.
pub struct Links {
    runtime: Handle,
    own: SocketAddr,
    limit: Duration,
    links: HashMap<SocketAddr, Sender<Message>>,
}

impl Links {
    /// Makes links whose calls take at most `limit`.
    pub fn new(runtime: Handle, own: SocketAddr, limit: Duration) -> Self {
        Self { runtime, own, limit, links: HashMap::new() }
    }

    /// Sends a message, or drops it if too many wait.
    pub fn send(&mut self, addr: SocketAddr, peer: impl FnOnce() -> Arc<Peer>, message: Message) {
        let (own, limit) = (self.own, self.limit);
        let link = self.links.entry(addr).or_insert_with(|| {
            let (tx, rx) = channel(QUEUED_MESSAGES);
            self.runtime.spawn(deliver(peer(), own, limit, rx));
            tx
        });
        let _ = link.try_send(message);
    }
}

async fn deliver(peer: Arc<Peer>, own: SocketAddr, limit: Duration, mut rx: Receiver<Message>) {
    let mut calls = FuturesUnordered::new();
    loop {
        tokio::select! {
            Some(result) = calls.next(), if !calls.is_empty() => {
                let result: crate::error::Result<()> = result;
                if result.is_err() {
                    tokio::time::sleep(PAUSE).await;
                }
            }
            message = rx.recv(), if calls.len() < MAX_CALLS => {
                let Some(message) = message else { return };
                let messages = batch(message, &mut rx);
                let peer = &peer;
                calls.push(async move {
                    let call = async |client: &crate::wire::control::ServiceClient, context| {
                        client.raft(context, own, messages).await
                    };
                    peer.call(limit, call).await
                });
            }
        }
    }
}

fn batch(first: Message, rx: &mut Receiver<Message>) -> Vec<Message> {
    let mut bytes = size(&first);
    let mut messages = vec![first];
    while bytes < MAX_CALL_BYTES
        && let Ok(message) = rx.try_recv()
    {
        bytes += size(&message);
        messages.push(message);
    }
    messages
}

fn size(message: &Message) -> usize {
    const OVERHEAD_BYTES: usize = 128;
    let content = match &message.body {
        Body::Append { entries, .. } => entries.iter().map(Entry::bytes).sum(),
        Body::SnapshotPart { data, .. } => data.len(),
        _ => 0,
    };
    OVERHEAD_BYTES + content
}
