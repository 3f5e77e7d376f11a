//! Startup and shutdown of a control host.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc::sync_channel},
    time::Duration,
};

use eyre::WrapErr;
use tokio::{
    runtime::{Handle, Runtime},
    signal::unix::{SignalKind, signal},
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    control::{
        confirm,
        driver::{Driver, Input},
        host::Host,
        http, join, roll_call, rpc,
    },
    event::{Event, Kind},
    settings, store,
    supervise::{Failure, Tasks},
};

/// Maximum number of queued inputs of the consensus thread. Further requests are rejected as overload, and further Raft
/// messages are dropped.
const INPUT_QUEUE_CAPACITY: usize = 16_384;

/// Maximum number of polls and reads that wait for a read index; further ones are rejected as overload.
const READ_QUEUE_CAPACITY: usize = 16_384;

/// Timeout of each shutdown step: the transfer of leadership, and the end of the operators' requests in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// The task that serves operators, in logs.
const HTTP_TASK: &str = "http";

/// Runs a control host until SIGTERM or SIGINT.
pub fn run(cfg: settings::Control) -> eyre::Result<()> {
    let runtime = Runtime::new()?;
    let result = runtime.block_on(serve(cfg, async |_| std::future::pending().await));
    runtime.shutdown_background();
    result
}

/// Runs a control host until SIGTERM or SIGINT. Stops in the same way and fails when `interface`, the consensus thread or
/// another essential task ends. `interface` serves another protocol in the same process.
pub async fn serve(
    cfg: settings::Control,
    interface: impl AsyncFnOnce(Arc<Host>) -> eyre::Result<()>,
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (listen_http, listen_rpc) = (cfg.listen_http, cfg.listen_rpc);
    let (log, opened) = store::Log::open(&cfg.data_dir)?;
    let (inputs_tx, inputs_rx) = sync_channel(INPUT_QUEUE_CAPACITY);
    let (reads_tx, reads_rx) = mpsc::channel(READ_QUEUE_CAPACITY);
    let host = Arc::new(Host::new(cfg, opened.id, inputs_tx, reads_tx));
    let id = uuid::Uuid::from_u128(host.id);
    let cause = format!("rpc {listen_rpc} http {listen_http} member {id}");
    host.events.record(Event::new(Kind::Started, cause));
    if opened.torn_bytes > 0 {
        let cause = format!("dropped {} bytes of an interrupted log write", opened.torn_bytes);
        host.events.record(Event::new(Kind::StorageFailed, cause));
    }
    let driver = start_driver(&host, log, opened.recovered, inputs_rx)?;
    let (stop_tx, stop_rx) = oneshot::channel();
    let mut tasks = Tasks::default();
    tasks.spawn("confirm", confirm::run(host.clone(), reads_rx));
    tasks.spawn(HTTP_TASK, http::serve(host.clone(), listen_http, stop_rx));
    tasks.spawn("rpc", rpc::serve(host.clone(), listen_rpc));
    tasks.spawn("join", join::run(host.clone()));
    tasks.spawn("roll_call", roll_call::run(host.clone()));
    let result = tokio::select! {
        it = driver => it.unwrap_or_else(|_| Err(eyre::eyre!("consensus thread panicked"))),
        failure = tasks.ended() => Err(with_address(failure, listen_rpc, listen_http)),
        it = interface(host.clone()) => it.wrap_err("interface of another protocol"),
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    };
    let cause = result.as_ref().err().map_or("signal".into(), |it| format!("{it:#}"));
    host.events.record(Event::new(Kind::Stopping, cause));
    let _ = timeout(STOP_TIMEOUT, host.call_driver(Input::Stop)).await;
    let _ = stop_tx.send(());
    let _ = timeout(STOP_TIMEOUT, tasks.wait(HTTP_TASK)).await;
    result
}

/// Names the listeners' addresses: that one of them is in use is the usual reason why a task of theirs ends.
fn with_address(failure: Failure, rpc: SocketAddr, http: SocketAddr) -> eyre::Report {
    eyre::Report::new(failure).wrap_err(format!("control host with RPC at {rpc}, HTTP at {http}"))
}

/// Starts the consensus thread. The receiver gets its result; it gets nothing if the thread panics.
fn start_driver(
    host: &Arc<Host>,
    log: store::Log,
    recovered: crate::raft::Recovered,
    inputs: std::sync::mpsc::Receiver<Input>,
) -> eyre::Result<oneshot::Receiver<eyre::Result<()>>> {
    let driver = Driver::new(host.clone(), log, recovered, Handle::current())?;
    let (tx, rx) = oneshot::channel();
    let host = host.clone();
    std::thread::Builder::new().name("consensus".into()).spawn(move || {
        let result = driver.run(&inputs);
        if let Err(err) = &result {
            host.events.record(Event::new(Kind::StorageFailed, format!("{err:#}")));
        }
        let _ = tx.send(result);
    })?;
    Ok(rx)
}
