//! A client of the system as a caller would write it. It starts from a few known entry hosts, fetches the current
//! list of entry hosts from one of them, and tries the next entry host if a request was not run.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::{Method, StatusCode};
use parking_lot::Mutex;
use rand::random;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    error::{Kind, Outcome},
    lab::http::{self, Client},
    wire::caller::{Answer, CALLER_HEADER, Dispatch, Dispatched, Entries, Failure, Query},
};

/// How much longer than the deadline of a request the client waits for its answer.
const ANSWER_GRACE: Duration = Duration::from_millis(300);

/// How long one entry host may take to send the list of entry hosts.
const ENTRIES_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How a call failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The system answered with an error.
    #[error("{error}, {outcome}: {message}")]
    Failed {
        /// What went wrong.
        error: Kind,
        /// Whether the request ran.
        outcome: Outcome,
        /// Details.
        message: String,
    },
    /// The request was not sent: it could not be encoded, or no entry host accepted a connection. It did not run.
    #[error("no entry host reachable: {0}")]
    Unreachable(String),
    /// The connection broke, no answer came in time, or the answer could not be decoded. The request may have run.
    #[error("no answer: {0}")]
    Broken(String),
}

impl Error {
    /// Whether the request ran.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Failed { outcome, .. } => *outcome,
            Self::Unreachable(_) => Outcome::NotRun,
            Self::Broken(_) => Outcome::Unknown,
        }
    }

    /// The error kind in the answer; none if there was no answer.
    pub fn kind(&self) -> Option<Kind> {
        match self {
            Self::Failed { error, .. } => Some(*error),
            Self::Unreachable(_) | Self::Broken(_) => None,
        }
    }

    /// Whether another entry host can run the request: this one was unreachable, or did not run it for a reason that
    /// is local to the host.
    fn may_succeed_elsewhere(&self) -> bool {
        match self {
            Self::Failed { error, outcome, .. } => {
                *outcome == Outcome::NotRun
                    && matches!(error, Kind::NoLease | Kind::Leaving | Kind::NoQuorum)
            }
            Self::Unreachable(_) => true,
            Self::Broken(_) => false,
        }
    }
}

/// The cached list of entry hosts. An empty list is fetched again.
struct EntryList {
    addresses: Vec<SocketAddr>,
    expires: Instant,
}

/// A client with a caller name and a cached list of entry hosts.
pub struct Caller {
    name: String,
    seeds: Vec<SocketAddr>,
    list: Mutex<EntryList>,
    client: Client,
}

impl Caller {
    /// Makes a client that fetches the list of entry hosts from `seeds`.
    pub fn new(name: &str, seeds: Vec<SocketAddr>) -> Self {
        let list = EntryList { addresses: Vec::new(), expires: Instant::now() };
        Self { name: name.into(), seeds, list: Mutex::new(list), client: Client::default() }
    }

    /// Sends a query. It tries the next entry host if this one cannot run the query, and also if no answer came,
    /// since a query may run twice.
    pub async fn query(&self, query: &Query) -> Result<Answer, Error> {
        let may_retry =
            |err: &Error| err.may_succeed_elsewhere() || matches!(err, Error::Broken(_));
        self.call("/v1/query", query, query.deadline_ms, may_retry).await
    }

    /// Sends a request that must not run twice. It tries the next entry host only if this one certainly did not run
    /// it.
    pub async fn dispatch(&self, dispatch: &Dispatch) -> Result<Dispatched, Error> {
        self.call("/v1/dispatch", dispatch, dispatch.deadline_ms, Error::may_succeed_elsewhere)
            .await
    }

    /// The entry hosts to use now, in order of preference. The list is fetched from a seed, starting at a random one,
    /// and cached until its TTL expires. If no seed answers, the seeds themselves are used.
    pub async fn entries(&self) -> Vec<SocketAddr> {
        {
            let list = self.list.lock();
            if list.expires > Instant::now() && !list.addresses.is_empty() {
                return list.addresses.clone();
            }
        }
        let first = random::<u32>() as usize % self.seeds.len().max(1);
        for i in 0..self.seeds.len() {
            let addr = self.seeds[(first + i) % self.seeds.len()];
            if let Ok(entries) = self.fetch_entries(addr).await
                && !entries.addresses.is_empty()
            {
                let expires = Instant::now() + Duration::from_millis(entries.ttl_ms);
                *self.list.lock() = EntryList { addresses: entries.addresses.clone(), expires };
                return entries.addresses;
            }
        }
        self.seeds.clone()
    }

    /// Clears the cached list, so that the next request fetches it again.
    pub fn clear_entries(&self) {
        self.list.lock().addresses.clear();
    }

    /// Sends a request to one entry host, without trying others.
    pub async fn call_at<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<A, Error> {
        let body = http::encode(body).map_err(|err| Error::Unreachable(err.to_string()))?;
        let headers = [(CALLER_HEADER, self.name.as_str())];
        let sent = self.client.send(Method::POST, addr, path, &headers, body, timeout).await;
        let (status, body) = sent.map_err(|err| match err {
            http::Error::Connect(err) => Error::Unreachable(err),
            other => Error::Broken(other.to_string()),
        })?;
        decode_answer(status, &body)
    }

    async fn fetch_entries(&self, addr: SocketAddr) -> Result<Entries, http::Error> {
        let headers = [(CALLER_HEADER, self.name.as_str())];
        let body = bytes::Bytes::new();
        let sent = self
            .client
            .send(Method::GET, addr, "/v1/entries", &headers, body, ENTRIES_TIMEOUT)
            .await;
        let (status, body) = sent?;
        http::decode(status, &body)
    }

    async fn call<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        deadline_ms: u64,
        may_retry: impl Fn(&Error) -> bool,
    ) -> Result<A, Error> {
        let end = Instant::now() + Duration::from_millis(deadline_ms) + ANSWER_GRACE;
        let mut last = Error::Unreachable("the list of entry hosts is empty".into());
        for addr in self.entries().await {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            match self.call_at(addr, path, body, left).await {
                Err(err) if may_retry(&err) => {
                    self.clear_entries();
                    last = err;
                }
                answer => return answer,
            }
        }
        Err(last)
    }
}

fn decode_answer<A: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<A, Error> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|err| Error::Broken(err.to_string()));
    }
    match serde_json::from_slice::<Failure>(body) {
        Ok(it) => Err(Error::Failed { error: it.error, outcome: it.outcome, message: it.message }),
        Err(_) => Err(Error::Broken(format!("{status} {}", String::from_utf8_lossy(body)))),
    }
}
