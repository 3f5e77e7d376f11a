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
};

/// Creates a relay without starting it.
pub fn create(cfg: Settings) -> Arc<Host> {
    Arc::new(Host::new(cfg))
}

/// Runs a relay until SIGTERM or SIGINT, then shuts it down gracefully.
pub async fn run(host: Arc<Host>) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listen = host.cfg.listen;
    let listener =
        TcpListener::bind(listen).await.wrap_err_with(|| format!("cannot listen on {listen}"))?;
    let peers = host.cfg.listen_peers;
    let peers =
        TcpListener::bind(peers).await.wrap_err_with(|| format!("cannot listen on {peers}"))?;
    host.events.record(Event::new(Kind::Started, format!("listening for callers on {listen}")));
    let delegate = tokio::spawn(delegate::serve(host.clone(), peers));
    let control = ControlSync::new(host.clone());
    let follow = tokio::spawn(async move { control.run().await });
    tokio::spawn(server::serve(host.clone(), listener));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop::run(&host).await;
    follow.abort();
    delegate.abort();
    Ok(())
}
