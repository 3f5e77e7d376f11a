//! Runs the demo and the measurements on control hosts, entry hosts and stand-in targets that it starts as local
//! processes.

use std::{future::Future, process::ExitCode, time::Duration};

use clap::{Parser, Subcommand};
use gentianpass::lab::{
    demo,
    fleet::Binaries,
    measure::{self, scenario::Scenario},
    slope,
    workload::FleetSize,
};
use tokio::signal::unix::{SignalKind, signal};

/// Demo and measurements of gentianpass.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The number of control hosts to start.
    #[arg(long, global = true, default_value_t = 3)]
    controls: usize,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the main use case on a small system and checks each step.
    Demo,
    /// Compares the naive system with the current one under each scenario.
    Measure {
        /// Measure only the main scenarios, in short slices, within 50 s.
        #[arg(long)]
        quick: bool,
        /// The number of measurement slices for each system in each scenario.
        #[arg(long, value_name = "COUNT")]
        slices: Option<u32>,
        /// Measure only this scenario; may be repeated.
        #[arg(long = "scenario", value_name = "NAME")]
        scenarios: Vec<Scenario>,
        /// Measure only this workload.
        #[arg(long, value_name = "NAME")]
        workload: Option<String>,
    },
    /// Measures the CPU time of entry hosts per sub-request as a function of the fan-out.
    Slope {
        /// The fan-outs (sub-requests per query) to measure, separated by commas.
        #[arg(long, value_delimiter = ',', default_value = "30,100,300,860")]
        fan_outs: Vec<u32>,
        /// The number of entry hosts to start.
        #[arg(long, default_value_t = 3)]
        entries: usize,
        /// The duration of the measurement of each fan-out, in seconds.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
    },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("failed: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> eyre::Result<()> {
    let Args { controls, command } = args;
    let binaries = Binaries::beside_current()?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        match command {
            Command::Demo => run_until_signal(demo::run(binaries, controls)).await,
            Command::Measure { quick, slices, scenarios, workload } => {
                let options =
                    if quick { measure::Options::quick() } else { measure::Options::full() };
                let size = FleetSize { controls, ..options.size };
                let slices = slices.unwrap_or(options.slices);
                let scenarios = if scenarios.is_empty() { options.scenarios } else { scenarios };
                let options = measure::Options { slices, size, scenarios, workload, ..options };
                run_until_signal(measure::run(binaries, options)).await
            }
            Command::Slope { fan_outs, entries, seconds } => {
                let duration = Duration::from_secs(seconds);
                let size = FleetSize { controls, entries };
                let options = slope::Options { fan_outs, size, duration };
                run_until_signal(slope::run(binaries, options)).await
            }
        }
    })
}

/// Runs `work` until it completes or SIGTERM or SIGINT arrives. On a signal `work` is dropped, which ends all processes
/// that it started.
async fn run_until_signal(work: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        done = work => done,
        _ = terminate.recv() => eyre::bail!("SIGTERM"),
        _ = interrupt.recv() => eyre::bail!("SIGINT"),
    }
}
