//! Start and stop of a control host.

use std::sync::Arc;

use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    control::{host::Host, http, rpc},
    event::{Event, Kind},
    settings,
};

/// Runs a control host until SIGTERM or SIGINT.
pub fn run(cfg: settings::Control) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(serve(cfg))
}

async fn serve(cfg: settings::Control) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (listen_http, listen_rpc) = (cfg.listen_http, cfg.listen_rpc);
    let host = Arc::new(Host::new(cfg));
    host.events.record(Event::new(Kind::Started, format!("rpc {listen_rpc} http {listen_http}")));
    tokio::select! {
        it = rpc::serve(host.clone(), listen_rpc) => it.wrap_err_with(|| format!("listener {listen_rpc}"))?,
        it = http::serve(host.clone(), listen_http) => it.wrap_err_with(|| format!("listener {listen_http}"))?,
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    host.events.record(Event::new(Kind::Stopping, "signal"));
    Ok(())
}
