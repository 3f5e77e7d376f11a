//! HTTP/1.1 client for JSON requests, for callers, operators, targets and the launcher.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client as Legacy, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::wire::MAX_BODY_BYTES;

/// How long an attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How a request failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request was not sent: the connection failed, or the request could not be built or encoded.
    #[error("no connection: {0}")]
    Connect(String),
    /// The connection broke, or the answer could not be read or decoded.
    #[error("no answer: {0}")]
    Broken(String),
    /// No complete answer within the timeout.
    #[error("timeout")]
    Timeout,
    /// An answer with an error status.
    #[error("status {0}: {1}")]
    Status(StatusCode, String),
}

/// An HTTP client with a connection pool. It never repeats a request by itself.
#[derive(Clone)]
pub struct Client {
    inner: Legacy<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Legacy::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }
}

impl Client {
    /// Sends a request and returns the status and the body. `headers` are pairs of name and value.
    pub async fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request =
            request.body(Full::new(body)).map_err(|err| Error::Connect(err.to_string()))?;
        let exchange = async {
            let answer = self.inner.request(request).await.map_err(|err| {
                let text = format!("{err:?}");
                if err.is_connect() { Error::Connect(text) } else { Error::Broken(text) }
            })?;
            let status = answer.status();
            // An answer is one internal frame of at most MAX_BODY_BYTES; the quotes and escapes of JSON make the HTTP
            // body longer.
            let body = Limited::new(answer.into_body(), 8 * MAX_BODY_BYTES);
            let body = body.collect().await.map_err(|err| Error::Broken(err.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(Error::Timeout))
    }

    /// Posts a JSON body and decodes the JSON answer.
    pub async fn post<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<A, Error> {
        let (status, body) =
            self.send(Method::POST, addr, path, &[], encode(body)?, timeout).await?;
        decode(status, &body)
    }

    /// Gets and decodes a JSON answer.
    pub async fn get<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<A, Error> {
        let (status, body) = self.send(Method::GET, addr, path, &[], Bytes::new(), timeout).await?;
        decode(status, &body)
    }
}

/// Encodes a body as JSON.
pub fn encode(body: &impl Serialize) -> Result<Bytes, Error> {
    serde_json::to_vec(body).map(Bytes::from).map_err(|err| Error::Connect(err.to_string()))
}

/// Decodes the JSON body of an answer; an error status gives [`Error::Status`].
pub fn decode<A: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<A, Error> {
    if !status.is_success() {
        return Err(Error::Status(status, String::from_utf8_lossy(body).into()));
    }
    serde_json::from_slice(body).map_err(|err| Error::Broken(err.to_string()))
}
