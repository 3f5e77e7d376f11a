//! Configuration poller of the hosts without durable state (entry hosts and relays): long polls the control hosts and
//! applies their updates to a local copy of the configuration.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::{StreamExt, stream::FuturesUnordered};
use rand::random;
use tokio::sync::Notify;

use crate::{
    control::{
        Client,
        candidates::{Candidates, Round},
    },
    error::{Error, Kind, Result},
    state::{Change, Config, Revision},
    wire::control::{Poll, Update},
};

/// The next control host is polled as well if the ones polled so far are this late with their responses. One that is gone
/// without a reset returns no error, and waiting for its time-outs one host after the other would leave the configuration
/// old for seconds.
const LATE_AFTER: Duration = Duration::from_millis(200);

/// All control hosts have been polled this long after the first one was late, however many there are: the polls follow each
/// other faster if they are more than a few.
const MAX_ROUND_DELAY: Duration = Duration::from_secs(1);

/// Polls a preferred control host, and fails over to the others.
pub struct ConfigPoller {
    candidates: Candidates,
    /// Clients of the control hosts that are asked. Hosts that are not listed have none between two rounds, except for
    /// the current one, so that their connections are closed.
    clients: HashMap<SocketAddr, Client>,
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
    host: SocketAddr,
}

impl ConfigPoller {
    /// Creates a poller for the process `incarnation` of the host `node`. A poll waits at most `wait` for a newer
    /// revision.
    pub fn new(hosts: &[SocketAddr], node: String, incarnation: u64, wait: Duration) -> Self {
        let candidates = Candidates::new(hosts, random::<u16>().into(), Instant::now());
        Self { candidates, clients: HashMap::new(), node, incarnation, wait }
    }

    /// Changes for how long a poll waits at most for a newer revision, from the next poll on.
    pub fn set_wait(&mut self, wait: Duration) {
        self.wait = wait;
    }

    /// Replaces the list of control hosts, the preferred ones first. Connections to hosts that stay in the list are
    /// kept. Hosts that leave the list are asked after all others for some time, those of the settings always: the list
    /// comes from one control host and may be outdated. An empty list is ignored.
    pub fn replace_hosts(&mut self, hosts: &[SocketAddr]) {
        if self.candidates.replace(hosts, Instant::now()) {
            let join = |it: Vec<SocketAddr>| {
                it.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
            };
            log::info!(
                "event=control_hosts_listed hosts={} others={}",
                join(self.candidates.listed().collect()),
                join(self.candidates.unlisted().collect())
            );
        }
    }

    /// Prefers the first control hosts in the list from now on: returns to the first one that works, or else to the first
    /// one that has not failed, and asks those before it from time to time whether they work. A host is returned to only
    /// after it has answered.
    pub fn prefer_first(&mut self) {
        self.candidates.prefer_first();
    }

    /// Counts the control host that answered last as failed, because its answers contradict each other or those of other
    /// hosts. The next poll goes to another one that works, if any, and this one is preferred again only after it has
    /// answered a probe.
    pub fn distrust_current(&mut self) {
        let addr = self.current_addr();
        log::warn!("event=control_host_distrusted control_host={addr}");
        self.candidates.distrust_current(Instant::now());
        if let Some(client) = self.clients.get(&addr) {
            client.disconnect();
        }
    }

    /// The address of the current control host: the one that last answered, or the next one after a failed round.
    pub fn current_addr(&self) -> SocketAddr {
        self.candidates.current()
    }

