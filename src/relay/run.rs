//! Runs a relay process from start to shutdown.

use std::sync::Arc;

use eyre::WrapErr;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

use crate::{
    event::{Event, Kind},
    relay::{delegate, follow::ControlSync, host::Host, server, settings::Settings, stop},
    supervise::{self, MAX_ROUND_TICKS, Tasks, WATCH_INTERVAL},
};

/// The task that polls the control hosts and submits changes, in logs.
const FOLLOW_TASK: &str = "follow";

/// Creates a relay without starting it.
pub fn create(cfg: Settings) -> Arc<Host> {
    Arc::new(Host::new(cfg))
}

/// Runs a relay until SIGTERM or SIGINT, then shuts it down gracefully. Does the same and fails when one of its essential
/// tasks has ended or is stuck: without them it would serve an old configuration for ever.
pub async fn run(host: Arc<Host>) -> eyre::Result<()> {
    run_with(host, Tasks::default()).await
}

/// Like [`run`], beside other essential tasks of the same process.
pub async fn run_with(host: Arc<Host>, mut tasks: Tasks) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listen = host.cfg.listen;
    let listener =
        TcpListener::bind(listen).await.wrap_err_with(|| format!("cannot listen on {listen}"))?;
    let peers = host.cfg.listen_peers;
    let peers =
        TcpListener::bind(peers).await.wrap_err_with(|| format!("cannot listen on {peers}"))?;
    host.events.record(Event::new(Kind::Started, format!("listening for callers on {listen}")));
    tasks.spawn("delegate", delegate::serve(host.clone(), peers));
    tasks.spawn(FOLLOW_TASK, follow(host.clone()));
    tasks.spawn("server", server::serve(host.clone(), listener));
    let failure = tokio::select! {
        _ = terminate.recv() => None,
        _ = interrupt.recv() => None,
        failure = tasks.ended() => Some(failure),
        failure = supervise::watch(
            FOLLOW_TASK,
            WATCH_INTERVAL,
            || host.metrics.poll_rounds(),
            MAX_ROUND_TICKS,
        ) => Some(failure),
    };
    let Some(failure) = failure else {
        stop::run(&host, "signal").await;
        return Ok(());
    };
    // The control hosts must learn that this host is leaving, which the task that has failed may no longer tell them.
    tasks.spawn("follow_stop", follow(host.clone()));
    stop::run(&host, &failure.to_string()).await;
    Err(failure.into())
}

async fn follow(host: Arc<Host>) {
    ControlSync::new(host).run().await;
}
