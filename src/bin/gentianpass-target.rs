//! A process of stand-in targets.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use gentianpass::{event, lab::target, settings};

/// Stand-in targets of gentianpass for the demo and the tests.
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
    let cfg = match settings::load::<settings::Target>(&args.settings) {
        Ok(cfg) => cfg,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::FAILURE;
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match target::run(cfg) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("event=failed cause={:?}", format!("{err:#}"));
            ExitCode::FAILURE
        }
    }
}
