//! Metrics of the entry host.

use std::time::Duration;

use prometheus::{HistogramVec, IntCounterVec};

use crate::{error::Kind, metric::Registry, wire::owner::Class};

/// Metrics of requests, sub-requests and connections.
pub struct Metrics {
    requests: IntCounterVec,
    durations: HistogramVec,
    sub_requests: IntCounterVec,
    connections: IntCounterVec,
}

impl Metrics {
    pub fn new(registry: &Registry) -> Self {
        Self {
            requests: registry.counter(
                "gentianpass_entry_requests_total",
                "Callers' requests by endpoint, class and result.",
                &["endpoint", "class", "result"],
            ),
            durations: registry.duration(
                "gentianpass_entry_request_duration_seconds",
                "Time from the arrival of a request to its answer.",
                &["endpoint", "class"],
            ),
            sub_requests: registry.counter(
                "gentianpass_entry_sub_requests_total",
                "Sub-requests sent, by cause: first, canary, hedge, retry, restart.",
                &["cause"],
            ),
            connections: registry.counter(
                "gentianpass_entry_connections_total",
                "Connections from callers and targets, by result: accepted, refused.",
                &["result"],
            ),
        }
    }

    /// Counts a request and its duration. `result` is an error kind, `done`, or `partial` if shards are missing.
    pub fn record_request(&self, endpoint: &str, class: &str, result: &str, took: Duration) {
        self.requests.with_label_values(&[endpoint, class, result]).inc();
        self.durations.with_label_values(&[endpoint, class]).observe(took.as_secs_f64());
    }

    /// Counts sub-requests that were sent.
    pub fn record_sub_requests(&self, cause: Cause, count: usize) {
        self.sub_requests.with_label_values(&[<&str>::from(cause)]).inc_by(count as u64);
    }

    /// Counts a connection as accepted or refused.
    pub fn record_connection(&self, accepted: Result<(), Kind>) {
        let result = if accepted.is_ok() { "accepted" } else { "refused" };
        self.connections.with_label_values(&[result]).inc();
    }
}

/// Why a sub-request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The first sub-request for the shard.
    First,
    /// The canary of a request that this host has not seen succeed.
    Canary,
    /// Sent to another replica, because the first one is late.
    Hedge,
    /// Sent to another replica, because the first one failed.
    Retry,
    /// The query was restarted on another version.
    Restart,
}

/// The metric label of an admission class.
pub fn class_label(class: Option<Class>) -> &'static str {
    class.map_or("none", <&'static str>::from)
}
