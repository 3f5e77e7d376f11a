//! Measures how the CPU time of the entry hosts per sub-request depends on the fan-out of a query.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    lab::{
        dataset::Dataset,
        fleet::{Binaries, Fleet, Plan, Service, target_template},
        load::SystemUnderTest,
        workload::{FleetSize, hosts},
    },
    wire::caller::Query,
};

const ZONE: &str = "tayside-a";
const KIND: &str = "label-search";
const SERVICE: &str = "label-designer";
const ROWS: u64 = 2_000;
const SEED: u64 = 3;

/// Queries that run at once. Two keep the entry hosts busy without exceeding the slots of the targets.
const CONCURRENCY: usize = 2;

/// How long the system may take after the start to cover all shards.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// The options of the measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// The fan-outs, which are also the numbers of shards.
    pub fan_outs: Vec<u32>,
    /// The hosts of each fleet.
    pub size: FleetSize,
    /// How long queries run for each fan-out.
    pub duration: Duration,
}

/// Measures each fan-out on a new fleet and prints a line for it.
pub async fn run(binaries: Binaries, options: Options) -> eyre::Result<()> {
    for &fan_out in &options.fan_outs {
        let fleet = start(binaries.clone(), fan_out, options.size).await?;
        measure(&fleet, fan_out, options.duration).await?;
    }
    Ok(())
}

async fn start(binaries: Binaries, fan_out: u32, size: FleetSize) -> eyre::Result<Fleet> {
    let mut plan = Plan::new(binaries, SEED, ROWS);
    plan.controls = hosts("control", size.controls, &[ZONE]);
    plan.entries = hosts("entry", size.entries, &[ZONE]);
    let service = Service {
        name: SERVICE.into(),
        index: "labels".into(),
        shards: fan_out,
        template: target_template(4, 30, 0, 1_000),
    };
    let targets = service.targets(&mut plan, &[ZONE]);
    plan.targets.push(targets);
    let fleet = Fleet::start(plan).await?;
    fleet.operator.admit_all(SERVICE, "labels", &[KIND]).await?;
    fleet.operator.set_label(&format!("kind/{KIND}"), "class", "quick").await?;
    Ok(fleet)
}

async fn measure(fleet: &Fleet, fan_out: u32, duration: Duration) -> eyre::Result<()> {
    let dataset = Dataset { seed: SEED, rows: ROWS };
    let query = Query {
        group: SERVICE.into(),
        kind: KIND.into(),
        text: dataset.narrow_text("labels", 1),
        deadline_ms: 2_000,
    };
    let caller = Arc::new(crate::lab::load::RoundRobinCallers::new(
        (0..CONCURRENCY).map(|it| fleet.caller(&format!("caller-{it}"))).collect(),
    ));
    wait_until_full(&*caller, &query).await?;
    let (entry_cpu_time, sub_requests_started) =
        (entry_cpu_time(fleet)?, sub_requests_started(fleet).await?);
    let end = Instant::now() + duration;
    let workers = (0..CONCURRENCY).map(|_| {
        let (caller, query) = (caller.clone(), query.clone());
        async move {
            let (mut queries, mut full) = (0, 0);
            while Instant::now() < end {
                let answer = caller.query(&query).await;
                queries += 1;
                full += u32::from(answer.is_ok_and(|it| it.covered == it.total));
            }
            (queries, full)
        }
    });
    let counts = futures::future::join_all(workers).await;
    let queries: u32 = counts.iter().map(|it| it.0).sum();
    let full: u32 = counts.iter().map(|it| it.1).sum();
    let entry_cpu_time = self::entry_cpu_time(fleet)? - entry_cpu_time;
    let subs = self::sub_requests_started(fleet).await? - sub_requests_started;
    let per_sub = entry_cpu_time.as_secs_f64() * 1e6 / subs.max(1) as f64;
    println!(
        "fan_out={fan_out} entries={} queries={queries} full={full} sub_requests={subs} \
         cpu_ms={} cpu_us_per_sub={per_sub:.1}",
        fleet.entries.len(),
        entry_cpu_time.as_millis(),
    );
    Ok(())
}

async fn wait_until_full(caller: &impl SystemUnderTest, query: &Query) -> eyre::Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    let mut consecutive_full = 0;
    while consecutive_full < 5 {
        let answer = caller.query(query).await;
        let full = answer.as_ref().is_ok_and(|it| it.total > 0 && it.covered == it.total);
        consecutive_full = if full { consecutive_full + 1 } else { 0 };
        if Instant::now() > end {
            eyre::bail!(
                "answers did not cover all shards within {START_TIMEOUT:?}; last: {answer:?}"
            );
        }
    }
    Ok(())
}

fn entry_cpu_time(fleet: &Fleet) -> eyre::Result<Duration> {
    fleet.entries.iter().map(|it| it.process.cpu_time()).sum()
}

async fn sub_requests_started(fleet: &Fleet) -> eyre::Result<u64> {
    Ok(fleet.stats().await?.iter().map(|it| it.started).sum())
}
