//! HTTP server for callers.

use std::{
    convert::Infallible,
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::timeout,
};

use crate::{
    inbound::{Listener, Slot, WriteLimit},
    memory::{self, Refusal, SMALL_BYTES},
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
    let mut listener = Listener::with_receive_buffers(listener, host.cfg.receive_bytes());
    loop {
        let (stream, addr) = tokio::select! {
            accepted = listener.accept() => accepted,
            () = host.stop_accepting.notified() => break,
        };
        start_connection(&host, stream, addr.ip());
    }
    let end = Instant::now() + BACKLOG_MAX;
    while Instant::now() < end
        && let Ok((stream, addr)) = timeout(BACKLOG_EMPTY_AFTER, listener.accept()).await
    {
        start_connection(&host, stream, addr.ip());
    }
}

/// Serves a connection, or closes it if there are too many.
fn start_connection(host: &Arc<Host>, stream: TcpStream, caller: IpAddr) {
    if let Some(slot) = host.callers.admit(Instant::now()) {
        tokio::spawn(serve_connection(host.clone(), slot, stream, caller));
    }
}

async fn serve_connection(host: Arc<Host>, slot: Slot, stream: TcpStream, caller: IpAddr) {
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
    let evicted = Arc::<Notify>::default();
    let service = service_fn(|request| {
        let reused = used.swap(true, Ordering::Relaxed);
        handle(
            &host,
            &slot,
            Caller { ip: caller, evicted: &evicted },
            if reused { CallerConnection::Reused } else { CallerConnection::New },
            request,
        )
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(WriteLimit::new(stream)), service);
    tokio::pin!(conn);
    let shutdown = host.close_connections.notified();
    tokio::pin!(shutdown);
    let ended = tokio::select! {
        // Reads first: a connection on which a request has arrived is not idle.
        biased;
        result = conn.as_mut() => Some(result),
        // The caller does not take its response, and the memory is short.
        () = evicted.notified() => return,
        () = &mut shutdown => None,
        // A head that is not complete would keep the connection until its time limit.
        () = slot.close_requested() => {
            if !used.load(Ordering::Relaxed) {
                return;
            }
            None
        }
    };
    let result = match ended {
        Some(result) => result,
        None => {
            conn.as_mut().graceful_shutdown();
            tokio::select! {
                result = conn.as_mut() => result,
                () = evicted.notified() => return,
            }
        }
    };
    if let Err(err) = result {
        log::debug!("event=connection_ended cause={err:?}");
    }
}

/// The caller at the other end of a connection.
#[derive(Clone, Copy)]
struct Caller<'a> {
    ip: IpAddr,
    /// Notified when the connection must be closed to release memory.
    evicted: &'a Arc<Notify>,
}

async fn handle(
    host: &Arc<Host>,
    slot: &Slot,
    caller: Caller<'_>,
    connection: CallerConnection,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let _guard = (slot.start_request(), host.track_request());
    let (head, body) = request.into_parts();
    let limit = usize::try_from(host.view().table.limits.body_bytes).unwrap_or(usize::MAX);
    let body = if body.is_end_stream() {
        Bytes::new()
    } else {
        match memory::collect(&host.memory, caller.ip, body, limit).await {
            Ok(body) => body,
            Err(refusal) => return Ok(refuse(refusal)),
        }
    };
    let response = request::handle(host, connection, head, body).await;
    Ok(hold(host, caller, response).await)
}

/// Builds the response to a request whose body is refused. The rest of the body is not read.
fn refuse(refusal: Refusal) -> Response<Full<Bytes>> {
    let mut response = response::text(refusal.status(), refusal.into(), memory::RETRY_AFTER);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Counts a long response until the caller has taken it.
async fn hold(
    host: &Host,
    caller: Caller<'_>,
    response: Response<Full<Bytes>>,
) -> Response<Full<Bytes>> {
    if response.body().size_hint().lower() <= SMALL_BYTES as u64 {
        return response;
    }
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await;
    let body = host.memory.hold_response(caller.ip, body.to_bytes(), caller.evicted);
    Response::from_parts(head, Full::new(body))
}
