//! Messages from the root of a query to the owners.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    entry::{owners::Peer, query::Ask},
    wire::owner::{Batch, BatchId, Item},
};

/// A message to an owner.
pub(super) enum Step {
    /// Runs a batch.
    Exec(Arc<Peer>, Box<Batch>),
    /// Waits for the rest of a batch.
    Collect(Arc<Peer>, BatchId, Duration),
    /// Cancels shards of a batch.
    Cancel(Arc<Peer>, BatchId, Vec<u32>),
}

/// A batch that was sent and the sub-requests of it that are still wanted.
pub(super) struct Sent {
    pub(super) peer: Arc<Peer>,
    pub(super) at: Instant,
    /// When its late sub-requests are hedged.
    pub(super) hedge_at: Instant,
    pub(super) items: BTreeMap<u32, String>,
}

/// A batch of these sub-requests.
pub(super) fn batch(
    ask: &Ask,
    id: BatchId,
    version: u64,
    items: &BTreeMap<u32, String>,
    left: Duration,
    partial_after: Duration,
) -> Batch {
    let item = |(shard, target): (&u32, &String)| Item { shard: *shard, target: target.clone() };
    Batch {
        request_id: ask.id.0,
        id,
        traceparent: None,
        index: ask.index.clone(),
        version,
        kind: ask.kind.clone(),
        class: ask.class,
        text: ask.text.clone(),
        fingerprint: ask.fingerprint,
        canary: false,
        deadline_ms: left.as_millis() as u64,
        partial_after_ms: partial_after.as_millis().max(1) as u64,
        items: items.iter().map(item).collect(),
    }
}
