//! Compares the configuration of this relay with that of control hosts other than the one that answers its polls. A copy
//! that differs under the same revision, or a control host that answers polls with an old configuration, shows in no
//! poll.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use crate::{
    control::Client,
    relay::{
        follow::{AUDIT_INTERVAL, ControlSync, Correction},
        host::Host,
    },
    state::Revision,
    wire::control::Standing,
};

/// For how long a relay has lacked a revision when it counts as behind.
const MAX_LAG: Duration = Duration::from_millis(1_500);

/// A control host that did not answer is asked again after this time. One of the last release does not know the request:
/// it closes the connection and logs an event.
const FAILED_RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// The configuration of this relay.
#[derive(Clone, Copy, Debug)]
pub struct Own {
    /// Its revision.
    pub revision: Revision,
    /// Its digest.
    pub digest: u64,
    /// When the poll that last confirmed it was sent.
    pub confirmed_at: Option<Instant>,
}

/// A revision that a control host has and this relay has not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ahead {
    /// The revision of the control host.
    pub revision: Revision,
    /// When it was seen first.
    pub since: Instant,
}

/// The result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The configurations are equal, or cannot be compared.
    Consistent,
    /// They differ at the same revision.
    Diverged,
    /// Polls are answered, but with an old configuration: one sent after a newer revision was seen did not bring it.
    Behind,
}

/// Compares the own configuration with that of a control host. `ahead` is the result of the comparison before.
pub fn compare(
    own: &Own,
    theirs: &Standing,
    ahead: Option<Ahead>,
    now: Instant,
) -> (Verdict, Option<Ahead>) {
    let is_ahead = theirs.revision > own.revision;
    let seen = is_ahead.then_some(Ahead { revision: theirs.revision, since: now });
    let ahead = ahead.filter(|it| it.revision > own.revision).or(seen);
    let lacks = |it: Ahead| {
        let polled_since = own.confirmed_at.is_some_and(|at| at > it.since);
        polled_since && now.saturating_duration_since(it.since) >= MAX_LAG
    };
    let verdict = if theirs.revision == own.revision && theirs.digest != own.digest {
        Verdict::Diverged
    } else if ahead.is_some_and(lacks) {
        Verdict::Behind
    } else {
        Verdict::Consistent
    };
    (verdict, ahead)
}

/// What is known of the control hosts that can be asked.
#[derive(Default)]
struct Peers {
    asked_at: HashMap<SocketAddr, Instant>,
    failed_at: HashMap<SocketAddr, Instant>,
}

impl Peers {
    /// The control host to ask: the one that was asked longest ago, of those that did not fail lately.
    fn next(&mut self, members: &[SocketAddr], polled: SocketAddr) -> Option<SocketAddr> {
        self.asked_at.retain(|addr, _| members.contains(addr));
        self.failed_at.retain(|addr, _| members.contains(addr));
        let has_failed =
            |it| self.failed_at.get(it).is_some_and(|at| at.elapsed() < FAILED_RETRY_INTERVAL);
        let others = members.iter().filter(|it| **it != polled && !has_failed(*it));
        others.min_by_key(|it| self.asked_at.get(it)).copied()
    }

    /// Asks a control host. Logs the first failure only.
    async fn ask(&mut self, addr: SocketAddr) -> Option<Standing> {
        self.asked_at.insert(addr, Instant::now());
        // The connection is closed again: each relay asks all control hosts in turn.
        match Client::new(vec![addr]).standing().await {
            Ok(standing) => {
                self.failed_at.remove(&addr);
                Some(standing)
            }
            Err(err) => {
                let cause = err.to_string();
                if self.failed_at.insert(addr, Instant::now()).is_none() {
                    log::info!("event=audit_failed control_host={addr} cause={cause:?}");
                }
                None
            }
        }
    }
}

impl ControlSync {
    /// Asks a control host that does not answer the polls for its configuration, again and again, and corrects the own one
    /// if they contradict each other. Nothing waits for this.
    pub(super) async fn audit(&self) {
        let mut peers = Peers::default();
        let mut ahead = None;
        // Reported already: the other side of a difference, and the newest revision that was lacking.
        let mut diverged = None;
        let mut behind = 0;
        loop {
            sleep(AUDIT_INTERVAL).await;
            let Some(polled) = self.polled_host() else { continue };
            let Some(addr) = peers.next(&self.members(), polled) else { continue };
            let Some(theirs) = peers.ask(addr).await else { continue };
            let view = self.host.view();
            let confirmed_at = self.host.freshness.confirmed_at();
            let own = Own { revision: view.revision, digest: view.digest, confirmed_at };
            let (verdict, still_ahead) = compare(&own, &theirs, ahead, Instant::now());
            ahead = still_ahead;
            match (verdict, ahead) {
                (Verdict::Diverged, _) if diverged != Some((addr, own.revision, theirs.digest)) => {
                    diverged = Some((addr, own.revision, theirs.digest));
                    log_verdict(&self.host, "config_diverged", addr, &theirs, Duration::ZERO);
                    self.correct(Correction::Reload);
                }
                (Verdict::Behind, Some(it)) if it.revision > behind => {
                    behind = it.revision;
                    log_verdict(&self.host, "config_behind", addr, &theirs, it.since.elapsed());
                    self.correct(Correction::ChangeHost);
                }
                _ => {}
            }
        }
    }
}

fn log_verdict(host: &Host, event: &str, addr: SocketAddr, theirs: &Standing, seen: Duration) {
    host.metrics.record_config_fault(event.trim_start_matches("config_"));
    let view = host.view();
    log::error!(
        "event={event} revision={} version={} digest={:016x} control_host={} other={addr} \
         other_name={} other_cluster={:032x} other_applied={} other_revision={} other_version={} \
         other_digest={:016x} seen_ms={}",
        view.revision,
        view.table.version,
        view.digest,
        host.freshness.control_host(),
        theirs.name,
        theirs.cluster.unwrap_or_default(),
        theirs.applied,
        theirs.revision,
        theirs.version,
        theirs.digest,
        seen.as_millis(),
    );
}
