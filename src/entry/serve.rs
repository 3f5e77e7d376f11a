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

/// How many connections are open at once. A connection costs about 20 KB, so this stays under 128 MB.
const MAX_CONNECTIONS: usize = 4_096;

/// How long the head of a request may take to arrive. It also ends idle connections, which callers open again.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// The longest head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How long connections without a request stay open once no more are accepted. A request that is on its way then is
/// answered; a connection that is closed with unread data is reset, which tells a caller nothing.
const CLOSE_GRACE: Duration = Duration::from_millis(250);

/// The pause after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until `closing` is set, then waits until each connection has sent its last answer.
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
    // What is in the backlog by now would be reset with the listener.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        connections.spawn(serve_connection(stream, router.clone(), closing.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

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

async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|it| *it).await;
}
