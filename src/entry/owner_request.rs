//! Messages from the root of a query to the owners.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    entry::{owners::Peer, query::QuerySpec},
    error::{Kind, Outcome},
    wire::owner::{Batch, BatchId, Item},
};

/// The pause before the next collect after one that brought nothing new, so that an owner that answers at once without
/// results costs little.
const EMPTY_PAUSE: Duration = Duration::from_millis(5);

/// A message to an owner.
pub(super) enum OwnerRequest {
    /// Runs a batch.
    Exec(Arc<Peer>, Box<Batch>),
    /// Waits for the rest of a batch, after a pause.
    Collect { peer: Arc<Peer>, id: BatchId, pause: Duration, wait: Duration },
    /// Cancels shards of a batch.
    Cancel(Arc<Peer>, BatchId, Vec<u32>),
}

/// A batch that was sent and the sub-requests of it that are still wanted.
pub(super) struct SentBatch {
    pub(super) peer: Arc<Peer>,
    pub(super) sent_at: Instant,
    /// When its late sub-requests are hedged.
    pub(super) hedge_at: Instant,
    pub(super) items: BTreeMap<u32, String>,
    /// How many sub-requests were left when the last collect was sent.
    pending_at_collect: Option<usize>,
}

impl SentBatch {
    pub(super) fn new(
        peer: Arc<Peer>,
        sent_at: Instant,
        hedge_at: Instant,
        items: BTreeMap<u32, String>,
    ) -> Self {
        Self { peer, sent_at, hedge_at, items, pending_at_collect: None }
    }

    /// Asks for the rest.
    pub(super) fn collect(&mut self, id: BatchId, wait: Duration) -> OwnerRequest {
        let nothing_new = self.pending_at_collect == Some(self.items.len());
        self.pending_at_collect = Some(self.items.len());
        let pause = if nothing_new { EMPTY_PAUSE } else { Duration::ZERO };
        OwnerRequest::Collect { peer: self.peer.clone(), id, pause, wait }
    }

    /// How the sub-requests deadline if the call fails this way. Once the batch has arrived they may have run, whatever the
    /// call says.
    pub(super) fn failure(&self, kind: Kind) -> Kind {
        if self.pending_at_collect.is_some() && kind.outcome() == Outcome::NotRun {
            return Kind::Disconnected;
        }
        kind
    }
}

/// A batch of these sub-requests.
pub(super) fn batch(
    spec: &QuerySpec,
    id: BatchId,
    version: u64,
    items: &BTreeMap<u32, String>,
    left: Duration,
    partial_after: Duration,
) -> Batch {
    let item = |(shard, target): (&u32, &String)| Item { shard: *shard, target: target.clone() };
    Batch {
        request_id: spec.id.0,
        id,
        traceparent: None,
        index: spec.index.clone(),
        version,
        kind: spec.kind.clone(),
        class: spec.class,
        text: spec.text.clone(),
        fingerprint: spec.fingerprint,
        canary: false,
        deadline_ms: left.as_millis() as u64,
        // Rounded up, so that late sub-requests are due for a hedge when the report arrives.
        partial_after_ms: partial_after.as_micros().div_ceil(1_000).max(1) as u64,
        items: items.iter().map(item).collect(),
    }
}
