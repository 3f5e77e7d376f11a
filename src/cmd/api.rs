//! HTTP client for control hosts and entry hosts.

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

/// A control host that does not connect within this time is skipped.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// More than one election, so that a change sent in an election is answered.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a request to the control hosts is repeated: three failovers at the stated 3 s.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause after all control hosts have failed once.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The longest answer accepted: the state at the design size, 12,000 targets, is below 10 MB.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of the operators' HTTP API.
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
    /// Makes a client of these control hosts with the operator's token.
    pub fn new(control: Vec<SocketAddr>, token: &str) -> Result<Self> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut authorization = HeaderValue::from_str(&format!("Bearer {token}"))
            .wrap_err("the operator's token does not fit into a header")?;
        authorization.set_sensitive(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Ok(Self { client, control, authorization })
    }

    /// The control hosts' addresses.
    pub fn control(&self) -> &[SocketAddr] {
        &self.control
    }

    /// The state of the system.
    pub async fn state(&self) -> Result<State> {
        let answer = self.ask_control(Method::GET, "/v1/state", &Bytes::new()).await?;
        decode(&answer)
    }

    /// Sends a change, again under the same id while answers are lost. The answer tells whether it was applied.
    pub async fn change(&self, request: &ChangeRequest) -> Result<ChangeAnswer> {
        let body = Bytes::from(serde_json::to_vec(request)?);
        let sent = self.ask_control(Method::POST, "/v1/changes", &body).await;
        let answer = sent.wrap_err_with(|| {
            let id = &request.id;
            format!("the change may have been applied; repeat the command with --change-id {id}")
        })?;
        if let Ok(answer) = serde_json::from_slice(&answer.body) {
            return Ok(answer);
        }
        decode(&answer)
    }

    /// Events that a control host or entry host has recorded.
    pub async fn events(&self, host: SocketAddr, filter: &Filter) -> Result<Vec<Event>> {
        self.get(host, &events_path(filter)).await
    }

    /// The status of an entry host.
    pub async fn entry_status(&self, host: SocketAddr) -> Result<EntryStatus> {
        self.get(host, "/v1/status").await
    }

    async fn get<T: DeserializeOwned>(&self, host: SocketAddr, path: &str) -> Result<T> {
        decode(&self.ask(host, Method::GET, path, Bytes::new()).await?)
    }

    /// Asks the control hosts in turn until one gives an answer that another could not improve.
    async fn ask_control(&self, method: Method, path: &str, body: &Bytes) -> Result<Answer> {
        let end = Instant::now() + TOTAL_TIMEOUT;
        loop {
            let mut last = eyre!("no control host is known");
            for &host in &self.control {
                match self.ask(host, method.clone(), path, body.clone()).await {
                    Ok(answer) if answer.status.is_server_error() => {
                        last = eyre!("{host}: {}", failure(&answer));
                    }
                    Ok(answer) => return Ok(answer),
                    Err(err) => last = err,
                }
            }
            if Instant::now() + RETRY_PAUSE >= end {
                return Err(last.wrap_err("no control host answered"));
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn ask(
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
        bail!("{}", failure(answer));
    }
    serde_json::from_slice(&answer.body).wrap_err("the answer does not have the expected form")
}

fn failure(answer: &Answer) -> String {
    match serde_json::from_slice::<Failure>(&answer.body) {
        Ok(failure) => format!("{}: {}", failure.error, failure.message),
        Err(_) => format!("HTTP status {}", answer.status),
    }
}

/// The path with the filter; names have no characters that a query string would have to escape.
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
