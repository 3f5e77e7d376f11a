//! Keeps the configuration up to date: joins, polls the control hosts and renews the freshness lease.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{StreamExt, stream::FuturesUnordered};

use crate::{
    control::Client,
    entry::{host::Host, owners::Owners},
    error::{Error, Kind, Result},
    event::{Event, Kind as EventKind},
    state::{Change, Config, Reply, Revision},
    wire::control::{Poll, Update},
};

/// A second control host is polled if the first one has not answered this long after it should have. A control host
/// behind a partition gives no error, and its call timeout alone is longer than what is left of the lease.
const SECOND_POLL_AFTER: Duration = Duration::from_millis(200);

/// The pause after a failed poll.
const PAUSE: Duration = Duration::from_millis(50);

/// How long one attempt to join may take.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Polls one control host after another.
struct Poller {
    clients: Vec<Client>,
    current: usize,
}

/// A confirmed answer and the moment at which its poll was sent.
struct Confirmed {
    sent: Instant,
    host: usize,
    update: Update,
}

/// Runs until a newer process with this host's name takes over.
pub(super) async fn run<O: Owners>(host: Arc<Host<O>>) -> Error {
    let clients = host.parts.cfg.control.iter().map(|it| Client::new(vec![*it])).collect();
    let mut poller = Poller { clients, current: rand::random::<u16>() as usize };
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
        match poller.next(&host, config.revision).await {
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
        let left = host.parts.lease.left(Instant::now());
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

fn accept<O: Owners>(host: &Host<O>, config: &mut Config, confirmed: Confirmed) {
    let in_force = host.view().revision;
    let cause = match newer(config, confirmed.update) {
        Ok(cause) if config.revision >= in_force => cause,
        Ok(_) => {
            log::warn!("action=poll revision={} in_force={in_force}", config.revision);
            return;
        }
        Err(err) => {
            log::warn!("action=poll control={} result={err:?}", confirmed.host);
            *config = Config::default();
            return;
        }
    };
    if let Some(cause) = cause {
        host.apply(config);
        host.record(Event::new(EventKind::ConfigApplied, cause));
    }
    host.parts.lease.renew(confirmed.sent);
    host.confirmed.send_replace(Some(confirmed.sent));
}

/// Brings the configuration up to date and says what changed. After an error the whole configuration is needed.
fn newer(config: &mut Config, update: Update) -> Result<Option<String>> {
    match update {
        Update::Changes(changes) => {
            let mut cause = None;
            for it in changes {
                config.apply(&it.change, it.at_ms)?;
                if config.revision != it.revision {
                    let message =
                        format!("revision {} does not follow {}", it.revision, config.revision);
                    return Err(Error::new(Kind::Internal, message));
                }
                cause = Some(describe(it.revision, &it.change));
            }
            Ok(cause)
        }
        Update::Config(new) => {
            if new.revision < config.revision {
                let message =
                    format!("revision {} is older than {}", new.revision, config.revision);
                return Err(Error::new(Kind::Internal, message));
            }
            let changed = new.revision > config.revision;
            *config = *new;
            Ok(changed.then(|| format!("revision {} as a whole", config.revision)))
        }
    }
}

fn describe(revision: Revision, change: &Change) -> String {
    let what = match change {
        Change::SetLabel { object, key, value } => format!("label {key}={value} on {object}"),
        Change::RemoveLabel { object, key } => format!("no label {key} on {object}"),
        Change::PutGroup(it) => format!("group {}", it.name),
        Change::RemoveGroup { name } => format!("no group {name}"),
        Change::PutSelector(it) => format!("selector {}", it.name),
        Change::RemoveSelector { name } => format!("no selector {name}"),
        Change::PutNode(it) => format!("node {}", it.name),
        Change::RemoveNode { name, .. } => format!("no node {name}"),
        Change::PutTarget(it) => format!("target {}", it.name),
        Change::RemoveTarget { name, .. } => format!("no target {name}"),
        Change::Suspect { fingerprint, target } => format!("{fingerprint:016x} crashed {target}"),
        Change::Tick => "suspicions expired".into(),
        Change::Claim(_) | Change::Settle { .. } => "claims".into(),
    };
    format!("revision {revision}: {what}")
}

impl Poller {
    /// Polls the current control host, and the next one too if that one is late.
    async fn next<O: Owners>(&mut self, host: &Host<O>, revision: Revision) -> Result<Confirmed> {
        let wait = Duration::from_millis(host.parts.cfg.poll_interval_ms);
        let poll = |wait: Duration| Poll {
            node: host.parts.cfg.name.clone(),
            incarnation: host.parts.incarnation,
            revision,
            wait_ms: wait.as_millis() as u64,
        };
        let mut polls = FuturesUnordered::new();
        polls.push(self.poll(0, poll(wait)));
        let second = tokio::time::sleep(wait + SECOND_POLL_AFTER);
        tokio::pin!(second);
        let mut sent_second = false;
        let confirmed = loop {
            tokio::select! {
                Some(answer) = polls.next() => match answer {
                    Ok(confirmed) => break Ok(confirmed),
                    Err(err) if polls.is_empty() => break Err(err),
                    Err(_) => {}
                },
                () = host.poll_now.notified() => {
                    polls.push(self.poll(0, poll(Duration::ZERO)));
                }
                () = &mut second, if !sent_second => {
                    sent_second = true;
                    polls.push(self.poll(1, poll(Duration::ZERO)));
                }
            }
        };
        drop(polls);
        self.current = match &confirmed {
            Ok(it) => it.host,
            Err(_) => self.current + 1,
        };
        confirmed
    }

    async fn poll(&self, offset: usize, poll: Poll) -> Result<Confirmed> {
        let host = (self.current + offset) % self.clients.len();
        let sent = Instant::now();
        let update = self.clients[host].poll(poll).await?;
        Ok(Confirmed { sent, host, update })
    }
}
