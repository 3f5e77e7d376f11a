//! HTTP server for callers.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
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
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::{
    inbound::{Listener, Slot},
    relay::{
        host::Host,
        request::{self, CallerConnection},
        response,
    },
};

/// The smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// The backlog counts as empty when no connection was accepted for this time.
const BACKLOG_EMPTY_AFTER: Duration = Duration::from_millis(10);

/// How long connections from the backlog are accepted at most. Callers that go on connecting must not keep the listener
/// open until the process exits.
const BACKLOG_MAX: Duration = Duration::from_millis(50);

/// Accepts connections until `Host::stop_accepting` is signalled, then those that wait in the backlog: closing the
/// listener would reset them, although their requests may have arrived. Connections that are open keep running.
pub(super) async fn serve(host: Arc<Host>, listener: TcpListener) {
    let mut listener = Listener::new(listener);
    loop {
        let stream = tokio::select! {
            (stream, _) = listener.accept() => stream,
            () = host.stop_accepting.notified() => break,
        };
        start_connection(&host, stream);
    }
    let end = Instant::now() + BACKLOG_MAX;
    while Instant::now() < end
        && let Ok((stream, _)) = timeout(BACKLOG_EMPTY_AFTER, listener.accept()).await
    {
        start_connection(&host, stream);
    }
}

/// Serves a connection, or closes it if there are too many.
fn start_connection(host: &Arc<Host>, stream: TcpStream) {
    if let Some(slot) = host.callers.admit(Instant::now()) {
        tokio::spawn(serve_connection(host.clone(), slot, stream));
    }
}

async fn serve_connection(host: Arc<Host>, slot: Slot, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("event=connection_ended cause={err:?}");
        return;
    }
    // Counted from its first byte on, so that a stop waits for a request of which a part has arrived.
    let limits = host.view().table.limits.clone();
    // hyper measures the time for reading a header from the end of the previous response, so the limit must include the
    // idle time.
    let idle = Duration::from_millis(limits.idle_ms.saturating_add(limits.header_ms));
    let mut first = [0];
    let has_request = tokio::select! {
        biased;
        it = timeout(idle, stream.peek(&mut first)) => matches!(it, Ok(Ok(1))),
        () = slot.close_requested() => false,
    };
    if !has_request {
        return;
    }
    let _guard = host.track_connection();
    let buffer = usize::try_from(limits.header_bytes).unwrap_or(usize::MAX).max(MIN_BUFFER_BYTES);
    let used = AtomicBool::new(false);
    let service = service_fn(|request| {
        let reused = used.swap(true, Ordering::Relaxed);
        handle(
            &host,
            &slot,
            if reused { CallerConnection::Reused } else { CallerConnection::New },
            request,
        )
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let shutdown = host.close_connections.notified();
    tokio::pin!(shutdown);
    let ended = tokio::select! {
        // Reads first: a connection on which a request has arrived is not idle.
        biased;
        result = conn.as_mut() => Some(result),
        () = &mut shutdown => None,
        () = slot.close_requested() => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
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
    slot: &Slot,
    connection: CallerConnection,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let _guard = (slot.start_request(), host.track_request());
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
