//! Registry of targets, routes and drained zones for an interface of another protocol, such as that of a platform,
//! which runs in the process of a control host. It commits changes through the host and forwards heartbeats of targets.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::random;

use crate::{
    control::{
        health::{Checker, Endpoint, Unhealthy},
        host::Host,
    },
    error::{Error, Kind, Result},
    event::{Event, Kind as EventKind, unix_ms},
    route,
    state::{
        Change, DRAIN_LABEL, Object, ObjectKind, Phase, Reply, Revision, Rollout, Standing, Target,
        check_name, rollout::Start,
    },
    wire::control::{ProcessId, Submit},
};

/// Interval at which renewals are forwarded to the leader.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum difference between the clocks of two hosts, unless the settings name one.
pub const DEFAULT_MAX_CLOCK_SKEW: Duration = Duration::from_secs(12);

/// Delay before a change is submitted again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The latest processed announcement of a target: its process and the sequence number of the call.
struct LatestCall {
    incarnation: u64,
    call: u64,
}

/// Commits announcements of targets, routes and drains. An announcement that changes nothing is only a heartbeat: it is
/// not committed, but forwarded to the leader in batches.
pub struct Registry<E> {
    host: Arc<Host>,
    health: Checker<E>,
    commit_timeout: Duration,
    max_clock_skew: Duration,
    latest_calls: Mutex<HashMap<String, LatestCall>>,
    pending_renewals: Mutex<Vec<ProcessId>>,
    /// Services with an order of a rollout in progress.
    rollout_orders: Mutex<HashSet<String>>,
}

/// Marks an order of a rollout as in progress until it is dropped.
struct RolloutOrder<'a> {
    orders: &'a Mutex<HashSet<String>>,
    service: &'a str,
}

impl Drop for RolloutOrder<'_> {
    fn drop(&mut self) {
        self.orders.lock().remove(self.service);
    }
}

impl<E: Endpoint> Registry<E> {
    /// Creates a registry of targets that answer health checks at an endpoint. A change is retried for at most
    /// `commit_timeout`. The clocks of two hosts differ by at most `max_clock_skew`.
    pub fn new(
        host: Arc<Host>,
        health: E,
        commit_timeout: Duration,
        max_clock_skew: Duration,
    ) -> Self {
        Self {
            host,
            health: Checker::new(health),
            commit_timeout,
            max_clock_skew,
            latest_calls: Mutex::default(),
            pending_renewals: Mutex::default(),
            rollout_orders: Mutex::default(),
        }
    }

    /// Forwards renewals to the leader until the process ends. After a failure they are kept for the next attempt.
    pub async fn forward_renewals(&self) {
        loop {
            tokio::time::sleep(RENEWAL_INTERVAL).await;
            self.prune_latest_calls();
            let mut renewals = std::mem::take(&mut *self.pending_renewals.lock());
            renewals.sort();
            renewals.dedup();
            if renewals.is_empty() {
                continue;
            }
            if let Err(err) = self.host.read_barrier(renewals.clone()).await {
                log::info!(
                    "event=renewals_kept targets={} cause={:?}",
                    renewals.len(),
                    err.message
                );
                self.pending_renewals.lock().extend(renewals);
            }
        }
    }

    /// Drops the latest calls of targets that are no longer in the configuration.
    fn prune_latest_calls(&self) {
        let known: HashSet<_> =
            self.host.with_tables(|it| it.config.targets.keys().cloned().collect());
        self.latest_calls.lock().retain(|name, _| known.contains(name));
    }

    /// Processes an announcement. `call` increases with each announcement of a process; older ones are ignored. Returns
    /// after the commit if the announcement changes the target. What it changes is determined after a read barrier: this
    /// host may lag behind or have just lost its disk.
    ///
    /// That a process is leaving holds whatever else is known, so that such an announcement is never ignored.
    pub async fn announce(&self, target: Target, call: u64) -> Result<()> {
        let is_latest = self.record_if_latest(&target, call);
        if target.phase == Phase::Leaving {
            return if self.is_known_leaving(&target) {
                self.pending_renewals.lock().push(process(&target));
                Ok(())
            } else {
                self.put_target(Change::PutTarget(target.clone()), &target).await
            };
        }
        if !is_latest {
            log_ignored(&target, &format!("a later call than {call} is known"));
            return Ok(());
        }
        if self.renew_if_unchanged(&target) {
            return Ok(());
        }
        self.host.read_barrier(Vec::new()).await?;
        if self.renew_if_unchanged(&target) {
            return Ok(());
        }
        let Some(healthy_after_ms) = self.admit(&target).await else { return Ok(()) };
        if !self.claim_address(&target, healthy_after_ms.is_some()).await? {
            return Ok(());
        }
        let change = Change::Announce { target: target.clone(), healthy_after_ms };
        self.put_target(change, &target).await
    }

