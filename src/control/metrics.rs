//! Prometheus metrics of a control host.

use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

use crate::metric::Registry;

/// Metrics of a control host.
pub struct Metrics {
    /// The registry that renders them.
    pub registry: Registry,
    /// Polls, by result.
    pub polls: IntCounterVec,
    /// Failed polls, by error.
    pub refused_polls: IntCounterVec,
    /// Processes that poll this host, and those of them that are behind.
    pub followers: IntGaugeVec,
    /// Registered processes that have ceased to poll this host.
    pub ceased_followers: IntCounterVec,
    /// Registered processes that have sent no poll to any control host lately, as the leader sees it.
    pub silent_followers: IntGaugeVec,
    /// Submitted changes, by result.
    pub changes: IntCounterVec,
    /// Orders of operators that were committed here, by kind.
    pub committed_orders: IntCounterVec,
    /// Time from the arrival of a change at the leader until it was applied there, in seconds.
    pub commit_seconds: HistogramVec,
    /// Duration of one write to the log including its disk sync, in seconds.
    pub sync_seconds: HistogramVec,
    /// Gauges of the Raft and configuration state, by name: term, indices, revision and sizes.
    pub state_gauges: IntGaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::default();
        let counter = |name, help| registry.counter(name, help, &["result"]);
        Self {
            polls: counter("gentianpass_control_polls_total", "Polls of entry hosts by result"),
            refused_polls: registry.counter(
                "gentianpass_control_polls_refused_total",
                "Failed polls by error",
                &["kind"],
            ),
            followers: registry.gauge(
                "gentianpass_control_followers_count",
                "Processes that poll this control host, and those of them with an outdated revision",
                &["state"],
            ),
            ceased_followers: registry.counter(
                "gentianpass_control_followers_ceased_total",
                "Registered processes that have ceased to poll this control host",
                &[],
            ),
            silent_followers: registry.gauge(
                "gentianpass_control_followers_silent_count",
                "Registered processes without a poll to any control host, at the leader",
                &[],
            ),
            changes: counter("gentianpass_control_changes_total", "Submitted changes by result"),
            committed_orders: registry.counter(
                "gentianpass_control_orders_committed_total",
                "Orders of operators that were committed while this control host led, by kind",
                &["order"],
            ),
            commit_seconds: registry.duration(
                "gentianpass_control_commit_seconds",
                "Time from the arrival of a change at the leader until it was applied there",
                &[],
            ),
            sync_seconds: registry.duration(
                "gentianpass_control_sync_seconds",
                "Time of one sync",
                &[],
            ),
            state_gauges: registry.gauge(
                "gentianpass_control_state_count",
                "Term, indices, revision and sizes of the control state",
                &["name"],
            ),
            registry,
        }
    }
}

/// The value of the `result` label.
pub fn result_label<T, E>(result: &Result<T, E>) -> &'static str {
    if result.is_ok() { "ok" } else { "failed" }
}
