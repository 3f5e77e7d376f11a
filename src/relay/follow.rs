//! Follows the configuration of the control hosts. Registers this host with them and submits its reports.
//!
//! Polls and submissions are separate tasks: a control host may answer polls and yet be unable to commit a change, and
//! the configuration must not wait for that.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::{
    control::{self, Client, ConfigPoller, PollResponse},
    error::{Error, Kind, Result},
    event::{Event, Kind as EventKind},
    relay::{
        freshness::{self, LATE_CONFIG_AGE},
        host::Host,
    },
    state::{Change, Config, Reply, Revision},
    wire::control::Update,
};

/// How long a control host may hold a poll open while nothing changes. A third of the default
/// `node_expiry_ms`, after which control hosts remove a host that does not poll.
const MAX_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// The same while a rollout is running. The age of the configuration cycles up to two polls, and must stay below the
/// lease even when a control host falls silent and another one is asked.
const ROLLOUT_POLL_WAIT: Duration = Duration::from_millis(500);

/// Delay after a failed poll or submission.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How often the addresses of the control hosts are refreshed.
const MEMBERS_REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// How often a control host other than the one that answers the polls is asked what it holds.
pub(super) const AUDIT_INTERVAL: Duration = MEMBERS_REFRESH_INTERVAL;

/// Timeout for submitting a change to the control hosts.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of reports that are submitted at once.
const MAX_REPORTS_AT_ONCE: usize = 32;

/// A poll from this revision is answered with the whole configuration: no control host has the changes since a revision
/// that is newer than its configuration.
const WHOLE_CONFIG_REVISION: Revision = Revision::MAX;

/// How the copy of the configuration gets back to that of the control hosts after an update did not apply to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resync {
    /// It follows their changes.
    None,
    /// It is replaced by the whole configuration.
    Whole,
    /// The whole configuration does not fit into a message, so the copy is built anew from the changes since revision 0.
    Steps,
}

/// What follows from a comparison with another control host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Correction {
    /// The copy is replaced by the whole configuration.
    Reload,
    /// So it is, but polls leave the control host that answers them.
    ChangeHost,
}

/// What the polls tell the task that submits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Position {
    /// The control host that answered the last poll; none if no control host could be reached.
    control_host: Option<SocketAddr>,
    /// The registered process of this host, and whether it is registered as leaving.
    registered: Option<(u64, bool)>,
}

/// Synchronises this host with the control hosts.
pub(super) struct ControlSync {
    pub(super) host: Arc<Host>,
    position: watch::Sender<Position>,
    /// The control hosts to poll from the next poll on, the preferred ones first.
    new_members: Mutex<Option<Vec<SocketAddr>>>,
    /// The control hosts that are known.
    members: Mutex<Vec<SocketAddr>>,
    /// What to do before the next poll.
    correction: Mutex<Option<Correction>>,
}

impl ControlSync {
    pub(super) fn new(host: Arc<Host>) -> Self {
        Self {
            members: Mutex::new(host.cfg.control.clone()),
            host,
            position: watch::Sender::default(),
            new_members: Mutex::default(),
            correction: Mutex::default(),
        }
    }

    /// Follows the configuration and submits changes until the task is aborted.
    pub(super) async fn run(&self) {
        freshness::spawn_log(&self.host);
        tokio::join!(
            self.follow(),
            self.submit(),
            self.audit(),
            self.report_evidence(),
            self.compare_with_neighbours(),
        );
    }

    /// The control host that answered the last poll; none if no control host could be reached.
    pub(super) fn polled_host(&self) -> Option<SocketAddr> {
        self.position.borrow().control_host
    }

    /// The control hosts that are known.
    pub(super) fn members(&self) -> Vec<SocketAddr> {
        self.members.lock().clone()
    }

    /// Corrects the configuration from the next poll on.
    pub(super) fn correct(&self, correction: Correction) {
        *self.correction.lock() = Some(correction);
    }

