//! Keeps the configuration up to date: joins, polls the control hosts and renews the freshness lease.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    control::{self, ConfigPoller, PollResponse},
    entry::{host::Host, owners::Owners},
    error::{Error, Kind, Result},
    event::{Event, Kind as EventKind},
    state::{Change, Config, Reply},
};

/// The pause after a failed poll.
const PAUSE: Duration = Duration::from_millis(50);

/// How long one attempt to join may take.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Runs until a newer process with this host's name takes over.
pub(super) async fn run<O: Owners>(host: Arc<Host<O>>) -> Error {
    let cfg = &host.parts.cfg;
    let wait = Duration::from_millis(cfg.poll_interval_ms);
    let incarnation = host.parts.incarnation;
    let mut follower = ConfigPoller::new(&cfg.control, cfg.name.clone(), incarnation, wait);
    let mut config = Config::default();
    loop {
        if !joined(&host, &config)
            && let Err(err) = join(&host).await
        {
            if err.kind == Kind::Conflict {
                return err;
            }
            log::warn!("action=join result={err:?}");
        }
        match follower.next_update(config.revision, &host.poll_now).await {
            Ok(confirmed) => accept(&host, &mut config, confirmed),
            Err(err) => {
                log::debug!("action=poll result={err:?}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Adds this host to the control state, or updates its entry there.
pub(super) async fn join<O: Owners>(host: &Host<O>) -> Result<()> {
    let change = Change::PutNode(host.node());
    match host.parts.control.submit(None, change, JOIN_TIMEOUT).await? {
        Reply::Rejected(err) => Err(err),
        _ => Ok(()),
    }
}

/// Records the loss and the return of the lease.
pub(super) async fn watch_lease<O: Owners>(host: Arc<Host<O>>) {
    let mut held = false;
    loop {
        let left = host.parts.lease.remaining(Instant::now());
        if held == left.is_zero() {
            held = !held;
            let event = if held {
                Event::new(EventKind::LeaseGained, "a poll was confirmed")
            } else {
                Event::new(EventKind::LeaseLost, "no poll was confirmed in time")
            };
            host.record(event);
        }
        tokio::time::sleep(left.max(PAUSE)).await;
    }
}

fn joined<O: Owners>(host: &Host<O>, config: &Config) -> bool {
    let name = &host.parts.cfg.name;
    config.nodes.get(name).is_some_and(|it| it.incarnation == host.parts.incarnation)
}

fn accept<O: Owners>(host: &Host<O>, config: &mut Config, confirmed: PollResponse) {
    let in_force = host.view().revision;
    let cause = match control::apply_update(config, confirmed.update) {
        Ok(cause) if config.revision >= in_force => cause,
        Ok(_) => {
            log::warn!("action=poll revision={} in_force={in_force}", config.revision);
            return;
        }
        Err(err) => {
            log::warn!("action=poll result={err:?}");
            *config = Config::default();
            return;
        }
    };
    if let Some(cause) = cause {
        host.apply(config);
        host.record(Event::new(EventKind::ConfigApplied, cause));
    }
    host.parts.lease.renew(confirmed.sent_at);
    host.confirmed.send_replace(Some(confirmed.sent_at));
}
