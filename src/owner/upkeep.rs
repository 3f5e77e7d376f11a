//! What happens without a request: renewals, silence, events about limits, gauges, and batches that nobody collects.

use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use crate::{
    error::{Error, Kind, Result},
    event,
    owner::{Owner, state::RENEWAL_SILENCE, target::Target},
    state::{Change, Phase},
    wire::target::Announcement,
};

/// How often late jobs are rejected and silent targets are noticed.
const TICK: Duration = Duration::from_millis(100);

/// Changes of a limit are recorded at most once in this many ticks, and gauges are set as often.
const REPORT_TICKS: u32 = 10;

/// A target whose renewals stop for this long is removed.
const REMOVAL_SILENCE: Duration = Duration::from_secs(60);

/// The pause between two attempts to remove a target.
const REMOVAL_PAUSE: Duration = Duration::from_secs(5);

/// How long a batch is kept after its deadline, for a root that collects late.
const BATCH_GRACE: Duration = Duration::from_secs(1);

/// How long a change may take to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Does the upkeep of an owner until it is dropped.
pub(super) async fn run(owner: Weak<Owner>) {
    let mut interval = tokio::time::interval(TICK);
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
    /// Takes a renewal of an owned target. Fails with [`Kind::NotOwner`] if this host does not own it.
    pub fn renew(&self, announcement: Announcement) -> Result<()> {
        let target = self.target(&announcement.target.name)?;
        let announced = &announcement.target;
        if announced.incarnation < target.incarnation {
            return Err(Error::new(Kind::Conflict, "a newer process uses this target name"));
        }
        let mut changed = announced.incarnation > target.incarnation;
        if !changed {
            target.renew(&announcement, Instant::now());
            let mut state = target.state.lock();
            let leaving = announced.phase == Phase::Leaving && state.usable;
            let before = state.announced.replace(announcement.clone());
            changed = before.map_or(leaving, |it| it.target != *announced);
        }
        if changed {
            self.commit(Change::PutTarget(announcement.target));
        }
        Ok(())
    }

    fn tick(&self, now: Instant) {
        let targets: Vec<_> = self.targets.read().values().cloned().collect();
        for target in targets {
            target.sweep(now);
            target.note_silence(now);
            self.remove_silent(&target, now);
        }
        self.batches.lock().retain(|_, it| {
            it.expire(now);
            now < it.deadline + BATCH_GRACE
        });
    }

    fn report(&self, now: Instant) {
        self.shared.canaries.sweep(now);
        let meter = &self.shared.meter;
        for target in self.targets.read().values() {
            target.log_limit();
            let state = target.state.lock();
            let name = [target.name.as_str()];
            meter.limit.with_label_values(&name).set(i64::from(state.limit.value()));
            meter.in_flight.with_label_values(&name).set(i64::from(state.in_flight));
            meter.queued.with_label_values(&name).set(i64::from(state.queued()));
            meter.connections.with_label_values(&name).set(i64::from(state.open));
        }
    }

    fn remove_silent(&self, target: &Target, now: Instant) {
        {
            let mut state = target.state.lock();
            let silent = now.saturating_duration_since(state.renewed) >= REMOVAL_SILENCE;
            if !silent || now < state.removal_at {
                return;
            }
            state.removal_at = now + REMOVAL_PAUSE;
        }
        if self.shared.lease.check().is_err() {
            return;
        }
        let cause = format!("no renewal for {} s", REMOVAL_SILENCE.as_secs());
        target.record(event::Kind::TargetRemoved, cause);
        let (name, incarnation) = (target.name.clone(), target.incarnation);
        self.commit(Change::RemoveTarget { name, incarnation });
    }

    fn commit(&self, change: Change) {
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
    /// Takes a renewal of this process of the target.
    fn renew(self: &Arc<Self>, announcement: &Announcement, now: Instant) {
        self.adjust(|state| {
            state.renewed = now;
            state.leaving = announcement.target.phase == Phase::Leaving;
            state.limit.apply_report(now, announcement.cold)
        });
    }

    /// Takes what a health answer says.
    pub(super) fn report(&self, incarnation: u64, cold: bool) {
        if incarnation == self.incarnation {
            self.adjust(|state| state.limit.apply_report(Instant::now(), cold));
        }
    }

    fn note_silence(&self, now: Instant) {
        let (was, is) = {
            let mut state = self.state.lock();
            let is = state.is_silent(now);
            (std::mem::replace(&mut state.silent, is), is)
        };
        if is && !was {
            let cause = format!("no renewal for {} s", RENEWAL_SILENCE.as_secs());
            self.record(event::Kind::TargetSilent, cause);
        }
    }

    fn log_limit(&self) {
        let Some(step) = self.state.lock().unlogged.take() else { return };
        if step.from != step.to {
            let cause = format!("{} to {}: {}", step.from, step.to, step.cause);
            self.record(event::Kind::LimitChanged, cause);
        }
    }
}
