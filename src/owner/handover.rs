//! Ownership of targets: what is gained and lost with a revision, and the hand-over between owners.

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

/// The pause between two attempts to hand a target over.
const RELEASE_PAUSE: Duration = Duration::from_millis(20);

/// How long one attempt to hand a target over may take.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// The share of the longest sub-request after the end of the lease that counts as a lapse; less than 1 because clocks
/// of hosts run at different speeds.
const LAPSE_SHARE: f64 = 0.9;

/// How often a stopping owner looks whether everything has ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Owner {
    /// Puts a new revision in force: targets that are gained, lost or changed. It must be called before the lease is
    /// renewed by the poll that brought the revision, so that no request is sent under a view that has ended.
    pub fn apply(self: &Arc<Self>, view: &Arc<View>) {
        let now = Instant::now();
        let mut targets = self.targets.write();
        let old = self.replace_view(view);
        let lapsed = self.lapsed(now);
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
                        self.wait(target, now + self.longest_wait());
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

    /// Takes over a target whose old owner has finished with it. Fails with [`Kind::NotOwner`] while this host does not
    /// own the target yet; the old owner then tries again.
    pub fn release(&self, release: Release) -> Result<()> {
        let Release { target: name, incarnation, revision, limit } = release;
        let handed_on = || self.leaving.lock().get(&name).cloned().ok_or(Kind::NotOwner);
        let target = self.target(&name).or_else(|_| handed_on())?;
        let now = Instant::now();
        let mut state = target.state.lock();
        if incarnation != target.incarnation || revision <= state.gained.0 {
            return Err(Error::new(Kind::NotOwner, "the release belongs to another hand-over"));
        }
        let Some(end) = state.wait_until.take() else { return Ok(()) };
        if now < end {
            state.limit.resume_from(now, limit);
            drop(state);
            target.drained.notify_waiters();
            target.record(event::Kind::OwnerChanged, format!("released with limit {limit}"));
        }
        Ok(())
    }

    /// Takes no new work, finishes what runs, and releases the targets that a revision has moved away.
    pub async fn stop(self: &Arc<Self>) {
        self.stopping.store(true, Ordering::Release);
        let end = Instant::now() + self.longest_wait() + self.shared.max_sub_request;
        while Instant::now() < end && !self.is_drained() {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
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
        self.targets.read().values().all(drained) && self.leaving.lock().is_empty()
    }

    /// Whether another host may have owned targets of this one in between. It waits `lease + max_sub_request` from a
    /// revision that came after the last confirmed poll of this host, so a shorter gap excludes that.
    fn lapsed(&self, now: Instant) -> bool {
        let expired = self.shared.lease.expired_for(now);
        expired.is_some_and(|it| it >= self.shared.max_sub_request.mul_f64(LAPSE_SHARE))
    }

    pub(super) fn longest_wait(&self) -> Duration {
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
        target.adjust(|state| {
            state.usable = view.usable;
            state.connections = view.connections;
            if state.slots == view.slots && state.warm_up == view.warm_up {
                return None;
            }
            state.slots = view.slots;
            state.warm_up = view.warm_up;
            state.limit.set_bounds(now, view.warm_up, view.slots)
        });
        target.sweep(now);
    }

    fn wait(&self, target: &Target, end: Instant) {
        let mut state = target.state.lock();
        state.wait_until = state.wait_until.max(Some(end));
    }

    fn gain(
        self: &Arc<Self>,
        old: Option<&View>,
        view: &Arc<View>,
        found: &TargetView,
        owned_before: bool,
        now: Instant,
    ) -> Arc<Target> {
        let target = self.reopen(found, now);
        let wait = if owned_before { Duration::ZERO } else { self.wait_for(old, view, found) };
        {
            let mut state = target.state.lock();
            state.gained = (old.map_or(0, |it| it.revision), view.revision);
            state.wait_until = (!wait.is_zero()).then_some(now + wait);
        }
        let cause = format!(
            "gained with revision {}, waits at most {} ms for the previous owner",
            view.revision,
            wait.as_millis()
        );
        target.record(event::Kind::OwnerChanged, cause);
        target
    }

    /// The target of a hand-over that has not ended yet, whose requests still count, or else a new one.
    fn reopen(&self, found: &TargetView, now: Instant) -> Arc<Target> {
        let handed = self.leaving.lock().remove(&found.name);
        let Some(target) = handed.filter(|it| same_process(it, found)) else {
            return Arc::new(Target::new(found, self.shared.clone(), now));
        };
        {
            let mut state = target.state.lock();
            state.closed = None;
            state.renewed = now;
        }
        self.update(&target, found, now);
        target
    }

    /// How long the previous owner of a gained target may still send.
    fn wait_for(&self, old: Option<&View>, view: &View, found: &TargetView) -> Duration {
        let Some(old) = old else { return self.longest_wait() };
        let Some(before) = old.target_key(&found.name).map(|it| old.target(it)) else {
            return Duration::ZERO;
        };
        let Some(node) = before.owner.map(|it| old.node(it)) else {
            return self.longest_wait();
        };
        if node.name == self.name && node.incarnation == self.incarnation {
            return Duration::ZERO;
        }
        let present = view.nodes().any(|(_, it)| it.name == node.name);
        if present { self.longest_wait() } else { self.longest_wait() - self.expired() }
    }

    /// How long a host has been silent when it is expired; never more than the wait that this shortens.
    fn expired(&self) -> Duration {
        self.node_expiry.min(self.longest_wait())
    }

    fn lose(self: &Arc<Self>, view: &Arc<View>, target: Arc<Target>) {
        target.close(Kind::NotOwner);
        self.shared.meter.forget(&target.name);
        let found = view.target_key(&target.name).map(|it| view.target(it));
        let next = found.filter(|it| same_process(&target, it)).and_then(|it| it.owner);
        let cause = match next {
            Some(next) => {
                format!("lost to {} with revision {}", view.node(next).name, view.revision)
            }
            None => format!("removed with revision {}", view.revision),
        };
        target.record(event::Kind::OwnerChanged, cause);
        if let Some(next) = next {
            self.leaving.lock().insert(target.name.clone(), target.clone());
            let next = view.node(next).clone();
            tokio::spawn(self.clone().hand_over(target, next, view.revision));
        }
    }

    /// Waits until nothing of this owner and its own predecessor runs at the target, then tells the new owner.
    async fn hand_over(self: Arc<Self>, target: Arc<Target>, next: NodeView, revision: Revision) {
        drain(&target).await;
        let limit = target.state.lock().limit.value();
        let release = Release {
            target: target.name.clone(),
            incarnation: target.incarnation,
            revision,
            limit,
        };
        // Later the new owner has started without a release.
        let end = Instant::now() + self.longest_wait();
        while Instant::now() < end && self.is_leaving(&target) {
            if self.send_release(&next, release.clone()).await.is_ok() {
                break;
            }
            tokio::time::sleep(RELEASE_PAUSE).await;
        }
        if self.is_leaving(&target) {
            self.leaving.lock().remove(&target.name);
        }
    }

    /// Whether the hand-over goes on: a target that was gained back is owned again.
    fn is_leaving(&self, target: &Arc<Target>) -> bool {
        self.leaving.lock().get(&target.name).is_some_and(|it| Arc::ptr_eq(it, target))
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

/// Waits until no request of this owner runs at the target and the wait for its predecessor is over.
async fn drain(target: &Arc<Target>) {
    loop {
        let drained = target.drained.notified();
        tokio::pin!(drained);
        drained.as_mut().enable();
        let (in_flight, wait_until) = {
            let state = target.state.lock();
            (state.in_flight, state.wait_until)
        };
        let now = Instant::now();
        match wait_until {
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
