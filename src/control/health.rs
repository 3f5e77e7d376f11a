//! Health checks of targets. They tell whether a process that announces itself is the one that has left, and which target has an
//! address.

use std::{net::SocketAddr, pin::pin, time::Duration};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Method, Request, StatusCode, Uri, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use strum::Display;
use tokio::{net::TcpStream, sync::Semaphore, time::timeout};

use crate::state::Target;

/// Time limit of a check. The announcement must be acknowledged within a second, after two commits at most.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Size of the read buffer of a connection, in bytes, and so the longest response header that is accepted.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Number of checks at once.
const MAX_CHECKS: usize = 64;

/// Where targets answer health checks.
pub trait Endpoint: Send + Sync + 'static {
    /// The response header that holds the name of the target.
    const NAME_HEADER: &'static str;

    /// The path at which a target answers 200 while it is healthy and not leaving, according to the document of the route
    /// table. None if it is unknown.
    fn path(&self, document: &str, target: &Target) -> Option<String>;
}

/// Why a target is not known to be healthy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(super) enum Unhealthy {
    #[strum(to_string = "its health check failed with status {0}")]
    Status(StatusCode),
    #[strum(to_string = "another target answered its health check")]
    OtherTarget,
    #[strum(to_string = "its health check named no target")]
    Unnamed,
    #[strum(to_string = "its health check got no response in time")]
    Silent,
    #[strum(to_string = "its health check got no response")]
    Disconnected,
    #[strum(to_string = "no path for health checks is known")]
    NoPath,
    #[strum(to_string = "too many health checks are in progress")]
    Busy,
}

/// Checks the health of targets.
pub(super) struct Checker<E> {
    endpoint: E,
    permits: Semaphore,
}

impl<E: Endpoint> Checker<E> {
    pub(super) fn new(endpoint: E) -> Self {
        Self { endpoint, permits: Semaphore::new(MAX_CHECKS) }
    }

    /// Asks a target whether it is healthy and not leaving.
    pub(super) async fn check(&self, target: &Target, document: &str) -> Result<(), Unhealthy> {
        let path = self.endpoint.path(document, target);
        let uri = path.and_then(|it| Uri::try_from(it).ok()).ok_or(Unhealthy::NoPath)?;
        let _permit = self.permits.try_acquire().map_err(|_| Unhealthy::Busy)?;
        let exchange = exchange(target.addr, uri, E::NAME_HEADER);
        let (status, name) = timeout(TIMEOUT, exchange).await.map_err(|_| Unhealthy::Silent)??;
        match name {
            Some(name) if name != target.name.as_bytes() => Err(Unhealthy::OtherTarget),
            _ if status != StatusCode::OK => Err(Unhealthy::Status(status)),
            None => Err(Unhealthy::Unnamed),
            Some(_) => Ok(()),
        }
    }
}

/// Sends a health check on a connection of its own. Returns the status of the response and the value of a header.
async fn exchange(
    addr: SocketAddr,
    uri: Uri,
    header: &str,
) -> Result<(StatusCode, Option<Vec<u8>>), Unhealthy> {
    let stream = TcpStream::connect(addr).await.map_err(|_| Unhealthy::Disconnected)?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Unhealthy::Disconnected)?;
    let request = Request::builder()
        .method(Method::GET)
        .uri(uri)
        .header(HOST, addr.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|_| Unhealthy::Disconnected)?;
    let mut response = pin!(sender.send_request(request));
    let response = tokio::select! {
        response = &mut response => response,
        // The connection may have read the response before it ends.
        _ = connection => response.await,
    };
    let response = response.map_err(|_| Unhealthy::Disconnected)?;
    let value = response.headers().get(header).map(|it| it.as_bytes().to_vec());
    Ok((response.status(), value))
}
