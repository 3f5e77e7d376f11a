//! Keeps the routing view up to date and this host in the control state.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::Mutex;

use crate::{
    control::{self, ConfigPoller},
    error::{Error, Kind, Result},
    event::{Event, Kind as EventKind},
    relay::host::Host,
    state::{Change, Config, Reply},
};

/// The longest wait of a poll. Control hosts must hear three times from a host before they take it for lost.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// The pause after a failed poll.
const PAUSE: Duration = Duration::from_millis(100);

/// How often the control hosts are asked where they are.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(2);

/// How long one attempt to join may take.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What the tasks that talk to control hosts share.
pub(super) struct Control {
    host: Arc<Host>,
    follower: Mutex<ConfigPoller>,
}

impl Control {
    pub(super) fn new(host: Arc<Host>) -> Self {
        let cfg = &host.cfg;
        let follower =
            ConfigPoller::new(&cfg.control, cfg.name.clone(), host.incarnation, POLL_WAIT);
        Self { follower: Mutex::new(follower), host }
    }

    /// Runs until the process ends.
    pub(super) async fn run(&self) {
        let mut config = Config::default();
        let mut reachable = false;
        let mut members_at = Instant::now();
        loop {
            let mut follower = self.follower.lock().await;
            let answer = follower.next_update(config.revision, &self.host.poll_now).await;
            self.note(&mut reachable, answer.as_ref().err());
            match answer {
                Ok(confirmed) => self.take(&mut config, confirmed.update),
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
            if reachable && members_at <= Instant::now() {
                members_at = Instant::now() + MEMBERS_INTERVAL;
                self.find_members(&mut follower).await;
            }
            if reachable {
                self.report(&follower).await;
            }
            if reachable
                && !self.joined(&config)
                && let Err(err) = self.join(&follower).await
            {
                log::warn!("event=join_failed cause={:?}", err.to_string());
            }
        }
    }

    /// Logs the loss and the return of the control hosts.
    fn note(&self, reachable: &mut bool, err: Option<&Error>) {
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

    fn take(&self, config: &mut Config, update: crate::wire::control::Update) {
        match control::apply_update(config, update) {
            Ok(Some(cause)) => self.host.apply(config, &cause),
            Ok(None) => {}
            Err(err) => {
                log::warn!("event=update_failed revision={} cause={err:?}", config.revision);
                *config = Config::default();
            }
        }
    }

    /// Prefers control hosts of the own zone, then of the own region.
    async fn find_members(&self, follower: &mut ConfigPoller) {
        let mut seats = match follower.client().members().await {
            Ok(seats) => seats,
            Err(err) => {
                log::info!("event=members_unknown cause={:?}", err.to_string());
                return;
            }
        };
        let cfg = &self.host.cfg;
        let own_region = cfg.region(&cfg.zone);
        seats.sort_by_key(|it| (it.zone != cfg.zone, cfg.region(&it.zone) != own_region));
        let addrs: Vec<_> = seats.iter().map(|it| it.rpc).collect();
        follower.replace_hosts(&addrs);
        follower.prefer_first();
    }

    /// Tells the control hosts which requests crash targets.
    async fn report(&self, follower: &ConfigPoller) {
        for change in self.host.suspects.take_unreported() {
            let reported = follower.client().submit(None, change.clone(), JOIN_TIMEOUT).await;
            if let Err(err) = reported {
                log::warn!("event=report_failed cause={:?}", err.to_string());
                self.host.suspects.keep_unreported(change);
            }
        }
    }

    fn joined(&self, config: &Config) -> bool {
        let host = &self.host;
        config
            .nodes
            .get(&host.cfg.name)
            .is_some_and(|it| it.incarnation == host.incarnation && it.leaving == host.is_leaving())
    }

    async fn join(&self, follower: &ConfigPoller) -> Result<()> {
        let change = Change::PutNode(self.host.node());
        match follower.client().submit(None, change, JOIN_TIMEOUT).await? {
            Reply::Applied { .. } => Ok(()),
            Reply::Rejected(err) => Err(err),
            other => Err(Error::new(Kind::Internal, format!("control hosts answer {other:?}"))),
        }
    }
}
