//! Failed sub-requests: which are sent again, where and when.

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

/// The pause before the targets of a shard are asked again while their ownership moves; it doubles each time. Entry
/// hosts learn of a revision some milliseconds apart, and a new owner waits until the old one has finished.
const FIRST_DEFERRAL: Duration = Duration::from_millis(10);

/// The pause doubles this often.
const MAX_DOUBLINGS: u32 = 4;

/// Shards whose targets are all between two owners, and when they are asked again.
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

    /// Takes the shards that are due at this time, or all.
    pub(super) fn take_due(&mut self, now: Option<Instant>) -> Vec<u32> {
        let due = self.waiting.extract_if(.., |(at, _)| now.is_none_or(|it| *at <= it));
        due.map(|(_, number)| number).collect()
    }

    fn push(&mut self, at: Instant, number: u32) {
        self.waiting.push((at, number));
    }
}

impl<O: Owners> FanOut<O> {
    /// Tries failed sub-requests elsewhere, unless another copy still runs or the rules forbid it.
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

    /// Asks the targets of deferred shards again.
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

    /// Another target, or none if all of them were asked and are between two owners.
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

    fn defer(&mut self, number: u32) {
        let shard = self.shards.get_mut(number);
        let pause = FIRST_DEFERRAL * 2_u32.pow(shard.deferrals.min(MAX_DOUBLINGS));
        shard.deferrals += 1;
        self.deferred.push(Instant::now() + pause, number);
    }
}

/// Whether a refusal means that the target has, or soon gets, another owner.
fn ownership_moving(kind: Kind) -> bool {
    matches!(kind, Kind::NotOwner | Kind::Leaving | Kind::NoLease)
}
