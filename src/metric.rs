//! Metrics of a process in the Prometheus text format. Names start with `gentianpass_` and end with their unit.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, TextEncoder,
};

/// Bucket bounds for durations, in seconds.
const DURATION_BUCKETS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.004, 0.008, 0.015, 0.03, 0.06, 0.11, 0.2, 0.4, 0.8, 1.6, 3.2];

/// The metrics of one process.
#[derive(Clone, Default)]
pub struct Registry {
    registry: prometheus::Registry,
}

impl Registry {
    /// A counter with labels. Registering one name twice is a defect of the program.
    pub fn counter(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric");
        self.registry.register(Box::new(metric.clone())).expect("metric registered once");
        metric
    }

    /// A gauge with labels.
    pub fn gauge(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect("valid metric");
        self.registry.register(Box::new(metric.clone())).expect("metric registered once");
        metric
    }

    /// A histogram of durations in seconds, with labels.
    pub fn duration(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(DURATION_BUCKETS.to_vec());
        let metric = HistogramVec::new(opts, labels).expect("valid metric");
        self.registry.register(Box::new(metric.clone())).expect("metric registered once");
        metric
    }

    /// All metrics in the text format.
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        encoded.map_or_else(|err| format!("# {err}\n"), |()| String::from_utf8_lossy(&buf).into())
    }
}
