//! Counters and histograms of a relay.

use std::time::Duration;

use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec};

use crate::{
    metric::Registry,
    relay::{exchange::Outcome, request::Query},
};

/// The results of a round of polls.
const POLL_RESULTS: [&str; 2] = ["ok", "failed"];

pub(super) struct Metrics {
    answers: IntCounterVec,
    answer_time: HistogramVec,
    exchanges: IntCounterVec,
    exchange_time: HistogramVec,
    /// Retries and hedges by cause.
    pub(super) retries: IntCounterVec,
    /// Failed delegations by outcome.
    pub(super) delegations: IntCounterVec,
    pub(super) connections: IntCounterVec,
    /// Requests sent to the services in a rollout, by side.
    pub(super) rollout_requests: IntCounterVec,
    polls: IntCounterVec,
    config_age: HistogramVec,
    current_config_age: IntGaugeVec,
    config_faults: IntCounterVec,
}

impl Metrics {
    pub(super) fn new(registry: &Registry) -> Self {
        let counter =
            |name: &str, help: &str, labels: &[&str]| registry.counter(name, help, labels);
        Self {
            answers: counter(
                "gentianpass_relay_answers_total",
                "Answers to callers",
                &["route", "outcome"],
            ),
            answer_time: registry.duration(
                "gentianpass_relay_answer_seconds",
                "Time from a request's arrival to its answer",
                &["route"],
            ),
            exchanges: counter(
                "gentianpass_relay_exchanges_total",
                "Exchanges with targets",
                &["outcome"],
            ),
            exchange_time: registry.duration(
                "gentianpass_relay_exchange_seconds",
                "Time of an exchange with a target",
                &["outcome"],
            ),
            retries: counter(
                "gentianpass_relay_repeats_total",
                "Sub-requests sent to another target",
                &["cause"],
            ),
            delegations: counter(
                "gentianpass_relay_delegations_failed_total",
                "Groups of shards that another relay did not take",
                &["outcome"],
            ),
            connections: counter(
                "gentianpass_relay_connections_total",
                "New connections to targets",
                &[],
            ),
            rollout_requests: counter(
                "gentianpass_relay_rollout_requests_total",
                "Requests sent to a service in a rollout, to the old and the new version",
                &["service", "side"],
            ),
            polls: counter(
                "gentianpass_relay_polls_total",
                "Rounds of polls of the control hosts by result",
                &["result"],
            ),
            config_age: registry.duration(
                "gentianpass_relay_config_age_seconds",
                "Age of the configuration when a poll confirmed it again",
                &[],
            ),
            current_config_age: registry.gauge(
                "gentianpass_relay_config_unconfirmed_milliseconds",
                "Time since control hosts confirmed the configuration",
                &[],
            ),
            config_faults: counter(
                "gentianpass_relay_config_faults_total",
                "Times at which the configuration was not confirmed or not applied, by fault",
                &["fault"],
            ),
        }
    }

    pub(super) fn record_answer(&self, query: &Query, outcome: &str) {
        let route = query.route().config.name.as_str();
        self.answers.with_label_values(&[route, outcome]).inc();
        let took_s = query.arrived.elapsed().as_secs_f64();
        self.answer_time.with_label_values(&[route]).observe(took_s);
    }

    pub(super) fn record_poll(&self, confirmed: bool) {
        let [ok, failed] = POLL_RESULTS;
        let result = if confirmed { ok } else { failed };
        self.polls.with_label_values(&[result]).inc();
    }

    /// The number of rounds of polls that have ended, well or badly.
    pub(super) fn poll_rounds(&self) -> u64 {
        POLL_RESULTS.iter().map(|it| self.polls.with_label_values(&[*it]).get()).sum()
    }

    pub(super) fn record_config_age(&self, age: Duration) {
        self.config_age.with_label_values::<&str>(&[]).observe(age.as_secs_f64());
    }

    pub(super) fn set_config_age(&self, age: Duration) {
        let age_ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.current_config_age.with_label_values::<&str>(&[]).set(age_ms);
    }

    pub(super) fn record_config_fault(&self, fault: &str) {
        self.config_faults.with_label_values(&[fault]).inc();
    }

    pub(super) fn record_exchange(&self, outcome: &Outcome, took: Duration) {
        let label = match outcome {
            Outcome::Answered(it) if it.status.is_server_error() => "failed",
            Outcome::Answered(_) => "answered",
            Outcome::NotRun(it) => (*it).into(),
            Outcome::Unknown(it) => (*it).into(),
        };
        self.exchanges.with_label_values(&[label]).inc();
        self.exchange_time.with_label_values(&[label]).observe(took.as_secs_f64());
    }
}
