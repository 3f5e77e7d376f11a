//! HTTP server for callers.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::relay::{
    host::Host,
    request::{self, CallerConnection},
    response,
};

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Accepts connections until the future is dropped. Connections that are already open keep running.
pub(super) async fn serve(host: Arc<Host>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        tokio::spawn(serve_connection(host.clone(), stream));
    }
}

/// Accepts the next connection. Errors are logged and the call is repeated.
pub(super) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => {
                log::warn!("event=accept_failed cause={err:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(host: Arc<Host>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("event=connection_ended cause={err:?}");
        return;
    }
    let limits = host.view().table.limits.clone();
    let buffer = usize::try_from(limits.header_bytes).unwrap_or(usize::MAX).max(MIN_BUFFER_BYTES);
    let used = AtomicBool::new(false);
    let service = service_fn(|request| {
        let reused = used.swap(true, Ordering::Relaxed);
        handle(
            &host,
            if reused { CallerConnection::Reused } else { CallerConnection::New },
            request,
        )
    });
    // hyper measures the time for reading a header from the end of the previous response, so the limit must include the
    // idle time.
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms + limits.header_ms))
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let shutdown = host.close_connections.notified();
    tokio::pin!(shutdown);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        () = &mut shutdown => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(err) = result {
        log::debug!("event=connection_ended cause={err:?}");
    }
}

async fn handle(
    host: &Arc<Host>,
    connection: CallerConnection,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let _guard = host.track_request();
    let (head, body) = request.into_parts();
    let limit = usize::try_from(host.view().table.limits.body_bytes).unwrap_or(usize::MAX);
    if body.is_end_stream() {
        return Ok(request::handle(host, connection, head, Bytes::new()).await);
    }
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => {
            let too_long = err.downcast_ref::<LengthLimitError>().is_some();
            let (status, cause) = if too_long {
                (StatusCode::PAYLOAD_TOO_LARGE, "body_too_long")
            } else {
                (StatusCode::BAD_REQUEST, "body_incomplete")
            };
            log::info!("event=refused status={} cause={cause}", status.as_u16());
            return Ok(response::text(status, cause, Duration::ZERO));
        }
    };
    Ok(request::handle(host, connection, head, body).await)
}
