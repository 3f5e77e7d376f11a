//! Configuration poller of the hosts without durable state (entry hosts and relays): long polls the control hosts and
//! applies their updates to a local copy of the configuration.

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

/// A second control host is polled if the first one is this late with its response. A control host behind a network
/// partition returns no error, and waiting for the call timeout would leave too little of the lease for another poll.
const SECOND_POLL_DELAY: Duration = Duration::from_millis(200);

/// A control host that failed to answer a poll, or was late, is not preferred for this long. It may be gone for good, and
/// each poll to it would delay changes.
const AVOIDANCE: Duration = Duration::from_secs(10);

/// A control host that can be polled.
struct Candidate {
    addr: SocketAddr,
    client: Client,
    /// When it last failed to answer a poll in time, if it has not answered one since.
    failed_at: Option<Instant>,
}

impl Candidate {
    fn new(addr: SocketAddr) -> Self {
        Self { addr, client: Client::new(vec![addr]), failed_at: None }
    }

    fn is_avoided(&self) -> bool {
        self.failed_at.is_some_and(|it| it.elapsed() < AVOIDANCE)
    }

    /// Logs the first failure since the last response only, so that a host that is gone does not fill the log.
    fn record_failure(&mut self, cause: &str) {
        if self.failed_at.replace(Instant::now()).is_none() {
            log::info!("event=poll_failed control_host={} cause={cause:?}", self.addr);
        }
    }

    fn record_response(&mut self, took: Duration) {
        if self.failed_at.take().is_some() {
            let took_ms = took.as_millis();
            log::info!("event=poll_answered control_host={} took_ms={took_ms}", self.addr);
        }
    }
}

/// Polls a preferred control host, and fails over to the next one.
pub struct ConfigPoller {
    candidates: Vec<Candidate>,
    current_host: usize,
    node: String,
    incarnation: u64,
    wait: Duration,
}

/// The response to a poll, which a quorum has confirmed, and the time at which the poll was sent.
pub struct PollResponse {
    /// When the poll was sent. The response is at least as new as any commit before this time, so a lease counts from
    /// it.
    pub sent_at: Instant,
    /// The changes since the polled revision, or the full configuration.
    pub update: Update,
    host: usize,
}

impl ConfigPoller {
    /// Creates a poller for the process `incarnation` of the host `node`. A poll waits at most `wait` for a newer
    /// revision.
    pub fn new(hosts: &[SocketAddr], node: String, incarnation: u64, wait: Duration) -> Self {
        let candidates = hosts.iter().copied().map(Candidate::new).collect();
        Self { candidates, current_host: rand::random::<u16>() as usize, node, incarnation, wait }
    }

    /// Replaces the list of control hosts, the preferred ones first. Connections to hosts that stay in the list are
    /// kept. An empty list is ignored.
    pub fn replace_hosts(&mut self, hosts: &[SocketAddr]) {
        if hosts.is_empty() || hosts.iter().eq(self.candidates.iter().map(|it| &it.addr)) {
            return;
        }
        let mut known = std::mem::take(&mut self.candidates);
        for host in hosts {
            let at = known.iter().position(|it| it.addr == *host);
            let candidate = at.map(|it| known.swap_remove(it));
            self.candidates.push(candidate.unwrap_or_else(|| Candidate::new(*host)));
        }
        self.current_host = 0;
    }

    /// Returns to the preferred control host: the first one that has not failed lately.
    pub fn prefer_first(&mut self) {
        self.current_host = self.candidates.iter().position(|it| !it.is_avoided()).unwrap_or(0);
    }

    /// The client of the current control host: the one that last responded, or the next one after a failed poll.
    pub fn client(&self) -> &Client {
        &self.candidates[self.current_host % self.candidates.len()].client
    }

    /// Polls the current control host, and also the next one if the response is late. The first successful response is
    /// returned and its host becomes the current one. A notification of `poll_now` sends a poll that does not wait.
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
        polls.push(self.poll(0, poll(self.wait)));
        let second_poll_delay = tokio::time::sleep(self.wait + SECOND_POLL_DELAY);
        tokio::pin!(second_poll_delay);
        let mut second_poll_sent = false;
        let result = loop {
            tokio::select! {
                Some(answer) = polls.next() => match answer {
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
        let polled = self.current_host % self.candidates.len();
        self.current_host = match &result {
            Ok(PollResponse { host, sent_at, .. }) => {
                if *host != polled {
                    self.candidates[polled].record_failure("no response in time");
                }
                self.candidates[*host].record_response(sent_at.elapsed());
                *host
            }
            Err(err) => {
                self.candidates[polled].record_failure(&err.to_string());
                (polled + 1) % self.candidates.len()
            }
        };
        result
    }

    async fn poll(&self, offset: usize, poll: Poll) -> Result<PollResponse> {
        let host = (self.current_host + offset) % self.candidates.len();
        let sent_at = Instant::now();
        let update = self.candidates[host].client.poll(poll).await?;
        Ok(PollResponse { sent_at, host, update })
    }
}

/// Applies an update to a local copy of the configuration. Returns a description of the last change, or none if nothing
/// changed. After an error the copy may be inconsistent, and the caller must poll for the full configuration.
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
            Ok(changed.then(|| format!("revision {}: full configuration", config.revision)))
        }
    }
}

fn describe(revision: Revision, change: &Change) -> String {
    let description = match change {
        Change::SetLabel { object, key, value } => format!("set label {key}={value} on {object}"),
        Change::RemoveLabel { object, key } => format!("removed label {key} from {object}"),
        Change::PutGroup(it) => format!("put group {}", it.name),
        Change::RemoveGroup { name } => format!("removed group {name}"),
        Change::PutSelector(it) => format!("put selector {}", it.name),
        Change::RemoveSelector { name } => format!("removed selector {name}"),
        Change::PutRoutes(it) => format!("put routes version {}", it.version),
        Change::PatchRoutes(it) => format!("put routes version {}", it.version()),
        Change::PutNode(it) => format!("put host {}", it.name),
        Change::RemoveNode { name, .. } => format!("removed host {name}"),
        Change::PutTarget(it) => format!("put target {} ({})", it.name, it.phase),
        Change::RemoveTarget { name, .. } => format!("removed target {name}"),
        Change::Suspect { fingerprint, target } => format!("{fingerprint:016x} crashed {target}"),
        Change::RetireTarget { name, .. } => format!("target {name} is leaving"),
        Change::Exonerate { fingerprint } => format!("{fingerprint:016x} was answered"),
        Change::Tick => "expired suspect requests".into(),
        Change::Claim(_) | Change::Settle { .. } => "changed claims".into(),
    };
    format!("revision {revision}: {description}")
}