    /// Polls the current control host. As long as there is no response, the next one is polled as well when those polled
    /// before are late or fail. The first successful response is returned, and its host becomes the current one. Fails
    /// once all control hosts have failed. A notification of `poll_now` sends a poll that does not wait.
    pub async fn next_update(
        &mut self,
        revision: Revision,
        poll_now: &Notify,
    ) -> Result<PollResponse> {
        let Round { current, current_works, probe, others } =
            self.candidates.start_round(Instant::now());
        for host in others.iter().chain(&probe).chain([&current]) {
            self.clients.entry(*host).or_insert_with(|| Client::new(vec![*host]));
        }
        let first_wait = if current_works { self.wait } else { Duration::ZERO };
        let late_after = LATE_AFTER.min(MAX_ROUND_DELAY / others.len().max(1) as u32);
        let mut others = others.into_iter();
        let mut failures = Vec::new();
        let mut sent: Vec<(SocketAddr, Instant)> = Vec::new();
        let mut polls = FuturesUnordered::new();
        let mut send = |polls: &mut FuturesUnordered<_>, host: SocketAddr, wait: Duration| {
            sent.push((host, Instant::now() + wait));
            polls.push(self.poll(host, revision, wait));
        };
        send(&mut polls, current, first_wait);
        if let Some(host) = probe {
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
                        let next = if Some(host) == probe { None } else { others.next() };
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
                late.as_mut().reset(tokio::time::Instant::now() + late_after);
                send(&mut polls, host, Duration::ZERO);
            }
        };
        drop(polls);
        self.record_round(&sent, &failures, result.as_ref().ok());
        result
    }

    /// Records which hosts have failed in a round: those that returned an error, and those that were late when another one
    /// answered. The connections of the latter may be silent for good, so they are closed.
    fn record_round(
        &mut self,
        sent: &[(SocketAddr, Instant)],
        failures: &[(SocketAddr, String)],
        response: Option<&PollResponse>,
    ) {
        let now = Instant::now();
        for (host, cause) in failures {
            self.record_failure(*host, cause, now);
        }
        match response {
            None => self.candidates.record_failed_round(),
            Some(response) => {
                for (host, due) in sent {
                    if *host != response.host && now.saturating_duration_since(*due) >= LATE_AFTER {
                        self.record_failure(*host, "no response in time", now);
                        self.clients[host].disconnect();
                    }
                }
                if self.candidates.record_response(response.host, now) {
                    let (host, took) = (response.host, now - response.sent_at);
                    let took_ms = took.as_millis();
                    log::info!("event=poll_answered control_host={host} took_ms={took_ms}");
                }
            }
        }
        let kept: HashSet<_> = self.candidates.listed().chain([self.current_addr()]).collect();
        self.clients.retain(|it, _| kept.contains(it));
    }

    /// Logs the first failure since the last response only, so that a host that is gone does not fill the log.
    fn record_failure(&mut self, host: SocketAddr, cause: &str, now: Instant) {
        if self.candidates.record_failure(host, now) {
            log::info!("event=poll_failed control_host={host} cause={cause:?}");
        }
    }

    async fn poll(
        &self,
        host: SocketAddr,
        revision: Revision,
        wait: Duration,
    ) -> (SocketAddr, Result<PollResponse>) {
        let sent_at = Instant::now();
        let poll = Poll {
            node: self.node.clone(),
            incarnation: self.incarnation,
            revision,
            wait_ms: wait.as_millis() as u64,
        };
        let update = self.clients[&host].poll(poll).await;
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
        packed @ Update::Packed(..) => apply_update(config, packed.unpacked()),
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
        Change::PatchRoutes(it) | Change::PatchTenants(it, _) => {
            format!("put routes version {}", it.version())
        }
        Change::PutNode(it) => format!("put host {}", it.name),
        Change::RemoveNode { name, .. } => format!("removed host {name}"),
        Change::PutTarget(it) | Change::Announce { target: it, .. } => {
            format!("put target {} ({})", it.name, it.phase)
        }
        Change::RemoveTarget { name, .. } => format!("removed target {name}"),
        Change::Suspect { fingerprint, target } => format!("{fingerprint:016x} crashed {target}"),
        Change::RetireTarget { name, .. } => format!("target {name} is leaving"),
        Change::Leave { name, .. } | Change::Depart { name, .. } => format!("target {name} leaves"),
        Change::Exonerate { fingerprint } => format!("{fingerprint:016x} was answered"),
        Change::Tick => "expired suspect requests".into(),
        Change::StartRollout(it) => {
            format!("rollout of {} to {:?} was ordered", it.service, it.target_version)
        }
        Change::AdvanceRollout(it) => {
            format!("rollout of {} to {:?} is {}", it.service, it.target_version, it.stage)
        }
        Change::Claim(_) | Change::Settle { .. } | Change::Probe { .. } => "changed claims".into(),
    };
    format!("revision {revision}: {description}")
}
