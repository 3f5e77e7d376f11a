//! Chooses the replica for a sub-request: power of two choices by the load that the targets' owners report.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use crate::{
    state::{TargetKey, View},
    wire::owner::Hint,
};

/// How long a load hint is used. At service times of a few milliseconds, a queue changes completely within this time.
pub const HINT_TTL: Duration = Duration::from_secs(1);

/// How long a target is avoided after a failure. A dead target costs about one sub-request per second, and a target
/// with a single failure is soon used again.
pub const FAILURE_PENALTY: Duration = Duration::from_secs(1);

/// The load assumed for a target without a valid hint. With a limit of 3 or more it lies between the loads of an idle
/// and a full target, so that targets without hints get sub-requests too; their answers bring hints.
pub const DEFAULT_LOAD: f32 = 0.5;

/// A replica in the root's own zone is preferred up to this load. At a load of 1.5 the target is full and the queue is
/// half as long as its limit; waiting there takes less time than a round trip to another region.
pub const OWN_ZONE_MAX_LOAD: f32 = 1.5;

/// The load and the recent failures of each target of a view, as this root knows them.
#[derive(Clone, Debug)]
pub struct LoadTable {
    zone: String,
    targets: Vec<TargetLoad>,
}

#[derive(Clone, Copy, Debug)]
struct TargetLoad {
    usable: bool,
    own_zone: bool,
    /// Running and queued sub-requests, plus the one to be placed, divided by the limit.
    load: f32,
    /// Queued sub-requests divided by the limit.
    queue: f32,
    hint_until: Option<Instant>,
    failed_until: Option<Instant>,
}

impl LoadTable {
    /// Creates a table without hints and failures for a view. `zone` is the zone of the root.
    pub fn new(view: &View, zone: impl Into<String>) -> Self {
        let zone = zone.into();
        let load = |own_zone, usable| TargetLoad {
            usable,
            own_zone,
            load: DEFAULT_LOAD,
            queue: 0.0,
            hint_until: None,
            failed_until: None,
        };
        let targets = view.targets().map(|(_, it)| load(it.zone == zone, it.usable)).collect();
        Self { zone, targets }
    }

    /// Creates the table for the next view. Hints and failures are kept for targets with the same incarnation.
    pub fn rebuild(&self, old: &View, view: &View) -> Self {
        let mut next = Self::new(view, self.zone.clone());
        for (key, target) in view.targets() {
            let Some(old_key) = old.target_key(&target.name) else { continue };
            if old.target(old_key).incarnation != target.incarnation {
                continue;
            }
            let known = self.targets[old_key.0 as usize];
            let load = &mut next.targets[key.0 as usize];
            *load = TargetLoad { usable: load.usable, own_zone: load.own_zone, ..known };
        }
        next
    }

    /// Records a load hint that arrived at `now`.
    pub fn record_hint(&mut self, key: TargetKey, hint: &Hint, now: Instant) {
        let limit = hint.limit.max(1) as f32;
        let target = &mut self.targets[key.0 as usize];
        target.load = (hint.in_flight as f32 + hint.queued as f32 + 1.0) / limit;
        target.queue = hint.queued as f32 / limit;
        target.hint_until = Some(now + HINT_TTL);
    }

    /// Records a failure: the target is avoided for [`FAILURE_PENALTY`].
    pub fn record_failure(&mut self, key: TargetKey, now: Instant) {
        self.targets[key.0 as usize].failed_until = Some(now + FAILURE_PENALTY);
    }

    /// Records an answer: the target is no longer avoided.
    pub fn record_answer(&mut self, key: TargetKey) {
        self.targets[key.0 as usize].failed_until = None;
    }

    /// Whether the target accepts new work and has not failed recently.
    pub fn usable(&self, key: TargetKey, now: Instant) -> bool {
        let target = self.targets[key.0 as usize];
        target.usable && !target.penalized(now)
    }

    /// Chooses a replica that accepts new work and is not in `excluded`; `None` if there is none. Targets that failed
    /// recently are chosen only if there is no other.
    ///
    /// Compares two random replicas, the first of them from the root's own zone if there is one. A replica in the own
    /// zone wins up to a load of [`OWN_ZONE_MAX_LOAD`], otherwise the one with the lower load wins.
    pub fn pick(
        &self,
        replicas: &[TargetKey],
        excluded: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let eligible =
            |it: &TargetKey| self.targets[it.0 as usize].usable && !excluded.contains(it);
        let healthy = |it: &TargetKey| eligible(it) && !self.targets[it.0 as usize].penalized(now);
        self.pick_among(replicas, healthy, now, rng)
            .or_else(|| self.pick_among(replicas, eligible, now, rng))
    }

    /// The time that a new sub-request waits at the usable replica with the shortest queue, if each sub-request takes
    /// `service`. A replica without a valid hint counts as one without a queue. Zero if no replica is usable.
    pub fn queue_wait(&self, replicas: &[TargetKey], service: Duration, now: Instant) -> Duration {
        let queue = replicas
            .iter()
            .filter(|it| self.usable(**it, now))
            .map(|it| self.targets[it.0 as usize].queue(now))
            .min_by(f32::total_cmp);
        service.mul_f32(queue.unwrap_or(0.0))
    }

    fn pick_among(
        &self,
        replicas: &[TargetKey],
        eligible: impl Fn(&TargetKey) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let candidates = || replicas.iter().copied().filter(&eligible);
        let count = candidates().count();
        if count < 2 {
            return candidates().next();
        }
        let own_zone = || candidates().filter(|it| self.targets[it.0 as usize].own_zone);
        let first = match own_zone().count() {
            0 => candidates().nth(rng.random_range(0..count))?,
            own_zone_count => own_zone().nth(rng.random_range(0..own_zone_count))?,
        };
        let mut others = candidates().filter(|it| *it != first);
        let second = others.nth(rng.random_range(0..count - 1)).unwrap_or(first);
        Some(self.preferred(first, second, now))
    }

    fn preferred(&self, first: TargetKey, second: TargetKey, now: Instant) -> TargetKey {
        let [a, b] = [first, second].map(|it| self.targets[it.0 as usize]);
        let [load_a, load_b] = [a.load(now), b.load(now)];
        let order = load_a.max(OWN_ZONE_MAX_LOAD).total_cmp(&load_b.max(OWN_ZONE_MAX_LOAD));
        let order = order.then(b.own_zone.cmp(&a.own_zone)).then(load_a.total_cmp(&load_b));
        if order.is_le() { first } else { second }
    }
}

impl TargetLoad {
    fn load(&self, now: Instant) -> f32 {
        if self.has_hint(now) { self.load } else { DEFAULT_LOAD }
    }

    fn queue(&self, now: Instant) -> f32 {
        if self.has_hint(now) { self.queue } else { 0.0 }
    }

    fn has_hint(&self, now: Instant) -> bool {
        self.hint_until.is_some_and(|it| now < it)
    }

    fn penalized(&self, now: Instant) -> bool {
        self.failed_until.is_some_and(|it| now < it)
    }
}
