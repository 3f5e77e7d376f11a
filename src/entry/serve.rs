//! Accepts HTTP/1.1 connections and closes them gracefully.

use std::{sync::Arc, time::Duration};

use axum::Router;
use futures::FutureExt;
use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task::JoinSet,
};

use crate::{
    entry::{host::Host, owners::Owners},
    error::Kind,
};

/// How many connections may be open at once. At about 20 KB each they stay under 128 MB.
const MAX_CONNECTIONS: usize = 4_096;

/// How long the head of a request may take to arrive. Closes idle connections too; callers open new ones.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// The largest head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How long idle connections stay open after the listener stopped accepting, so that requests in transit are answered.
/// A connection that is closed with unread data is reset, and the caller cannot tell whether its request ran.
const CLOSE_GRACE: Duration = Duration::from_millis(250);

/// The pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until `closing` is set, then waits until each of them has sent its last response and is closed.
/// Connections beyond [`MAX_CONNECTIONS`] are closed at once.
pub(super) async fn run<O: Owners>(
    host: Arc<Host<O>>,
    listener: TcpListener,
    router: Router,
    mut closing: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            () = wait_closing(&mut closing) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("action=accept result={err:?}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            host.metrics.record_connection(Err(Kind::Overloaded));
            continue;
        };
        host.metrics.record_connection(Ok(()));
        let connection = serve_connection(stream, router.clone(), closing.clone());
        connections.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    // Serves the connections in the backlog, which would be reset when the listener closes.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        connections.spawn(serve_connection(stream, router.clone(), closing.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves one connection. After `closing` is set, waits for a late request, then shuts down after the running one.
async fn serve_connection(stream: TcpStream, router: Router, mut closing: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    tokio::pin!(connection);
    let result = tokio::select! {
        result = &mut connection => result,
        () = wait_closing(&mut closing) => {
            match tokio::time::timeout(CLOSE_GRACE, connection.as_mut()).await {
                Ok(result) => result,
                Err(_) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    if let Err(err) = result {
        log::debug!("action=connection result={err:?}");
    }
}

/// Waits until `closing` is set.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|it| *it).await;
}
