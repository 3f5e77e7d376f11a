//! One fan-out of a query over the shards of one index version: which sub-requests run, which shards are settled and
//! which messages go to which owner. It does no input or output of its own.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::runtime::Handle;

use crate::{
    entry::{
        decide::Group,
        drive,
        host::{Current, Host},
        metrics::Cause,
        owners::{Owners, Peer},
        query::Ask,
        retry::Deferred,
        shard::Shards,
        step::{self, Sent, Step},
    },
    error::{Kind, Result},
    policy::budget::QueryRetries,
    state::{NodeKey, TargetKey, View},
    wire::{
        caller::Row,
        owner::{Batch, BatchId, Finished, Progress},
    },
};

/// What the report of an owner may take beyond the hedge delay. Two regions are 16 ms apart, there and back.
const REPORT_SLACK: Duration = Duration::from_millis(25);

/// Whether failed sub-requests are tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    Canary,
    Full,
}

/// One fan-out of a query.
pub(super) struct Fan<O: Owners> {
    pub(super) host: Arc<Host<O>>,
    pub(super) ask: Arc<Ask>,
    pub(super) mode: Mode,
    pub(super) shards: Shards,
    pub(super) batches: HashMap<BatchId, Sent>,
    pub(super) retries: QueryRetries,
    pub(super) deferred: Deferred,
    pub(super) group: Arc<Mutex<Group>>,
    pub(super) canary_failure: Option<Kind>,
    pub(super) canary_end: Instant,
    /// Sub-answers that nobody asked for.
    pub(super) foreign: u32,
    /// Sub-requests sent beyond the first one per shard.
    pub(super) extra: u32,
}

impl<O: Owners> Fan<O> {
    /// Starts with nothing sent.
    pub(super) fn new(host: Arc<Host<O>>, ask: Arc<Ask>, version: u64, total: usize) -> Self {
        Self {
            retries: QueryRetries::new(total as u32),
            deferred: Deferred::default(),
            group: host.policy.group(&ask.group),
            shards: Shards::new(version, total),
            mode: Mode::Full,
            batches: HashMap::new(),
            canary_failure: None,
            canary_end: ask.end,
            foreign: 0,
            extra: 0,
            host,
            ask,
        }
    }

    /// What is known of the shards.
    pub(super) fn shards(&self) -> &Shards {
        &self.shards
    }

    /// Takes all rows, sorted by id.
    pub(super) fn take_rows(&mut self) -> Vec<Row> {
        self.shards.take_rows()
    }

    /// Why the last canary request failed, if it did.
    pub(super) fn canary_failure(&self, shard: u32) -> Option<Kind> {
        self.canary_failure.or_else(|| self.shards.failure(shard))
    }

    /// Whether nothing is running any more.
    pub(super) fn idle(&self) -> bool {
        self.batches.is_empty() && self.deferred.is_empty()
    }

    /// Sends the canary request of a new fingerprint.
    pub(super) fn canary(&mut self, shard: u32, target: TargetKey) -> Vec<Step> {
        self.mode = Mode::Canary;
        self.canary_failure = None;
        // A canary without an answer leaves the other half of the time to a second one and to the query itself.
        let now = Instant::now();
        self.canary_end = now + self.ask.end.saturating_duration_since(now) / 2;
        let current = self.host.current();
        self.send(&current, vec![(shard, target)], Cause::Canary)
    }

    /// Sends a sub-request to each shard that is not settled.
    pub(super) fn full(&mut self, cause: Cause) -> Vec<Step> {
        self.mode = Mode::Full;
        let current = self.host.current();
        let mut chosen = Vec::new();
        for number in self.shards.open() {
            match self.shards.choose(&current, &self.ask.group, number) {
                Ok(target) => chosen.push((number, target)),
                Err(kind) => self.shards.give_up(number, kind),
            }
        }
        self.send(&current, chosen, cause)
    }

