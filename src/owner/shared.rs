//! State that all owned targets of a process share, and the metrics of the owner.

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
    owner::canary::CanaryTracker,
    state::{Change, Reply, Revision, View},
    wire::owner::Class,
};

/// How long to wait for a crash to be committed before the result of the request is returned anyway.
const SUSPECT_COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the result is then held back until the view of this host contains the crash as well.
const SUSPECT_VIEW_TIMEOUT: Duration = Duration::from_millis(500);

/// How often the view is checked for the committed crash.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State that all owned targets of a process share.
pub(super) struct Shared {
    pub lease: Arc<Lease>,
    pub control: Arc<control::Client>,
    pub events: Arc<event::Ring>,
    pub metrics: Metrics,
    pub canaries: CanaryTracker,
    /// The view in force; `None` before the first `Owner::apply`.
    pub view: RwLock<Option<Arc<View>>>,
    /// How long a response may take before its connection counts as stalled; the setting `silence_ms`.
    pub stall_timeout: Duration,
    /// The longest time that one request may run at a target.
    pub max_sub_request: Duration,
    pub id_counter: AtomicU64,
}

impl Shared {
    /// Returns a new id for an exchange. Ids start at a random 64-bit number, so that those of different owners do not
    /// collide at a target.
    pub fn next_id(&self) -> u64 {
        self.id_counter.fetch_add(1, Ordering::Relaxed)
    }

    pub fn view(&self) -> Option<Arc<View>> {
        self.view.read().clone()
    }

    /// Records that a target crashed while it ran a request. Returns once that is committed and in the view, or has
    /// timed out.
    pub async fn report_crash(&self, fingerprint: u64, target: &str, request: String) {
        self.canaries.record_crash(fingerprint, target, Instant::now());
        let cause = format!("target crashed while running fingerprint {fingerprint:016x}");
        let event = Event::new(event::Kind::Suspected, cause);
        self.events.record(event.target(target).request(request));
        let change = Change::Suspect { fingerprint, target: target.to_owned() };
        match self.control.submit(None, change, SUSPECT_COMMIT_TIMEOUT).await {
            Ok(Reply::Applied { revision }) => self.wait_for_revision(revision).await,
            reply => log::warn!("event=suspect_lost target={target} cause=\"{reply:?}\""),
        }
    }

    async fn wait_for_revision(&self, revision: Revision) {
        let end = Instant::now() + SUSPECT_VIEW_TIMEOUT;
        while Instant::now() < end && self.view().is_none_or(|it| it.revision < revision) {
            tokio::time::sleep(VIEW_POLL_INTERVAL).await;
        }
    }
}

/// Metrics of the owner side.
pub(super) struct Metrics {
    results: IntCounterVec,
    done: IntCounter,
    latency_seconds: [Histogram; 2],
    pub stalled_connections: IntCounter,
    pub cancels: IntCounter,
    pub limit: IntGaugeVec,
    pub in_flight: IntGaugeVec,
    pub queued: IntGaugeVec,
    pub connections: IntGaugeVec,
}

impl Metrics {
    pub fn new(registry: &metric::Registry) -> Self {
        let results = registry.counter(
            "gentianpass_owner_sub_requests_total",
            "Sub-requests that ended at this owner, by result.",
            &["result"],
        );
        let latency_seconds = registry.duration(
            "gentianpass_owner_sub_request_duration_seconds",
            "Time from the send to the end of a sub-request that succeeded.",
            &["class"],
        );
        let count = |name, help| registry.counter(name, help, &[]).with_label_values::<&str>(&[]);
        let gauge = |name, help| registry.gauge(name, help, &["target"]);
        Self {
            done: results.with_label_values(&["done"]),
            results,
            latency_seconds: [Class::Quick, Class::Broad]
                .map(|it| latency_seconds.with_label_values(&[it.to_string()])),
            stalled_connections: count(
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

    pub fn record_failure(&self, kind: Kind) {
        self.results.with_label_values(&[<&str>::from(kind)]).inc();
    }

    pub fn record_success(&self, class: Class, elapsed: Duration) {
        self.done.inc();
        self.latency_seconds[class as usize].observe(elapsed.as_secs_f64());
    }

    pub fn remove_target(&self, target: &str) {
        for gauge in [&self.limit, &self.in_flight, &self.queued, &self.connections] {
            let _ = gauge.remove_label_values(&[target]);
        }
    }
}
