//! How a host that holds no durable state keeps its copy of the configuration up to date.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::{StreamExt, stream::FuturesUnordered};
use tokio::sync::Notify;

use crate::{
    control::Client,
    error::{Error, Kind, Result},
    state::{Change, Config, Revision},
    wire::control::{Poll, Update},
};

/// A second control host is polled if the first one has not answered this long after it should have. A control host
/// behind a partition gives no error, and its call timeout alone is longer than what is left of the lease.
const SECOND_POLL_DELAY: Duration = Duration::from_millis(200);

/// Polls one control host after another.
pub struct ConfigPoller {
    clients: Vec<(SocketAddr, Client)>,
    current_host: usize,
    node: String,
    incarnation: u64,
    max_wait: Duration,
}

/// A confirmed response and the moment at which its poll was sent_at.
pub struct PollResponse {
    /// When the poll was sent_at.
    pub sent_at: Instant,
    /// What is new.
    pub update: Update,
    host: usize,
}

impl ConfigPoller {
    /// Follows these control hosts for one process of a host. A poll waits at most `wait` for something new.
    pub fn new(hosts: &[SocketAddr], node: String, incarnation: u64, max_wait: Duration) -> Self {
        let clients = hosts.iter().map(|it| (*it, Client::new(vec![*it]))).collect();
        Self { clients, current_host: rand::random::<u16>() as usize, node, incarnation, max_wait }
    }

    /// Goes on with these control hosts, the preferred ones first. Connections to known ones are kept.
    pub fn replace_hosts(&mut self, hosts: &[SocketAddr]) {
        if hosts.is_empty() || hosts.iter().eq(self.clients.iter().map(|(addr, _)| addr)) {
            return;
        }
        let mut known = std::mem::take(&mut self.clients);
        for host in hosts {
            let at = known.iter().position(|(addr, _)| addr == host);
            let client = at.map(|it| known.swap_remove(it));
            self.clients.push(client.unwrap_or_else(|| (*host, Client::new(vec![*host]))));
        }
        self.current_host = 0;
    }

    /// Goes back to the first control host, which is the preferred one.
    pub fn prefer_first(&mut self) {
        self.current_host = 0;
    }

    /// The client of the control host that answered last.
    pub fn client(&self) -> &Client {
        &self.clients[self.current_host % self.clients.len()].1
    }

    /// Polls the current control host, and the next one too if that one is late. `poll_now` asks for an response at once.
    pub async fn next_update(
        &mut self,
        revision: Revision,
        poll_now: &Notify,
    ) -> Result<PollResponse> {
        let poll = |wait: Duration| Poll {
            node: self.node.clone(),
            incarnation: self.incarnation,
            revision,
            wait_ms: wait.as_millis() as u64,
        };
        let mut polls = FuturesUnordered::new();
        polls.push(self.poll(0, poll(self.max_wait)));
        let second_poll_delay = tokio::time::sleep(self.max_wait + SECOND_POLL_DELAY);
        tokio::pin!(second_poll_delay);
        let mut second_poll_sent = false;
        let result = loop {
            tokio::select! {
                Some(response) = polls.next() => match response {
                    Ok(confirmed) => break Ok(confirmed),
                    Err(err) if polls.is_empty() => break Err(err),
                    Err(err) => log::debug!("action=poll result={err:?}"),
                },
                () = poll_now.notified() => {
                    polls.push(self.poll(0, poll(Duration::ZERO)));
                }
                () = &mut second_poll_delay, if !second_poll_sent => {
                    second_poll_sent = true;
                    polls.push(self.poll(1, poll(Duration::ZERO)));
                }
            }
        };
        drop(polls);
        self.current_host = match &result {
            Ok(it) => it.host,
            Err(_) => (self.current_host + 1) % self.clients.len(),
        };
        result
    }

    async fn poll(&self, offset: usize, poll: Poll) -> Result<PollResponse> {
        let host = (self.current_host + offset) % self.clients.len();
        let sent_at = Instant::now();
        let update = self.clients[host].1.poll(poll).await?;
        Ok(PollResponse { sent_at, host, update })
    }
}

/// Brings the configuration up to date and says what changed. After an error the whole configuration is needed.
pub fn apply_update(config: &mut Config, update: Update) -> Result<Option<String>> {
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
                cause = Some(describe_change(it.revision, &it.change));
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

fn describe_change(revision: Revision, change: &Change) -> String {
    let description = match change {
        Change::SetLabel { object, key, value } => format!("label {key}={value} on {object}"),
        Change::RemoveLabel { object, key } => format!("no label {key} on {object}"),
        Change::PutGroup(it) => format!("group {}", it.name),
        Change::RemoveGroup { name } => format!("no group {name}"),
        Change::PutSelector(it) => format!("selector {}", it.name),
        Change::RemoveSelector { name } => format!("no selector {name}"),
        Change::PutRoutes(it) => format!("routes number {}", it.version),
        Change::PatchRoutes(it) => format!("routes number {}", it.version()),
        Change::PutNode(it) => format!("node {}", it.name),
        Change::RemoveNode { name, .. } => format!("no node {name}"),
        Change::PutTarget(it) => format!("target {} {}", it.name, it.phase),
        Change::RemoveTarget { name, .. } => format!("no target {name}"),
        Change::Suspect { fingerprint, target } => format!("{fingerprint:016x} crashed {target}"),
        Change::Tick => "suspicions expired".into(),
        Change::Claim(_) | Change::Settle { .. } => "claims".into(),
    };
    format!("revision {revision}: {description}")
}
