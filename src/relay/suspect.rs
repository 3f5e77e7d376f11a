//! Detects requests that crash the targets which run them. A relay reports a request to the control hosts when two
//! targets of one service have crashed while running it. The control hosts distribute the quarantine to all relays,
//! which then refuse the request.

use std::{num::NonZeroUsize, sync::Arc, time::Duration};

use lru::LruCache;
use parking_lot::Mutex;
use tokio::{net::TcpStream, time::timeout};

use crate::{
    relay::{host::Host, request::Query, target::Target},
    state::{Change, QUARANTINE_MIN_TARGETS},
};

/// Number of requests for which a relay remembers crashes; the least recently used one is evicted.
const MAX_TRACKED_REQUESTS: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");

/// Timeout of the connection that tells whether a target has crashed. A machine whose process is gone refuses a
/// connection within one round trip, at most some tens of milliseconds. A timeout does not count as a crash.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The service and the name of a target that crashed.
type Crash = (String, String);

/// Crashes by request fingerprint, and reports that have not reached the control hosts yet.
pub(super) struct Suspects {
    crashes: Mutex<LruCache<u64, Vec<Crash>>>,
    unreported: Mutex<Vec<Change>>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            crashes: Mutex::new(LruCache::new(MAX_TRACKED_REQUESTS)),
            unreported: Mutex::default(),
        }
    }
}

impl Suspects {
    /// Records a crash. Returns whether the request was queued for a report, which happens once `threshold` targets of
    /// the service have crashed.
    fn record_crash(
        &self,
        fingerprint: u64,
        service: &str,
        target: &str,
        threshold: usize,
    ) -> bool {
        let mut crashes = self.crashes.lock();
        let known = crashes.get_or_insert_mut(fingerprint, Vec::new);
        let crash = (service.to_owned(), target.to_owned());
        if known.contains(&crash) {
            return false;
        }
        known.push(crash);
        let same_service: Vec<_> = known.iter().filter(|(it, _)| it == service).collect();
        if same_service.len() < threshold {
            return false;
        }
        let report = |(_, target): &&Crash| Change::Suspect { fingerprint, target: target.clone() };
        self.unreported.lock().extend(same_service.iter().map(report));
        true
    }

    /// Puts back a report that could not be submitted.
    pub(super) fn requeue_unreported(&self, change: Change) {
        self.unreported.lock().push(change);
    }

    /// Takes all reports that have not been submitted.
    pub(super) fn take_unreported(&self) -> Vec<Change> {
        std::mem::take(&mut *self.unreported.lock())
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
        // A request that is sent to one target only cannot crash two of them from here. Its first crash is reported,
        // and the control hosts count the crashes that all relays report.
        let threshold = QUARANTINE_MIN_TARGETS.min(query.max_attempts());
        let fingerprint = query.fingerprint();
        let reported = host.suspects.record_crash(fingerprint, &service, &target.name, threshold);
        log::info!(
            "event=target_crashed request={} fingerprint={fingerprint:016x} service={service} target={} reported={reported}",
            query.id(),
            target.name
        );
        if reported {
            host.poll_now.notify_one();
        }
    });
}
