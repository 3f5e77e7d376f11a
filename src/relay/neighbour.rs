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
        freshness::{Known, LATE_CONFIG_AGE},
        host::Host,
        peer::{ACCEPT_TIMEOUT, Peer},
        settings::Settings,
        view::View,
    },
    state::{Config, Node, Revision},
    wire::{
        control::Update,
        relay::{Message, Reply, Standing},
    },
};

/// Interval between two comparisons.
const INTERVAL: Duration = Duration::from_millis(500);

/// The same while this relay knows that it is behind, or its configuration is not confirmed.
const URGENT_INTERVAL: Duration = Duration::from_millis(250);

/// A configuration that was not confirmed for this long may be behind. While nothing changes, its age cycles up to two polls.
const UNCONFIRMED_AGE: Duration = Duration::from_millis(2_200);

/// Time for the own polls to bring a revision that another relay has.
const MAX_LAG: Duration = Duration::from_millis(500);

/// Timeout of a comparison beyond the round trip, which includes opening the connection.
const COMPARE_TIMEOUT: Duration = ACCEPT_TIMEOUT.saturating_mul(3);

/// Timeout of the transfer of a configuration.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which a relay is left out after it failed.
const FAILED_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Number of relays in other availability zones that a relay compares itself with, each in another zone.
const OTHER_ZONES: usize = 2;

/// A newer revision than the own one that another relay has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// The revision that was seen first.
    pub revision: Revision,
    /// The time at which it was seen.
    pub since: Instant,
    /// The last time at which a newer revision than the own one was seen.
    pub seen_at: Instant,
}

impl Lag {
    /// The lag after another relay has shown that it has `theirs`. It ends when the own revision is as new as the one that was
    /// seen first, or when nobody has a newer one any more.
    pub fn update(
        lag: Option<Self>,
        own: Revision,
        theirs: Revision,
        now: Instant,
    ) -> Option<Self> {
        let is_seen = |it: &Self| now.saturating_duration_since(it.seen_at) <= LATE_CONFIG_AGE;
        let known = lag.filter(|it| it.revision > own && is_seen(it));
        if theirs <= own {
            return known;
        }
        let new = Self { revision: theirs, since: now, seen_at: now };
        Some(known.map_or(new, |it| Self { seen_at: now, ..it }))
    }

    /// Returns true once the own polls had the time to bring the revision.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= MAX_LAG
    }
}

/// The relays that a relay compares itself with: one of its own availability zone, and some of others, because what keeps
/// it from following may concern a zone. The same ones as long as they answer, so that few connections are needed.
fn neighbours<'a>(
    view: &'a View,
    name: &str,
    zone: &str,
    has_failed: impl Fn(&Node) -> bool,
) -> Vec<&'a Node> {
    let is_other = |it: &&Node| it.name != name && !it.leaving && !has_failed(it);
    let mut others: Vec<_> = view.nodes.iter().filter(is_other).collect();
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

