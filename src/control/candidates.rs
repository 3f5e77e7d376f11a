//! What a poller knows of the control hosts, and the choice of those that it asks next. Nothing here reads the clock:
//! each decision is a function of what was recorded and of `now`.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How often a preferred control host that does not work is asked whether it does.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a control host that is no longer listed can still be asked after it was listed or has answered. One host
/// that is catching up may list members of long ago which are all gone.
const FORMER_RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of control hosts that are neither listed nor in the settings.
const MAX_FORMER: usize = 8;

/// What is known of a control host from its last poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Health {
    Works,
    /// It was not polled yet.
    Unknown,
    /// It failed to answer in time.
    Failed(Instant),
}

/// A control host that can be asked.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    addr: SocketAddr,
    health: Health,
    probed_at: Option<Instant>,
    /// Until when it is asked only if all others have failed, because its answers were wrong.
    distrusted_until: Option<Instant>,
    /// Whether the settings name it, so that it stays a candidate for ever.
    in_settings: bool,
    is_listed: bool,
    /// When it was listed, or answered, for the last time.
    known_at: Instant,
}

impl Candidate {
    fn new(addr: SocketAddr, now: Instant) -> Self {
        Self {
            addr,
            health: Health::Unknown,
            probed_at: None,
            distrusted_until: None,
            in_settings: false,
            is_listed: true,
            known_at: now,
        }
    }

    fn has_failed(&self) -> bool {
        matches!(self.health, Health::Failed(_))
    }

    /// Candidates with a lower rank are asked first. Among those that failed, it is the one that failed longest ago.
    fn rank(&self) -> (bool, bool, bool, Health) {
        (self.has_failed(), self.health != Health::Works, !self.is_listed, self.health)
    }
}

/// The control hosts to ask in one round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    /// The host that is asked first.
    pub current: SocketAddr,
    /// Whether the current host answered the last time. Only such a host may wait for a newer revision.
    pub current_works: bool,
    /// A preferred host that is asked whether it works, at the same time as the current one.
    pub probe: Option<SocketAddr>,
    /// The further hosts, which are asked one after the other while there is no answer.
    pub others: Vec<SocketAddr>,
}

/// The control hosts that can be asked: those that are listed, the preferred ones first, and then, for the case that all
/// of these are gone, those that were listed or have answered lately and those of the settings.
#[derive(Clone, Debug)]
pub struct Candidates {
    list: Vec<Candidate>,
    /// Whether the list is in order of preference.
    is_ordered: bool,
    current: usize,
}

impl Candidates {
    /// Creates a list with the control hosts of the settings, at least one. The one at position `start`, modulo their
    /// number, is asked first.
    pub fn new(settings: &[SocketAddr], start: usize, now: Instant) -> Self {
        let candidate =
            |it: &SocketAddr| Candidate { in_settings: true, ..Candidate::new(*it, now) };
        let list: Vec<_> = settings.iter().map(candidate).collect();
        Self { current: start % list.len().max(1), list, is_ordered: false }
    }

    /// Replaces the listed hosts, the preferred ones first. Returns whether the list has changed; the first one in it is
    /// then the current one. An empty list is ignored.
    pub fn replace(&mut self, hosts: &[SocketAddr], now: Instant) -> bool {
        if hosts.is_empty() {
            return false;
        }
        let changed = !self.listed().eq(hosts.iter().copied());
        let current = self.current();
        let mut former = std::mem::take(&mut self.list);
        for it in former.iter_mut().filter(|it| it.is_listed) {
            (it.known_at, it.is_listed) = (now, false);
        }
        for host in hosts {
            if self.list.iter().any(|it| it.addr == *host) {
                continue;
            }
            let at = former.iter().position(|it| it.addr == *host);
            let known = at.map_or_else(|| Candidate::new(*host, now), |it| former.remove(it));
            self.list.push(Candidate { is_listed: true, known_at: now, ..known });
        }
        former.sort_by_key(|it| (it.in_settings, std::cmp::Reverse(it.known_at)));
        let age = |it: &Candidate| now.saturating_duration_since(it.known_at);
        let kept = former
            .iter()
            .enumerate()
            .filter(|(i, it)| it.in_settings || (*i < MAX_FORMER && age(it) < FORMER_RETENTION));
        self.list.extend(kept.map(|(_, it)| *it));
        let at = self.list.iter().position(|it| it.addr == current).unwrap_or(0);
        self.current = if changed { 0 } else { at };
        changed
    }

