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

/// The next control host is polled as well if the ones polled so far are this late with their responses. One that is gone
/// without a reset returns no error, and waiting for its time-outs one host after the other would leave the configuration
/// old for seconds.
const LATE_AFTER: Duration = Duration::from_millis(200);

/// How often a preferred control host that does not work is asked whether it does.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What is known of a control host from its last poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Health {
    Works,
    /// It was not polled yet.
    Unknown,
    /// It failed to answer in time.
    Failed(Instant),
}

/// A control host that can be polled.
struct Candidate {
    addr: SocketAddr,
    client: Client,
    health: Health,
    probed_at: Option<Instant>,
}

impl Candidate {
    fn new(addr: SocketAddr) -> Self {
        Self { addr, client: Client::new(vec![addr]), health: Health::Unknown, probed_at: None }
    }

    /// Logs the first failure since the last response only, so that a host that is gone does not fill the log.
    fn record_failure(&mut self, cause: &str) {
        if !matches!(self.health, Health::Failed(_)) {
            log::info!("event=poll_failed control_host={} cause={cause:?}", self.addr);
        }
        self.health = Health::Failed(Instant::now());
    }

    fn record_response(&mut self, took: Duration) {
        if matches!(self.health, Health::Failed(_)) {
            let took_ms = took.as_millis();
            log::info!("event=poll_answered control_host={} took_ms={took_ms}", self.addr);
        }
        self.health = Health::Works;
    }
}

/// Polls a preferred control host, and fails over to the others.
pub struct ConfigPoller {
    candidates: Vec<Candidate>,
    /// Whether the candidates are in order of preference.
    is_ordered: bool,
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
        let current_host = rand::random::<u16>() as usize;
        Self { candidates, is_ordered: false, current_host, node, incarnation, wait }
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

    /// Prefers the first control hosts in the list from now on: returns to the first one that works, or else to the first
    /// one that has not failed, and asks those before it from time to time whether they work. A host is returned to only
    /// after it has answered.
    pub fn prefer_first(&mut self) {
        self.is_ordered = true;
        let first = (0..self.candidates.len()).min_by_key(|it| self.candidates[*it].health);
        self.current_host = first.unwrap_or(0);
    }

    /// Counts the control host that answered last as failed, because its answers contradict each other or those of other
    /// hosts. The next poll goes to another one that works, if any, and this one is preferred again only after it has
    /// answered a probe.
    pub fn distrust_current(&mut self) {
        let now = Instant::now();
        let current = self.current_host % self.candidates.len();
        let candidate = &mut self.candidates[current];
        log::warn!("event=control_host_distrusted control_host={}", candidate.addr);
        (candidate.health, candidate.probed_at) = (Health::Failed(now), Some(now));
        candidate.client.disconnect();
        self.current_host = self.others(current).first().copied().unwrap_or(current);
    }

    /// The address of the current control host: the one that last answered, or the next one after a failed round.
    pub fn current_addr(&self) -> SocketAddr {
        self.candidates[self.current_host % self.candidates.len()].addr
    }

    /// Polls the current control host. As long as there is no response, the next one is polled as well when those polled
    /// before are late or fail. The first successful response is returned, and its host becomes the current one. Fails
    /// once all control hosts have failed. A notification of `poll_now` sends a poll that does not wait.
    pub async fn next_update(
        &mut self,
        revision: Revision,
        poll_now: &Notify,
    ) -> Result<PollResponse> {
        let current = self.current_host % self.candidates.len();
        let probed = self.next_probe(current);
        if let Some(host) = probed {
            self.candidates[host].probed_at = Some(Instant::now());
        }
        let current_failed = matches!(self.candidates[current].health, Health::Failed(_));
        let first_wait = if current_failed { Duration::ZERO } else { self.wait };
        let mut others = self.others(current).into_iter();
        let mut failures = Vec::new();
        let mut sent: Vec<(usize, Instant)> = Vec::new();
        let mut polls = FuturesUnordered::new();
        let mut send = |polls: &mut FuturesUnordered<_>, host: usize, wait: Duration| {
            sent.push((host, Instant::now() + wait));
            polls.push(self.poll(host, revision, wait));
        };
        send(&mut polls, current, first_wait);
        if let Some(host) = probed {
            send(&mut polls, host, Duration::ZERO);
        }
        let late = tokio::time::sleep(first_wait + LATE_AFTER);
        tokio::pin!(late);
        let result = loop {
            let next = tokio::select! {
                Some((host, response)) = polls.next() => match response {
                    Ok(response) => break Ok(response),
                    Err(err) => {
                        failures.push((host, err.to_string()));
                        let next = if Some(host) == probed { None } else { others.next() };
                        if next.is_none() && polls.is_empty() {
                            break Err(err);
                        }
                        next
                    }
                },
                () = poll_now.notified() => {
                    send(&mut polls, current, Duration::ZERO);
                    None
                }
                () = &mut late, if others.len() > 0 => others.next(),
            };
            if let Some(host) = next {
                late.as_mut().reset(tokio::time::Instant::now() + LATE_AFTER);
                send(&mut polls, host, Duration::ZERO);
            }
        };
        drop(polls);
        self.record_round(&sent, &failures, result.as_ref().ok());
        result
    }

    /// The control host to ask whether it works: the first one among those that are preferred to the current one and were
    /// not asked lately.
    fn next_probe(&self, current: usize) -> Option<usize> {
        let preferred = if self.is_ordered { &self.candidates[..current] } else { &[] };
        preferred.iter().position(|it| it.probed_at.is_none_or(|at| at.elapsed() >= PROBE_INTERVAL))
    }

    /// The control hosts to poll after the current one: those that work, then those that are not known, then the one that
    /// failed longest ago, and so on.
    fn others(&self, current: usize) -> Vec<usize> {
        let count = self.candidates.len();
        let mut others: Vec<_> = (1..count).map(|it| (current + it) % count).collect();
        others.sort_by_key(|it| self.candidates[*it].health);
        others
    }

    /// Records which hosts have failed in a round: those that returned an error, and those that were late when another one
    /// answered. The connections of the latter may be silent for good, so they are closed.
    fn record_round(
        &mut self,
        sent: &[(usize, Instant)],
        failures: &[(usize, String)],
        response: Option<&PollResponse>,
    ) {
        for (host, cause) in failures {
            self.candidates[*host].record_failure(cause);
        }
        let count = self.candidates.len();
        let Some(PollResponse { host: answered, sent_at, .. }) = response else {
            self.current_host = (self.current_host + 1) % count;
            return;
        };
        for (host, due) in sent {
            if host != answered && due.elapsed() >= LATE_AFTER {
                self.candidates[*host].record_failure("no response in time");
                self.candidates[*host].client.disconnect();
            }
        }
        self.candidates[*answered].record_response(sent_at.elapsed());
        self.current_host = *answered;
    }

    async fn poll(
        &self,
        host: usize,
        revision: Revision,
        wait: Duration,
    ) -> (usize, Result<PollResponse>) {
        let sent_at = Instant::now();
        let poll = Poll {
            node: self.node.clone(),
            incarnation: self.incarnation,
            revision,
            wait_ms: wait.as_millis() as u64,
        };
        let update = self.candidates[host].client.poll(poll).await;
        (host, update.map(|update| PollResponse { sent_at, host, update }))
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
