//! The operators' HTTP API of a control host.

use std::{
    hint::black_box,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, FromRequest, Query, Request, State},
    http::{HeaderMap, StatusCode, header::AUTHORIZATION},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use tokio::{net::TcpListener, sync::oneshot};
use uuid::Uuid;

use crate::{
    control::host::Host,
    error::{Error, Kind, Outcome},
    event,
    raft::{self, MemberId},
    state::{Change, Group, Reply, Selector},
    wire::{
        MAX_BODY_BYTES,
        caller::Failure,
        control::Submit,
        operator::{self, ChangeAnswer, ChangeRequest, Member, ObjectLabels},
    },
};

/// How long an operator's change is sent again.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(4);

/// The pause before a change is sent again.
const SUBMIT_PAUSE: Duration = Duration::from_millis(50);

/// Serves operators until it is told to stop; then running requests end.
pub async fn serve(
    host: Arc<Host>,
    listen: SocketAddr,
    stop: oneshot::Receiver<()>,
) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let stopped = async || drop(stop.await);
    axum::serve(listener, router(host)).with_graceful_shutdown(stopped()).await
}

fn router(host: Arc<Host>) -> Router {
    let operators = Router::new()
        .route("/v1/state", get(state))
        .route("/v1/labels", get(labels))
        .route("/v1/groups", get(groups))
        .route("/v1/selectors", get(selectors))
        .route("/v1/changes", post(change))
        .route("/v1/events", get(events))
        .layer(middleware::from_fn_with_state(host.clone(), authorize))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES));
    Router::new()
        .route("/metrics", get(metrics))
        .route("/healthz", get(healthz))
        .merge(operators)
        .fallback(async || Refusal::from(Error::new(Kind::NotFound, "there is no such path")))
        .with_state(host)
}

/// An error as the answer to an operator.
struct Refusal(Error, Outcome);

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let Error { kind, message } = self.0;
        let body = Failure { request_id: None, error: kind, outcome: self.1, message };
        (status(kind), Json(body)).into_response()
    }
}

impl From<Error> for Refusal {
    fn from(err: Error) -> Self {
        let outcome = err.kind.outcome();
        Self(err, outcome)
    }
}

async fn authorize(
    State(host): State<Arc<Host>>,
    headers: HeaderMap,
    request: Request,
    next: Next,
) -> Response {
    let sent = headers.get(AUTHORIZATION).map_or(&b""[..], |it| it.as_bytes());
    let token = sent.strip_prefix(b"Bearer ").unwrap_or_default();
    if !same_token(token, host.cfg.operator_token.as_bytes()) {
        let err = Error::new(Kind::Unauthorized, "the bearer token is missing or wrong");
        return Refusal::from(err).into_response();
    }
    next.run(request).await
}

/// Compares in a time that depends on the lengths alone.
fn same_token(sent: &[u8], expected: &[u8]) -> bool {
    let different = sent.iter().zip(expected).fold(0, |acc, (a, b)| black_box(acc | (a ^ b)));
    sent.len() == expected.len() && different == 0
}

async fn state(State(host): State<Arc<Host>>) -> Result<Json<operator::State>, Refusal> {
    Ok(Json(current(&host).await?))
}

async fn labels(State(host): State<Arc<Host>>) -> Result<Json<Vec<ObjectLabels>>, Refusal> {
    Ok(Json(current(&host).await?.labels))
}

async fn groups(State(host): State<Arc<Host>>) -> Result<Json<Vec<Group>>, Refusal> {
    Ok(Json(current(&host).await?.groups))
}

async fn selectors(State(host): State<Arc<Host>>) -> Result<Json<Vec<Selector>>, Refusal> {
    Ok(Json(current(&host).await?.selectors))
}

/// The state, confirmed by a quorum after the request arrived.
async fn current(host: &Host) -> Result<operator::State, Error> {
    host.confirm(Vec::new()).await?;
    let members = members(host);
    Ok(host.read(|tables| operator::State::new(&tables.config, members)))
}

