//! Compares the configuration of this relay with that of a few others, which learn it from the control hosts on their own. A
//! relay that is behind takes the configuration from them, whatever keeps its polls from bringing it.

use std::{
    cmp::Reverse,
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::time::{sleep, timeout};

use crate::{
    inbound::LogLimit,
    policy::ownership,
    relay::{
        follow::ControlSync,
        freshness::LATE_CONFIG_AGE,
        host::Host,
        peer::{ACCEPT_TIMEOUT, Peer},
        view::View,
    },
    state::{Config, Node, Revision},
    wire::{
        control::Update,
        relay::{Message, Reply, Standing},
    },
};

/// How often another relay is asked.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// The same while this relay knows that it is behind, or its configuration is not confirmed.
const URGENT_INTERVAL: Duration = Duration::from_millis(250);

/// A configuration that was not confirmed for this long may be behind. While nothing changes, its age cycles up to two polls.
const UNCONFIRMED_AGE: Duration = Duration::from_millis(2_200);

/// How long the own polls may take to bring a revision that another relay has.
const MAX_LAG: Duration = Duration::from_millis(500);

/// Timeout of a comparison beyond the round trip, which includes opening the connection.
const COMPARE_TIMEOUT: Duration = ACCEPT_TIMEOUT.saturating_mul(3);

/// Timeout of the transfer of a configuration.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of relays in other availability zones that a relay compares itself with, each in another zone.
const OTHER_ZONES: usize = 2;

/// A newer revision than the own one that another relay has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// The newest revision that was seen.
    pub revision: Revision,
    /// When a newer revision than the own one was first seen.
    pub since: Instant,
}

impl Lag {
    /// The lag after another relay has shown that it has `theirs`. None once the own revision is as new as any that was
    /// seen.
    pub fn update(
        lag: Option<Self>,
        own: Revision,
        theirs: Revision,
        now: Instant,
    ) -> Option<Self> {
        let known = lag.filter(|it| it.revision > own);
        let since = known.map_or(now, |it| it.since);
        let revision = known.map_or(theirs, |it| it.revision.max(theirs));
        (revision > own).then_some(Self { revision, since })
    }

    /// Whether the own polls had the time to bring the revision.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= MAX_LAG
    }
}

/// The relays that a relay compares itself with: one of its own availability zone, and some of others, because what keeps
/// it from following may concern a zone. The same ones as long as they exist, so that few connections are needed.
fn neighbours<'a>(view: &'a View, name: &str, zone: &str) -> Vec<&'a Node> {
    let mut others: Vec<_> =
        view.nodes.iter().filter(|it| it.name != name && !it.leaving).collect();
    others.sort_by_cached_key(|it| Reverse(ownership::weight(name, &it.name)));
    let mut chosen: Vec<_> =
        others.iter().copied().find(|it| it.zone == zone).into_iter().collect();
    for node in &others {
        if node.zone != zone && chosen.iter().all(|it| it.zone != node.zone) {
            chosen.push(node);
        }
    }
    chosen.truncate(OTHER_ZONES + 1);
    chosen
}

/// What this relay tells of itself.
pub(super) fn standing(host: &Host, behind: Duration) -> Standing {
    let view = host.view();
    let micros = |it: Duration| u64::try_from(it.as_micros()).unwrap_or(u64::MAX);
    Standing {
        name: host.cfg.name.clone(),
        revision: view.revision,
        digest: view.digest,
        age_us: host.freshness.known_at().map(|it| micros(it.elapsed())),
        behind_us: micros(behind),
    }
}

/// The relays that have compared themselves with this one and were behind. Their own logs may be lost with them.
#[derive(Default)]
pub(super) struct Reports {
    lines: Mutex<HashMap<String, LogLimit>>,
}

impl Reports {
    /// Logs that another relay is behind, at most once a second for each.
    pub(super) fn record(&self, host: &Host, theirs: &Standing) {
        let (age, behind) = (age(theirs), Duration::from_micros(theirs.behind_us));
        let mut lines = self.lines.lock();
        if age.is_some_and(|it| it <= LATE_CONFIG_AGE) && behind < MAX_LAG {
            lines.remove(&theirs.name);
            return;
        }
        let view = host.view();
        lines.retain(|name, _| view.nodes.iter().any(|it| it.name == *name));
        if !view.nodes.iter().any(|it| it.name == theirs.name) {
            return;
        }
        if lines.entry(theirs.name.clone()).or_default().record(Instant::now()).is_some() {
            log::warn!(
                "event=neighbour_behind relay={} revision={} newest={} age_ms={} behind_ms={}",
                theirs.name,
                theirs.revision,
                view.revision,
                age.map_or(-1, |it| it.as_millis() as i64),
                behind.as_millis(),
            );
        }
    }
}

fn age(standing: &Standing) -> Option<Duration> {
    standing.age_us.map(Duration::from_micros)
}

