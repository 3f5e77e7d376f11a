//! Entry host: accepts callers' requests, splits queries into sub-requests and merges the results. As the owner of some
//! targets, it also limits and sends all sub-requests to these targets.

use std::process::ExitCode;

use gentianpass::{entry, process, settings};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
};

fn main() -> ExitCode {
    process::main(|cfg: settings::Entry| {
        let workers = cfg.workers as usize;
        let runtime = Builder::new_multi_thread().worker_threads(workers).enable_all().build()?;
        runtime.block_on(async {
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            let shutdown = async {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
            };
            entry::run(cfg, shutdown).await
        })
    })
}
