//! What all owned targets of a process share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::RwLock;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGaugeVec};

use crate::{
    control,
    error::Kind,
    event::{self, Event},
    lease::Lease,
    metric,
    owner::canary::Canaries,
    state::{Change, Reply, Revision, View},
    wire::owner::Class,
};

/// How long a crash may take to be committed before the result is returned without it.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a result is held back so that this host's view shows the crash too.
const SUSPECT_VIEW_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause between two looks at the view.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What all owned targets of a process share.
pub(super) struct Shared {
    pub lease: Arc<Lease>,
    pub control: Arc<control::Client>,
    pub events: Arc<event::Ring>,
    pub meter: Meter,
    pub canaries: Canaries,
    pub view: RwLock<Option<Arc<View>>>,
    pub silence: Duration,
    pub max_sub_request: Duration,
    pub ids: AtomicU64,
}

impl Shared {
    /// An id that no other exchange with a target has, whichever owner it comes from.
    pub fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    pub fn view(&self) -> Option<Arc<View>> {
        self.view.read().clone()
    }

    /// Records that a target crashed while it ran a request, and returns once that is committed.
    pub async fn suspect(&self, fingerprint: u64, target: &str, request: String) {
        self.canaries.crashed(fingerprint, target, Instant::now());
        let cause = format!("crashed while it ran fingerprint {fingerprint:016x}");
        let event = Event::new(event::Kind::Suspected, cause);
        self.events.record(event.target(target).request(request));
        let change = Change::Suspect { fingerprint, target: target.to_owned() };
        match self.control.submit(None, change, SUSPECT_TIMEOUT).await {
            Ok(Reply::Applied { revision }) => self.reach(revision).await,
            reply => log::warn!("event=suspect_lost target={target} cause=\"{reply:?}\""),
        }
    }

    async fn reach(&self, revision: Revision) {
        let end = Instant::now() + SUSPECT_VIEW_TIMEOUT;
        while Instant::now() < end && self.view().is_none_or(|it| it.revision < revision) {
            tokio::time::sleep(VIEW_CHECK_INTERVAL).await;
        }
    }
}

/// Metrics of the owner side.
pub(super) struct Meter {
    results: IntCounterVec,
    done: IntCounter,
    seconds: [Histogram; 2],
    pub silent: IntCounter,
    pub cancels: IntCounter,
    pub limit: IntGaugeVec,
    pub in_flight: IntGaugeVec,
    pub queued: IntGaugeVec,
    pub connections: IntGaugeVec,
}

impl Meter {
    pub fn new(registry: &metric::Registry) -> Self {
        let results = registry.counter(
            "gentianpass_owner_sub_requests_total",
            "Sub-requests that ended at this owner, by result.",
            &["result"],
        );
        let seconds = registry.duration(
            "gentianpass_owner_sub_request_duration_seconds",
            "Time from the send to the end of a sub-request that succeeded.",
            &["class"],
        );
        let count = |name, help| registry.counter(name, help, &[]).with_label_values::<&str>(&[]);
        let gauge = |name, help| registry.gauge(name, help, &["target"]);
        Self {
            done: results.with_label_values(&["done"]),
            results,
            seconds: [Class::Quick, Class::Broad]
                .map(|it| seconds.with_label_values(&[it.to_string()])),
            silent: count(
                "gentianpass_owner_silent_connections_total",
                "Connections that carried no bytes while work was outstanding.",
            ),
            cancels: count("gentianpass_owner_cancels_total", "Cancel requests sent to targets."),
            limit: gauge(
                "gentianpass_owner_limit_requests",
                "How many requests run at the target at once.",
            ),
            in_flight: gauge("gentianpass_owner_in_flight_requests", "Requests that run now."),
            queued: gauge("gentianpass_owner_queued_requests", "Requests that wait."),
            connections: gauge("gentianpass_owner_open_connections", "Open connections."),
        }
    }

    pub fn count(&self, kind: Kind) {
        self.results.with_label_values(&[<&str>::from(kind)]).inc();
    }

    pub fn succeed(&self, class: Class, elapsed: Duration) {
        self.done.inc();
        self.seconds[class as usize].observe(elapsed.as_secs_f64());
    }

    pub fn forget(&self, target: &str) {
        for gauge in [&self.limit, &self.in_flight, &self.queued, &self.connections] {
            let _ = gauge.remove_label_values(&[target]);
        }
    }
}