async fn change(
    State(host): State<Arc<Host>>,
    request: Request,
) -> Result<(StatusCode, Json<ChangeAnswer>), Refusal> {
    let body = Bytes::from_request(request, &()).await.map_err(|err| {
        let too_large = err.status() == StatusCode::PAYLOAD_TOO_LARGE;
        let kind = if too_large { Kind::TooLarge } else { Kind::BadRequest };
        Error::new(kind, err.body_text())
    })?;
    let bad_request = |err: String| Error::new(Kind::BadRequest, err);
    let request: ChangeRequest =
        serde_json::from_slice(&body).map_err(|err| bad_request(err.to_string()))?;
    let id = Uuid::parse_str(&request.id)
        .map_err(|err| bad_request(format!("id {:?} is not a UUID: {err}", request.id)))?;
    let submit =
        Submit { id: id.as_u128(), base: Some(request.base), change: Change::from(request.edit) };
    let reply = submit_until(&host, submit).await.map_err(unsure)?;
    if let Reply::Applied { revision } = reply {
        host.reach(revision).await;
    }
    Ok(answer(&host, reply))
}

/// Sends a change again under the same id while no leader is known or the leader changes.
async fn submit_until(host: &Host, submit: Submit) -> Result<Reply, Error> {
    let end = Instant::now() + SUBMIT_TIMEOUT;
    loop {
        match host.submit(submit.clone()).await {
            Err(err) if err.kind == Kind::NoQuorum && Instant::now() < end => {
                tokio::time::sleep(SUBMIT_PAUSE).await;
            }
            result => return result,
        }
    }
}

/// Without an answer from a quorum a change may have been committed.
fn unsure(err: Error) -> Refusal {
    let outcome = if err.kind == Kind::NoQuorum { Outcome::Unknown } else { err.kind.outcome() };
    Refusal(err, outcome)
}

fn answer(host: &Host, reply: Reply) -> (StatusCode, Json<ChangeAnswer>) {
    let (reached, current) = host.read(|it| (it.config.revision, it.config.operator_revision));
    let refused = |operator_revision, err: Error| {
        let Error { kind, message } = err;
        let answer =
            ChangeAnswer { revision: reached, operator_revision, error: Some(kind), message };
        (status(kind), Json(answer))
    };
    match reply {
        Reply::Applied { revision } => {
            // A later change must not enter the answer, else the next change would overwrite it unseen. While this host
            // lags, the change itself is taken for the last one.
            let lags = reached < revision;
            let operator_revision = if lags { revision } else { current.min(revision) };
            let message = String::new();
            (
                StatusCode::OK,
                Json(ChangeAnswer { revision, operator_revision, error: None, message }),
            )
        }
        Reply::Conflict { current } => {
            let message = format!("the operator revision is {current}");
            refused(current, Error::new(Kind::Conflict, message))
        }
        Reply::Rejected(err) => refused(current, err),
        Reply::Granted | Reply::Claimed { .. } => refused(current, Kind::Internal.into()),
    }
}

async fn events(
    State(host): State<Arc<Host>>,
    filter: Result<Query<event::Filter>, axum::extract::rejection::QueryRejection>,
) -> Result<Json<Vec<event::Event>>, Refusal> {
    let Query(filter) = filter.map_err(|err| Error::new(Kind::BadRequest, err.body_text()))?;
    Ok(Json(host.events.find(&filter)))
}

async fn metrics(State(host): State<Arc<Host>>) -> String {
    host.metrics.registry.render()
}

async fn healthz() -> &'static str {
    "ok\n"
}

fn status(kind: Kind) -> StatusCode {
    StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn members(host: &Host) -> Vec<Member> {
    let standing = host.standing();
    let leader = standing.leader.map(|(id, _)| id);
    let role = |id: &MemberId, it: &raft::Member| match it.voter {
        _ if leader == Some(*id) => "leader",
        true => "voter",
        false => "learner",
    };
    let member = |(id, it): (&MemberId, &raft::Member)| Member {
        id: Uuid::from_u128(*id).to_string(),
        name: it.name.clone(),
        zone: it.zone.clone(),
        rpc: it.rpc,
        role: role(id, it).into(),
    };
    standing.membership.members.iter().map(member).collect()
}
