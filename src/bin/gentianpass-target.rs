//! A process of stand-in targets.

use std::path::PathBuf;

use clap::Parser;
use gentianpass::{lab::target, settings};

/// Serves stand-in targets for the demo and the tests.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The settings file.
    #[arg(long)]
    settings: PathBuf,
    /// Only checks the settings file.
    #[arg(long)]
    check: bool,
}

fn main() -> eyre::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let args = Args::parse();
    let cfg: settings::Target = settings::load(&args.settings)?;
    if args.check {
        return Ok(());
    }
    tokio::runtime::Runtime::new()?.block_on(target::run(cfg))
}
