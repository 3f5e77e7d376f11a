//! Keeps the configuration up to date: joins the control state, polls the control hosts and renews the freshness
//! lease.

use std::{
    convert::Infallible,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::{sync::watch, time::timeout};

use crate::{
    control::{self, ConfigPoller, PollResponse},
    entry::{host::Host, owners::Owners},
    error::{Error, Kind, Result},
    event::{Event, Kind as EventKind},
    state::{Change, Config, Reply},
};

/// The pause after a failed poll, and the shortest interval between two checks of the lease.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long one attempt to join may take.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Polls the control hosts until a newer process with this host's name has joined, and returns that error. Joins again
/// whenever the control hosts have removed this host. The lease does not wait for that: a control host may answer polls
/// and yet be unable to commit a change.
pub(super) async fn run<O: Owners>(host: Arc<Host<O>>) -> Error {
    let joined = watch::Sender::new(false);
    tokio::select! {
        never = follow(&host, &joined) => match never {},
        err = keep_joined(&host, joined.subscribe()) => err,
    }
}

/// Polls the control hosts and applies their updates. `joined` tells whether the configuration has this process.
async fn follow<O: Owners>(host: &Host<O>, joined: &watch::Sender<bool>) -> Infallible {
    let cfg = &host.context.cfg;
    let wait = Duration::from_millis(cfg.poll_interval_ms);
    let incarnation = host.context.incarnation;
    let mut poller = ConfigPoller::new(&cfg.control, cfg.name.clone(), incarnation, wait);
    let mut config = Config::default();
    loop {
        match poller.next_update(config.revision, &host.poll_now).await {
            Ok(response) => apply_update(host, &mut config, response),
            Err(err) => {
                log::debug!("action=poll result={err:?}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        let is_joined = is_joined(host, &config);
        if is_joined {
            host.has_joined.store(true, Ordering::Relaxed);
        }
        joined.send_if_modified(|it| std::mem::replace(it, is_joined) != is_joined);
    }
}

/// Joins whenever this process is not in the configuration. Returns the error if a newer process has its name.
async fn keep_joined<O: Owners>(host: &Host<O>, mut joined: watch::Receiver<bool>) -> Error {
    loop {
        // The sender lives as long as this future.
        let _ = joined.wait_for(|it| !it).await;
        match join(host).await {
            Ok(()) => drop(timeout(JOIN_TIMEOUT, joined.wait_for(|it| *it)).await),
            Err(err) if err.kind == Kind::Conflict => return err,
            Err(err) => {
                log::warn!("action=join result={err:?}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Adds this host to the control state, or updates its entry. Fails with [`Kind::Conflict`] if a newer process with its
/// name has joined.
pub(super) async fn join<O: Owners>(host: &Host<O>) -> Result<()> {
    let change = Change::PutNode(host.as_node());
    match host.context.control.submit(None, change, JOIN_TIMEOUT).await? {
        Reply::Rejected(err) => Err(err),
        _ => Ok(()),
    }
}

/// Records an event each time the lease is gained or lost.
pub(super) async fn watch_lease<O: Owners>(host: Arc<Host<O>>) {
    let mut held = false;
    loop {
        let left = host.context.lease.remaining(Instant::now());
        if held == left.is_zero() {
            held = !held;
            let event = if held {
                Event::new(EventKind::LeaseGained, "a poll was confirmed")
            } else {
                Event::new(EventKind::LeaseLost, "no poll was confirmed in time")
            };
            host.record(event);
        }
        tokio::time::sleep(left.max(RETRY_PAUSE)).await;
    }
}

fn is_joined<O: Owners>(host: &Host<O>, config: &Config) -> bool {
    let name = &host.context.cfg.name;
    config.nodes.get(name).is_some_and(|it| it.incarnation == host.context.incarnation)
}

/// Applies the answer to a poll and renews the lease. Changes that do not follow the known revision discard the known
/// configuration, so that the next poll fetches all of it. A configuration that is older than the active one is ignored
/// and does not renew the lease.
fn apply_update<O: Owners>(host: &Host<O>, config: &mut Config, response: PollResponse) {
    let in_force = host.view().revision;
    let cause = match control::apply_update(config, response.update) {
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
    host.context.lease.renew(response.sent_at);
    host.last_confirmed_poll.send_replace(Some(response.sent_at));
}
