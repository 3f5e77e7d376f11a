//! The demo: searches, a print dispatch, a zone drain, the kill of an entry host and a shutdown on a small fleet of
//! local processes. Prints a line per step and checks its result.

mod demo_fleet;
mod steps;

use std::time::Duration;

use crate::{error::Outcome, lab::fleet::Binaries};
use demo_fleet::DemoFleet;

/// How long a change of configuration, zone or fleet may take until it is in effect everywhere.
const MAX_PROPAGATION: Duration = Duration::from_secs(3);

/// Prints the lines of the demo and collects the expectations that did not hold.
#[derive(Default)]
struct Report {
    failures: Vec<String>,
}

/// The figures of one step.
#[derive(Default)]
struct Line {
    version: Option<u64>,
    covered: Option<(u32, u32)>,
    latency: Duration,
    outcome: Option<Outcome>,
    extra: String,
}

impl Report {
    fn line(&mut self, step: &str, line: &Line) {
        let version = line.version.map_or("-".into(), |it| it.to_string());
        let covered = line.covered.map_or("-".into(), |(part, all)| format!("{part}/{all}"));
        let outcome = line.outcome.map_or("failed".into(), |it| it.to_string());
        let latency_ms = line.latency.as_secs_f64() * 1e3;
        println!(
            "step={step} version={version} covered={covered} latency_ms={latency_ms:.1} \
             outcome={outcome}{}",
            line.extra
        );
    }

    fn check(&mut self, step: &str, holds: bool, expectation: &str) {
        if !holds {
            println!("step={step} expected={expectation:?} held=false");
            self.failures.push(format!("{step}: {expectation}"));
        }
    }
}

/// Runs the demo with this many control hosts. Fails if an expectation does not hold.
pub async fn run(binaries: Binaries, controls: usize) -> eyre::Result<()> {
    let mut report = Report::default();
    let mut demo = DemoFleet::start(binaries, controls).await?;
    steps::configure(&demo, &mut report).await?;
    steps::searches(&demo, &mut report).await?;
    steps::dispatch(&demo, &mut report).await?;
    steps::zone_out(&demo, &mut report).await?;
    steps::zone_in(&demo, &mut report).await?;
    steps::kill_entry(&mut demo, &mut report).await?;
    steps::stop(demo, &mut report).await?;
    println!("demo={} failures={}", outcome(&report), report.failures.len());
    eyre::ensure!(report.failures.is_empty(), "not as expected: {}", report.failures.join("; "));
    Ok(())
}

fn outcome(report: &Report) -> &'static str {
    if report.failures.is_empty() { "ok" } else { "failed" }
}