    /// Prefers the first hosts in the list from now on: returns to the first one that works, or else to the first one
    /// that has not failed, and asks those before it from time to time whether they work. A host is returned to only
    /// after it has answered.
    pub fn prefer_first(&mut self) {
        self.is_ordered = true;
        let first = (0..self.list.len()).min_by_key(|it| self.list[*it].rank());
        self.current = first.unwrap_or(0);
    }

    /// The control host that last answered, or the next one after a failed round.
    pub fn current(&self) -> SocketAddr {
        self.list[self.current].addr
    }

    /// The listed hosts, the preferred ones first.
    pub fn listed(&self) -> impl Iterator<Item = SocketAddr> {
        self.list.iter().filter(|it| it.is_listed).map(|it| it.addr)
    }

    /// The hosts that are not listed and are asked last.
    pub fn unlisted(&self) -> impl Iterator<Item = SocketAddr> {
        self.list.iter().filter(|it| !it.is_listed).map(|it| it.addr)
    }

    /// Chooses the hosts to ask in the next round, and records the probe as sent.
    pub fn start_round(&mut self, now: Instant) -> Round {
        let due = |it: &Candidate| {
            it.probed_at.is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL)
        };
        let preferred = if self.is_ordered { &mut self.list[..self.current] } else { &mut [] };
        let probe = preferred.iter_mut().find(|it| it.is_listed && due(it)).map(|it| {
            it.probed_at = Some(now);
            it.addr
        });
        Round {
            current: self.current(),
            current_works: self.list[self.current].health == Health::Works,
            probe,
            others: self.others(now).into_iter().filter(|it| Some(*it) != probe).collect(),
        }
    }

    /// The hosts other than the current one in the order in which they are asked: by rank, and then by preference. If
    /// there is none, the next one in the list is first, so that pollers spread over the hosts. A host that is not trusted
    /// is left out while another one has not failed, which may just be late.
    fn others(&self, now: Instant) -> Vec<SocketAddr> {
        let count = self.list.len();
        let mut others: Vec<_> = (1..count).map(|it| (self.current + it) % count).collect();
        if self.is_ordered {
            others.sort_unstable();
        }
        others.sort_by_key(|it| self.list[*it].rank());
        let is_distrusted = |it: &Candidate| it.distrusted_until.is_some_and(|until| now < until);
        if self.list.iter().any(|it| !it.has_failed() && !is_distrusted(it)) {
            others.retain(|it| !is_distrusted(&self.list[*it]));
        }
        others.into_iter().map(|it| self.list[it].addr).collect()
    }

    /// Records that a host returned an error or was late. Returns whether that is its first failure since its last
    /// response.
    pub fn record_failure(&mut self, addr: SocketAddr, now: Instant) -> bool {
        let Some(it) = self.list.iter_mut().find(|it| it.addr == addr) else { return false };
        let is_first = !it.has_failed();
        it.health = Health::Failed(now);
        is_first
    }

    /// Records a response; its host becomes the current one. Returns whether the host had failed before.
    pub fn record_response(&mut self, addr: SocketAddr, now: Instant) -> bool {
        let Some(at) = self.list.iter().position(|it| it.addr == addr) else { return false };
        self.current = at;
        let it = &mut self.list[at];
        let had_failed = it.has_failed();
        (it.health, it.known_at) = (Health::Works, now);
        had_failed
    }

    /// Records that no host has answered in a round: the next one starts with the next host.
    pub fn record_failed_round(&mut self) {
        self.current = (self.current + 1) % self.list.len();
    }

    /// Counts the current host as failed, and until it can be probed again asks it only if all others fail. Another one is
    /// current from now on, if there is any.
    pub fn distrust_current(&mut self, now: Instant) {
        let it = &mut self.list[self.current];
        (it.health, it.probed_at) = (Health::Failed(now), Some(now));
        it.distrusted_until = Some(now + PROBE_INTERVAL);
        let next = self.others(now).first().copied();
        let at = self.list.iter().position(|it| Some(it.addr) == next);
        self.current = at.unwrap_or(self.current);
    }
}
