//! Retries of failed sub-requests.
//!
//! A failed sub-request goes to another replica if the budget allows it. If all replicas of the shard were asked and
//! the last failure means that the ownership of its target is moving, the shard is deferred: all its replicas are asked
//! again after a pause.

use std::time::{Duration, Instant};

use crate::{
    entry::{
        fan_out::{FanOut, Mode},
        host::ActiveConfig,
        metrics::Cause,
        owner_request::OwnerRequest,
        owners::Owners,
    },
    error::Kind,
    state::TargetKey,
    wire::owner::BatchId,
};

/// The first pause of a deferred shard; it doubles each time. Entry hosts learn of a revision some milliseconds apart,
/// and a new owner waits until the old one has finished.
const FIRST_DEFERRAL: Duration = Duration::from_millis(10);

/// How often the pause doubles, up to 160 ms.
const MAX_DOUBLINGS: u32 = 4;

/// Shards that wait until the ownership of their targets has moved, and when they are retried.
#[derive(Debug, Default)]
pub(super) struct DeferredShards {
    waiting: Vec<(Instant, u32)>,
}

impl DeferredShards {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// When the next shard is due.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.waiting.iter().map(|(at, _)| *at).min()
    }

    /// Removes and returns the shards that are due at `now`, or all shards without a time.
    pub(super) fn take_due(&mut self, now: Option<Instant>) -> Vec<u32> {
        let due = self.waiting.extract_if(.., |(at, _)| now.is_none_or(|it| *at <= it));
        due.map(|(_, number)| number).collect()
    }

    fn push(&mut self, at: Instant, number: u32) {
        self.waiting.push((at, number));
    }
}

impl<O: Owners> FanOut<O> {
    /// Records failed sub-requests of a batch and sends each to another replica, unless another copy of it runs or the
    /// budgets forbid it. A failed canary is only recorded.
    pub(super) fn retry_failed(
        &mut self,
        id: BatchId,
        failed: Vec<(u32, Kind)>,
    ) -> Vec<OwnerRequest> {
        if failed.is_empty() {
            return Vec::new();
        }
        let current = self.host.current();
        let mut chosen = Vec::new();
        for (number, kind) in failed {
            current.record_failure(self.shards.target_of(number, id), kind);
            let done = self.shards.record_failure(number, id, kind);
            if self.mode == Mode::Canary {
                self.canary_failure = Some(kind);
                continue;
            }
            if kind == Kind::Disconnected {
                self.host.policy.clear_known_good(self.spec.fingerprint);
            }
            if done {
                continue;
            }
            match self.choose_retry_target(&current, number, kind) {
                Ok(Some(target)) => chosen.push((number, target)),
                Ok(None) => self.defer(number),
                Err(kind) => self.shards.give_up(number, kind),
            }
        }
        self.send(&current, chosen, Cause::Retry)
    }

    /// Sends sub-requests for the deferred shards that are due. All their replicas may be asked again.
    pub(super) fn retry_deferred(&mut self, now: Instant) -> Vec<OwnerRequest> {
        let current = self.host.current();
        let mut chosen = Vec::new();
        for number in self.deferred.take_due(Some(now)) {
            self.shards.get_mut(number).attempts.clear();
            match self.shards.choose_target(&current, &self.spec.group, number) {
                Ok(target) => chosen.push((number, target)),
                Err(kind) => self.shards.give_up(number, kind),
            }
        }
        self.send(&current, chosen, Cause::Retry)
    }

    /// Chooses another target after a failure with `kind`. `None` if all were asked and the ownership is moving, so
    /// that the shard is to be deferred; an error if it is to be given up.
    fn choose_retry_target(
        &mut self,
        current: &ActiveConfig,
        number: u32,
        kind: Kind,
    ) -> Result<Option<TargetKey>, Kind> {
        if Instant::now() >= self.spec.deadline {
            return Err(kind);
        }
        let target = match self.shards.choose_target(current, &self.spec.group, number) {
            Ok(target) => Some(target),
            Err(_) if ownership_moving(kind) && !self.shards.get_mut(number).lost => None,
            Err(kind) => return Err(kind),
        };
        let allowed = self.group.lock().try_retry(&mut self.retries, kind);
        if allowed { Ok(target) } else { Err(kind) }
    }

    /// Schedules a retry of a shard after a pause.
    fn defer(&mut self, number: u32) {
        let shard = self.shards.get_mut(number);
        let pause = FIRST_DEFERRAL * 2_u32.pow(shard.deferrals.min(MAX_DOUBLINGS));
        shard.deferrals += 1;
        self.deferred.push(Instant::now() + pause, number);
    }
}

/// Whether a refusal by an owner means that the target has, or soon gets, another owner.
fn ownership_moving(kind: Kind) -> bool {
    matches!(kind, Kind::NotOwner | Kind::Leaving | Kind::NoLease)
}
