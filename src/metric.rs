//! Prometheus metrics of a process. Names start with `gentianpass_` and end with the unit, or `_total` for counters.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, TextEncoder,
};

/// Upper bounds of the histogram buckets for durations, in seconds.
const DURATION_BUCKETS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.004, 0.008, 0.015, 0.03, 0.06, 0.11, 0.2, 0.4, 0.8, 1.6, 3.2];

/// The metrics of one process.
#[derive(Clone, Default)]
pub struct Registry {
    registry: prometheus::Registry,
}

impl Registry {
    /// Registers a counter with labels.
    ///
    /// This and the other methods that register a metric panic if the name is invalid or already registered, which is a
    /// bug in the program.
    pub fn counter(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric");
        self.registry.register(Box::new(metric.clone())).expect("metric registered once");
        metric
    }

    /// Registers a gauge with labels.
    pub fn gauge(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect("valid metric");
        self.registry.register(Box::new(metric.clone())).expect("metric registered once");
        metric
    }

    /// Registers a histogram of durations in seconds, with labels.
    pub fn duration(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(DURATION_BUCKETS.to_vec());
        let metric = HistogramVec::new(opts, labels).expect("valid metric");
        self.registry.register(Box::new(metric.clone())).expect("metric registered once");
        metric
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        encoded.map_or_else(|err| format!("# {err}\n"), |()| String::from_utf8_lossy(&buf).into())
    }
}
