//! Client of the operators' HTTP API of the control hosts.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::Method;
use uuid::Uuid;

use crate::{
    error::{Error, Kind},
    event,
    lab::http::{self, Client},
    state::{Group, Match, Object, Revision, Selector},
    wire::{
        caller::Failure,
        operator::{ChangeAnswer, ChangeRequest, Edit, State},
    },
};

/// How long one control host may take to answer.
const HOST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a change is retried.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause before all control hosts are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A client with an operator token.
pub struct Operator {
    control_hosts: Vec<SocketAddr>,
    authorization: String,
    client: Client,
}

impl Operator {
    /// Makes a client of these control hosts.
    pub fn new(control_hosts: Vec<SocketAddr>, token: &str) -> Self {
        Self { control_hosts, authorization: format!("Bearer {token}"), client: Client::default() }
    }

    /// The state as operators see it, from the first control host that answers.
    pub async fn state(&self) -> Result<State, Error> {
        let mut last = Error::new(Kind::NoQuorum, "no control host answered");
        for &addr in &self.control_hosts {
            match self.send(addr, Method::GET, "/v1/state", bytes::Bytes::new()).await {
                Ok(state) => return Ok(state),
                Err(err) => last = err,
            }
        }
        Err(last)
    }

    /// The recent events of one control host.
    pub async fn events(&self, addr: SocketAddr) -> Result<Vec<event::Event>, Error> {
        self.send(addr, Method::GET, "/v1/events", bytes::Bytes::new()).await
    }

    /// Makes a change based on the current operator revision. After a conflict, or while there is no quorum, it reads
    /// the revision again and retries with a new change id.
    pub async fn edit(&self, edit: Edit) -> Result<Revision, Error> {
        let end = Instant::now() + CHANGE_TIMEOUT;
        loop {
            let result = match self.state().await {
                Ok(state) => self.edit_on(state.operator_revision, edit.clone()).await,
                Err(err) => Err(err),
            };
            match result {
                Ok(answer) => return Ok(answer.revision),
                Err(err) if err.kind != Kind::Conflict && err.kind != Kind::NoQuorum => {
                    return Err(err);
                }
                Err(err) if Instant::now() > end => return Err(err),
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Makes a change based on this operator revision. All attempts use the same change id, so that the change is
    /// made at most once.
    pub async fn edit_on(&self, base: Revision, edit: Edit) -> Result<ChangeAnswer, Error> {
        let id = Uuid::new_v4().to_string();
        self.send_change(&ChangeRequest { id, base, edit }).await
    }

    /// Sends a change to the control hosts in turn, until one answers with a result other than [`Kind::NoQuorum`].
    pub async fn send_change(&self, request: &ChangeRequest) -> Result<ChangeAnswer, Error> {
        let body =
            http::encode(request).map_err(|err| Error::new(Kind::BadRequest, err.to_string()))?;
        let end = Instant::now() + CHANGE_TIMEOUT;
        loop {
            let mut last = Error::new(Kind::NoQuorum, "no control host answered");
            for &addr in &self.control_hosts {
                match self.send(addr, Method::POST, "/v1/changes", body.clone()).await {
                    Err(err) if err.kind == Kind::NoQuorum => last = err,
                    answer => return answer,
                }
            }
            if Instant::now() > end {
                return Err(last);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Sets a label of an object, written `KIND/NAME`.
    pub async fn set_label(&self, object: &str, key: &str, value: &str) -> Result<Revision, Error> {
        let object: Object = object.parse()?;
        self.edit(Edit::SetLabel { object, key: key.into(), value: value.into() }).await
    }

    /// Removes a label of an object, written `KIND/NAME`.
    pub async fn remove_label(&self, object: &str, key: &str) -> Result<Revision, Error> {
        let object: Object = object.parse()?;
        self.edit(Edit::RemoveLabel { object, key: key.into() }).await
    }

    /// Creates a group of the targets with this `service` label, and a selector that admits all callers to it with
    /// these kinds.
    pub async fn admit_all(&self, service: &str, index: &str, kinds: &[&str]) -> Result<(), Error> {
        let targets = Match([("service".to_owned(), service.to_owned())].into());
        let group = Group { name: service.into(), index: index.into(), targets };
        self.edit(Edit::PutGroup(group)).await?;
        let selector = Selector {
            name: service.into(),
            callers: Match::default(),
            kinds: kinds.iter().map(|&it| it.to_owned()).collect(),
            group: service.into(),
        };
        self.edit(Edit::PutSelector(selector)).await.map(drop)
    }

    /// Sends a request to one control host. If there is no readable answer, the error is [`Kind::NoQuorum`], so that
    /// callers try the next host.
    async fn send<A: serde::de::DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: bytes::Bytes,
    ) -> Result<A, Error> {
        let unreachable = |err: http::Error| Error::new(Kind::NoQuorum, err.to_string());
        let headers = [("authorization", self.authorization.as_str())];
        let sent = self.client.send(method, addr, path, &headers, body, HOST_TIMEOUT).await;
        let (status, body) = sent.map_err(unreachable)?;
        if status.is_success() {
            return http::decode(status, &body).map_err(unreachable);
        }
        if let Ok(answer) = serde_json::from_slice::<ChangeAnswer>(&body) {
            return Err(Error::new(answer.error.unwrap_or(Kind::Internal), answer.message));
        }
        match serde_json::from_slice::<Failure>(&body) {
            Ok(failure) => Err(Error::new(failure.error, failure.message)),
            Err(_) => Err(Error::new(Kind::Internal, format!("{addr} answered {status}"))),
        }
    }
}
