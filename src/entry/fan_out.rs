//! The state machine of one fan-out of a query over the shards of one index version. It is told about answers of owners
//! and timers, and returns the requests to send next. The driver does the calls; only dropping a fan-out sends
//! something, the cancellations of what still runs.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::runtime::Handle;

use crate::{
    entry::{
        driver,
        host::{ActiveConfig, Host},
        metrics::Cause,
        owner_request::{self, OwnerRequest, SentBatch},
        owners::{Owners, Peer},
        policy_state::GroupPolicy,
        query::QuerySpec,
        retry::DeferredShards,
        shard::Shards,
    },
    error::{Kind, Result},
    policy::budget::QueryRetries,
    state::{NodeKey, TargetKey, View},
    wire::{
        caller::Row,
        owner::{Batch, BatchId, Finished, Progress},
    },
};

/// How long to wait beyond the hedge delay for the partial report of an owner, which normally triggers the hedge. The
/// round trip to another region takes 16 ms.
const REPORT_MARGIN: Duration = Duration::from_millis(25);

/// Whether the fan-out sends the canary, which is neither hedged nor retried, or sub-requests to all shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    Canary,
    Full,
}

/// One fan-out of a query.
pub(super) struct FanOut<O: Owners> {
    pub(super) host: Arc<Host<O>>,
    pub(super) spec: Arc<QuerySpec>,
    pub(super) mode: Mode,
    pub(super) shards: Shards,
    pub(super) batches: HashMap<BatchId, SentBatch>,
    pub(super) retries: QueryRetries,
    pub(super) deferred: DeferredShards,
    pub(super) group: Arc<Mutex<GroupPolicy>>,
    pub(super) canary_failure: Option<Kind>,
    pub(super) canary_deadline: Instant,
    /// How many results were reported that do not belong to a pending sub-request of their batch.
    pub(super) unexpected_answers: u32,
    /// How many hedges, retries and restarted sub-requests were sent.
    pub(super) extra_sub_requests: u32,
}

impl<O: Owners> FanOut<O> {
    /// Creates a fan-out over `total` shards of an index version. Sends nothing yet.
    pub(super) fn new(
        host: Arc<Host<O>>,
        spec: Arc<QuerySpec>,
        version: u64,
        total: usize,
    ) -> Self {
        Self {
            retries: QueryRetries::new(total as u32),
            deferred: DeferredShards::default(),
            group: host.policy.group(&spec.group),
            shards: Shards::new(version, total),
            mode: Mode::Full,
            batches: HashMap::new(),
            canary_failure: None,
            canary_deadline: spec.deadline,
            unexpected_answers: 0,
            extra_sub_requests: 0,
            host,
            spec,
        }
    }

    pub(super) fn shards(&self) -> &Shards {
        &self.shards
    }

    /// Takes all rows, sorted by id.
    pub(super) fn take_rows(&mut self) -> Vec<Row> {
        self.shards.take_rows()
    }

    /// Why the canary that was last sent to this shard failed, if it did.
    pub(super) fn canary_failure(&self, shard: u32) -> Option<Kind> {
        self.canary_failure.or_else(|| self.shards.failure(shard))
    }

    /// Whether no sub-request is running and no shard is deferred.
    pub(super) fn is_idle(&self) -> bool {
        self.batches.is_empty() && self.deferred.is_empty()
    }

    /// Sends the canary for a shard to a target.
    pub(super) fn send_canary(&mut self, shard: u32, target: TargetKey) -> Vec<OwnerRequest> {
        self.mode = Mode::Canary;
        self.canary_failure = None;
        // Half of the remaining time, so that a canary without an answer leaves time for a second one and the fan-out.
        let now = Instant::now();
        self.canary_deadline = now + self.spec.deadline.saturating_duration_since(now) / 2;
        let current = self.host.current();
        self.send(&current, vec![(shard, target)], Cause::Canary)
    }

    /// Sends a sub-request for each shard that is not settled.
    pub(super) fn send_unsettled(&mut self, cause: Cause) -> Vec<OwnerRequest> {
        self.mode = Mode::Full;
        let current = self.host.current();
        let mut chosen = Vec::new();
        for number in self.shards.unsettled() {
            match self.shards.choose_target(&current, &self.spec.group, number) {
                Ok(target) => chosen.push((number, target)),
                Err(kind) => self.shards.give_up(number, kind),
            }
        }
        self.send(&current, chosen, cause)
    }

