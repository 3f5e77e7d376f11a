//! HTTP API of a control host for operators: state, changes and events, which need the bearer token, and the open paths
//! for metrics and health.

use std::{
    hint::black_box,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::{ConnectInfo, Query, Request, State},
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
    inbound::{self, HttpListener, Peer},
    memory::{self, Refusal},
    raft::{self, MemberId},
    state::{Change, Group, Reply, Selector},
    wire::{
        MAX_BODY_BYTES,
        caller::Failure,
        control::Submit,
        operator::{self, ChangeAnswer, ChangeRequest, Member, ObjectLabels},
    },
};

/// How long an operator's change is retried while no leader is available.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay between two attempts to submit a change.
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves requests until `stop` fires, then finishes the requests in progress.
pub async fn serve(
    host: Arc<Host>,
    listen: SocketAddr,
    stop: oneshot::Receiver<()>,
) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let max = host.cfg.max_operators();
    let receive_bytes = memory::receive_bytes(host.cfg.memory_mb, max);
    let listener = HttpListener::new(listener, "operators", max, receive_bytes);
    inbound::serve(listener, router(host), async { drop(stop.await) }).await;
    Ok(())
}

fn router(host: Arc<Host>) -> Router {
    let operators = Router::new()
        .route("/v1/state", get(state))
        .route("/v1/labels", get(labels))
        .route("/v1/groups", get(groups))
        .route("/v1/selectors", get(selectors))
        .route("/v1/changes", post(change))
        .route("/v1/events", get(events))
        .layer(middleware::from_fn_with_state(host.clone(), authorize));
    Router::new()
        .route("/metrics", get(metrics))
        .route("/healthz", get(healthz))
        .merge(operators)
        .fallback(async || ErrorResponse::from(Error::new(Kind::NotFound, "there is no such path")))
        .with_state(host)
}

/// An error response, with the outcome of the request.
struct ErrorResponse(Error, Outcome);

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        let Error { kind, message } = self.0;
        let body = Failure { request_id: None, error: kind, outcome: self.1, message };
        (status(kind), Json(body)).into_response()
    }
}

impl From<Error> for ErrorResponse {
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
    let received = headers.get(AUTHORIZATION).map_or(&b""[..], |it| it.as_bytes());
    let token = received.strip_prefix(b"Bearer ").unwrap_or_default();
    if !constant_time_eq(token, host.cfg.operator_token.as_bytes()) {
        let err = Error::new(Kind::Unauthorized, "the bearer token is missing or wrong");
        return ErrorResponse::from(err).into_response();
    }
    next.run(request).await
}

/// Compares two tokens in a time that depends on their lengths alone, so that timing does not reveal a matching prefix.
/// `black_box` keeps the compiler from ending the loop early.
fn constant_time_eq(received: &[u8], expected: &[u8]) -> bool {
    let different = received.iter().zip(expected).fold(0, |acc, (a, b)| black_box(acc | (a ^ b)));
    received.len() == expected.len() && different == 0
}

async fn state(State(host): State<Arc<Host>>) -> Result<Json<operator::State>, ErrorResponse> {
    Ok(Json(current_state(&host).await?))
}

async fn labels(State(host): State<Arc<Host>>) -> Result<Json<Vec<ObjectLabels>>, ErrorResponse> {
    Ok(Json(current_state(&host).await?.labels))
}

async fn groups(State(host): State<Arc<Host>>) -> Result<Json<Vec<Group>>, ErrorResponse> {
    Ok(Json(current_state(&host).await?.groups))
}

async fn selectors(State(host): State<Arc<Host>>) -> Result<Json<Vec<Selector>>, ErrorResponse> {
    Ok(Json(current_state(&host).await?.selectors))
}

/// A linearizable read of the state: it contains every change that was committed before the request arrived.
async fn current_state(host: &Host) -> Result<operator::State, Error> {
    host.read_barrier(Vec::new()).await?;
    let members = cluster_members(host);
    Ok(host.with_tables(|tables| operator::State::new(&tables.config, members)))
}

