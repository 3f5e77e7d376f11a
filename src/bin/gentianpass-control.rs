//! A control host with a disk: voter, learner or spare of the replicated control state.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use gentianpass::{control, event, settings};

/// Control host of gentianpass.
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

fn main() -> ExitCode {
    let args = Args::parse();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(event::LOG_FILTER))
        .init();
    let cfg = match settings::load::<settings::Control>(&args.settings) {
        Ok(cfg) => cfg,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::FAILURE;
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match control::run(cfg) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("event=failed cause={:?}", format!("{err:#}"));
            ExitCode::FAILURE
        }
    }
}
