//! The measurement: the naive system and the current one, in turns on the same fleet, under each scenario.

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
    load::{self, System},
    workload::{ASSOCIATION, CUBBYHOLE, FleetSize, Shape},
};
use bench::{Bench, Measured};
use report::Tally;
use scenario::Scenario;

/// What is measured, and for how long.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long one slice of one system lasts.
    pub slice: Duration,
    /// How often each system has its turn in each scenario.
    pub slices: u32,
    /// The hosts of each fleet.
    pub size: FleetSize,
    /// How long targets stay cold.
    pub warm_after_ms: u64,
    /// Only these scenarios; all if empty.
    pub scenarios: Vec<Scenario>,
    /// Only this workload.
    pub workload: Option<String>,
}

impl Options {
    /// The main scenarios within 50 s.
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

    /// All scenarios with enough queries for the 99.9th percentile.
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

/// Runs the measurement and prints its lines. Fails if an answer was wrong.
pub async fn run(binaries: Binaries, options: Options) -> eyre::Result<()> {
    let start = Instant::now();
    let mut wrong = 0;
    for shape in [CUBBYHOLE, ASSOCIATION] {
        if options.workload.as_ref().is_none_or(|it| it == shape.workload) {
            wrong += workload(shape, &binaries, &options).await?;
        }
    }
    println!("measured_s={:.1} wrong={wrong}", start.elapsed().as_secs_f64());
    eyre::ensure!(wrong == 0, "{wrong} answers differ from the direct scan");
    Ok(())
}

async fn workload(shape: Shape, binaries: &Binaries, options: &Options) -> eyre::Result<u64> {
    let (size, warm_after_ms) = (options.size, options.warm_after_ms);
    let bench = Bench::start(shape, binaries.clone(), size, warm_after_ms).await?;
    let warm_up = bench.load(options.slice, 1.0, None);
    load::run(bench.naive.clone(), &warm_up).await;
    load::run(bench.current.clone(), &warm_up).await;
    let mut wrong = 0;
    for &scenario in Scenario::VARIANTS {
        if !options.scenarios.is_empty() && !options.scenarios.contains(&scenario) {
            continue;
        }
        let (mut naive, mut current) = (Tally::default(), Tally::default());
        for slice in 0..options.slices {
            measure_slice(&bench, scenario, Measured::Naive, slice, options, &mut naive).await?;
            measure_slice(&bench, scenario, Measured::Current, slice, options, &mut current)
                .await?;
        }
        for (system, tally) in [(Measured::Naive, &naive), (Measured::Current, &current)] {
            println!("workload={} scenario={scenario} system={system} {tally}", shape.workload);
            wrong += tally.wrong();
        }
    }
    Ok(wrong)
}

async fn measure_slice(
    bench: &Bench,
    scenario: Scenario,
    measured: Measured,
    slice: u32,
    options: &Options,
    tally: &mut Tally,
) -> eyre::Result<()> {
    bench.set_measured(measured);
    let before = bench.fleet.stats().await?;
    let samples = match measured {
        Measured::Naive => play(bench, bench.naive.clone(), scenario, slice, options).await?,
        Measured::Current => play(bench, bench.current.clone(), scenario, slice, options).await?,
    };
    bench.naive.disconnect();
    let after = bench.fleet.stats().await?;
    tally.add_samples(&samples, &bench.expected, bench.shape.shards);
    tally.add_stats(&before, &after);
    if let Err(err) = bench.recovered().await {
        println!("workload={} scenario={scenario} recovery={err:?}", bench.shape.workload);
    }
    Ok(())
}

async fn play<S: System>(
    bench: &Bench,
    system: Arc<S>,
    scenario: Scenario,
    slice: u32,
    options: &Options,
) -> eyre::Result<Vec<load::Sample>> {
    let duration = options.slice * scenario.stretch();
    let factor = if scenario == Scenario::Overload2x { Bench::overload_factor() } else { 1.0 };
    let fresh = (scenario == Scenario::NewText).then_some(u64::from(slice));
    let load = bench.load(duration, factor, fresh);
    let (samples, played) = tokio::join!(load::run(system, &load), scenario.play(bench, duration));
    played?;
    Ok(samples)
}
