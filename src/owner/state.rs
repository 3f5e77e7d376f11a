//! What changes about an owned target, and the check before each send.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use crate::{
    error::Kind,
    owner::{batch::Job, shared::Shared, target::Cancelling},
    policy::limit::{ConcurrencyLimit, LimitChange},
    state::{Revision, TargetView},
    wire::{owner::Class, target::Announcement},
};

/// How many jobs of one class wait at most. Far more than any target can start within a deadline; this only bounds
/// memory.
const QUEUE_CAPACITY: usize = 256;

/// A target whose renewals stop for this long gets no new work.
pub(super) const RENEWAL_SILENCE: Duration = Duration::from_secs(2);

/// Everything that changes about an owned target.
pub(super) struct State {
    pub usable: bool,
    pub connections: u32,
    pub slots: u32,
    pub warm_up: u32,
    pub limit: ConcurrencyLimit,
    pub in_flight: u32,
    pub queues: [VecDeque<Job>; 2],
    pub cancels: VecDeque<Cancelling>,
    pub idle: Vec<Arc<Notify>>,
    /// Grows when a connection stops carrying data; connections of an earlier epoch are closed.
    pub epoch: u64,
    /// When the epoch may grow again.
    pub epoch_until: Instant,
    pub woken: u32,
    pub connecting: u32,
    pub open: u32,
    pub retry_at: Instant,
    pub renewed: Instant,
    /// When its removal is committed next, if it stays silent.
    pub removal_at: Instant,
    pub silent: bool,
    /// The latest announcement.
    pub announced: Option<Announcement>,
    /// Whether the target announced that it is leaving.
    pub leaving: bool,
    /// Until when the previous owner may still send.
    pub wait_until: Option<Instant>,
    /// Why this owner sends nothing more, if so.
    pub closed: Option<Kind>,
    /// The target was gained after the first of these revisions, not later than the second.
    pub gained: (Revision, Revision),
    pub unlogged: Option<LimitChange>,
}

impl State {
    pub fn new(view: &TargetView, now: Instant) -> Self {
        let mut limit = ConcurrencyLimit::new(now, view.warm_up, view.slots);
        limit.await_report();
        Self {
            usable: view.usable,
            connections: view.connections,
            slots: view.slots,
            warm_up: view.warm_up,
            limit,
            in_flight: 0,
            queues: Default::default(),
            cancels: VecDeque::new(),
            idle: Vec::new(),
            epoch: 0,
            epoch_until: now,
            woken: 0,
            connecting: 0,
            open: 0,
            retry_at: now,
            renewed: now,
            removal_at: now,
            silent: false,
            announced: None,
            leaving: false,
            wait_until: None,
            closed: None,
            gained: (0, 0),
            unlogged: None,
        }
    }

    /// The check before each send: lease, owner, target, and the wait for the previous owner.
    pub fn check(&self, now: Instant, shared: &Shared) -> Result<(), Kind> {
        if let Some(kind) = self.closed {
            return Err(kind);
        }
        shared.lease.check()?;
        if !self.usable || self.leaving {
            return Err(Kind::Draining);
        }
        if self.is_silent(now) {
            return Err(Kind::NoTarget);
        }
        if self.wait_until.is_some_and(|it| now < it) {
            return Err(Kind::NotOwner);
        }
        Ok(())
    }

    /// Rejects a job that the queue in front of it would keep from starting in time.
    pub fn check_wait(&self, now: Instant, job: &Job) -> Result<(), Kind> {
        let ahead: usize = self.queues[..=job.class as usize].iter().map(VecDeque::len).sum();
        if self.queues[job.class as usize].len() >= QUEUE_CAPACITY || job.deadline <= now {
            return Err(Kind::Overloaded);
        }
        let Some(usual) = self.limit.baseline(job.class) else { return Ok(()) };
        let wait = usual.mul_f64(ahead as f64 / f64::from(self.limit.value()));
        if now + wait >= job.deadline { Err(Kind::Overloaded) } else { Ok(()) }
    }

    pub fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.renewed) >= RENEWAL_SILENCE
    }

    pub fn queued(&self) -> u32 {
        self.queues.iter().map(VecDeque::len).sum::<usize>() as u32
    }

    pub fn explain(&self, now: Instant, kind: Kind) -> String {
        if self.closed.is_none() && self.wait_until.is_some_and(|it| now < it) {
            return "waiting for the previous owner".into();
        }
        match kind {
            Kind::NoTarget => "its renewals stopped".into(),
            Kind::Draining if self.leaving => "it is leaving".into(),
            Kind::Draining => "it or its zone drains".into(),
            Kind::NoLease => "this host has no freshness lease".into(),
            kind => kind.to_string(),
        }
    }
}

/// The class index that the queues use: quick first.
const _: () = assert!((Class::Quick as usize) < Class::Broad as usize);