    fn is_known_leaving(&self, target: &Target) -> bool {
        self.host.with_tables(|it| {
            let known = it.config.targets.get(&target.name);
            known.is_some_and(|it| {
                (it.incarnation, it.phase) == (target.incarnation, Phase::Leaving)
            })
        })
    }

    /// Returns none if a target has left, or may have left and is not known to be healthy; else the departure after which it
    /// was found healthy, if there is one. The state machine decides again when the change is applied.
    async fn admit(&self, target: &Target) -> Option<Option<u64>> {
        let now_ms = |log_ms: u64| log_ms.max(unix_ms());
        let standing = self.host.with_tables(|it| it.standing(target, now_ms(it.config.now_ms)));
        match standing {
            Standing::Sound => Some(None),
            Standing::Left => {
                log_ignored(target, "the target has left");
                None
            }
            Standing::Uncertain { left_at_ms } => {
                let health = self.check_health(target, &format!("left_at_ms {left_at_ms}")).await;
                health.ok().map(|()| Some(left_at_ms))
            }
        }
    }

    async fn check_health(
        &self,
        target: &Target,
        cause: &str,
    ) -> std::result::Result<(), Unhealthy> {
        let document = self.host.with_tables(|it| it.config.routes.document.clone());
        let health = self.health.check(target, &document).await;
        let result = health.map_or_else(|it| it.to_string(), |()| "healthy".into());
        log::info!(
            "event=health_checked target={} incarnation={} cause={cause:?} result={result:?}",
            target.name,
            target.incarnation
        );
        health
    }

    /// Whether an announcement changes nothing: the target is known as announced, is leaving already, or a later process
    /// has its name. If it is from the known process, it counts as a heartbeat.
    fn renew_if_unchanged(&self, target: &Target) -> bool {
        let known = self.host.with_tables(|it| it.config.targets.get(&target.name).cloned());
        let Some(known) = known else { return false };
        if known.incarnation > target.incarnation {
            log_ignored(target, &format!("process {} has the name", known.incarnation));
            return true;
        }
        // A process that has announced its leave never serves again, even if a delayed announcement says so.
        let announced = match known.phase {
            Phase::Leaving if known.incarnation == target.incarnation => {
                &Target { phase: Phase::Leaving, ..target.clone() }
            }
            _ => target,
        };
        let unchanged = *announced == known;
        if unchanged && target.phase != known.phase {
            log_ignored(target, "the process is leaving");
        }
        if unchanged {
            self.pending_renewals.lock().push(process(target));
        }
        unchanged
    }

    /// Marks a target as leaving. Which of its processes that ends is decided when the change is applied: this host may lag
    /// behind, and the process that leaves may be unknown.
    pub async fn leave(&self, name: &str) -> Result<()> {
        check_name(name)?;
        let known = self.host.with_tables(|it| it.config.targets.get(name).cloned());
        let max_clock_skew_ms = self.max_clock_skew.as_millis() as u64;
        let change = Change::Depart { name: name.to_owned(), max_clock_skew_ms };
        let revision = self.commit(None, change).await?;
        self.pending_renewals.lock().extend(known.as_ref().map(process));
        let known = known.map(|it| format!("{} {}", it.incarnation, it.phase));
        let known = known.as_deref().unwrap_or("none");
        log::info!("event=leave_acknowledged target={name} known={known:?} revision={revision}");
        Ok(())
    }

    /// Checks and commits a route table. Returns the revision of the configuration with which it is acknowledged.
    pub async fn put_routes(&self, table: route::Table) -> Result<Revision> {
        table.check().map_err(|it| Error::new(Kind::BadRequest, it.to_string()))?;
        self.commit(None, Change::PutRoutes(Box::new(table))).await
    }

    /// The version of the route table that this host knows, without a read barrier.
    pub fn known_routes_version(&self) -> u64 {
        self.host.with_tables(|it| it.config.routes.version)
    }

    /// The version of the route table in force at a revision or after it. None if this host does not learn of the
    /// revision in time.
    pub async fn routes_version_since(&self, revision: Revision) -> Option<u64> {
        self.host.wait_for_revision(revision).await;
        self.host
            .with_tables(|it| (it.config.revision >= revision).then_some(it.config.routes.version))
    }

    /// Returns the current route table by a linearizable read.
    pub async fn routes(&self) -> Result<route::Table> {
        self.host.read_barrier(Vec::new()).await?;
        Ok(self.host.with_tables(|it| it.config.routes.clone()))
    }

    /// Commits an order to start a rollout. The same order again changes nothing. It conflicts with an order of the same
    /// service that is in progress here, and with a running rollout to another version.
    pub async fn start_rollout(&self, start: Start) -> Result<Revision> {
        let service = start.service.clone();
        if !self.rollout_orders.lock().insert(service.clone()) {
            let message = format!("an order of a rollout of {service:?} is in progress");
            return Err(Error::new(Kind::Conflict, message));
        }
        let _order = RolloutOrder { orders: &self.rollout_orders, service: &service };
        self.commit(None, Change::StartRollout(start)).await
    }

