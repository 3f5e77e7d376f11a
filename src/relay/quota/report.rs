//! Log lines and metrics of quotas, with a bounded number of lines and labels.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use prometheus::IntCounterVec;

use crate::{
    metric::Registry,
    policy::quota::{Grant, Limit},
    relay::quota::{QuotaRefusal, holder::Holder},
};

/// The most tenants with metrics of their own.
const MAX_TENANT_LABELS: usize = 16;

/// The label of all others.
const OTHER_LABEL: &str = "other";

/// At most one line is logged for each kind of refusal in this time.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The results of a request in metrics.
const RESULTS: [&str; 2] = ["admitted", "refused"];

/// Refusals of one kind.
#[derive(Default)]
struct Refusals {
    logged_at: Option<Instant>,
    /// Refusals since then.
    count: u64,
}

pub(super) struct Report {
    requests: IntCounterVec,
    /// Tenants with labels of their own.
    labelled: HashSet<Box<str>>,
    updated_at: Instant,
    refusals: HashMap<&'static str, Refusals>,
}

impl Report {
    pub(super) fn new(registry: &Registry) -> Self {
        Self {
            requests: registry.counter(
                "gentianpass_relay_quota_requests_total",
                "Requests of tenants with a limit, by result; the tenants with the most requests, and the others summed",
                &["tenant", "result"],
            ),
            labelled: HashSet::new(),
            updated_at: Instant::now(),
            refusals: HashMap::new(),
        }
    }

    /// Logs a refusal, at most one of its kind in each interval.
    pub(super) fn log_refusal(
        &mut self,
        refusal: QuotaRefusal,
        tenant: &str,
        limit: Limit,
        holder: &Holder,
        now: Instant,
    ) {
        let cause = refusal.cause();
        let refusals = self.refusals.entry(cause).or_default();
        refusals.count += 1;
        let is_recent = |it: Instant| now.saturating_duration_since(it) < LOG_INTERVAL;
        if refusals.logged_at.is_some_and(is_recent) {
            return;
        }
        let age_ms = holder.granted_by.map_or(-1, |it| it.1.elapsed().as_millis() as i64);
        log::info!(
            "event=quota_refused cause={cause} tenant={tenant:?} rate={} burst={} count={} grant={} \
             grant_age_ms={age_ms}",
            limit.rate,
            limit.burst,
            refusals.count,
            holder.grant.map_or(0, |it: Grant| it.unused().1),
        );
        *refusals = Refusals { logged_at: Some(now), count: 0 };
    }

    /// Whether the metrics have not been updated for this time.
    pub(super) fn is_due(&self, interval: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.updated_at) >= interval
    }

    /// Adds the requests since the last update to the metrics. The heaviest tenants of that time get labels of their own;
    /// what was counted for those that lose theirs is added to the others.
    pub(super) fn update(&mut self, holders: &mut HashMap<Box<str>, Holder>, now: Instant) {
        self.updated_at = now;
        let mut ranked: Vec<_> = holders.iter_mut().collect();
        if ranked.len() > MAX_TENANT_LABELS {
            let weight = |it: &Holder| Reverse(it.admitted + it.refused);
            ranked.select_nth_unstable_by_key(MAX_TENANT_LABELS, |it| weight(it.1));
        }
        let heaviest = ranked.iter().take(MAX_TENANT_LABELS).map(|it| it.0.clone()).collect();
        let previous = std::mem::replace(&mut self.labelled, heaviest);
        for tenant in previous.difference(&self.labelled) {
            for result in RESULTS {
                let labels = [&**tenant, result];
                let count = self.requests.with_label_values(&labels).get();
                self.requests.with_label_values(&[OTHER_LABEL, result]).inc_by(count);
                let _ = self.requests.remove_label_values(&labels);
            }
        }
        for (at, (tenant, holder)) in ranked.into_iter().enumerate() {
            let label = if at < MAX_TENANT_LABELS { &**tenant } else { OTHER_LABEL };
            let counts = [&mut holder.admitted, &mut holder.refused].map(std::mem::take);
            for (result, count) in RESULTS.into_iter().zip(counts).filter(|it| it.1 > 0) {
                self.requests.with_label_values(&[label, result]).inc_by(count);
            }
        }
    }
}