/// The whole configuration by which this relay serves, if it is newer than `revision`.
pub(super) fn newer_config(host: &Host, revision: Revision) -> Update {
    let copy = host.copy.lock();
    let view = host.view();
    // The copy differs while an update that did not apply is being corrected.
    let is_served = (copy.revision, copy.digest()) == (view.revision, view.digest);
    if copy.revision > revision && is_served {
        Update::Config(Box::new(copy.clone())).packed()
    } else {
        Update::Changes(Vec::new())
    }
}

/// Sends a message on a connection to another relay and waits for the reply.
async fn exchange(peer: &Peer, message: Message, limit: Duration) -> io::Result<Reply> {
    let exchanged = async {
        let mut conn = peer.connection().await?;
        conn.send(&message).await?;
        let reply = conn.receive().await?;
        peer.put_idle(conn);
        Ok(reply)
    };
    timeout(limit + 2 * peer.round_trip(), exchanged).await?
}

/// The comparison of a relay with its neighbours.
#[derive(Default)]
struct Comparison {
    lag: Option<Lag>,
    /// The relays that did not answer the last time, so that only the first failure is logged.
    failed: Vec<SocketAddr>,
}

impl Comparison {
    fn record_failure(&mut self, addr: SocketAddr, what: &str, cause: &str) {
        if !self.failed.contains(&addr) {
            log::info!("event=neighbour_failed relay={addr} call={what} cause={cause:?}");
            self.failed.push(addr);
        }
    }

    fn interval(&self, host: &Host) -> Duration {
        if self.lag.is_some() || host.freshness.age() > UNCONFIRMED_AGE {
            URGENT_INTERVAL
        } else {
            INTERVAL
        }
    }

    /// Asks another relay for its standing. Takes over its confirmation if the configurations are the same, and its
    /// configuration if this relay has been behind for too long.
    async fn compare(&mut self, host: &Arc<Host>, addr: SocketAddr) {
        let peer = host.peers.get(addr);
        let asked_at = Instant::now();
        let behind = self.lag.map_or(Duration::ZERO, |it| it.since.elapsed());
        let message = Message::Compare(standing(host, behind));
        let theirs = match exchange(&peer, message, COMPARE_TIMEOUT).await {
            Ok(Reply::Standing(it)) => it,
            Ok(_) => return self.record_failure(addr, "compare", "reply out of order"),
            Err(err) => return self.record_failure(addr, "compare", &err.to_string()),
        };
        self.failed.retain(|it| *it != addr);
        let Some(age) = age(&theirs).filter(|it| *it <= LATE_CONFIG_AGE) else { return };
        let view = host.view();
        if (theirs.revision, theirs.digest) == (view.revision, view.digest)
            && let Some(known_at) = asked_at.checked_sub(age)
        {
            host.freshness.confirm_by_relay(known_at);
        }
        let now = Instant::now();
        self.lag = Lag::update(self.lag, view.revision, theirs.revision, now);
        if self.lag.is_some_and(|it| it.is_due(now)) && theirs.revision > view.revision {
            self.fetch(host, &peer, asked_at.checked_sub(age)).await;
        }
    }

    async fn fetch(&mut self, host: &Arc<Host>, peer: &Peer, known_at: Option<Instant>) {
        let message = Message::Fetch(host.view().revision);
        match exchange(peer, message, FETCH_TIMEOUT).await.map(unpacked) {
            Ok(Some(config)) => host.adopt(*config, peer.addr, known_at),
            // Its own polls have brought it meanwhile.
            Ok(None) => {}
            Err(err) => self.record_failure(peer.addr, "fetch", &err.to_string()),
        }
    }
}

fn unpacked(reply: Reply) -> Option<Box<Config>> {
    match reply {
        Reply::Config(update) => match update.unpacked() {
            Update::Config(config) => Some(config),
            Update::Changes(_) | Update::Packed(..) => None,
        },
        _ => None,
    }
}

impl ControlSync {
    /// Asks one neighbour after the other for its standing.
    pub(super) async fn compare_with_neighbours(&self) {
        let host = &self.host;
        let mut comparison = Comparison::default();
        for turn in 0_usize.. {
            sleep(comparison.interval(host)).await;
            let view = host.view();
            let chosen = neighbours(&view, &host.cfg.name, &host.cfg.zone);
            let Some(node) = chosen.get(turn % chosen.len().max(1)) else { continue };
            comparison.compare(host, node.rpc).await;
        }
    }
}

impl Host {
    /// Takes over a newer configuration from another relay, to which control hosts confirmed it at `known_at`.
    fn adopt(&self, config: Config, peer: SocketAddr, known_at: Option<Instant>) {
        let mut copy = self.copy.lock();
        if config.revision <= copy.revision.max(self.view().revision) {
            return;
        }
        self.metrics.record_config_fault("adopted");
        log::warn!(
            "event=config_adopted relay={peer} revision={} replaced={} version={} age_ms={} \
             control_host={}",
            config.revision,
            copy.revision,
            config.routes.version,
            self.config_age_ms(),
            self.freshness.control_host(),
        );
        *copy = config;
        self.apply(&copy, &format!("revision {}: from relay {peer}", copy.revision), false);
        if let Some(known_at) = known_at {
            self.freshness.confirm_by_relay(known_at);
        }
    }
}
