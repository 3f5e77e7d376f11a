//! HTTP client for the operators' API of control hosts and entry hosts.
//!
//! Requests for the state and for changes are sent to the control hosts in turn until one answers. Requests for events
//! and for the status of an entry host concern one host and are not retried.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::{Result, WrapErr, bail, eyre};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    event::{Event, Filter},
    wire::{
        caller::Failure,
        operator::{ChangeAnswer, ChangeRequest, EntryStatus, State},
    },
};

/// Timeout for connecting to a host. A control host that does not connect in time is skipped.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for one request to one host. Longer than a leader election, so that a change sent during an election is
/// still answered.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a request to the control hosts is retried: three failovers of at most 3 s each. No round of attempts starts
/// after this time.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the next round of attempts, after every control host has failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum size of a response body. At 12,000 targets, the size to design for, the state is below 10 MB.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of the operators' HTTP API. Sends the operator's token with every request.
pub struct Api {
    client: Client<HttpConnector, Full<Bytes>>,
    control: Vec<SocketAddr>,
    authorization: HeaderValue,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Api {
    /// Creates a client for these control hosts with the operator's token.
    pub fn new(control: Vec<SocketAddr>, token: &str) -> Result<Self> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut authorization = HeaderValue::from_str(&format!("Bearer {token}"))
            .wrap_err("the operator's token does not fit into a header")?;
        authorization.set_sensitive(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Ok(Self { client, control, authorization })
    }

    /// The HTTP addresses of the control hosts.
    pub fn control(&self) -> &[SocketAddr] {
        &self.control
    }

    /// Fetches the replicated control state from a control host.
    pub async fn state(&self) -> Result<State> {
        let answer = self.send_to_control(Method::GET, "/v1/state", &Bytes::new()).await?;
        decode(&answer)
    }

    /// Sends a change. If a response is lost, sends it again under the same id, so that it is applied at most once. The
    /// answer says whether it was applied, rejected or in conflict with a newer revision.
    pub async fn change(&self, request: &ChangeRequest) -> Result<ChangeAnswer> {
        let body = Bytes::from(serde_json::to_vec(request)?);
        let result = self.send_to_control(Method::POST, "/v1/changes", &body).await;
        let answer = result.wrap_err_with(|| {
            let id = &request.id;
            format!("the change may have been applied; repeat the command with --change-id {id}")
        })?;
        if let Ok(answer) = serde_json::from_slice(&answer.body) {
            return Ok(answer);
        }
        decode(&answer)
    }

    /// Fetches the recent events of one control host or entry host.
    pub async fn events(&self, host: SocketAddr, filter: &Filter) -> Result<Vec<Event>> {
        self.get(host, &events_path(filter)).await
    }

    /// Fetches the status of one entry host.
    pub async fn entry_status(&self, host: SocketAddr) -> Result<EntryStatus> {
        self.get(host, "/v1/status").await
    }

    async fn get<T: DeserializeOwned>(&self, host: SocketAddr, path: &str) -> Result<T> {
        decode(&self.send(host, Method::GET, path, Bytes::new()).await?)
    }

    /// Sends a request to the control hosts in turn until one answers with a status other than 5xx. Connection errors,
    /// timeouts and 5xx answers are retried on the next host, and after `RETRY_DELAY` on all of them again.
    async fn send_to_control(&self, method: Method, path: &str, body: &Bytes) -> Result<Answer> {
        let deadline = Instant::now() + TOTAL_TIMEOUT;
        loop {
            let mut last_err = eyre!("no control host is known");
            for &host in &self.control {
                match self.send(host, method.clone(), path, body.clone()).await {
                    Ok(answer) if answer.status.is_server_error() => {
                        last_err = eyre!("{host}: {}", failure_message(&answer));
                    }
                    Ok(answer) => return Ok(answer),
                    Err(err) => last_err = err,
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(last_err.wrap_err("no control host answered"));
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Sends one request to one host and reads the whole answer, whatever its status.
    async fn send(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(AUTHORIZATION, &self.authorization)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let exchange = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|err| eyre!(err))?.to_bytes();
            Ok::<_, eyre::Report>(Answer { status, body })
        };
        match timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(answer) => answer.wrap_err_with(|| format!("{host} failed")),
            Err(_) => bail!("{host} did not answer within {REQUEST_TIMEOUT:?}"),
        }
    }
}

fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T> {
    if !answer.status.is_success() {
        bail!("{}", failure_message(answer));
    }
    serde_json::from_slice(&answer.body).wrap_err("the answer does not have the expected form")
}

/// Describes an answer that is not a success: its error kind and message, or only the HTTP status.
fn failure_message(answer: &Answer) -> String {
    match serde_json::from_slice::<Failure>(&answer.body) {
        Ok(failure) => format!("{}: {}", failure.error, failure.message),
        Err(_) => format!("HTTP status {}", answer.status),
    }
}

/// The request path for events, with the filter as query string. Names contain no characters that need escaping.
fn events_path(filter: &Filter) -> String {
    let mut path = format!("/v1/events?since_ms={}", filter.since_ms);
    let fields = [("request", &filter.request), ("target", &filter.target), ("zone", &filter.zone)];
    for (key, value) in fields {
        if let Some(value) = value {
            path.push_str(&format!("&{key}={value}"));
        }
    }
    path
}
