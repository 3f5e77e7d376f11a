//! What the processes have in common: arguments, logs, checked settings and the exit code.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;

use crate::{
    event,
    settings::{self, Settings},
};

/// A process of gentianpass, a query tier over many shards.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Checks the settings, reports every problem and exits.
    #[arg(long)]
    check: bool,
}

/// Reads the settings and runs the process until it stops.
pub fn main<S: Settings>(run: impl FnOnce(S) -> eyre::Result<()>) -> ExitCode {
    let args = Args::parse();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(event::LOG_FILTER))
        .init();
    let cfg = match settings::load(&args.settings) {
        Ok(cfg) => cfg,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::FAILURE;
        }
    };
    if args.check {
        println!("{}: ok", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(cfg) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("event=failed cause={:?}", format!("{err:#}"));
            ExitCode::FAILURE
        }
    }
}