    /// Returns the last rollout of a service by a linearizable read.
    pub async fn rollout(&self, service: &str) -> Result<Rollout> {
        self.host.read_barrier(Vec::new()).await?;
        let rollout = self.host.with_tables(|it| it.config.rollouts.get(service).cloned());
        rollout.ok_or_else(|| {
            Error::new(Kind::NotFound, format!("no rollout of {service:?} was ordered"))
        })
    }

    /// Starts or ends the drain of a zone, through its drain label.
    pub async fn drain_zone(&self, zone: &str, drain: bool) -> Result<()> {
        let end = Instant::now() + self.commit_timeout;
        let object = Object::new(ObjectKind::Zone, zone);
        let change = if drain {
            Change::SetLabel { object, key: DRAIN_LABEL.into(), value: "true".into() }
        } else {
            Change::RemoveLabel { object, key: DRAIN_LABEL.into() }
        };
        loop {
            self.host.read_barrier(Vec::new()).await?;
            let base = self.host.with_tables(|it| it.config.operator_revision);
            match self.commit(Some(base), change.clone()).await {
                // Another operator's change was committed first. The drain label does not depend on it, so try again on
                // the new revision.
                Err(err) if err.kind == Kind::Conflict && Instant::now() < end => {}
                result => return result.map(drop),
            }
        }
    }

    /// Assigns an address to a target, and removes other serving targets at it. Returns false if another one has the
    /// address. Which one has it is told by the target that answers there, and without an answer by the clocks: the process
    /// that started last.
    async fn claim_address(&self, target: &Target, is_healthy: bool) -> Result<bool> {
        let others: Vec<_> = self.host.with_tables(|it| {
            let same_address = |it: &&Target| it.addr == target.addr && it.name != target.name;
            it.config.targets.values().filter(same_address).cloned().collect()
        });
        let newer = others.iter().find(|it| it.incarnation > target.incarnation);
        let rival = newer.or_else(|| others.iter().find(|it| it.phase == Phase::Serving));
        if !is_healthy && let Some(rival) = rival {
            let health = self.check_health(target, &format!("address of {}", rival.name)).await;
            if health == Err(Unhealthy::OtherTarget) || (health.is_err() && newer.is_some()) {
                log_ignored(target, &format!("{} is at {}", rival.name, rival.addr));
                return Ok(false);
            }
        }
        for Target { name, incarnation, phase, .. } in others {
            if phase == Phase::Serving {
                self.commit(None, Change::RemoveTarget { name, incarnation }).await?;
            }
        }
        Ok(true)
    }

    async fn put_target(&self, change: Change, target: &Target) -> Result<()> {
        let cause =
            format!("{} at {}, incarnation {}", target.phase, target.addr, target.incarnation);
        let event = Event::new(EventKind::TargetAnnounced, cause);
        let event = event.target(&target.name).zone(&target.zone);
        self.pending_renewals.lock().push(process(target));
        self.commit(None, change).await?;
        self.host.events.record(event);
        Ok(())
    }

    /// Commits a change, and retries under the same id while there is no leader or the leader changes. Returns the
    /// revision after the change.
    async fn commit(&self, base: Option<u64>, change: Change) -> Result<Revision> {
        let submit = Submit { id: random(), base, change };
        let end = Instant::now() + self.commit_timeout;
        loop {
            match self.host.submit(submit.clone()).await {
                Ok(Reply::Rejected(err)) => return Err(err),
                Ok(Reply::Conflict { current }) => {
                    let message = format!("the current operator revision is {current}");
                    return Err(Error::new(Kind::Conflict, message));
                }
                Ok(Reply::Applied { revision }) => return Ok(revision),
                Ok(other) => {
                    let message = format!("unexpected reply: {other:?}");
                    return Err(Error::new(Kind::Internal, message));
                }
                Err(err) if err.kind != Kind::NoQuorum => return Err(err),
                Err(err) if Instant::now() + RETRY_DELAY >= end => return Err(err),
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Records a call unless a later one is known; returns whether it was recorded.
    fn record_if_latest(&self, target: &Target, call: u64) -> bool {
        let mut latest_calls = self.latest_calls.lock();
        let found = latest_calls
            .entry(target.name.clone())
            .or_insert(LatestCall { incarnation: target.incarnation, call: 0 });
        if (found.incarnation, found.call) > (target.incarnation, call) {
            return false;
        }
        *found = LatestCall { incarnation: target.incarnation, call };
        true
    }
}

fn log_ignored(target: &Target, cause: &str) {
    log::info!(
        "event=announcement_ignored target={} incarnation={} phase={} cause={cause:?}",
        target.name,
        target.incarnation,
        target.phase
    );
}

fn process(target: &Target) -> ProcessId {
    ProcessId { process_name: target.name.clone(), incarnation: target.incarnation }
}
