//! Owned targets: everything between a batch and its targets.

use std::{sync::Arc, time::Duration};

use tokio::net::TcpListener;

use crate::{
    control,
    error::{Error, Kind, Outcome, Result},
    event,
    lease::Lease,
    metric,
    peer::Peers,
    settings,
    state::View,
    wire::{
        operator::OwnedTarget,
        owner::{Batch, BatchId, Dispatch, Dispatched, Finished, Progress, Release},
        target::Announcement,
    },
};

/// The owner side of an entry host.
pub struct Owner {}

impl Owner {
    /// Makes an owner that owns nothing yet.
    pub fn new(
        _cfg: &settings::Entry,
        _incarnation: u64,
        _control: Arc<control::Client>,
        _lease: Arc<Lease>,
        _peers: Arc<Peers>,
        _events: Arc<event::Ring>,
        _metrics: &metric::Registry,
    ) -> Arc<Self> {
        Arc::new(Self {})
    }

    /// Puts a new revision in force: targets that are gained, lost or changed.
    pub fn apply(self: &Arc<Self>, _view: &Arc<View>) {}

    /// Runs a batch; answers when all is finished or after `partial_after_ms`.
    pub async fn exec(self: &Arc<Self>, batch: Batch) -> Result<Progress> {
        let result = Err(Kind::NotOwner);
        let finished = batch.items.into_iter().map(|it| Finished {
            shard: it.shard,
            target: it.target,
            result: result.clone(),
            elapsed_us: 0,
        });
        Ok(Progress { finished: finished.collect(), ..Progress::default() })
    }

    /// Waits until something more of a batch is finished.
    pub async fn collect(&self, _id: BatchId, _wait: Duration) -> Result<Progress> {
        Err(Error::new(Kind::NotFound, "no such batch"))
    }

    /// Cancels these shards of a batch, also at their targets.
    pub async fn cancel(&self, _id: BatchId, _shards: Vec<u32>) {}

    /// Runs a request that may not be repeated.
    pub async fn dispatch(self: &Arc<Self>, _dispatch: Dispatch) -> Result<Dispatched> {
        Ok(Dispatched { outcome: Outcome::NotRun, result: None, error: Some(Kind::NotOwner) })
    }

    /// Takes over a target whose old owner has finished with it.
    pub fn release(&self, _release: Release) -> Result<()> {
        Err(Kind::NotOwner.into())
    }

    /// Takes a renewal of an owned target.
    pub fn renew(&self, _announcement: Announcement) -> Result<()> {
        Err(Kind::NotOwner.into())
    }

    /// The owned targets.
    pub fn status(&self) -> Vec<OwnedTarget> {
        Vec::new()
    }

    /// Takes no new work, finishes what runs and releases every target.
    pub async fn stop(self: &Arc<Self>) {}

    /// Serves other entry hosts until `shutdown` completes.
    pub async fn serve(
        self: Arc<Self>,
        _listener: TcpListener,
        shutdown: impl Future,
    ) -> Result<()> {
        shutdown.await;
        Ok(())
    }
}
