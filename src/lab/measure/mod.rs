//! The measurement: the naive and the current system in alternating slices on the same fleet, under each scenario.

pub mod bench;
pub mod report;
pub mod scenario;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use strum::VariantArray;

use crate::lab::{
    fleet::Binaries,
    load::{self, SystemUnderTest},
    workload::{ASSOCIATION, CUBBYHOLE, FleetSize, Workload},
};
use bench::{Bench, System};
use report::Summary;
use scenario::Scenario;

/// What is measured, and for how long.
#[derive(Clone, Debug)]
pub struct Options {
    /// The length of one slice; some scenarios multiply it.
    pub slice: Duration,
    /// The slices of each system in each scenario.
    pub slices: u32,
    /// The hosts of each fleet.
    pub size: FleetSize,
    /// How long targets stay cold after a start.
    pub warm_after_ms: u64,
    /// Only these scenarios; all if empty.
    pub scenarios: Vec<Scenario>,
    /// The only workload to measure; both if none.
    pub workload: Option<String>,
}

impl Options {
    /// Short slices of the main scenarios, for 50 s in all.
    pub fn quick() -> Self {
        Self {
            slice: Duration::from_millis(400),
            slices: 1,
            size: FleetSize { controls: 3, entries: 3 },
            warm_after_ms: 300,
            scenarios: Scenario::VARIANTS.iter().copied().filter(|it| it.quick()).collect(),
            workload: None,
        }
    }

    /// All scenarios, with enough queries for the 99.9th percentile.
    pub fn full() -> Self {
        Self {
            slice: Duration::from_millis(4_000),
            slices: 3,
            size: FleetSize { controls: 3, entries: 6 },
            warm_after_ms: 1_500,
            scenarios: Vec::new(),
            workload: None,
        }
    }
}

/// Runs the measurement and prints a line per workload, scenario and system. Fails if an answer had wrong rows.
pub async fn run(binaries: Binaries, options: Options) -> eyre::Result<()> {
    let start = Instant::now();
    let mut wrong = 0;
    for workload in [CUBBYHOLE, ASSOCIATION] {
        if options.workload.as_ref().is_none_or(|it| it == workload.name) {
            wrong += measure_workload(workload, &binaries, &options).await?;
        }
    }
    println!("measured_s={:.1} wrong={wrong}", start.elapsed().as_secs_f64());
    eyre::ensure!(wrong == 0, "{wrong} answers differ from the direct scan");
    Ok(())
}

async fn measure_workload(
    workload: Workload,
    binaries: &Binaries,
    options: &Options,
) -> eyre::Result<u64> {
    let (size, warm_after_ms) = (options.size, options.warm_after_ms);
    let bench = Bench::start(workload, binaries.clone(), size, warm_after_ms).await?;
    let warm_up = bench.load(options.slice, 1.0, None);
    load::run(bench.naive.clone(), &warm_up).await;
    load::run(bench.current.clone(), &warm_up).await;
    let mut wrong = 0;
    for &scenario in Scenario::VARIANTS {
        if !options.scenarios.is_empty() && !options.scenarios.contains(&scenario) {
            continue;
        }
        let (mut naive, mut current) = (Summary::default(), Summary::default());
        for slice in 0..options.slices {
            measure_slice(&bench, scenario, System::Naive, slice, options, &mut naive).await?;
            measure_slice(&bench, scenario, System::Current, slice, options, &mut current).await?;
        }
        for (system, summary) in [(System::Naive, &naive), (System::Current, &current)] {
            println!("workload={} scenario={scenario} system={system} {summary}", workload.name);
            wrong += summary.wrong();
        }
    }
    Ok(wrong)
}

async fn measure_slice(
    bench: &Bench,
    scenario: Scenario,
    system: System,
    slice: u32,
    options: &Options,
    summary: &mut Summary,
) -> eyre::Result<()> {
    bench.set_system(system);
    let before = bench.fleet.stats().await?;
    let samples = match system {
        System::Naive => run_load(bench, bench.naive.clone(), scenario, slice, options).await?,
        System::Current => run_load(bench, bench.current.clone(), scenario, slice, options).await?,
    };
    bench.naive.disconnect();
    let after = bench.fleet.stats().await?;
    summary.add_samples(&samples, &bench.expected, bench.workload.shards);
    summary.add_stats(&before, &after);
    if let Err(err) = bench.wait_until_recovered().await {
        println!("workload={} scenario={scenario} recovery={err:?}", bench.workload.name);
    }
    Ok(())
}

async fn run_load<S: SystemUnderTest>(
    bench: &Bench,
    system: Arc<S>,
    scenario: Scenario,
    slice: u32,
    options: &Options,
) -> eyre::Result<Vec<load::Sample>> {
    let duration = options.slice * scenario.duration_factor();
    let factor = if scenario == Scenario::Overload2x { Bench::overload_factor() } else { 1.0 };
    let unique_texts_run = (scenario == Scenario::NewText).then_some(u64::from(slice));
    let load = bench.load(duration, factor, unique_texts_run);
    let (samples, faults_injected) =
        tokio::join!(load::run(system, &load), scenario.inject_faults(bench, duration));
    faults_injected?;
    Ok(samples)
}
