//! Periodic work of an owner and the renewals of its targets: rejects jobs past their deadline, detects targets that
//! stopped renewing, reports limits and metrics, and removes batches that nobody collects.

use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use crate::{
    error::{Error, Kind, Result},
    event,
    owner::{Owner, state::RENEWAL_TIMEOUT, target::Target},
    state::{Change, Phase},
    wire::target::Announcement,
};

/// How often queues, renewals and batches are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Changes of limits are recorded as events, and gauges are set, once in this many ticks.
const REPORT_TICKS: u32 = 10;

/// A target without a renewal for this long is removed from the configuration.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(60);

/// How long to wait before the removal of a target is submitted again.
const REMOVAL_RETRY_DELAY: Duration = Duration::from_secs(5);

/// How long a batch is kept after its deadline, so that the root can still collect it.
const BATCH_RETENTION: Duration = Duration::from_secs(1);

/// The timeout for committing a change at the control hosts.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the periodic work until the owner is dropped.
pub(super) async fn run(owner: Weak<Owner>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks = 0;
    loop {
        interval.tick().await;
        let Some(owner) = owner.upgrade() else { return };
        let now = Instant::now();
        owner.tick(now);
        ticks += 1;
        if ticks % REPORT_TICKS == 0 {
            owner.report(now);
        }
    }
}

impl Owner {
    /// Handles a renewal of an owned target, and submits the target to the control hosts if its announcement changed or
    /// a new process sent it. Fails with [`Kind::NotOwner`] if this host does not own the target, and with
    /// [`Kind::Conflict`] if the renewal comes from an older process.
    pub fn renew(&self, announcement: Announcement) -> Result<()> {
        let target = self.target(&announcement.target.name)?;
        let announced = &announcement.target;
        if announced.incarnation < target.incarnation {
            return Err(Error::new(Kind::Conflict, "a newer process uses this target name"));
        }
        let mut changed = announced.incarnation > target.incarnation;
        if !changed {
            target.record_renewal(&announcement, Instant::now());
            let mut state = target.state.lock();
            let leaving = announced.phase == Phase::Leaving && state.usable;
            let before = state.last_announcement.replace(announcement.clone());
            changed = before.map_or(leaving, |it| it.target != *announced);
        }
        if changed {
            self.submit_change(Change::PutTarget(announcement.target));
        }
        Ok(())
    }

    fn tick(&self, now: Instant) {
        let targets: Vec<_> = self.targets.read().values().cloned().collect();
        for target in targets {
            target.sweep(now);
            target.report_overdue_renewal(now);
            self.remove_expired(&target, now);
        }
        self.batches.lock().retain(|_, it| {
            it.expire(now);
            now < it.deadline + BATCH_RETENTION
        });
    }

    fn report(&self, now: Instant) {
        self.shared.canaries.prune(now);
        let metrics = &self.shared.metrics;
        for target in self.targets.read().values() {
            target.log_limit_change();
            let state = target.state.lock();
            let name = [target.name.as_str()];
            metrics.limit.with_label_values(&name).set(i64::from(state.limit.value()));
            metrics.in_flight.with_label_values(&name).set(i64::from(state.in_flight));
            metrics.queued.with_label_values(&name).set(i64::from(state.queued()));
            metrics.connections.with_label_values(&name).set(i64::from(state.open_connections));
        }
    }

    fn remove_expired(&self, target: &Target, now: Instant) {
        {
            let mut state = target.state.lock();
            let expired = now.saturating_duration_since(state.renewed_at) >= REMOVAL_TIMEOUT;
            if !expired || now < state.next_removal_at {
                return;
            }
            state.next_removal_at = now + REMOVAL_RETRY_DELAY;
        }
        if self.shared.lease.check().is_err() {
            return;
        }
        let cause = format!("no renewal for {} s", REMOVAL_TIMEOUT.as_secs());
        target.record_event(event::Kind::TargetRemoved, cause);
        let (name, incarnation) = (target.name.clone(), target.incarnation);
        self.submit_change(Change::RemoveTarget { name, incarnation });
    }

    fn submit_change(&self, change: Change) {
        let control = self.shared.control.clone();
        tokio::spawn(async move {
            let reply = control.submit(None, change, COMMIT_TIMEOUT).await;
            if let Err(err) = reply {
                log::warn!("event=commit_failed cause={:?}", err.to_string());
            }
        });
    }
}

impl Target {
    /// Handles a renewal by the process that this owner sends to.
    fn record_renewal(self: &Arc<Self>, announcement: &Announcement, now: Instant) {
        self.adjust_limit(|state| {
            state.renewed_at = now;
            state.leaving = announcement.target.phase == Phase::Leaving;
            state.limit.apply_report(now, announcement.cold)
        });
    }

    /// Handles the state that a health response reports. Another process at the same address is ignored.
    pub(super) fn record_health(&self, incarnation: u64, cold: bool) {
        if incarnation == self.incarnation {
            self.adjust_limit(|state| state.limit.apply_report(Instant::now(), cold));
        }
    }

    fn report_overdue_renewal(&self, now: Instant) {
        let (was, is) = {
            let mut state = self.state.lock();
            let is = state.is_renewal_overdue(now);
            (std::mem::replace(&mut state.renewal_overdue, is), is)
        };
        if is && !was {
            let cause = format!("no renewal for {} s", RENEWAL_TIMEOUT.as_secs());
            self.record_event(event::Kind::TargetSilent, cause);
        }
    }

    fn log_limit_change(&self) {
        let Some(step) = self.state.lock().unlogged_step.take() else { return };
        if step.from != step.to {
            let cause = format!("{} to {}: {}", step.from, step.to, step.cause);
            self.record_event(event::Kind::LimitChanged, cause);
        }
    }
}
