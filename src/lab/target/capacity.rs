//! The capacity model of a stand-in target: concurrency limit, cold start, and slowdown under overload.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{error::Kind, lab::target::fault::TargetStats, settings::TargetSpec};

/// How long a cold target that gets more requests than its warm-up limit stays very slow.
const COLLAPSE_DURATION: Duration = Duration::from_millis(2_000);

/// The factor on service times during that period.
const COLLAPSE_SLOWDOWN: f64 = 10.0;

/// How a target treats requests above its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadPolicy {
    /// Accepts them and becomes slower.
    Accept,
    /// Refuses them.
    Shed,
}

struct State {
    running: u32,
    warm_at: Instant,
    /// Set by an overload while cold: until then the target is very slow.
    collapsed_until: Option<Instant>,
    overload_policy: OverloadPolicy,
    max_concurrent: u32,
    overload: u64,
    collapses: u64,
}

/// Counts the running requests of one target, and tells by how much it is slowed down.
pub struct Capacity {
    slots: u32,
    warm_up: u32,
    warm_after: Duration,
    state: Mutex<State>,
}

/// A running request; it counts against the limit until it is dropped.
pub struct RunningRequest(Arc<Capacity>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.state.lock().running -= 1;
    }
}

impl Capacity {
    /// A target that is cold until `warm_after_ms` has passed.
    pub fn new(spec: &TargetSpec, now: Instant) -> Self {
        let warm_after = Duration::from_millis(spec.warm_after_ms);
        let state = State {
            running: 0,
            warm_at: now + warm_after,
            collapsed_until: None,
            overload_policy: OverloadPolicy::Accept,
            max_concurrent: 0,
            overload: 0,
            collapses: 0,
        };
        let warm_up = spec.warm_up.min(spec.slots);
        Self { slots: spec.slots, warm_up, warm_after, state: Mutex::new(state) }
    }

    /// Starts a request, or refuses it if the target is full and sheds load. A request above the limit of a cold
    /// target makes it very slow for a while and prolongs its cold phase.
    pub fn start_request(self: &Arc<Self>, now: Instant) -> Result<RunningRequest, Kind> {
        let mut state = self.state.lock();
        if state.running >= self.limit_at(&state, now) {
            if state.overload_policy == OverloadPolicy::Shed {
                return Err(Kind::Shed);
            }
            state.overload += 1;
            if now < state.warm_at {
                state.collapses += u64::from(state.collapsed_until.is_none_or(|it| it <= now));
                state.collapsed_until = Some(now + COLLAPSE_DURATION);
                state.warm_at = now + COLLAPSE_DURATION + self.warm_after;
            }
        }
        state.running += 1;
        state.max_concurrent = state.max_concurrent.max(state.running);
        Ok(RunningRequest(self.clone()))
    }

    /// The factor on service times now: the ratio of running requests to the limit, at least 1, and more after an
    /// overload while cold.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let state = self.state.lock();
        let load_ratio = f64::from(state.running) / f64::from(self.limit_at(&state, now));
        let collapsed = state.collapsed_until.is_some_and(|it| now < it);
        load_ratio.max(1.0) * if collapsed { COLLAPSE_SLOWDOWN } else { 1.0 }
    }

    /// Whether the target is cold.
    pub fn cold(&self, now: Instant) -> bool {
        now < self.state.lock().warm_at
    }

    /// The number of running requests.
    pub fn running(&self) -> u32 {
        self.state.lock().running
    }

    /// Makes the target cold and ends a slowdown after overload.
    pub fn turn_cold(&self, now: Instant) {
        let mut state = self.state.lock();
        state.warm_at = now + self.warm_after;
        state.collapsed_until = None;
    }

    /// Makes the target warm and ends a slowdown after overload.
    pub fn heal(&self, now: Instant) {
        let mut state = self.state.lock();
        state.warm_at = now;
        state.collapsed_until = None;
    }

    /// Sets what happens to requests above the limit.
    pub fn set_overload_policy(&self, overload_policy: OverloadPolicy) {
        self.state.lock().overload_policy = overload_policy;
    }

    /// Copies the state and the counters.
    pub fn copy_counters(&self, stats: &mut TargetStats, now: Instant) {
        let state = self.state.lock();
        stats.cold = now < state.warm_at;
        stats.limit = self.limit_at(&state, now);
        stats.running = state.running;
        stats.max_concurrent = state.max_concurrent;
        stats.overload = state.overload;
        stats.collapses = state.collapses;
    }

    fn limit_at(&self, state: &State, now: Instant) -> u32 {
        if now < state.warm_at { self.warm_up } else { self.slots }
    }
}
