//! Detects requests that crash the targets which run them. Relays report each crash to the control hosts, which add up
//! the crashes that different relays have seen and distribute the quarantine to all relays. A request that a target
//! answers after all is no longer suspected: it only ran at a target that crashed for another reason.

use std::{
    collections::{BTreeSet, HashMap},
    num::NonZeroUsize,
    sync::Arc,
    time::{Duration, Instant},
};

use lru::LruCache;
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    relay::{host::Host, request::Query, target::Target, view::View},
    state::{Change, QUARANTINE_MIN_TARGETS},
};

/// Number of requests for which a relay remembers crashes; the least recently used one is evicted.
const MAX_TRACKED_REQUESTS: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");

/// Timeout of the connection that tells whether a target has crashed. A machine whose process is gone refuses a
/// connection within one round trip, at most some tens of milliseconds. A timeout does not count as a crash.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long the first crash of a request waits for an answer of another target before it is reported. Most requests
/// that ran at a crashed target are answered in this time and need no report.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(250);

/// How long a report may take until it is in the configuration.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// What this relay knows of a request that may crash targets.
#[derive(Default)]
struct Record {
    /// Names of the targets that crashed while they ran it.
    targets: BTreeSet<String>,
    /// Those whose crash has not been queued for a report.
    unqueued: BTreeSet<String>,
    /// When a target answered it after a crash had been queued for a report that the configuration does not show yet.
    answered_at: Option<Instant>,
    /// The expiry of the suspicion that this relay last asked to withdraw, so that it does so once.
    withdrawn_until_ms: u64,
}

impl Record {
    /// Whether a crash has been queued for a report.
    fn is_reported(&self) -> bool {
        self.targets.len() > self.unqueued.len()
    }

    /// Whether all reports from before an answer have been committed or given up.
    fn is_outdated(&self) -> bool {
        self.answered_at.is_some_and(|it| it.elapsed() > REPORT_LIFETIME)
    }
}

/// Crashes by request fingerprint.
pub(super) struct Suspects {
    records: Mutex<LruCache<u64, Record>>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self { records: Mutex::new(LruCache::new(MAX_TRACKED_REQUESTS)) }
    }
}

impl Suspects {
    /// Records a crash. Returns how many targets have crashed; none if this crash is known.
    fn record_crash(&self, fingerprint: u64, target: &str) -> Option<usize> {
        let mut records = self.records.lock();
        let record = records.get_or_insert_mut(fingerprint, Record::default);
        let is_new = record.targets.insert(target.to_owned());
        if is_new {
            record.unqueued.insert(target.to_owned());
            record.answered_at = None;
        }
        is_new.then_some(record.targets.len())
    }

    /// Takes the crashes of a request that have not been queued for a report.
    fn take_unqueued(&self, fingerprint: u64) -> BTreeSet<String> {
        let mut records = self.records.lock();
        let record = records.peek_mut(&fingerprint);
        record.map(|it| std::mem::take(&mut it.unqueued)).unwrap_or_default()
    }

    /// Records that a target answered a request. `suspected_until_ms` is the expiry of the suspicion in the
    /// configuration, if there is one. Returns whether this relay has to withdraw it.
    fn record_answer(&self, fingerprint: u64, suspected_until_ms: Option<u64>) -> bool {
        let mut records = self.records.lock();
        let Some(until_ms) = suspected_until_ms else {
            match records.peek_mut(&fingerprint) {
                Some(record) if record.is_reported() => {
                    *record = Record { answered_at: Some(Instant::now()), ..Record::default() };
                }
                Some(record) if record.answered_at.is_some() && !record.is_outdated() => {}
                _ => _ = records.pop(&fingerprint),
            }
            return false;
        };
        let record = records.get_or_insert_mut(fingerprint, Record::default);
        if record.withdrawn_until_ms == until_ms {
            return false;
        }
        *record = Record { withdrawn_until_ms: until_ms, ..Record::default() };
        true
    }

    /// Takes the requests whose suspicion this relay has to withdraw, because they were answered before the configuration
    /// showed it. Forgets those that were answered long ago.
    fn take_answered(&self, suspects: &HashMap<u64, u64>) -> Vec<u64> {
        let mut records = self.records.lock();
        let outdated = records.iter().filter(|(_, it)| it.is_outdated());
        let outdated: Vec<_> = outdated.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in outdated {
            records.pop(&fingerprint);
        }
        let mut withdrawn = Vec::new();
        for (fingerprint, record) in records.iter_mut().filter(|(_, it)| it.answered_at.is_some()) {
            let Some(&until_ms) = suspects.get(fingerprint) else { continue };
            if record.withdrawn_until_ms != until_ms {
                record.withdrawn_until_ms = until_ms;
                withdrawn.push(*fingerprint);
            }
        }
        withdrawn
    }

    /// Whether no crash is remembered, so that answers need not be recorded.
    fn is_empty(&self) -> bool {
        self.records.lock().is_empty()
    }
}

/// Checks in the background whether a target crashed, after its connection broke while it ran a request. It counts as
/// crashed if it refuses a new connection.
pub(super) fn check_for_crash(
    host: &Arc<Host>,
    query: &Arc<Query>,
    service: &str,
    target: &Arc<Target>,
) {
    let (host, query, target) = (host.clone(), query.clone(), target.clone());
    let service = service.to_owned();
    tokio::spawn(async move {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(target.pool.addr())).await;
        if !matches!(connect, Ok(Err(_))) {
            return;
        }
        let fingerprint = query.fingerprint(&service);
        let Some(crashes) = host.suspects.record_crash(fingerprint, &target.name) else { return };
        log::info!(
            "event=target_crashed request={} fingerprint={fingerprint:016x} service={service} target={} crashes={crashes}",
            query.id(),
            target.name
        );
        if crashes < QUARANTINE_MIN_TARGETS {
            sleep(FIRST_REPORT_DELAY).await;
        }
        let crashed = host.suspects.take_unqueued(fingerprint);
        if crashed.is_empty() {
            return;
        }
        for target in crashed {
            host.reports.push(Change::Suspect { fingerprint, target });
        }
        host.submit_now.notify_one();
    });
}

/// Records that a target of the service answered a request, which therefore does not crash targets.
pub(super) fn record_answer(host: &Host, query: &Query, service: &str) {
    let View { suspects, .. } = &*host.view();
    if suspects.is_empty() && host.suspects.is_empty() {
        return;
    }
    let fingerprint = query.fingerprint(service);
    if host.suspects.record_answer(fingerprint, suspects.get(&fingerprint).copied()) {
        log::info!(
            "event=suspicion_withdrawn request={} fingerprint={fingerprint:016x} service={service}",
            query.id()
        );
        host.reports.push(Change::Exonerate { fingerprint });
        host.submit_now.notify_one();
    }
}

/// Withdraws the suspicion of requests that a target has answered before this view showed it.
pub(super) fn withdraw_answered(host: &Host, view: &View) {
    for fingerprint in host.suspects.take_answered(&view.suspects) {
        log::info!("event=suspicion_withdrawn fingerprint={fingerprint:016x}");
        host.reports.push(Change::Exonerate { fingerprint });
        host.submit_now.notify_one();
    }
}
