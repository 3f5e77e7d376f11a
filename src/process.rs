//! What the processes have in common: arguments, logs, checked settings and the exit code.

use std::{
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc::{SyncSender, sync_channel},
    },
    time::{Duration, Instant},
};

use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};

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
    exit_code(run(cfg))
}

/// How many lines of the log wait for standard output; more are dropped and counted.
const QUEUED_LINES: usize = 1_024;

/// How long the end of a process waits for the last lines.
const LAST_LINES: Duration = Duration::from_millis(200);

/// The pause before the queue is looked at again.
const LAST_LINES_PAUSE: Duration = Duration::from_millis(5);

/// How many lines wait.
static PENDING: AtomicUsize = AtomicUsize::new(0);

/// Hands lines of the log to a thread that writes them, so that no task waits for standard output.
struct Lines {
    tx: SyncSender<Vec<u8>>,
    dropped: u64,
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.dropped > 0 {
            let note = format!("event=log_dropped lines={}\n", self.dropped);
            PENDING.fetch_add(1, Ordering::Relaxed);
            if self.tx.try_send(note.into_bytes()).is_ok() {
                self.dropped = 0;
            } else {
                PENDING.fetch_sub(1, Ordering::Relaxed);
            }
        }
        PENDING.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(line.to_vec()).is_err() {
            PENDING.fetch_sub(1, Ordering::Relaxed);
            self.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the log to standard output without ever waiting for it.
pub fn log_to_stdout() {
    let (tx, rx) = sync_channel::<Vec<u8>>(QUEUED_LINES);
    std::thread::spawn(move || {
        let mut out = io::stdout().lock();
        // Nobody reads the log if standard output is closed.
        while let Ok(line) = rx.recv()
            && out.write_all(&line).and_then(|()| out.flush()).is_ok()
        {
            PENDING.fetch_sub(1, Ordering::Relaxed);
        }
    });
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(event::LOG_FILTER))
        .target(env_logger::Target::Pipe(Box::new(Lines { tx, dropped: 0 })))
        .init();
}

/// Logs each SIGHUP, which would end the process otherwise. Settings concern the start only.
pub async fn log_sighups() -> io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    while hangups.recv().await.is_some() {
        log::info!("event=reload cause=\"SIGHUP: settings concern the next start\"");
    }
    Ok(())
}

/// The exit code of a process, after an error was logged and the last lines were written.
pub fn exit_code(result: eyre::Result<()>) -> ExitCode {
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("event=failed cause={:?}", format!("{err:#}"));
            ExitCode::FAILURE
        }
    };
    let end = Instant::now() + LAST_LINES;
    while PENDING.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        std::thread::sleep(LAST_LINES_PAUSE);
    }
    code
}
