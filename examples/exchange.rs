//! Measures the CPU time that a client spends per sub-request when one HTTP/1.1 request carries several of them:
//! `cargo run --release --example exchange`. Server and client run on one thread each; only the CPU time of the client's
//! thread is counted.

use std::{net::SocketAddr, thread, time::Instant};

use axum::{Json, Router, routing::post};
use bytes::Bytes;
use gentianpass::wire::{
    caller::Row,
    target::{Sub, SubAnswer},
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Builder,
    task::JoinSet,
};

const CONNECTIONS: usize = 32;
const SUB_REQUESTS: usize = 192_000;
const BATCH_SIZES: [usize; 5] = [1, 2, 4, 8, 16];

fn main() {
    let (tx, rx) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let rt = Builder::new_current_thread().enable_all().build().expect("runtime");
        rt.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
            tx.send(listener.local_addr().expect("address")).expect("client waits");
            let app = Router::new().route("/v1/subs", post(answer));
            axum::serve(listener, app).await.expect("server");
        });
    });
    let addr = rx.recv().expect("server address");
    let rt = Builder::new_current_thread().enable_all().build().expect("runtime");
    for size in BATCH_SIZES {
        rt.block_on(run(addr, size, SUB_REQUESTS / 10));
        let (cpu, start) = (thread_cpu_ns(), Instant::now());
        rt.block_on(run(addr, size, SUB_REQUESTS));
        let cpu_us = (thread_cpu_ns() - cpu) as f64 / 1e3 / SUB_REQUESTS as f64;
        println!(
            "sub_requests_per_message={size} client_cpu_us_per_sub_request={cpu_us:.2} wall_ms={}",
            start.elapsed().as_millis()
        );
    }
}

async fn answer(Json(subs): Json<Vec<Sub>>) -> Json<Vec<SubAnswer>> {
    let answer = |sub: Sub| SubAnswer {
        id: sub.id,
        index: sub.index,
        version: sub.version,
        shard: sub.shard,
        count: 1,
        rows: vec![Row { id: sub.id, text: "McKenzie A. rack 14 slot 3".into() }],
    };
    Json(subs.into_iter().map(answer).collect())
}

/// Sends the sub-requests over all connections, in messages of `size` each.
async fn run(addr: SocketAddr, size: usize, sub_requests: usize) {
    let messages = sub_requests / size / CONNECTIONS;
    let mut tasks = JoinSet::new();
    for _ in 0..CONNECTIONS {
        tasks.spawn(run_connection(addr, size, messages));
    }
    while let Some(done) = tasks.join_next().await {
        done.expect("connection");
    }
}

async fn run_connection(addr: SocketAddr, size: usize, messages: usize) {
    let stream = TcpStream::connect(addr).await.expect("connect");
    stream.set_nodelay(true).expect("option");
    let (mut tx, conn) = http1::handshake(TokioIo::new(stream)).await.expect("handshake");
    tokio::spawn(conn);
    for message in 0..messages {
        let subs: Vec<_> = (0..size).map(|i| sub((message * size + i) as u64)).collect();
        let body = Full::new(Bytes::from(serde_json::to_vec(&subs).expect("body")));
        let request = Request::post("/v1/subs")
            .header("host", "target")
            .header("content-type", "application/json")
            .body(body)
            .expect("request");
        let answer = tx.send_request(request).await.expect("answer");
        let body = answer.into_body().collect().await.expect("body").to_bytes();
        let answers: Vec<SubAnswer> = serde_json::from_slice(&body).expect("answers");
        assert_eq!(answers.len(), size);
    }
}

fn sub(id: u64) -> Sub {
    Sub {
        id,
        index: "labels".into(),
        version: 7,
        shard: (id % 860) as u32,
        kind: "label-search".into(),
        text: "mckenzie".into(),
        deadline_ms: 110,
    }
}

/// CPU time of the current thread, in nanoseconds; 0 if the kernel does not report it.
fn thread_cpu_ns() -> u64 {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    stat.split(' ').next().and_then(|it| it.parse().ok()).unwrap_or(0)
}
