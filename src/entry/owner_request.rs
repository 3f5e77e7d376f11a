//! Requests from the root of a query to the owners of targets.

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

/// The pause before the next collect after one without results. Without it, an owner that answers at once without
/// results would be called in a tight loop.
const EMPTY_PAUSE: Duration = Duration::from_millis(5);

/// A request to an owner.
pub(super) enum OwnerRequest {
    /// Runs a batch.
    Exec(Arc<Peer>, Box<Batch>),
    /// After `pause`, waits at most `wait` for more results of a batch.
    Collect { peer: Arc<Peer>, id: BatchId, pause: Duration, wait: Duration },
    /// Cancels shards of a batch.
    Cancel(Arc<Peer>, BatchId, Vec<u32>),
}

/// A batch that was sent to an owner.
pub(super) struct SentBatch {
    pub(super) peer: Arc<Peer>,
    pub(super) sent_at: Instant,
    /// When its pending sub-requests become late and may be hedged.
    pub(super) hedge_at: Instant,
    /// The sub-requests that are still wanted: the target of each shard.
    pub(super) items: BTreeMap<u32, String>,
    /// How many sub-requests were pending at the last collect. `None` until the owner has answered the batch.
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

    /// Makes the request for more results. It pauses first if the last collect brought none.
    pub(super) fn collect(&mut self, id: BatchId, wait: Duration) -> OwnerRequest {
        let nothing_new = self.pending_at_collect == Some(self.items.len());
        self.pending_at_collect = Some(self.items.len());
        let pause = if nothing_new { EMPTY_PAUSE } else { Duration::ZERO };
        OwnerRequest::Collect { peer: self.peer.clone(), id, pause, wait }
    }

    /// The error kind of the pending sub-requests if a call fails with `kind`. Once the owner has answered the batch
    /// they may have run, even if a later collect fails with an outcome of `not_run`.
    pub(super) fn failure(&self, kind: Kind) -> Kind {
        if self.pending_at_collect.is_some() && kind.outcome() == Outcome::NotRun {
            return Kind::Disconnected;
        }
        kind
    }
}

/// Makes the message for a batch. `left` is the time until its deadline.
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
        // Rounded up, so that the hedge delay has passed when the owner reports what is pending.
        partial_after_ms: partial_after.as_micros().div_ceil(1_000).max(1) as u64,
        items: items.iter().map(item).collect(),
    }
}