    /// Polls the control hosts and applies what changed.
    async fn follow(&self) {
        let cfg = &self.host.cfg;
        let mut poller =
            ConfigPoller::new(&cfg.control, cfg.name.clone(), self.host.incarnation, MAX_POLL_WAIT);
        let mut resync = Resync::None;
        // Nothing here needs an answer sooner than the polls bring it.
        let poll_now = Notify::new();
        loop {
            if let Some(members) = self.new_members.lock().take() {
                poller.replace_hosts(&members);
                poller.prefer_first();
            }
            if let Some(correction) = self.correction.lock().take() {
                resync = Resync::Whole;
                if correction == Correction::ChangeHost {
                    poller.distrust_current();
                }
            }
            let copied = self.host.copy.lock().revision;
            let revision = match resync {
                Resync::Whole => WHOLE_CONFIG_REVISION,
                Resync::None | Resync::Steps => copied,
            };
            let is_rollout = self.host.rollouts.is_any_running();
            poller.set_wait(if is_rollout { ROLLOUT_POLL_WAIT } else { MAX_POLL_WAIT });
            let answer = poller.next_update(revision, &poll_now).await;
            self.host.metrics.record_poll(answer.is_ok());
            let control_host = answer.is_ok().then(|| poller.current_addr());
            self.record_reachability(answer.as_ref().err());
            match answer {
                Ok(confirmed) => {
                    self.host.freshness.record_answer(poller.current_addr());
                    let Some(next) = self.apply_update(copied, confirmed, resync) else {
                        poller.distrust_current();
                        tokio::time::sleep(RETRY_DELAY).await;
                        continue;
                    };
                    let failed_again = (resync, next) == (Resync::Whole, Resync::Whole);
                    if next == Resync::Whole {
                        // Another control host confirms what this one says, or corrects it.
                        poller.distrust_current();
                    }
                    resync = next;
                    if failed_again {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
                Err(err) => {
                    self.host.freshness.record_failed_poll(&err.to_string());
                    if resync == Resync::Whole && err.kind == Kind::TooLarge {
                        // Only the history may lead there.
                        log::warn!("event=config_restarted cause={:?}", err.to_string());
                        *self.host.copy.lock() = Config::default();
                        resync = Resync::Steps;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            let registered = {
                let copy = self.host.copy.lock();
                let own = copy.nodes.get(&self.host.cfg.name);
                own.map(|it| (it.incarnation, it.leaving))
            };
            let position = Position { control_host, registered };
            self.position.send_if_modified(|it| {
                let changed = *it != position;
                *it = position;
                changed
            });
        }
    }

    /// Records that the configuration is confirmed, and how old it had become.
    fn record_config_age(&self, sent_at: Instant) {
        let Host { freshness, metrics, .. } = &*self.host;
        let (age, is_again) = freshness.confirm(sent_at);
        self.host.quotas.confirm(&self.host, sent_at);
        if is_again {
            metrics.record_config_age(age);
        }
        if age > LATE_CONFIG_AGE {
            let control_host = freshness.control_host();
            log::warn!("event=config_late age_ms={} control_host={control_host}", age.as_millis());
        }
    }

    /// Records an event when the control hosts become unreachable or reachable again.
    fn record_reachability(&self, err: Option<&Error>) {
        let was_reachable = self.position.borrow().control_host.is_some();
        let event = match err {
            None if !was_reachable => {
                Event::new(EventKind::LeaseGained, "a control host confirmed a poll")
            }
            Some(err) if was_reachable => Event::new(EventKind::LeaseLost, err.to_string()),
            _ => return,
        };
        self.host.events.record(event);
    }

    /// Applies an update to the copy of the configuration, which was at revision `polled` when the poll was sent, and makes it
    /// current. Returns how to go on; none if the update is older than what was confirmed to another relay, so that the control
    /// host has not caught up.
    fn apply_update(
        &self,
        polled: Revision,
        confirmed: PollResponse,
        resync: Resync,
    ) -> Option<Resync> {
        let mut copy = self.host.copy.lock();
        let config = &mut *copy;
        let PollResponse { sent_at, mut update, .. } = confirmed;
        let is_whole = matches!(update, Update::Config(_));
        let is_newest = is_whole || matches!(&update, Update::Changes(it) if it.is_empty());
        let view = self.host.view();
        let is_outdated = matches!(&update, Update::Config(it) if it.revision < view.revision);
        if is_outdated && self.host.freshness.is_confirmed_by_relay((view.revision, view.digest)) {
            let message = "older than what another relay has had confirmed";
            self.record_failed_update(config, &Error::new(Kind::Conflict, message));
            return None;
        }
        if config.revision > polled {
            // Another relay was faster than the control hosts, whose answer may be from before that and confirms nothing.
            match &mut update {
                Update::Changes(changes) => {
                    changes.retain(|it| it.revision > config.revision);
                    if changes.is_empty() {
                        return Some(resync);
                    }
                }
                Update::Config(it) if it.revision < config.revision => return Some(resync),
                Update::Config(_) | Update::Packed(..) => {}
            }
        }
        match (resync, update) {
            (Resync::Whole, Update::Config(whole)) => {
                *config = *whole;
                let cause = format!("revision {}: full configuration", config.revision);
                self.host.apply(config, &cause, true);
                if is_outdated {
                    self.host.freshness.restart();
                }
                self.record_config_age(sent_at);
                return Some(Resync::None);
            }
            (Resync::Whole, Update::Changes(_)) => {
                let message = "changes instead of the whole configuration";
                self.record_failed_update(config, &Error::new(Kind::Internal, message));
                return Some(Resync::Whole);
            }
            (_, update) => match control::apply_update(config, update) {
                Ok(cause) => {
                    let is_older = config.revision < self.host.view().revision;
                    let went_back = is_older && is_newest;
                    let cause = cause.or_else(|| went_back.then(|| "nothing newer".to_owned()));
                    if let Some(cause) = cause {
                        self.host.apply(config, &cause, is_newest);
                    }
                    if is_newest || !is_older {
                        self.record_config_age(sent_at);
                    }
                }
                Err(err) => {
                    self.record_failed_update(config, &err);
                    return Some(Resync::Whole);
                }
            },
        }
        Some(if is_newest { Resync::None } else { resync })
    }

    /// Records that the copy of the configuration stays as it is, so that its age goes on growing.
    fn record_failed_update(&self, config: &Config, err: &Error) {
        let Host { freshness, metrics, .. } = &*self.host;
        let (cause, control_host) = (err.to_string(), freshness.control_host());
        log::warn!(
            "event=update_failed revision={} control_host={control_host} cause={cause:?} \
             next=whole_configuration",
            config.revision
        );
        freshness.record_failed_update(&cause);
        metrics.record_config_fault("update_failed");
    }

    /// Keeps this host registered, submits its reports and refreshes the list of control hosts, all through the control
    /// host that answered the last poll.
    async fn submit(&self) {
        let mut position = self.position.subscribe();
        let mut client: Option<(SocketAddr, Client)> = None;
        let mut next_refresh = Instant::now();
        loop {
            let Position { control_host, registered } = position.borrow_and_update().clone();
            let Some(addr) = control_host else {
                // The sender lives as long as `self`.
                let _ = position.changed().await;
                continue;
            };
            let (_, client) = match client.take() {
                Some(it) if it.0 == addr => client.insert(it),
                _ => client.insert((addr, Client::new(vec![addr]))),
            };
            let refresh = async {
                if next_refresh <= Instant::now() {
                    next_refresh = Instant::now() + MEMBERS_REFRESH_INTERVAL;
                    self.refresh_members(client).await;
                }
            };
            let own = (self.host.incarnation, self.host.is_leaving());
            let register = async {
                if registered == Some(own) { Ok(()) } else { self.register(client).await }
            };
            let ((), reported, joined) =
                tokio::join!(refresh, self.submit_reports(client), register);
            if let Err(err) = &joined {
                log::warn!("event=join_failed cause={:?}", err.to_string());
            }
            if !reported || joined.is_err() {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            tokio::select! {
                _ = position.changed() => {}
                () = self.host.submit_now.notified() => {}
                () = tokio::time::sleep_until(next_refresh.into()) => {}
            }
        }
    }

    /// Refreshes the list of control hosts. Those in the own zone are preferred, then those in the own region.
    async fn refresh_members(&self, client: &Client) {
        let mut members = match client.members().await {
            Ok(members) => members,
            Err(err) => {
                log::info!("event=members_unknown cause={:?}", err.to_string());
                return;
            }
        };
        let cfg = &self.host.cfg;
        let own_region = cfg.region(&cfg.zone);
        members.sort_by_key(|it| (it.zone != cfg.zone, cfg.region(&it.zone) != own_region));
        let mut addrs: Vec<SocketAddr> = Vec::new();
        for member in members {
            // A host that has lost its disk is a member twice.
            if !addrs.contains(&member.rpc) {
                addrs.push(member.rpc);
            }
        }
        if !addrs.is_empty() {
            self.members.lock().clone_from(&addrs);
        }
        *self.new_members.lock() = Some(addrs);
    }

    /// Submits reports, several at once. Those that fail are kept for the next time. Returns whether all were committed.
    async fn submit_reports(&self, client: &Client) -> bool {
        let reports = self.host.reports.take(MAX_REPORTS_AT_ONCE);
        let submitted = reports.into_iter().map(async |change| {
            let result = client.submit(None, change.clone(), SUBMIT_TIMEOUT).await;
            if let Err(err) = &result {
                log::warn!("event=report_failed cause={:?}", err.to_string());
            }
            match change {
                Change::Probe { fingerprint } => {
                    self.host.probes.record_reply(fingerprint, result.as_ref().ok());
                }
                change if result.is_err() => self.host.reports.push(change),
                _ => {}
            }
            result.is_ok()
        });
        join_all(submitted).await.into_iter().all(|it| it)
    }

    async fn register(&self, client: &Client) -> Result<()> {
        let change = Change::PutNode(self.host.node());
        match client.submit(None, change, SUBMIT_TIMEOUT).await? {
            Reply::Applied { .. } => Ok(()),
            Reply::Rejected(err) => Err(err),
            other => Err(Error::new(
                Kind::Internal,
                format!("unexpected reply from control hosts: {other:?}"),
            )),
        }
    }
}