    /// Handles the answer of an owner to a batch: records results, collects what is pending, retries and hedges. A
    /// sub-request that is neither finished nor pending in the answer counts as a bad answer.
    pub(super) fn handle_progress(
        &mut self,
        id: BatchId,
        answer: Result<Progress>,
    ) -> Vec<OwnerRequest> {
        let Some(mut sent) = self.batches.remove(&id) else { return Vec::new() };
        let mut requests = Vec::new();
        let mut failed = Vec::new();
        match answer {
            Ok(progress) => {
                let now = Instant::now();
                self.host.current().record_hints(&progress.hints, now);
                for finished in progress.finished {
                    self.handle_finished(id, &mut sent, finished, &mut requests, &mut failed);
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
            let wait = self.spec.deadline.saturating_duration_since(Instant::now());
            requests.push(sent.collect(id, wait));
            self.batches.insert(id, sent);
        }
        requests.extend(self.retry_failed(id, failed));
        requests.extend(self.send_hedges(Some(id), Instant::now()));
        requests
    }

    /// When [`Self::handle_timer`] is due next.
    pub(super) fn next_timer(&self) -> Instant {
        if self.mode == Mode::Canary {
            return self.canary_deadline;
        }
        let hedges = self.batches.values().map(|it| it.hedge_at);
        let hedges = hedges.map(|it| it + REPORT_MARGIN);
        hedges
            .chain(self.deferred.next_due())
            .chain([self.spec.deadline])
            .min()
            .unwrap_or(self.spec.deadline)
    }

    /// Retries deferred shards and hedges late sub-requests whose owner has not reported. At the deadline, gives up all
    /// shards that are not settled.
    pub(super) fn handle_timer(&mut self, now: Instant) -> Vec<OwnerRequest> {
        if now >= self.spec.deadline {
            return self.give_up_all();
        }
        if self.mode == Mode::Canary && now >= self.canary_deadline {
            return self.time_out_canary();
        }
        let mut requests = self.retry_deferred(now);
        requests.extend(self.send_hedges(None, now.checked_sub(REPORT_MARGIN).unwrap_or(now)));
        requests
    }

    /// Cancels all sub-requests. Settles deferred shards with [`Kind::NotOwner`] and the others as timed out.
    fn give_up_all(&mut self) -> Vec<OwnerRequest> {
        for number in self.deferred.take_due(None) {
            self.shards.give_up(number, Kind::NotOwner);
        }
        for number in self.shards.unsettled() {
            self.shards.give_up(number, Kind::Timeout);
        }
        self.cancel_all()
    }

    /// Cancels a canary that has not been answered by its deadline.
    fn time_out_canary(&mut self) -> Vec<OwnerRequest> {
        self.canary_failure = Some(Kind::Timeout);
        for (id, sent) in &self.batches {
            for number in sent.items.keys() {
                self.shards.record_failure(*number, *id, Kind::Timeout);
            }
        }
        self.cancel_all()
    }

    fn cancel_all(&mut self) -> Vec<OwnerRequest> {
        let batches = std::mem::take(&mut self.batches);
        let cancel = |(id, sent): (BatchId, SentBatch)| {
            OwnerRequest::Cancel(sent.peer, id, sent.items.into_keys().collect())
        };
        batches.into_iter().map(cancel).collect()
    }

    fn handle_finished(
        &mut self,
        id: BatchId,
        sent: &mut SentBatch,
        finished: Finished,
        requests: &mut Vec<OwnerRequest>,
        failed: &mut Vec<(u32, Kind)>,
    ) {
        if sent.items.get(&finished.shard) != Some(&finished.target) {
            self.unexpected_answers += 1;
            return;
        }
        sent.items.remove(&finished.shard);
        match finished.result {
            Ok(rows) => {
                let elapsed = Duration::from_micros(finished.elapsed_us);
                self.group.lock().record_latency(elapsed, Instant::now());
                let losers = self.shards.record_success(finished.shard, rows);
                for loser in losers.into_iter().filter(|it| *it != id) {
                    requests.extend(self.cancel(loser, finished.shard));
                }
            }
            Err(kind) => failed.push((finished.shard, kind)),
        }
    }

    fn cancel(&mut self, id: BatchId, shard: u32) -> Option<OwnerRequest> {
        let sent = self.batches.get_mut(&id)?;
        sent.items.remove(&shard)?;
        let request = OwnerRequest::Cancel(sent.peer.clone(), id, vec![shard]);
        if sent.items.is_empty() {
            self.batches.remove(&id);
        }
        Some(request)
    }

    /// Sends a second copy of each sub-request that is late, if the hedge budget allows it: those of batch `only`, or
    /// of all batches. A batch whose hedge time is after `due` is left alone. The canary is not hedged.
    fn send_hedges(&mut self, only: Option<BatchId>, due: Instant) -> Vec<OwnerRequest> {
        if self.mode == Mode::Canary {
            return Vec::new();
        }
        let now = Instant::now();
        let delay = self.group.lock().hedge_delay(now);
        let mut late = Vec::new();
        for (id, sent) in &mut self.batches {
            if sent.hedge_at <= due && only.is_none_or(|it| it == *id) {
                let elapsed = now.saturating_duration_since(sent.sent_at);
                late.extend(sent.items.keys().map(|it| (*it, elapsed)));
                sent.hedge_at = now + delay;
            }
        }
        let current = self.host.current();
        let mut chosen = Vec::new();
        for (number, elapsed) in late {
            let Some(copies) = self.shards.running_copies(number) else { continue };
            let Ok(target) = self.shards.choose_target(&current, &self.spec.group, number) else {
                continue;
            };
            if self.group.lock().try_hedge(copies, elapsed, now) {
                chosen.push((number, target));
            }
        }
        self.send(&current, chosen, Cause::Hedge)
    }

    /// Makes one batch per owner of these sub-requests. Checks the lease here, the last place before they are sent;
    /// without it nothing is sent.
    pub(super) fn send(
        &mut self,
        current: &ActiveConfig,
        chosen: Vec<(u32, TargetKey)>,
        cause: Cause,
    ) -> Vec<OwnerRequest> {
        if chosen.is_empty() {
            return Vec::new();
        }
        if let Err(err) = self.host.check_lease() {
            for (number, _) in chosen {
                self.shards.record_not_sent(number, err.kind);
            }
            return Vec::new();
        }
        self.host.metrics.record_sub_requests(cause, chosen.len());
        if matches!(cause, Cause::First | Cause::Canary | Cause::Restart) {
            self.group.lock().add_budget(chosen.len());
        }
        if !matches!(cause, Cause::First | Cause::Canary) {
            self.extra_sub_requests += chosen.len() as u32;
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

    /// Makes the batch for one owner and records it as sent.
    fn send_to(
        &mut self,
        view: &View,
        owner: NodeKey,
        chosen: &[(u32, TargetKey)],
        now: Instant,
    ) -> OwnerRequest {
        let id = self.host.next_batch_id();
        let node = view.node(owner);
        let mut items = BTreeMap::new();
        for (number, target) in chosen {
            let name = &view.target(*target).name;
            self.shards.record_sent(*number, id, name, node.incarnation);
            items.insert(*number, name.clone());
        }
        let delay = self.group.lock().hedge_delay(now);
        let longest = Duration::from_millis(self.host.context.cfg.max_sub_request_ms);
        let canary = self.mode == Mode::Canary;
        let deadline = if canary { self.canary_deadline } else { self.spec.deadline };
        let left = deadline.saturating_duration_since(now).min(longest);
        let partial_after = if canary { left } else { delay };
        let version = self.shards.version();
        let batch = owner_request::batch(&self.spec, id, version, &items, left, partial_after);
        let batch = Batch { canary, ..batch };
        let peer = Arc::new(Peer::from(node));
        let sent = SentBatch::new(peer.clone(), now, now + delay, items);
        self.batches.insert(id, sent);
        OwnerRequest::Exec(peer, Box::new(batch))
    }
}

impl<O: Owners> Drop for FanOut<O> {
    /// Cancels what still runs, as it does if the caller has disconnected.
    fn drop(&mut self) {
        let requests = self.give_up_all();
        let Ok(runtime) = Handle::try_current() else { return };
        if !requests.is_empty() {
            let host = self.host.clone();
            runtime.spawn(async move { driver::cancel(&host, requests).await });
        }
    }
}
