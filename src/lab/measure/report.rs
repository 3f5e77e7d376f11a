//! Collects the figures of one workload, scenario and system, and formats them as one line.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;

use crate::{
    lab::{
        caller::Error,
        load::{ExpectedRows, Sample},
        target::fault::TargetStats,
    },
    wire::{caller::Answer, owner::Class},
};

/// The upper bound of the latency histogram, in microseconds; longer latencies count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counters and latencies of one workload, scenario and system, summed over all slices.
pub struct Summary {
    latency: Histogram<u64>,
    queries: u64,
    answered: u64,
    full: u64,
    covered: u64,
    total: u64,
    rejected: u64,
    failed: u64,
    wrong: u64,
    quick: u64,
    quick_full: u64,
    /// The lowest share of answers that cover all shards within one second of a slice.
    worst_second_full: f64,
    sub_requests_started: u64,
    /// Sub-requests that would suffice if each shard were asked once per query.
    sub_requests_needed: u64,
    overload_max: u64,
    crashes: u64,
    errors: BTreeMap<String, u64>,
}

impl Default for Summary {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
        Self {
            latency,
            queries: 0,
            answered: 0,
            full: 0,
            covered: 0,
            total: 0,
            rejected: 0,
            failed: 0,
            wrong: 0,
            quick: 0,
            quick_full: 0,
            worst_second_full: 1.0,
            sub_requests_started: 0,
            sub_requests_needed: 0,
            overload_max: 0,
            crashes: 0,
            errors: BTreeMap::new(),
        }
    }
}

impl Summary {
    /// Adds the queries of a slice. A failed query needs `shards` sub-requests, a rejected one none.
    pub fn add_samples(&mut self, samples: &[Sample], expected: &ExpectedRows, shards: u32) {
        let mut seconds: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
        for it in samples {
            self.queries += 1;
            let second = seconds.entry(it.arrival.as_secs()).or_default();
            second.0 += 1;
            second.1 += u64::from(it.covers_all_shards());
            self.full += u64::from(it.covers_all_shards());
            if it.class == Class::Quick {
                self.quick += 1;
                self.quick_full += u64::from(it.covers_all_shards());
            }
            self.rejected += u64::from(it.did_not_run());
            for error in errors(&it.result) {
                *self.errors.entry(error).or_default() += 1;
            }
            match &it.result {
                Ok(answer) => {
                    self.answered += 1;
                    self.covered += u64::from(answer.covered);
                    self.total += u64::from(answer.total);
                    self.sub_requests_needed += u64::from(answer.total);
                    self.wrong += u64::from(!expected.is_correct(&it.text, answer));
                    self.latency.saturating_record(it.latency.as_micros() as u64);
                }
                Err(_) if it.did_not_run() => {}
                Err(_) => {
                    self.failed += 1;
                    self.sub_requests_needed += u64::from(shards);
                }
            }
        }
        let full_shares = seconds.values().map(|(all, full)| *full as f64 / *all as f64);
        self.worst_second_full = full_shares.fold(self.worst_second_full, f64::min);
    }

    /// Adds the difference of the targets' counters before and after a slice.
    pub fn add_stats(&mut self, before: &[TargetStats], after: &[TargetStats]) {
        for (before, after) in before.iter().zip(after) {
            self.sub_requests_started += after.started - before.started;
            self.overload_max = self.overload_max.max(after.overload - before.overload);
            self.crashes += after.crashes - before.crashes;
        }
    }

    /// The number of answers with other rows than the full scan.
    pub fn wrong(&self) -> u64 {
        self.wrong
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        Duration::from_micros(self.latency.value_at_quantile(quantile)).as_secs_f64() * 1e3
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ratio = |part: u64, all: u64| if all == 0 { 0.0 } else { part as f64 / all as f64 };
        let errors: Vec<_> =
            self.errors.iter().map(|(kind, count)| format!("{kind}:{count}")).collect();
        let errors = if errors.is_empty() { "-".into() } else { errors.join(",") };
        write!(
            f,
            "queries={} p50_ms={:.1} p99_ms={:.1} p999_ms={:.1} coverage={:.4} full_answers={:.4} \
             extra_load={:.3} overload_max={} rejected={} wrong={} failed={} quick_full={:.4} \
             worst_second_full={:.3} crashes={} errors={}",
            self.queries,
            self.quantile_ms(0.5),
            self.quantile_ms(0.99),
            self.quantile_ms(0.999),
            ratio(self.covered, self.total),
            ratio(self.full, self.queries),
            ratio(self.sub_requests_started, self.sub_requests_needed) - 1.0,
            self.overload_max,
            self.rejected,
            self.wrong,
            self.failed,
            ratio(self.quick_full, self.quick),
            self.worst_second_full,
            self.crashes,
            errors,
        )
    }
}

/// The error kind of a failed query, or those of the shards that its answer does not cover.
fn errors(result: &Result<Answer, Error>) -> Vec<String> {
    match result {
        Ok(answer) => answer.missing.iter().map(|it| format!("shard_{}", it.reason)).collect(),
        Err(err) => vec![err.kind().map_or("no_answer".into(), |it| it.to_string())],
    }
}
