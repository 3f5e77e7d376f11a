//! A caller: it knows some entry hosts, asks them for the current list, and goes to another one if a request was not
//! run.

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

/// How much longer than its deadline a caller waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_millis(300);

/// How long the list of entry hosts may take.
const ENTRIES_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How a call failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The system reports a failure.
    #[error("{error}, {outcome}: {message}")]
    Failed {
        /// What went wrong.
        error: Kind,
        /// Whether the request ran.
        outcome: Outcome,
        /// Details.
        message: String,
    },
    /// No entry host could be reached, so that the request did not run.
    #[error("no entry host: {0}")]
    Unreachable(String),
    /// The connection broke or no answer came, so that the request may have run.
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

    /// What the system reports, if it does.
    pub fn kind(&self) -> Option<Kind> {
        match self {
            Self::Failed { error, .. } => Some(*error),
            Self::Unreachable(_) | Self::Broken(_) => None,
        }
    }

    /// Whether another entry host may do better.
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

struct EntryList {
    addresses: Vec<SocketAddr>,
    expires: Instant,
}

/// A caller of the system.
pub struct Caller {
    name: String,
    seeds: Vec<SocketAddr>,
    list: Mutex<EntryList>,
    client: Client,
}

impl Caller {
    /// Makes a caller that starts with these addresses.
    pub fn new(name: &str, seeds: Vec<SocketAddr>) -> Self {
        let list = EntryList { addresses: Vec::new(), expires: Instant::now() };
        Self { name: name.into(), seeds, list: Mutex::new(list), client: Client::default() }
    }

    /// Sends a query. It goes to another entry host after a failure, also after one that may have run, because
    /// queries may be repeated.
    pub async fn query(&self, query: &Query) -> Result<Answer, Error> {
        let may_retry =
            |err: &Error| err.may_succeed_elsewhere() || matches!(err, Error::Broken(_));
        self.call("/v1/query", query, query.deadline_ms, may_retry).await
    }

    /// Sends a request that may not be repeated. It goes to another entry host only if it did not run.
    pub async fn dispatch(&self, dispatch: &Dispatch) -> Result<Dispatched, Error> {
        self.call("/v1/dispatch", dispatch, dispatch.deadline_ms, Error::may_succeed_elsewhere)
            .await
    }

    /// The entry hosts to use now, in order. The list is fetched again once it is too old.
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

    /// Forgets the list of entry hosts.
    pub fn clear_entries(&self) {
        self.list.lock().addresses.clear();
    }

    /// Sends a request to one entry host.
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
