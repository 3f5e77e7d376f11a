//! What operators and targets tell a control host through an interface of another protocol.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::random;

use crate::{
    control::host::Host,
    error::{Error, Kind, Result},
    event::{Event, Kind as EventKind},
    route,
    state::{Change, DRAIN_LABEL, Object, ObjectKind, Phase, Reply, Target},
    wire::control::{ProcessId, Submit},
};

/// How often renewals are passed on to the leader.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// The pause before a change is proposed again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The newest call of a target's process that was taken.
struct Newest {
    incarnation: u64,
    call: u64,
}

/// Commits what operators and targets tell, and renews announcements that did not change.
pub struct Registry {
    host: Arc<Host>,
    limit: Duration,
    newest: Mutex<HashMap<String, Newest>>,
    renewed: Mutex<Vec<ProcessId>>,
}

impl Registry {
    /// Makes a registry whose changes take at most `limit`.
    pub fn new(host: Arc<Host>, limit: Duration) -> Self {
        Self { host, limit, newest: Mutex::default(), renewed: Mutex::default() }
    }

    /// Passes renewals on to the leader until the process ends.
    pub async fn renew(&self) {
        loop {
            tokio::time::sleep(RENEW_INTERVAL).await;
            self.forget_unknown();
            let mut heard = std::mem::take(&mut *self.renewed.lock());
            heard.sort();
            heard.dedup();
            if heard.is_empty() {
                continue;
            }
            if let Err(err) = self.host.confirm(heard.clone()).await {
                log::info!("event=renewals_kept targets={} cause={:?}", heard.len(), err.message);
                self.renewed.lock().extend(heard);
            }
        }
    }

    /// Forgets the calls of targets that were removed.
    fn forget_unknown(&self) {
        let known: HashSet<_> = self.host.read(|it| it.config.targets.keys().cloned().collect());
        self.newest.lock().retain(|name, _| known.contains(name));
    }

    /// Takes an announcement; `call` grows with each call of one process. A change is committed before this returns.
    pub async fn announce(&self, target: Target, call: u64) -> Result<()> {
        if !self.is_newest(&target, call) {
            log::info!(
                "event=announcement_ignored target={} incarnation={} call={call} cause=\"a later call is known\"",
                target.name,
                target.incarnation
            );
            return Ok(());
        }
        let known = self.host.read(|it| it.config.targets.get(&target.name).cloned());
        let target = match known {
            Some(known) if known.incarnation > target.incarnation => return Ok(()),
            Some(known) if known.incarnation == target.incarnation => {
                // A process that leaves never serves again.
                let phase = if known.phase == Phase::Leaving { known.phase } else { target.phase };
                let target = Target { phase, ..target };
                if target == known {
                    self.renewed.lock().push(heard(&target));
                    return Ok(());
                }
                target
            }
            _ => target,
        };
        if !self.take_address(&target).await? {
            return Ok(());
        }
        self.put(target).await
    }

    /// A target says that it leaves. It may not have announced itself here.
    pub async fn leave(&self, name: &str) -> Result<()> {
        let known = self.host.read(|it| it.config.targets.get(name).cloned());
        match known {
            Some(known) if known.phase == Phase::Serving => {
                self.put(Target { phase: Phase::Leaving, ..known }).await
            }
            _ => self.host.confirm(Vec::new()).await,
        }
    }

    /// Puts routes in force.
    pub async fn put_routes(&self, table: route::Table) -> Result<()> {
        table.check().map_err(|it| Error::new(Kind::BadRequest, it.to_string()))?;
        self.commit(None, Change::PutRoutes(Box::new(table))).await
    }

    /// The newest routes, confirmed by a quorum.
    pub async fn routes(&self) -> Result<route::Table> {
        self.host.confirm(Vec::new()).await?;
        Ok(self.host.read(|it| it.config.routes.clone()))
    }

    /// Takes a zone out of service, or brings it back.
    pub async fn drain_zone(&self, zone: &str, drain: bool) -> Result<()> {
        let end = Instant::now() + self.limit;
        let object = Object::new(ObjectKind::Zone, zone);
        let change = if drain {
            Change::SetLabel { object, key: DRAIN_LABEL.into(), value: "true".into() }
        } else {
            Change::RemoveLabel { object, key: DRAIN_LABEL.into() }
        };
        loop {
            self.host.confirm(Vec::new()).await?;
            let base = self.host.read(|it| it.config.operator_revision);
            match self.commit(Some(base), change.clone()).await {
                // Another operator was first; the label does not depend on what that one changed.
                Err(err) if err.kind == Kind::Conflict && Instant::now() < end => {}
                result => return result,
            }
        }
    }

    /// An address belongs to the process that started last. Says whether that is this target.
    async fn take_address(&self, target: &Target) -> Result<bool> {
        let others: Vec<_> = self.host.read(|it| {
            let same = |it: &&Target| it.addr == target.addr && it.name != target.name;
            it.config.targets.values().filter(same).cloned().collect()
        });
        if others.iter().any(|it| it.incarnation > target.incarnation) {
            log::info!(
                "event=announcement_ignored target={} incarnation={} cause=\"a later process has its address\"",
                target.name,
                target.incarnation
            );
            return Ok(false);
        }
        for Target { name, incarnation, phase, .. } in others {
            if phase == Phase::Serving {
                self.commit(None, Change::RemoveTarget { name, incarnation }).await?;
            }
        }
        Ok(true)
    }

    async fn put(&self, target: Target) -> Result<()> {
        let cause = format!("{} at {} in {}", target.phase, target.addr, target.incarnation);
        let event = Event::new(EventKind::TargetAnnounced, cause);
        let event = event.target(&target.name).zone(&target.zone);
        self.renewed.lock().push(heard(&target));
        self.commit(None, Change::PutTarget(target)).await?;
        self.host.events.record(event);
        Ok(())
    }

    /// Commits a change. It is proposed again under the same id while the leader changes.
    async fn commit(&self, base: Option<u64>, change: Change) -> Result<()> {
        let submit = Submit { id: random(), base, change };
        let end = Instant::now() + self.limit;
        loop {
            match self.host.submit(submit.clone()).await {
                Ok(Reply::Rejected(err)) => return Err(err),
                Ok(Reply::Conflict { current }) => {
                    let message = format!("revision {current} is in force");
                    return Err(Error::new(Kind::Conflict, message));
                }
                Ok(_) => return Ok(()),
                Err(err) if err.kind != Kind::NoQuorum => return Err(err),
                Err(err) if Instant::now() + RETRY_PAUSE >= end => return Err(err),
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn is_newest(&self, target: &Target, call: u64) -> bool {
        let mut newest = self.newest.lock();
        let found = newest
            .entry(target.name.clone())
            .or_insert(Newest { incarnation: target.incarnation, call: 0 });
        if (found.incarnation, found.call) > (target.incarnation, call) {
            return false;
        }
        *found = Newest { incarnation: target.incarnation, call };
        true
    }
}

fn heard(target: &Target) -> ProcessId {
    ProcessId { process_name: target.name.clone(), incarnation: target.incarnation }
}
