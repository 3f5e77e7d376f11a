//! Follows the configuration of the control hosts, registers this host with them and submits its reports.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use tokio::sync::Mutex;

use crate::{
    control::{self, ConfigPoller},
    error::{Error, Kind, Result},
    event::{Event, Kind as EventKind},
    relay::host::Host,
    state::{Change, Config, Reply},
};

/// How long a control host may hold a poll open while nothing changes. A third of the default
/// `node_expiry_ms`, after which control hosts remove a host that does not poll.
const MAX_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Delay after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How often the addresses of the control hosts are refreshed.
const MEMBERS_REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout for submitting a change to the control hosts.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A configuration that was not confirmed for this long is logged as late.
const LATE_CONFIG_AGE: Duration = Duration::from_millis(1_500);

/// Maximum number of reports that are submitted between two polls.
const MAX_REPORTS_AT_ONCE: usize = 32;

/// Synchronises this host with the control hosts.
pub(super) struct ControlSync {
    host: Arc<Host>,
    poller: Mutex<ConfigPoller>,
}

impl ControlSync {
    pub(super) fn new(host: Arc<Host>) -> Self {
        let cfg = &host.cfg;
        let poller =
            ConfigPoller::new(&cfg.control, cfg.name.clone(), host.incarnation, MAX_POLL_WAIT);
        Self { poller: Mutex::new(poller), host }
    }

    /// Polls the control hosts and applies what changed, until the task is aborted. Registers this host whenever its
    /// entry in the configuration is missing or outdated.
    pub(super) async fn run(&self) {
        let mut config = Config::default();
        let mut reachable = false;
        let mut next_refresh = Instant::now();
        let mut polled_for = Duration::ZERO;
        loop {
            let mut poller = self.poller.lock().await;
            let polled_at = Instant::now();
            let answer = poller.next_update(config.revision, &self.host.poll_now).await;
            polled_for += polled_at.elapsed();
            self.record_reachability(&mut reachable, answer.as_ref().err());
            self.host.metrics.record_poll(answer.is_ok());
            match answer {
                Ok(confirmed) => {
                    self.record_config_age(confirmed.sent_at, std::mem::take(&mut polled_for));
                    self.apply_update(&mut config, confirmed.update);
                }
                Err(_) => tokio::time::sleep(POLL_RETRY_DELAY).await,
            }
            if reachable && next_refresh <= Instant::now() {
                next_refresh = Instant::now() + MEMBERS_REFRESH_INTERVAL;
                self.refresh_members(&mut poller).await;
            }
            if reachable {
                self.submit_reports(&poller).await;
            }
            if reachable
                && !self.is_registered(&config)
                && let Err(err) = self.register(&poller).await
            {
                log::warn!("event=join_failed cause={:?}", err.to_string());
            }
        }
    }

    /// Records how old the configuration had become. A long time that was not spent in polls was spent in the other
    /// calls to control hosts.
    fn record_config_age(&self, sent_at: Instant, polled_for: Duration) {
        let Some(age) = self.host.confirm_config(sent_at) else { return };
        self.host.metrics.record_config_age(age);
        if age > LATE_CONFIG_AGE {
            log::warn!(
                "event=config_late age_ms={} polled_ms={}",
                age.as_millis(),
                polled_for.as_millis()
            );
        }
    }

    /// Records an event when the control hosts become unreachable or reachable again.
    fn record_reachability(&self, reachable: &mut bool, err: Option<&Error>) {
        let now_reachable = err.is_none();
        if *reachable == now_reachable {
            return;
        }
        *reachable = now_reachable;
        let event = match err {
            None => Event::new(EventKind::LeaseGained, "a control host confirmed a poll"),
            Some(err) => Event::new(EventKind::LeaseLost, err.to_string()),
        };
        self.host.events.record(event);
    }

    fn apply_update(&self, config: &mut Config, update: crate::wire::control::Update) {
        match control::apply_update(config, update) {
            Ok(Some(cause)) => self.host.apply(config, &cause),
            Ok(None) => {}
            Err(err) => {
                log::warn!("event=update_failed revision={} cause={err:?}", config.revision);
                *config = Config::default();
            }
        }
    }

    /// Refreshes the list of control hosts. Those in the own zone are preferred, then those in the own region.
    async fn refresh_members(&self, poller: &mut ConfigPoller) {
        let mut members = match poller.client().members().await {
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
        poller.replace_hosts(&addrs);
        poller.prefer_first();
    }

    /// Submits reports to the control hosts, several at once, so that polls are delayed by one commit only. Reports that
    /// fail are kept for the next time.
    async fn submit_reports(&self, poller: &ConfigPoller) {
        let reports = self.host.reports.take(MAX_REPORTS_AT_ONCE);
        let submitted = reports.into_iter().map(async |change| {
            let result = poller.client().submit(None, change.clone(), SUBMIT_TIMEOUT).await;
            if let Err(err) = result {
                log::warn!("event=report_failed cause={:?}", err.to_string());
                self.host.reports.push(change);
            }
        });
        join_all(submitted).await;
    }

    fn is_registered(&self, config: &Config) -> bool {
        let host = &self.host;
        config
            .nodes
            .get(&host.cfg.name)
            .is_some_and(|it| it.incarnation == host.incarnation && it.leaving == host.is_leaving())
    }

    async fn register(&self, poller: &ConfigPoller) -> Result<()> {
        let change = Change::PutNode(self.host.node());
        match poller.client().submit(None, change, SUBMIT_TIMEOUT).await? {
            Reply::Applied { .. } => Ok(()),
            Reply::Rejected(err) => Err(err),
            other => Err(Error::new(
                Kind::Internal,
                format!("unexpected reply from control hosts: {other:?}"),
            )),
        }
    }
}
