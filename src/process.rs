//! Code shared by all binaries: command-line arguments, logging, loading of settings and the exit code.

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

/// Parses the arguments, loads the settings and calls `run`. With `--check` it only reports whether the settings are
/// valid. Logs go to standard error.
pub fn main<S: Settings>(run: impl FnOnce(S) -> eyre::Result<()>) -> ExitCode {
    let args = Args::parse();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(event::LOG_FILTER))
        .format_timestamp_millis()
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

/// The number of log lines that may wait to be written to standard output. Further lines are dropped and counted.
const LOG_QUEUE_LINES: usize = 1_024;

/// How long a process that exits waits for queued log lines to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The interval at which the exit checks whether all lines are written.
const LOG_FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The number of log lines that are queued but not yet written.
static UNWRITTEN_LINES: AtomicUsize = AtomicUsize::new(0);

/// A log writer that queues lines for a writer thread, so that no task blocks on standard output.
struct QueuedWriter {
    tx: SyncSender<Vec<u8>>,
    dropped: u64,
}

impl Write for QueuedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.dropped > 0 {
            let note = format!("event=log_dropped lines={}\n", self.dropped);
            UNWRITTEN_LINES.fetch_add(1, Ordering::Relaxed);
            if self.tx.try_send(note.into_bytes()).is_ok() {
                self.dropped = 0;
            } else {
                UNWRITTEN_LINES.fetch_sub(1, Ordering::Relaxed);
            }
        }
        UNWRITTEN_LINES.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(line.to_vec()).is_err() {
            UNWRITTEN_LINES.fetch_sub(1, Ordering::Relaxed);
            self.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sets up logging to standard output through a queue and a writer thread. If standard output blocks and the queue
/// fills up, lines are dropped; their number is logged when there is room again. Panics are logged in the same way.
pub fn log_to_stdout() {
    let (tx, rx) = sync_channel::<Vec<u8>>(LOG_QUEUE_LINES);
    std::thread::spawn(move || {
        let mut out = io::stdout().lock();
        // The thread ends if standard output is closed; all further lines are dropped.
        while let Ok(line) = rx.recv()
            && out.write_all(&line).and_then(|()| out.flush()).is_ok()
        {
            UNWRITTEN_LINES.fetch_sub(1, Ordering::Relaxed);
        }
    });
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(event::LOG_FILTER))
        .format_timestamp_millis()
        .target(env_logger::Target::Pipe(Box::new(QueuedWriter { tx, dropped: 0 })))
        .init();
    log_panics();
}

/// Logs panics instead of writing them to standard error, which may be a pipe that nobody reads: the write would block the
/// thread of the runtime for good.
fn log_panics() {
    std::panic::set_hook(Box::new(|info| {
        let at = info.location().map_or_else(|| "?".to_owned(), ToString::to_string);
        let cause = info.payload_as_str().unwrap_or("no message");
        log::error!("event=panicked at={at} cause={cause:?}");
    }));
}

/// Handles SIGHUP by logging it, because by default the signal would terminate the process. Settings are not reloaded.
pub async fn log_sighups() -> io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    while hangups.recv().await.is_some() {
        log::info!("event=reload cause=\"SIGHUP: settings are read at start only\"");
    }
    Ok(())
}

/// Logs the error, if any, waits until queued log lines are written, and returns the exit code.
pub fn exit_code(result: eyre::Result<()>) -> ExitCode {
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("event=failed cause={:?}", format!("{err:#}"));
            ExitCode::FAILURE
        }
    };
    let end = Instant::now() + LOG_FLUSH_TIMEOUT;
    while UNWRITTEN_LINES.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        std::thread::sleep(LOG_FLUSH_POLL_INTERVAL);
    }
    code
}
