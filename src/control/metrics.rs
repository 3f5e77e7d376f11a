//! Prometheus metrics of a control host.

use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

use crate::metric::Registry;

/// Metrics of a control host.
pub struct Metrics {
    /// The registry that renders them.
    pub registry: Registry,
    /// Polls, by result.
    pub polls: IntCounterVec,
    /// Submitted changes, by result.
    pub changes: IntCounterVec,
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
            changes: counter("gentianpass_control_changes_total", "Submitted changes by result"),
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