    /// Takes the answer of an owner.
    pub(super) fn progress(&mut self, id: BatchId, answer: Result<Progress>) -> Vec<Step> {
        let Some(mut sent) = self.batches.remove(&id) else { return Vec::new() };
        let mut steps = Vec::new();
        let mut failed = Vec::new();
        match answer {
            Ok(progress) => {
                let now = Instant::now();
                self.host.current().learn(&progress.hints, now);
                for finished in progress.finished {
                    self.finished(id, &mut sent, finished, &mut steps, &mut failed);
                }
                let pending: HashSet<u32> = progress.pending.into_iter().collect();
                let lost = sent.items.keys().filter(|it| !pending.contains(it));
                failed.extend(lost.map(|it| (*it, Kind::BadAnswer)));
                sent.items.retain(|it, _| pending.contains(it));
            }
            Err(err) => {
                let kind = sent.failure(err.kind);
                failed.extend(sent.items.keys().map(|it| (*it, kind)));
                sent.items.clear();
            }
        }
        if !sent.items.is_empty() {
            let wait = self.ask.end.saturating_duration_since(Instant::now());
            steps.push(sent.collect(id, wait));
            self.batches.insert(id, sent);
        }
        steps.extend(self.retry(id, failed));
        steps.extend(self.hedge(Some(id), Instant::now()));
        steps
    }

    /// When [`Self::tick`] has something to do.
    pub(super) fn next_tick(&self) -> Instant {
        if self.mode == Mode::Canary {
            return self.canary_end;
        }
        let hedges = self.batches.values().map(|it| it.hedge_at);
        let hedges = hedges.map(|it| it + REPORT_SLACK);
        hedges.chain(self.deferred.next()).chain([self.ask.end]).min().unwrap_or(self.ask.end)
    }

