//! Entry host: callers reach it; it is the root of their queries and the owner of some targets.

use std::path::PathBuf;

use clap::Parser;
use gentianpass::{entry, event, settings};
use tokio::signal::unix::{SignalKind, signal};

/// Runs an entry host.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The settings file.
    #[arg(long)]
    settings: PathBuf,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(event::LOG_FILTER))
        .init();
    let cfg: settings::Entry = settings::load(&args.settings)?;
    if args.check {
        println!("{}: ok", args.settings.display());
        return Ok(());
    }
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let shutdown = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    entry::run(cfg, shutdown).await
}