/// The standing of this relay.
pub(super) fn standing(host: &Host, behind: Duration) -> Standing {
    // Before the view, which may be replaced and confirmed meanwhile.
    let known = host.freshness.known();
    let view = host.view();
    let micros = |it: Duration| u64::try_from(it.as_micros()).unwrap_or(u64::MAX);
    Standing {
        name: host.cfg.name.clone(),
        revision: view.revision,
        digest: view.digest,
        age_us: known.map(|it| micros(it.at.elapsed())),
        heard_us: known.map(|it| micros(it.heard_at.elapsed())),
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

/// The confirmation of another relay's configuration, by its reply to a message sent at `asked_at`.
fn known(standing: &Standing, asked_at: Instant) -> Option<Known> {
    let at = |us: Option<u64>| asked_at.checked_sub(Duration::from_micros(us?));
    Some(Known { at: at(standing.age_us)?, heard_at: at(standing.heard_us)? })
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

/// Sends a message on a connection to another relay and waits for the reply. A connection with a reply of another kind is
/// closed.
async fn exchange<T>(
    peer: &Peer,
    message: Message,
    limit: Duration,
    accept: impl FnOnce(Reply) -> Option<T>,
) -> io::Result<T> {
    let exchanged = async {
        let mut conn = peer.connection().await?;
        conn.send(&message).await?;
        let reply = accept(conn.receive().await?);
        let reply = reply.ok_or_else(|| io::Error::other("reply out of order"))?;
        peer.put_idle(conn);
        Ok(reply)
    };
    timeout(limit + 2 * peer.round_trip(), exchanged).await?
}

/// The comparison of a relay with its neighbours.
#[derive(Default)]
struct Comparison {
    lag: Option<Lag>,
    /// Relays that failed to answer a comparison, with the time.
    failed: HashMap<SocketAddr, Instant>,
    /// Relays that failed to send their configuration, with the time.
    failed_fetches: HashMap<SocketAddr, Instant>,
}

impl Comparison {
    fn interval(&self, host: &Host) -> Duration {
        if self.lag.is_some() || host.freshness.age() > UNCONFIRMED_AGE {
            URGENT_INTERVAL
        } else {
            INTERVAL
        }
    }

    /// Asks one of the neighbours for its standing.
    async fn ask(&mut self, host: &Arc<Host>, turn: usize) {
        let now = Instant::now();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < FAILED_RETRY_INTERVAL;
        self.failed.retain(|_, at| is_recent(at));
        self.failed_fetches.retain(|_, at| is_recent(at));
        let view = host.view();
        let Settings { name, zone, .. } = &*host.cfg;
        let chosen = neighbours(&view, name, zone, |it| self.failed.contains_key(&it.rpc));
        let Some(node) = chosen.get(turn % chosen.len().max(1)) else { return };
        let peer = host.peers.get(node.rpc);
        if let Err(err) = self.compare(host, &peer, &node.name).await {
            log_failure(node.rpc, "compare", &err);
            self.failed.insert(node.rpc, Instant::now());
        }
    }

    /// Asks another relay for its standing. Takes over its confirmation if the configurations are the same, and its
    /// configuration if this relay has been behind for too long.
    async fn compare(&mut self, host: &Arc<Host>, peer: &Peer, name: &str) -> io::Result<()> {
        let asked_at = Instant::now();
        let behind = self.lag.map_or(Duration::ZERO, |it| it.since.elapsed());
        let message = Message::Compare(standing(host, behind));
        let theirs = exchange(peer, message, COMPARE_TIMEOUT, |reply| match reply {
            Reply::Standing(it) => Some(it),
            _ => None,
        })
        .await?;
        if theirs.name != name {
            return Err(io::Error::other("another relay has its address"));
        }
        let Some(known) = known(&theirs, asked_at) else { return Ok(()) };
        let view = host.view();
        let identity = (view.revision, view.digest);
        if (theirs.revision, theirs.digest) == identity {
            host.freshness.confirm_by_relay(identity, known);
        }
        let now = Instant::now();
        self.lag = Lag::update(self.lag, view.revision, theirs.revision, now);
        let Some(lag) = self.lag.filter(|it| it.is_due(now)) else { return Ok(()) };
        // A revision that the control hosts have lost was heard of before the own polls were sent, and is confirmed no more.
        let is_lost = host.freshness.confirmed_at().is_some_and(|it| known.heard_at < it);
        let may_fetch = !self.failed_fetches.contains_key(&peer.addr);
        if (!is_lost || known.at >= lag.since) && may_fetch && theirs.revision > view.revision {
            self.fetch(host, peer, known).await;
        }
        Ok(())
    }

    async fn fetch(&mut self, host: &Arc<Host>, peer: &Peer, known: Known) {
        let message = Message::Fetch(host.view().revision);
        match exchange(peer, message, FETCH_TIMEOUT, update).await {
            Ok(Update::Config(config)) => host.adopt(*config, peer.addr, known),
            // Its own polls have brought it meanwhile.
            Ok(Update::Changes(_) | Update::Packed(..)) => {}
            Err(err) => {
                log_failure(peer.addr, "fetch", &err);
                self.failed_fetches.insert(peer.addr, Instant::now());
            }
        }
    }
}

fn log_failure(addr: SocketAddr, call: &str, err: &io::Error) {
    log::info!("event=neighbour_failed relay={addr} call={call} cause={:?}", err.to_string());
}

fn update(reply: Reply) -> Option<Update> {
    match reply {
        Reply::Config(it) => Some(it.unpacked()),
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
            comparison.ask(host, turn).await;
        }
    }
}

impl Host {
    /// Takes over a newer configuration from another relay, to which control hosts have confirmed it.
    fn adopt(&self, config: Config, peer: SocketAddr, known: Known) {
        let mut copy = self.copy.lock();
        let replaced = self.view().revision;
        if config.revision <= replaced {
            return;
        }
        self.metrics.record_config_fault("adopted");
        log::warn!(
            "event=config_adopted relay={peer} revision={} replaced={} version={} age_ms={} \
             control_host={}",
            config.revision,
            replaced,
            config.routes.version,
            self.config_age_ms(),
            self.freshness.control_host(),
        );
        *copy = config;
        self.apply(&copy, &format!("revision {}: from relay {peer}", copy.revision), false);
        self.freshness.restart();
        self.freshness.confirm_by_relay((copy.revision, self.view().digest), known);
    }
}