    /// Hedges late sub-requests, and gives up what is not settled by the deadline.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<Step> {
        if now >= self.ask.end {
            return self.stop();
        }
        if self.mode == Mode::Canary && now >= self.canary_end {
            return self.stop_canary();
        }
        let mut steps = self.resume(now);
        steps.extend(self.hedge(None, now.checked_sub(REPORT_SLACK).unwrap_or(now)));
        steps
    }

    /// Cancels what runs; its shards end with a timeout.
    fn stop(&mut self) -> Vec<Step> {
        for number in self.deferred.due(None) {
            self.shards.give_up(number, Kind::NotOwner);
        }
        for number in self.shards.open() {
            self.shards.give_up(number, Kind::Timeout);
        }
        self.cancel_all()
    }

    /// Cancels a canary request that takes too long.
    fn stop_canary(&mut self) -> Vec<Step> {
        self.canary_failure = Some(Kind::Timeout);
        for (id, sent) in &self.batches {
            for number in sent.items.keys() {
                self.shards.failed(*number, *id, Kind::Timeout);
            }
        }
        self.cancel_all()
    }

    fn cancel_all(&mut self) -> Vec<Step> {
        let batches = std::mem::take(&mut self.batches);
        let cancel = |(id, sent): (BatchId, Sent)| {
            Step::Cancel(sent.peer, id, sent.items.into_keys().collect())
        };
        batches.into_iter().map(cancel).collect()
    }

    fn finished(
        &mut self,
        id: BatchId,
        sent: &mut Sent,
        finished: Finished,
        steps: &mut Vec<Step>,
        failed: &mut Vec<(u32, Kind)>,
    ) {
        if sent.items.get(&finished.shard) != Some(&finished.target) {
            self.foreign += 1;
            return;
        }
        sent.items.remove(&finished.shard);
        match finished.result {
            Ok(rows) => {
                let elapsed = Duration::from_micros(finished.elapsed_us);
                self.group.lock().observe(elapsed, Instant::now());
                let losers = self.shards.done(finished.shard, rows);
                for loser in losers.into_iter().filter(|it| *it != id) {
                    steps.extend(self.cancel(loser, finished.shard));
                }
            }
            Err(kind) => failed.push((finished.shard, kind)),
        }
    }

    fn cancel(&mut self, id: BatchId, shard: u32) -> Option<Step> {
        let sent = self.batches.get_mut(&id)?;
        sent.items.remove(&shard)?;
        let step = Step::Cancel(sent.peer.clone(), id, vec![shard]);
        if sent.items.is_empty() {
            self.batches.remove(&id);
        }
        Some(step)
    }

    /// Sends a second copy of each late sub-request of this batch, or of all.
    fn hedge(&mut self, only: Option<BatchId>, due: Instant) -> Vec<Step> {
        if self.mode == Mode::Canary {
            return Vec::new();
        }
        let now = Instant::now();
        let delay = self.group.lock().hedge_delay(now);
        let mut late = Vec::new();
        for (id, sent) in &mut self.batches {
            if sent.hedge_at <= due && only.is_none_or(|it| it == *id) {
                let elapsed = now.saturating_duration_since(sent.at);
                late.extend(sent.items.keys().map(|it| (*it, elapsed)));
                sent.hedge_at = now + delay;
            }
        }
        let current = self.host.current();
        let mut chosen = Vec::new();
        for (number, elapsed) in late {
            let Some(copies) = self.shards.copies(number) else { continue };
            let Ok(target) = self.shards.choose(&current, &self.ask.group, number) else {
                continue;
            };
            if self.group.lock().try_hedge(copies, elapsed, now) {
                chosen.push((number, target));
            }
        }
        self.send(&current, chosen, Cause::Hedge)
    }

    /// Groups sub-requests by owner. The lease is checked here, at the last step before the send.
    pub(super) fn send(
        &mut self,
        current: &Current,
        chosen: Vec<(u32, TargetKey)>,
        cause: Cause,
    ) -> Vec<Step> {
        if chosen.is_empty() {
            return Vec::new();
        }
        if let Err(err) = self.host.check_lease() {
            for (number, _) in chosen {
                self.shards.refused(number, err.kind);
            }
            return Vec::new();
        }
        self.host.metrics.subs(cause, chosen.len());
        if matches!(cause, Cause::First | Cause::Canary | Cause::Restart) {
            self.group.lock().earn(chosen.len());
        }
        if !matches!(cause, Cause::First | Cause::Canary) {
            self.extra += chosen.len() as u32;
        }
        let mut by_owner: BTreeMap<NodeKey, Vec<(u32, TargetKey)>> = BTreeMap::new();
        for (number, target) in chosen {
            let Some(owner) = current.view.target(target).owner else { continue };
            by_owner.entry(owner).or_default().push((number, target));
        }
        let now = Instant::now();
        by_owner
            .into_iter()
            .map(|(owner, chosen)| self.send_to(&current.view, owner, &chosen, now))
            .collect()
    }

    fn send_to(
        &mut self,
        view: &View,
        owner: NodeKey,
        chosen: &[(u32, TargetKey)],
        now: Instant,
    ) -> Step {
        let id = self.host.batch_id();
        let node = view.node(owner);
        let mut items = BTreeMap::new();
        for (number, target) in chosen {
            let name = &view.target(*target).name;
            self.shards.sent(*number, id, name, node.incarnation);
            items.insert(*number, name.clone());
        }
        let delay = self.group.lock().hedge_delay(now);
        let longest = Duration::from_millis(self.host.parts.cfg.max_sub_request_ms);
        let canary = self.mode == Mode::Canary;
        let end = if canary { self.canary_end } else { self.ask.end };
        let left = end.saturating_duration_since(now).min(longest);
        let partial_after = if canary { left } else { delay };
        let version = self.shards.version();
        let batch = step::batch(&self.ask, id, version, &items, left, partial_after);
        let batch = Batch { canary, ..batch };
        let peer = Arc::new(Peer::from(node));
        let sent = Sent::new(peer.clone(), now, now + delay, items);
        self.batches.insert(id, sent);
        Step::Exec(peer, Box::new(batch))
    }
}

impl<O: Owners> Drop for Fan<O> {
    /// Cancels what still runs when the caller went away.
    fn drop(&mut self) {
        let steps = self.stop();
        let Ok(runtime) = Handle::try_current() else { return };
        if !steps.is_empty() {
            let host = self.host.clone();
            runtime.spawn(async move { drive::cancel(&host, steps).await });
        }
    }
}
