//! A fake target that serves the real HTTP interface.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use axum::{
    Json, Router,
    extract::State,
    routing::{get, post},
};
use gentianpass::wire::target::{Announcement, Cancel, Health, Run, RunAnswer, Sub, SubAnswer};
use parking_lot::Mutex;
use tokio::net::TcpListener;

use crate::{
    owners::rows,
    support::{post_json, target},
};

/// The requests that a target has received.
#[derive(Default)]
pub struct Received {
    pub subs: Vec<Sub>,
    pub runs: Vec<Run>,
}

#[derive(Clone)]
pub struct FakeTarget {
    pub announcement: Announcement,
    pub received: Arc<Mutex<Received>>,
    /// How long a sub-request takes.
    service: Duration,
}

impl FakeTarget {
    /// Starts a target that announces itself to these entry hosts every 300 ms.
    pub async fn start(name: &str, shard: u32, shards: u32, entries: Vec<SocketAddr>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let mut announced = target(name, shard, &[(1, shards)]);
        announced.addr = listener.local_addr().expect("address");
        let announcement = Announcement { target: announced, cold: false };
        let service = Duration::from_millis(5);
        let target = Self { announcement, received: Arc::default(), service };
        let router = Router::new()
            .route("/v1/sub", post(sub))
            .route("/v1/run", post(run))
            .route("/v1/cancel", post(async |_: Json<Cancel>| ()))
            .route("/v1/health", get(health))
            .with_state(target.clone());
        tokio::spawn(async { axum::serve(listener, router).await });
        let renewing = target.clone();
        tokio::spawn(async move {
            loop {
                for entry in &entries {
                    post_json(*entry, "/v1/targets", &renewing.announcement).await;
                }
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        });
        target
    }
}

async fn sub(State(target): State<FakeTarget>, Json(sub): Json<Sub>) -> Json<SubAnswer> {
    target.received.lock().subs.push(sub.clone());
    tokio::time::sleep(target.service).await;
    let rows = rows(sub.version, sub.shard, &sub.text);
    Json(SubAnswer {
        id: sub.id,
        index: sub.index,
        version: sub.version,
        shard: sub.shard,
        count: rows.len(),
        rows,
    })
}

async fn run(State(target): State<FakeTarget>, Json(run): Json<Run>) -> Json<RunAnswer> {
    target.received.lock().runs.push(run.clone());
    tokio::time::sleep(target.service).await;
    Json(RunAnswer { id: run.id, result: run.body })
}

async fn health(State(target): State<FakeTarget>) -> Json<Health> {
    Json(Health {
        name: target.announcement.target.name,
        incarnation: target.announcement.target.incarnation,
        cold: false,
        leaving: false,
        in_flight: 0,
    })
}
