//! Ownership of targets: which targets a revision of the configuration gives to this owner or takes from it, and the
//! handover between two owners.
//!
//! At most one owner may send to a target at any time. The old owner stops sending, lets its requests end, and then
//! calls `release` at the new owner. Without that call the new owner waits until the old one's lease must have expired
//! and its longest request must have ended.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tarpc::context;

use crate::{
    error::{Error, Kind, Result},
    event,
    owner::{Owner, target::Target},
    state::{NodeView, Revision, TargetView, View},
    wire::owner::Release,
};

/// How long to wait after a failed `release` call before the next one.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The timeout of one `release` call.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// The lease counts as lapsed once it has been expired for this fraction of the longest sub-request. It is less than 1
/// because the clocks of hosts run at different speeds.
const LAPSE_FACTOR: f64 = 0.9;

/// How often a stopping owner checks whether its requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Owner {
    /// Puts a revision in force: adds, removes and updates owned targets. It must be called before the poll that
    /// brought the revision renews the lease, so that no request is sent under an outdated view.
    pub fn apply(self: &Arc<Self>, view: &Arc<View>) {
        let now = Instant::now();
        let mut targets = self.targets.write();
        let old = self.replace_view(view);
        let lapsed = self.lease_lapsed(now);
        let lost: Vec<_> =
            targets.keys().filter(|it| self.owned(view, it).is_none()).cloned().collect();
        for name in lost {
            if let Some(target) = targets.remove(&name) {
                self.lose(view, target);
            }
        }
        for (key, found) in view.targets() {
            if !self.owns(view, view.target(key)) {
                continue;
            }
            match targets.get(&found.name) {
                Some(target) if same_process(target, found) => {
                    self.update(target, found, now);
                    if lapsed && old.as_ref().is_some_and(|it| it.revision < view.revision) {
                        self.extend_wait(target, now + self.max_handover_wait());
                    }
                }
                known => {
                    let owned_before = known.is_some();
                    if let Some(old) = known {
                        old.close(Kind::NoTarget);
                    }
                    let target = self.gain(old.as_deref(), view, found, owned_before, now);
                    targets.insert(found.name.clone(), target);
                }
            }
        }
    }

    /// Handles the `release` call of the previous owner, which has finished with the target. Fails with
    /// [`Kind::NotOwner`] while this host does not own the target yet; the previous owner then tries again.
    pub fn release(&self, release: Release) -> Result<()> {
        let Release { target: name, incarnation, revision, limit } = release;
        let handing_over = || self.handing_over.lock().get(&name).cloned().ok_or(Kind::NotOwner);
        let target = self.target(&name).or_else(|_| handing_over())?;
        let now = Instant::now();
        let mut state = target.state.lock();
        if incarnation != target.incarnation || revision <= state.gained_between.0 {
            return Err(Error::new(Kind::NotOwner, "release refers to another handover"));
        }
        let Some(end) = state.handover_until.take() else { return Ok(()) };
        if now < end {
            state.limit.resume_from(now, limit);
            drop(state);
            target.drained.notify_waiters();
            target.record_event(
                event::Kind::OwnerChanged,
                format!("released by the previous owner with limit {limit}"),
            );
        }
        Ok(())
    }

    /// Takes no new work, waits until the running requests have ended and the targets that a revision has moved away
    /// are released, and then closes the remaining targets. The wait is limited.
    pub async fn stop(self: &Arc<Self>) {
        self.stopping.store(true, Ordering::Release);
        let end = Instant::now() + self.max_handover_wait() + self.shared.max_sub_request;
        while Instant::now() < end && !self.is_drained() {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        for target in self.targets.read().values() {
            target.close(Kind::Leaving);
        }
    }

    fn is_drained(&self) -> bool {
        let drained = |it: &Arc<Target>| {
            let state = it.state.lock();
            state.in_flight == 0 && state.queued() == 0
        };
        self.targets.read().values().all(drained) && self.handing_over.lock().is_empty()
    }

    /// Whether another host may have owned and used targets of this one while its lease was expired. A new owner waits
    /// `lease + max_sub_request` from a revision that came after this host's last confirmed poll. It therefore cannot
    /// send until the lease has been expired for `max_sub_request`.
    fn lease_lapsed(&self, now: Instant) -> bool {
        let expired = self.shared.lease.expired_for(now);
        expired.is_some_and(|it| it >= self.shared.max_sub_request.mul_f64(LAPSE_FACTOR))
    }

    /// How long a previous owner may still send after its last confirmed poll: its lease and its longest request.
    pub(super) fn max_handover_wait(&self) -> Duration {
        self.lease_duration + self.shared.max_sub_request
    }

    fn owns(&self, view: &View, target: &TargetView) -> bool {
        target.owner.is_some_and(|it| {
            let node = view.node(it);
            node.name == self.name && node.incarnation == self.incarnation
        })
    }

    fn owned<'a>(&self, view: &'a View, name: &str) -> Option<&'a TargetView> {
        let target = view.target(view.target_key(name)?);
        self.owns(view, target).then_some(target)
    }

    fn update(&self, target: &Arc<Target>, view: &TargetView, now: Instant) {
        target.adjust_limit(|state| {
            state.usable = view.usable;
            state.max_connections = view.connections;
            if state.slots == view.slots && state.warm_up == view.warm_up {
                return None;
            }
            state.slots = view.slots;
            state.warm_up = view.warm_up;
            state.limit.set_bounds(now, view.warm_up, view.slots)
        });
        target.sweep(now);
    }

    fn extend_wait(&self, target: &Target, end: Instant) {
        let mut state = target.state.lock();
        state.handover_until = state.handover_until.max(Some(end));
    }

    /// Takes ownership of a target that is new to this owner or runs as a new process.
    fn gain(
        self: &Arc<Self>,
        old: Option<&View>,
        view: &Arc<View>,
        found: &TargetView,
        owned_before: bool,
        now: Instant,
    ) -> Arc<Target> {
        let target = self.reclaim_or_create(found, now);
        let wait = if owned_before { Duration::ZERO } else { self.handover_wait(old, view, found) };
        {
            let mut state = target.state.lock();
            state.gained_between = (old.map_or(0, |it| it.revision), view.revision);
            state.handover_until = (!wait.is_zero()).then_some(now + wait);
        }
        let cause = format!(
            "gained in revision {}, waiting at most {} ms for the previous owner",
            view.revision,
            wait.as_millis()
        );
        target.record_event(event::Kind::OwnerChanged, cause);
        target
    }

    /// Returns the target that is still being handed over, because its running requests count against the limit;
    /// otherwise creates a new one.
    fn reclaim_or_create(&self, found: &TargetView, now: Instant) -> Arc<Target> {
        let handing_over = self.handing_over.lock().remove(&found.name);
        let Some(target) = handing_over.filter(|it| same_process(it, found)) else {
            return Arc::new(Target::new(found, self.shared.clone(), now));
        };
        {
            let mut state = target.state.lock();
            state.closed = None;
            state.renewed_at = now;
        }
        self.update(&target, found, now);
        target
    }

    /// How long the previous owner of a gained target may still send.
    fn handover_wait(&self, old: Option<&View>, view: &View, found: &TargetView) -> Duration {
        let Some(old) = old else { return self.max_handover_wait() };
        let Some(before) = old.target_key(&found.name).map(|it| old.target(it)) else {
            return Duration::ZERO;
        };
        let Some(node) = before.owner.map(|it| old.node(it)) else {
            return self.max_handover_wait();
        };
        if node.name == self.name && node.incarnation == self.incarnation {
            return Duration::ZERO;
        }
        let present = view.nodes().any(|(_, it)| it.name == node.name);
        if present {
            self.max_handover_wait()
        } else {
            self.max_handover_wait() - self.expired_node_silence()
        }
    }

    /// How long an expired host has been silent at least, which shortens the wait for it. Capped at that wait.
    fn expired_node_silence(&self) -> Duration {
        self.node_expiry.min(self.max_handover_wait())
    }

    /// Closes a target that this host no longer owns, and hands it over if the same process has a new owner.
    fn lose(self: &Arc<Self>, view: &Arc<View>, target: Arc<Target>) {
        target.close(Kind::NotOwner);
        self.shared.metrics.remove_target(&target.name);
        let found = view.target_key(&target.name).map(|it| view.target(it));
        let next = found.filter(|it| same_process(&target, it)).and_then(|it| it.owner);
        let cause = match next {
            Some(next) => {
                format!("moved to {} in revision {}", view.node(next).name, view.revision)
            }
            None => format!("removed in revision {}", view.revision),
        };
        target.record_event(event::Kind::OwnerChanged, cause);
        if let Some(next) = next {
            self.handing_over.lock().insert(target.name.clone(), target.clone());
            let next = view.node(next).clone();
            tokio::spawn(self.clone().hand_over(target, next, view.revision));
        }
    }

    /// Waits until the target is drained, then releases it to the new owner.
    async fn hand_over(self: Arc<Self>, target: Arc<Target>, next: NodeView, revision: Revision) {
        drain(&target).await;
        let limit = target.state.lock().limit.value();
        let release = Release {
            target: target.name.clone(),
            incarnation: target.incarnation,
            revision,
            limit,
        };
        // After this time the new owner starts without a release.
        let end = Instant::now() + self.max_handover_wait();
        while Instant::now() < end && self.is_handing_over(&target) {
            if self.send_release(&next, release.clone()).await.is_ok() {
                break;
            }
            tokio::time::sleep(RELEASE_RETRY_DELAY).await;
        }
        if self.is_handing_over(&target) {
            self.handing_over.lock().remove(&target.name);
        }
    }

    /// Whether the handover continues. It ends early if this host gains the target back.
    fn is_handing_over(&self, target: &Arc<Target>) -> bool {
        self.handing_over.lock().get(&target.name).is_some_and(|it| Arc::ptr_eq(it, target))
    }

    async fn send_release(&self, next: &NodeView, release: Release) -> Result<()> {
        let client = self.peers.get(next.rpc).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + RELEASE_TIMEOUT;
        let answer = client.release(context, release).await;
        answer.map_err(|err| {
            self.peers.drop_peer(next.rpc);
            Error::new(Kind::NotOwner, err.to_string())
        })?
    }
}

/// Waits until no request of this owner runs at the target. A wait for the previous owner of the target must be over
/// too, because that owner may still send.
async fn drain(target: &Arc<Target>) {
    loop {
        let drained = target.drained.notified();
        tokio::pin!(drained);
        drained.as_mut().enable();
        let (in_flight, handover_until) = {
            let state = target.state.lock();
            (state.in_flight, state.handover_until)
        };
        let now = Instant::now();
        match handover_until {
            Some(end) if now < end => {
                let _ = tokio::time::timeout_at(end.into(), drained).await;
            }
            _ if in_flight > 0 => drained.await,
            _ => return,
        }
    }
}

fn same_process(target: &Target, view: &TargetView) -> bool {
    target.incarnation == view.incarnation && target.addr == view.addr
}
