//! What is known about a target from its own answers, and what a sub-request sent there would take.

use std::time::{Duration, Instant};

/// How much the newest sample counts. One sub-request that takes five times as long must not send the next ones to
/// another region.
const WEIGHT: f64 = 0.1;

/// What was observed is worth half after this time without a sample, so that a target which recovered is tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// What a failure costs: another target has to be asked.
const FAILURE_COST: Duration = Duration::from_millis(300);

/// What a target costs that gave no sign of life when it was last asked.
const AVOIDED_COST: Duration = Duration::from_secs(2);

/// For how long a target is avoided at first; each failure in a row doubles it.
const AVOID_FIRST: Duration = Duration::from_millis(250);

/// The longest time for which a target is avoided.
const AVOID_MOST: Duration = Duration::from_secs(4);

/// The slowness of a target stays between these bounds.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.2..=50.0;

/// A target that has not answered for this many times its usual time is stalled.
const STALL_FACTOR: f64 = 2.5;

/// The least time without an answer after which a target is stalled.
const STALL_LEAST: Duration = Duration::from_millis(8);

/// What a stalled target costs.
const STALL_COST: Duration = Duration::from_millis(150);

/// How one sub-request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observed {
    /// It was answered after this share of the route's usual time.
    Answered(f64),
    /// The target failed or refused it.
    Failed,
    /// The target could not be reached or did not answer.
    Silent,
}

/// What is known about a target.
#[derive(Clone, Debug)]
pub struct Standing {
    slowness: f64,
    failures: f64,
    silent: u32,
    avoid_until: Option<Instant>,
    updated: Instant,
    running: Vec<Instant>,
    last_answer: Instant,
}

impl Standing {
    /// Nothing is known yet.
    pub fn new(now: Instant) -> Self {
        Self {
            slowness: 1.0,
            failures: 0.0,
            silent: 0,
            avoid_until: None,
            updated: now,
            running: Vec::new(),
            last_answer: now,
        }
    }

    /// A sub-request was sent.
    pub fn start(&mut self, now: Instant) {
        self.running.push(now);
    }

    /// The sub-request that was sent at `started` has ended, or nobody waits for it any more.
    pub fn end(&mut self, started: Instant) {
        if let Some(at) = self.running.iter().position(|it| *it == started) {
            self.running.swap_remove(at);
        }
    }

    /// How many sub-requests of this host run there.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Learns from the end of a sub-request.
    pub fn learn(&mut self, observed: Observed, now: Instant) {
        self.fade(now);
        match observed {
            Observed::Answered(share) => {
                let share = share.clamp(*SLOWNESS.start(), *SLOWNESS.end());
                self.slowness += WEIGHT * (share - self.slowness);
                self.failures -= WEIGHT * self.failures;
                self.silent = 0;
                self.avoid_until = None;
                self.last_answer = now;
            }
            Observed::Failed => {
                self.failures += WEIGHT * (1.0 - self.failures);
                self.last_answer = now;
            }
            Observed::Silent => {
                self.failures += WEIGHT * (1.0 - self.failures);
                let avoided = AVOID_FIRST * 2u32.saturating_pow(self.silent.min(8));
                self.avoid_until = Some(now + avoided.min(AVOID_MOST));
                self.silent += 1;
            }
        }
    }

    /// What a sub-request would take whose usual time is `usual`, beside the way there and back.
    pub fn cost(&self, usual: Duration, slots: u32, now: Instant) -> Duration {
        let kept = self.kept(now);
        let slowness = 1.0 + (self.slowness - 1.0) * kept;
        // The next sub-request waits only if all slots are taken. Other hosts use them too.
        let taken = self.running.len() as f64 / f64::from(slots.max(1));
        let load = 1.0 + taken * taken;
        let mut cost = usual.mul_f64(slowness * load) + FAILURE_COST.mul_f64(self.failures * kept);
        if self.avoid_until.is_some_and(|it| now < it) {
            cost += AVOIDED_COST;
        }
        if self.is_stalled(usual, now) {
            cost += STALL_COST;
        }
        cost
    }

    /// Whether the target answers nothing although it should have by now.
    pub fn is_stalled(&self, usual: Duration, now: Instant) -> bool {
        let Some(oldest) = self.running.iter().min() else { return false };
        let limit = usual.mul_f64(STALL_FACTOR * self.slowness.max(1.0)).max(STALL_LEAST);
        let silent_since = (*oldest).max(self.last_answer);
        now.saturating_duration_since(silent_since) > limit
    }

    fn fade(&mut self, now: Instant) {
        let kept = self.kept(now);
        self.slowness = 1.0 + (self.slowness - 1.0) * kept;
        self.failures *= kept;
        self.updated = now;
    }

    fn kept(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
