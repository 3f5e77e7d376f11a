//! The scenarios under which the systems are compared: which faults are injected while queries run.

use std::time::Duration;

use strum::{Display, EnumString, IntoStaticStr, VariantArray};

use crate::{
    lab::{caller::Caller, measure::bench::Bench, target::fault::Fault},
    wire::caller::Query,
};

/// A load or fault condition. The names appear in the output and on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Scenario {
    /// Normal conditions: 30% of the capacity.
    Quiet,
    /// Normal conditions, but each quick query has a text that was never seen before.
    NewText,
    /// One sub-request in 100 takes ten times as long.
    Stragglers,
    /// One replica of one shard crashes after a fifth of the run and stays down for the rest.
    ReplicaLoss,
    /// All targets of a zone crash and restart cold.
    ColdStart,
    /// All targets of a zone become cold without restarting.
    TurnedCold,
    /// A zone is drained with its label, its targets stop and come back, and the label is removed.
    ZoneOutIn,
    /// All open connections to the targets of a zone stop carrying data.
    Silent,
    /// A query that crashes each target that runs it is sent several times.
    Poison,
    /// All targets change to a new version with another number of shards, one zone after the other.
    VersionChange,
    /// Additional broad queries raise the load to twice the capacity; the rate of quick queries stays the same.
    #[strum(serialize = "overload_2x")]
    Overload2x,
}

/// How many times the crashing query is sent.
const POISON_SENDS: u32 = 5;

impl Scenario {
    /// Whether the quick measurement includes the scenario.
    pub fn quick(self) -> bool {
        !matches!(self, Self::NewText | Self::TurnedCold)
    }

    /// The factor on the slice length, for scenarios with several phases.
    pub fn duration_factor(self) -> u32 {
        match self {
            Self::ZoneOutIn => 3,
            Self::ColdStart | Self::TurnedCold | Self::VersionChange => 2,
            _ => 1,
        }
    }

    /// Injects the faults of the scenario while queries run for `duration`.
    pub async fn inject_faults(self, bench: &Bench, duration: Duration) -> eyre::Result<()> {
        let fleet = &bench.fleet;
        let zone = fleet.targets_in(bench.workload.zones[0]);
        match self {
            Self::Quiet | Self::NewText | Self::Overload2x => Ok(()),
            Self::Stragglers => {
                fleet.fault(&[], Fault::Straggle { one_in: 100, factor: 10.0 }).await
            }
            Self::ReplicaLoss => {
                tokio::time::sleep(duration.mul_f64(0.2)).await;
                let back_after_ms = duration.mul_f64(0.8).as_millis() as u64;
                fleet.fault(&zone[..1], Fault::Crash { back_after_ms }).await
            }
            Self::ColdStart => {
                tokio::time::sleep(duration.mul_f64(0.2)).await;
                fleet.fault(&zone, Fault::Crash { back_after_ms: 200 }).await
            }
            Self::TurnedCold => {
                tokio::time::sleep(duration.mul_f64(0.2)).await;
                fleet.fault(&zone, Fault::TurnCold).await
            }
            Self::ZoneOutIn => zone_out_in(bench, &zone, duration).await,
            Self::Silent => {
                tokio::time::sleep(duration.mul_f64(0.2)).await;
                fleet.fault(&zone, Fault::Silence).await
            }
            Self::Poison => poison(bench, duration).await,
            Self::VersionChange => version_change(bench, duration).await,
        }
    }
}

async fn zone_out_in(bench: &Bench, zone: &[&str], duration: Duration) -> eyre::Result<()> {
    let third = duration / 3;
    let object = format!("zone/{}", bench.workload.zones[0]);
    bench.fleet.operator.set_label(&object, "drain", "true").await?;
    tokio::time::sleep(third).await;
    let back_after_ms = third.as_millis() as u64;
    bench.fleet.fault(zone, Fault::Crash { back_after_ms }).await?;
    tokio::time::sleep(third).await;
    bench.fleet.operator.remove_label(&object, "drain").await?;
    Ok(())
}

async fn poison(bench: &Bench, duration: Duration) -> eyre::Result<()> {
    let text = format!("poison-{}-{}", bench.workload.name, rand::random::<u32>());
    let back_after_ms = 300;
    let fault = Fault::CrashOn { text: Some(text.clone()), back_after_ms };
    bench.fleet.fault(&[], fault).await?;
    let query = Query {
        group: bench.workload.service.into(),
        kind: bench.workload.quick_kind.into(),
        text,
        deadline_ms: 500,
    };
    let caller: Caller = bench.fleet.caller("poisoner");
    for _ in 0..POISON_SENDS {
        tokio::time::sleep(duration / (POISON_SENDS + 2)).await;
        bench.send_crashing_query(&caller, &query).await;
    }
    Ok(())
}

async fn version_change(bench: &Bench, duration: Duration) -> eyre::Result<()> {
    let version = bench.next_version();
    for (i, zone) in bench.workload.zones.iter().enumerate() {
        tokio::time::sleep(duration / 5).await;
        bench.set_zone_version(zone, version).await?;
        if i == 1 {
            bench.naive.set_layout(bench.layout(version));
        }
    }
    Ok(())
}