async fn change(
    State(host): State<Arc<Host>>,
    ConnectInfo(peer): ConnectInfo<Peer>,
    request: Request,
) -> Result<(StatusCode, Json<ChangeAnswer>), ErrorResponse> {
    let body = memory::collect(&host.memory, peer.ip(), request.into_body(), MAX_BODY_BYTES).await;
    let body = body.map_err(|refusal| Error::new(refusal_kind(refusal), <&str>::from(refusal)))?;
    let bad_request = |err: String| Error::new(Kind::BadRequest, err);
    let request: ChangeRequest =
        serde_json::from_slice(&body).map_err(|err| bad_request(err.to_string()))?;
    let id = Uuid::parse_str(&request.id)
        .map_err(|err| bad_request(format!("id {:?} is not a UUID: {err}", request.id)))?;
    let submit =
        Submit { id: id.as_u128(), base: Some(request.base), change: Change::from(request.edit) };
    let reply = submit_with_retries(&host, submit).await.map_err(submit_error)?;
    if let Reply::Applied { revision } = reply {
        host.wait_for_revision(revision).await;
    }
    Ok(change_response(&host, reply))
}

fn refusal_kind(refusal: Refusal) -> Kind {
    match refusal {
        Refusal::BodyTooLong => Kind::TooLarge,
        Refusal::BodyTooSlow | Refusal::BodyIncomplete => Kind::BadRequest,
        Refusal::MemoryShort => Kind::Overloaded,
    }
}

/// Submits a change, and retries under the same id while there is no leader or the leader changes.
async fn submit_with_retries(host: &Host, submit: Submit) -> Result<Reply, Error> {
    let end = Instant::now() + SUBMIT_TIMEOUT;
    loop {
        match host.submit(submit.clone()).await {
            Err(err) if err.kind == Kind::NoQuorum && Instant::now() < end => {
                tokio::time::sleep(SUBMIT_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// Reports the outcome as unknown after `NoQuorum`: the change may have been committed although no reply arrived.
fn submit_error(err: Error) -> ErrorResponse {
    let outcome = if err.kind == Kind::NoQuorum { Outcome::Unknown } else { err.kind.outcome() };
    ErrorResponse(err, outcome)
}

fn change_response(host: &Host, reply: Reply) -> (StatusCode, Json<ChangeAnswer>) {
    let (local_revision, current) =
        host.with_tables(|it| (it.config.revision, it.config.operator_revision));
    let rejected = |operator_revision, err: Error| {
        let Error { kind, message } = err;
        let answer = ChangeAnswer {
            revision: local_revision,
            operator_revision,
            error: Some(kind),
            message,
        };
        (status(kind), Json(answer))
    };
    match reply {
        Reply::Applied { revision } => {
            // The operator bases the next change on the returned operator revision. If it included a later change by
            // another operator, the next change would pass the conflict check and overwrite that one unseen, so it is
            // capped at the revision of this change. A host that has not applied this change yet does not know the
            // operator revision and assumes that this change is the latest.
            let is_behind = local_revision < revision;
            let operator_revision = if is_behind { revision } else { current.min(revision) };
            let message = String::new();
            (
                StatusCode::OK,
                Json(ChangeAnswer { revision, operator_revision, error: None, message }),
            )
        }
        Reply::Conflict { current } => {
            let message = format!("the current operator revision is {current}");
            rejected(current, Error::new(Kind::Conflict, message))
        }
        Reply::Rejected(err) => rejected(current, err),
        Reply::Granted | Reply::Claimed { .. } | Reply::Deferred { .. } => {
            rejected(current, Kind::Internal.into())
        }
    }
}

async fn events(
    State(host): State<Arc<Host>>,
    filter: Result<Query<event::Filter>, axum::extract::rejection::QueryRejection>,
) -> Result<Json<Vec<event::Event>>, ErrorResponse> {
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

fn cluster_members(host: &Host) -> Vec<Member> {
    let cluster_status = host.cluster_status();
    let leader = cluster_status.leader.map(|(id, _)| id);
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
    cluster_status.membership.members.iter().map(member).collect()
}
