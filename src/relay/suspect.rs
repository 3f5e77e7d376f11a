//! Requests that crash the targets which run them. A request is reported once two targets of one service have crashed
//! while they ran it; the control hosts tell all relays, which refuse it from then on.

use std::{num::NonZeroUsize, sync::Arc, time::Duration};

use lru::LruCache;
use parking_lot::Mutex;
use tokio::{net::TcpStream, time::timeout};

use crate::{
    relay::{host::Host, request::Query, target::Target},
    state::{Change, QUARANTINE_MIN_TARGETS},
};

/// How many requests under suspicion a relay remembers.
const REMEMBERED: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");

/// A target that has crashed refuses a connection within one round trip, which is at most some tens of milliseconds.
const REFUSED_TIMEOUT: Duration = Duration::from_millis(100);

/// A target that crashed, and its service.
type Crash = (String, String);

/// The crashes that requests have caused here, and those that the control hosts do not know yet.
pub(super) struct Suspects {
    crashes: Mutex<LruCache<u64, Vec<Crash>>>,
    unreported: Mutex<Vec<Change>>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self { crashes: Mutex::new(LruCache::new(REMEMBERED)), unreported: Mutex::default() }
    }
}

impl Suspects {
    /// Notes a crash. True if the request is to be reported: `enough` targets of the service have crashed.
    fn note(&self, fingerprint: u64, service: &str, target: &str, enough: usize) -> bool {
        let mut crashes = self.crashes.lock();
        let known = crashes.get_or_insert_mut(fingerprint, Vec::new);
        let crash = (service.to_owned(), target.to_owned());
        if known.contains(&crash) {
            return false;
        }
        known.push(crash);
        let of_service: Vec<_> = known.iter().filter(|(it, _)| it == service).collect();
        if of_service.len() < enough {
            return false;
        }
        let report = |(_, target): &&Crash| Change::Suspect { fingerprint, target: target.clone() };
        self.unreported.lock().extend(of_service.iter().map(report));
        true
    }

    /// Keeps a change that could not be reported.
    pub(super) fn keep_unreported(&self, change: Change) {
        self.unreported.lock().push(change);
    }

    /// Takes what the control hosts should know.
    pub(super) fn take_unreported(&self) -> Vec<Change> {
        std::mem::take(&mut *self.unreported.lock())
    }
}

/// A connection broke while a target ran a request. If nothing listens there any more, the target has crashed.
pub(super) fn disconnected(
    host: &Arc<Host>,
    query: &Arc<Query>,
    service: &str,
    target: &Arc<Target>,
) {
    let (host, query, target) = (host.clone(), query.clone(), target.clone());
    let service = service.to_owned();
    tokio::spawn(async move {
        let connected = timeout(REFUSED_TIMEOUT, TcpStream::connect(target.pool.addr())).await;
        if !matches!(connected, Ok(Err(_))) {
            return;
        }
        // A request that may be sent to one target only cannot crash two of them here.
        let enough = QUARANTINE_MIN_TARGETS.min(query.max_attempts());
        let fingerprint = query.fingerprint();
        let reported = host.suspects.note(fingerprint, &service, &target.name, enough);
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
