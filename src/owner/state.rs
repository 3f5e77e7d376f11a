//! The mutable state of an owned target, and the checks before a job is queued or sent.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use crate::{
    error::Kind,
    owner::{batch::Job, shared::Shared, target::PendingCancel},
    policy::limit::{ConcurrencyLimit, LimitChange},
    state::{Revision, TargetView},
    wire::{owner::Class, target::Announcement},
};

/// How many jobs of one class may wait. This is far more than a target can start within a deadline; it only bounds
/// memory.
const QUEUE_CAPACITY: usize = 256;

/// A target without a renewal for this long gets no new work.
pub(super) const RENEWAL_TIMEOUT: Duration = Duration::from_secs(2);

/// The mutable state of an owned target, behind its lock.
pub(super) struct State {
    /// False while the target or its zone is draining, or the view shows the target as leaving.
    pub usable: bool,
    pub max_connections: u32,
    pub slots: u32,
    pub warm_up: u32,
    /// The learned concurrency limit, between `warm_up` and `slots` unless overload pushed it lower.
    pub limit: ConcurrencyLimit,
    /// Requests that run at the target.
    pub in_flight: u32,
    /// Waiting jobs, indexed by class.
    pub queues: [VecDeque<Job>; 2],
    pub pending_cancels: VecDeque<PendingCancel>,
    /// The wake-up handles of idle connections.
    pub idle: Vec<Arc<Notify>>,
    /// Incremented when a connection stalls. Connections of an earlier epoch are closed once they are idle.
    pub epoch: u64,
    /// The epoch is not incremented before this time.
    pub next_epoch_at: Instant,
    /// Connections that were woken and have not asked for their next action yet.
    pub woken: u32,
    /// Attempts to connect in progress; also counted in `open_connections`.
    pub connecting: u32,
    pub open_connections: u32,
    /// No attempt to connect starts before this time.
    pub next_connect_at: Instant,
    /// When the target renewed its announcement last, or was gained.
    pub renewed_at: Instant,
    /// When the removal of the target may be submitted next, if it has stopped renewing.
    pub next_removal_at: Instant,
    /// Whether renewals were overdue at the last tick. An event is recorded when this becomes true.
    pub renewal_overdue: bool,
    /// The announcement in the latest renewal.
    pub last_announcement: Option<Announcement>,
    /// Whether the target announced that it is leaving.
    pub leaving: bool,
    /// Until when the previous owner may still send, unless it releases the target earlier.
    pub handover_until: Option<Instant>,
    /// Set once this owner sends nothing more to the target; the error kind for its jobs.
    pub closed: Option<Kind>,
    /// The target was gained after the first of these revisions and not later than the second.
    pub gained_between: (Revision, Revision),
    /// The change of the limit since the last event.
    pub unlogged_step: Option<LimitChange>,
}

impl State {
    pub fn new(view: &TargetView, now: Instant) -> Self {
        let mut limit = ConcurrencyLimit::new(now, view.warm_up, view.slots);
        limit.await_report();
        Self {
            usable: view.usable,
            max_connections: view.connections,
            slots: view.slots,
            warm_up: view.warm_up,
            limit,
            in_flight: 0,
            queues: Default::default(),
            pending_cancels: VecDeque::new(),
            idle: Vec::new(),
            epoch: 0,
            next_epoch_at: now,
            woken: 0,
            connecting: 0,
            open_connections: 0,
            next_connect_at: now,
            renewed_at: now,
            next_removal_at: now,
            renewal_overdue: false,
            last_announcement: None,
            leaving: false,
            handover_until: None,
            closed: None,
            gained_between: (0, 0),
            unlogged_step: None,
        }
    }

    /// Checks whether a request may be sent to the target now: the target is open and renews, the lease is valid, and
    /// the previous owner can no longer send.
    pub fn check_send(&self, now: Instant, shared: &Shared) -> Result<(), Kind> {
        if let Some(kind) = self.closed {
            return Err(kind);
        }
        shared.lease.check()?;
        if !self.usable || self.leaving {
            return Err(Kind::Draining);
        }
        if self.is_renewal_overdue(now) {
            return Err(Kind::NoTarget);
        }
        if self.handover_until.is_some_and(|it| now < it) {
            return Err(Kind::NotOwner);
        }
        Ok(())
    }

    /// Checks whether a job can start before its deadline, by the number of jobs ahead of it and their baseline latency.
    pub fn check_queue(&self, now: Instant, job: &Job) -> Result<(), Kind> {
        let ahead: usize = self.queues[..=job.class as usize].iter().map(VecDeque::len).sum();
        if self.queues[job.class as usize].len() >= QUEUE_CAPACITY || job.deadline <= now {
            return Err(Kind::Overloaded);
        }
        let Some(baseline) = self.limit.baseline(job.class) else { return Ok(()) };
        let wait = baseline.mul_f64(ahead as f64 / f64::from(self.limit.value()));
        if now + wait >= job.deadline { Err(Kind::Overloaded) } else { Ok(()) }
    }

    pub fn is_renewal_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.renewed_at) >= RENEWAL_TIMEOUT
    }

    pub fn queued(&self) -> u32 {
        self.queues.iter().map(VecDeque::len).sum::<usize>() as u32
    }

    /// Explains to operators why no requests are sent; `kind` is the error of [`State::check_send`].
    pub fn closed_reason(&self, now: Instant, kind: Kind) -> String {
        if self.closed.is_none() && self.handover_until.is_some_and(|it| now < it) {
            return "waiting for the previous owner".into();
        }
        match kind {
            Kind::NoTarget => "renewals stopped".into(),
            Kind::Draining if self.leaving => "target is leaving".into(),
            Kind::Draining => "target or zone is draining".into(),
            Kind::NoLease => "no valid freshness lease on this host".into(),
            kind => kind.to_string(),
        }
    }
}

/// Queues are indexed by class and served in this order, so quick requests must come first.
const _: () = assert!((Class::Quick as usize) < Class::Broad as usize);
