//! Stand-in targets for the demo, the measurements and the tests. One process runs many targets, each with its own
//! listener and limits.
//!
//! A target serves the endpoints of [`crate::wire::target`] and announces itself to the entry hosts. The process
//! listens on `listen_lab` for the lab API of [`fault`], which injects faults and returns counters.

pub mod announce;
pub mod capacity;
pub mod conn;
pub mod fault;
pub mod instance;
mod serve;

use std::{net::SocketAddr, sync::Arc};

use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use eyre::WrapErr;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

use crate::{
    lab::{
        dataset::{Dataset, ShardCache},
        http::Client,
    },
    settings,
};
use fault::{FaultRequest, Stats};
use instance::StandInTarget;

/// The longest body of a fault request, in bytes. It may contain the holdings of hundreds of targets.
const MAX_FAULT_REQUEST_BYTES: usize = 16 << 20;

/// Runs all targets of the settings until SIGTERM or SIGINT.
pub fn run(cfg: settings::Target) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let (addr, served) = start(cfg).await?;
        log::info!("event=started listen_lab={addr}");
        tokio::select! {
            ended = served => ended.wrap_err("lab API listener stopped"),
            _ = terminate.recv() => Ok(()),
            _ = interrupt.recv() => Ok(()),
        }
    })
}

/// Starts all targets. Returns the address of the lab API and the task that serves it. All tasks run on the current
/// runtime.
pub async fn start(
    cfg: settings::Target,
) -> eyre::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
    let shard_cache = Arc::new(ShardCache::new(Dataset { seed: cfg.seed, rows: cfg.rows }));
    let client = Client::default();
    let mut stand_ins = Vec::new();
    for spec in cfg.targets {
        let (name, listen) = (spec.name.clone(), spec.listen);
        let (stand_in, listener) =
            StandInTarget::bind(spec, shard_cache.clone(), cfg.seed)
                .await
                .wrap_err_with(|| format!("cannot listen on {listen} for target {name}"))?;
        stand_ins.push(stand_in.clone());
        tokio::spawn(stand_in.clone().serve_until_exit(listener));
        tokio::spawn(announce::announce(stand_in, cfg.entries.clone(), client.clone()));
    }
    let listener = TcpListener::bind(cfg.listen_lab)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", cfg.listen_lab))?;
    let addr = listener.local_addr()?;
    let router = Router::new()
        .route("/v1/lab/stats", get(stats))
        .route("/v1/lab/faults", post(faults))
        .layer(DefaultBodyLimit::max(MAX_FAULT_REQUEST_BYTES))
        .with_state(Arc::new(stand_ins));
    let served = tokio::spawn(async move {
        if let Err(err) = axum::serve(listener, router).await {
            log::error!("event=stopped cause={err:?}");
        }
    });
    Ok((addr, served))
}

async fn stats(State(stand_ins): State<Arc<Vec<Arc<StandInTarget>>>>) -> Json<Stats> {
    Json(Stats { targets: stand_ins.iter().map(|it| it.stats()).collect() })
}

async fn faults(
    State(stand_ins): State<Arc<Vec<Arc<StandInTarget>>>>,
    Json(request): Json<FaultRequest>,
) -> Response {
    let known = |name: &String| stand_ins.iter().any(|it| it.spec.name == *name);
    let unknown: Vec<_> =
        request.steps.iter().flat_map(|it| &it.targets).filter(|it| !known(it)).collect();
    if !unknown.is_empty() {
        return (StatusCode::NOT_FOUND, Json(unknown)).into_response();
    }
    for step in request.steps {
        let selected = |it: &&Arc<StandInTarget>| {
            step.targets.is_empty() || step.targets.iter().any(|name| *name == it.spec.name)
        };
        stand_ins.iter().filter(selected).for_each(|it| it.apply(step.fault.clone()));
    }
    StatusCode::NO_CONTENT.into_response()
}
