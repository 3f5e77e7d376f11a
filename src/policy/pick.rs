//! The replica of a shard that gets a sub-request: power of two choices by the load that owners report.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use crate::{
    state::{TargetKey, View},
    wire::owner::Hint,
};

/// A load hint says nothing after this time: at a service time of some milliseconds the queue has changed long before.
pub const HINT_TTL: Duration = Duration::from_secs(1);

/// How long a target that failed is avoided. Long enough that a dead target costs one sub-request in a second, short
/// enough that a target that failed once is soon used again.
pub const FAILURE_PENALTY: Duration = Duration::from_secs(1);

/// The load assumed without a recent hint. It lies between an idle target and a full one, so that targets without
/// hints still get work and soon have hints.
pub const DEFAULT_LOAD: f32 = 0.5;

/// LoadTable up to this count as equal: a wait for half a limit is shorter than the way to another region and back.
pub const OWN_ZONE_MAX_LOAD: f32 = 1.5;

/// What the root knows about the load of each target of a view.
#[derive(Clone, Debug)]
pub struct LoadTable {
    zone: String,
    targets: Vec<Load>,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    usable: bool,
    own_zone: bool,
    load: f32,
    queue: f32,
    hint_until: Option<Instant>,
    failed_until: Option<Instant>,
}

impl LoadTable {
    /// Makes an empty table for a view; targets in `zone`, the root's own, are preferred on a tie.
    pub fn new(view: &View, zone: impl Into<String>) -> Self {
        let zone = zone.into();
        let load = |own_zone, usable| Load {
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

    /// Makes the table for the next view and keeps what is known about the same processes of targets.
    pub fn rebuild(&self, old: &View, view: &View) -> Self {
        let mut next = Self::new(view, self.zone.clone());
        for (key, target) in view.targets() {
            let Some(old_key) = old.target_key(&target.name) else { continue };
            if old.target(old_key).incarnation != target.incarnation {
                continue;
            }
            let known = self.targets[old_key.0 as usize];
            let load = &mut next.targets[key.0 as usize];
            *load = Load { usable: load.usable, own_zone: load.own_zone, ..known };
        }
        next
    }

    /// Takes a load hint that arrived at `now`.
    pub fn record_hint(&mut self, key: TargetKey, hint: &Hint, now: Instant) {
        let limit = hint.limit.max(1) as f32;
        let target = &mut self.targets[key.0 as usize];
        target.load = (hint.in_flight as f32 + hint.queued as f32 + 1.0) / limit;
        target.queue = hint.queued as f32 / limit;
        target.hint_until = Some(now + HINT_TTL);
    }

    /// Records a failure after which the target is avoided for [`FAILURE_PENALTY`].
    pub fn record_failure(&mut self, key: TargetKey, now: Instant) {
        self.targets[key.0 as usize].failed_until = Some(now + FAILURE_PENALTY);
    }

    /// Records an answer, which ends the penalty.
    pub fn record_answer(&mut self, key: TargetKey) {
        self.targets[key.0 as usize].failed_until = None;
    }

    /// Whether the target accepts new work and has not failed recently.
    pub fn usable(&self, key: TargetKey, now: Instant) -> bool {
        let target = self.targets[key.0 as usize];
        target.usable && !target.penalized(now)
    }

    /// Chooses a replica that accepts new work and is not in `excluded`. Two replicas are compared, one of them in the
    /// root's own zone if there is one. Targets that failed recently are chosen only if there is no other.
    pub fn pick(
        &self,
        replicas: &[TargetKey],
        excluded: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let open = |it: &TargetKey| self.targets[it.0 as usize].usable && !excluded.contains(it);
        let healthy = |it: &TargetKey| open(it) && !self.targets[it.0 as usize].penalized(now);
        self.pick_among(replicas, healthy, now, rng)
            .or_else(|| self.pick_among(replicas, open, now, rng))
    }

    /// How long a new sub-request waits at the replica with the shortest queue, if each takes `service`. Zero if that
    /// is not known, or if no replica accepts new work.
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
        accepts: impl Fn(&TargetKey) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let candidates = || replicas.iter().copied().filter(&accepts);
        let count = candidates().count();
        if count < 2 {
            return candidates().next();
        }
        let near = || candidates().filter(|it| self.targets[it.0 as usize].own_zone);
        let first = match near().count() {
            0 => candidates().nth(rng.random_range(0..count))?,
            near_count => near().nth(rng.random_range(0..near_count))?,
        };
        let mut others = candidates().filter(|it| *it != first);
        let second = others.nth(rng.random_range(0..count - 1)).unwrap_or(first);
        Some(self.lighter(first, second, now))
    }

    fn lighter(&self, first: TargetKey, second: TargetKey, now: Instant) -> TargetKey {
        let [a, b] = [first, second].map(|it| self.targets[it.0 as usize]);
        let [load_a, load_b] = [a.load(now), b.load(now)];
        let order = load_a.max(OWN_ZONE_MAX_LOAD).total_cmp(&load_b.max(OWN_ZONE_MAX_LOAD));
        let order = order.then(b.own_zone.cmp(&a.own_zone)).then(load_a.total_cmp(&load_b));
        if order.is_le() { first } else { second }
    }
}

impl Load {
    fn load(&self, now: Instant) -> f32 {
        if self.hinted(now) { self.load } else { DEFAULT_LOAD }
    }

    fn queue(&self, now: Instant) -> f32 {
        if self.hinted(now) { self.queue } else { 0.0 }
    }

    fn hinted(&self, now: Instant) -> bool {
        self.hint_until.is_some_and(|it| now < it)
    }

    fn penalized(&self, now: Instant) -> bool {
        self.failed_until.is_some_and(|it| now < it)
    }
}
