//! The HTTP API for callers, targets and operators: routes, authentication, and the mapping of results to responses.

use std::{sync::Arc, time::Instant};

use axum::{
    Router,
    body::Body,
    extract::{Query as UrlQuery, Request, State},
    http::{HeaderMap, HeaderValue, header},
    middleware::{Next, from_fn_with_state},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use serde::Serialize;
use tracing::{Instrument, info_span};

use crate::{
    entry::{
        announce, body, dispatch, entry_list,
        host::Host,
        metrics::class_label,
        owners::Owners,
        query,
        reply::{self, Rejection, RequestId},
        request_tracker::ShutdownPhase,
    },
    error::{Error, Kind, Result},
    event::{Event, Filter, Kind as EventKind},
    state::check_name,
    trace,
    wire::{
        caller::{CALLER_HEADER, Dispatch, Query},
        target::Announcement,
    },
};

type HostState<O> = State<Arc<Host<O>>>;

/// What is known of a request from its head.
pub(super) struct RequestInfo {
    /// Identifies the request.
    pub(super) id: RequestId,
    /// When its head was received. The deadline counts from here.
    pub(super) received_at: Instant,
    /// The caller's name.
    pub(super) caller: String,
    /// The caller's W3C trace context.
    pub(super) traceparent: Option<String>,
}

/// The result of a request, with what metrics need.
pub(super) struct Handled<T> {
    /// The admission class, if the request was read that far.
    pub(super) class: Option<crate::wire::owner::Class>,
    /// The value of the metric label `result` on success. On failure the error kind is used.
    pub(super) result_label: &'static str,
    /// The answer.
    pub(super) result: Result<T, Rejection>,
}

impl<T> From<Rejection> for Handled<T> {
    fn from(rejection: Rejection) -> Self {
        Self { class: None, result_label: "", result: Err(rejection) }
    }
}

/// The routes of an entry host.
pub(super) fn router<O: Owners>(host: Arc<Host<O>>) -> Router {
    Router::new()
        .route("/v1/query", post(query::<O>))
        .route("/v1/dispatch", post(dispatch::<O>))
        .route("/v1/entries", get(entries::<O>))
        .route("/v1/targets", post(targets::<O>))
        .route("/v1/status", get(status::<O>))
        .route("/v1/events", get(events::<O>))
        .route("/metrics", get(metrics::<O>))
        .route("/healthz", get(healthz::<O>))
        .fallback(path_not_found)
        .method_not_allowed_fallback(method_not_allowed)
        .layer(from_fn_with_state(host.clone(), close_when_leaving::<O>))
        .with_state(host)
}

async fn query<O: Owners>(State(host): HostState<O>, headers: HeaderMap, body: Body) -> Response {
    let info = match request_info(&headers) {
        Ok(it) => it,
        Err(err) => return reject(&host, "query", RequestId::random(), err),
    };
    let span = info_span!("query", request = %info.id, caller = %info.caller);
    trace::set_remote_parent(&span, info.traceparent.as_deref());
    let (id, received_at) = (info.id, info.received_at);
    let ended = async {
        match body::json::<Query>(body).await {
            Ok(query) => query::run(&host, &info, query).await,
            Err(err) => Rejection::from(err).into(),
        }
    };
    let ended = ended.instrument(span).await;
    respond(&host, "query", id, received_at, ended)
}

async fn dispatch<O: Owners>(
    State(host): HostState<O>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let info = match request_info(&headers) {
        Ok(it) => it,
        Err(err) => return reject(&host, "dispatch", RequestId::random(), err),
    };
    let span = info_span!("dispatch", request = %info.id, caller = %info.caller);
    trace::set_remote_parent(&span, info.traceparent.as_deref());
    let (id, received_at) = (info.id, info.received_at);
    let body = match body::json::<Dispatch>(body).await {
        Ok(it) => it,
        Err(err) => return reject(&host, "dispatch", id, err),
    };
    // A separate task, because the server drops this future when the caller disconnects, and a claimed request
    // must be settled.
    let task = tokio::spawn(dispatch::run(host.clone(), info, body).instrument(span));
    let ended = task
        .await
        .unwrap_or_else(|err| Rejection::from(Error::new(Kind::Internal, err.to_string())).into());
    respond(&host, "dispatch", id, received_at, ended)
}

async fn entries<O: Owners>(State(host): HostState<O>, headers: HeaderMap) -> Response {
    reply::respond(request_info(&headers).and_then(|it| entry_list::run(&host, &it.caller)))
}

async fn targets<O: Owners>(State(host): HostState<O>, body: Body) -> Response {
    let announced = async {
        let announcement: Announcement = body::json(body).await?;
        announce::run(&host, announcement).await
    };
    reply::respond(announced.await)
}

async fn status<O: Owners>(State(host): HostState<O>, headers: HeaderMap) -> Response {
    reply::respond(check_token(&host, &headers).map(|()| host.status()))
}

async fn events<O: Owners>(
    State(host): HostState<O>,
    headers: HeaderMap,
    filter: Result<UrlQuery<Filter>, axum::extract::rejection::QueryRejection>,
) -> Response {
    let found = check_token(&host, &headers).and_then(|()| {
        let UrlQuery(filter) =
            filter.map_err(|err| Error::new(Kind::BadRequest, err.body_text()))?;
        Ok(host.context.events.find(&filter))
    });
    reply::respond(found)
}

async fn metrics<O: Owners>(State(host): HostState<O>) -> Response {
    host.context.metrics.render().into_response()
}

async fn healthz<O: Owners>(State(host): HostState<O>) -> Response {
    let serving = match host.requests.phase() {
        ShutdownPhase::Rejecting => Err(Kind::Leaving.into()),
        ShutdownPhase::Serving | ShutdownPhase::Leaving => host.check_health(),
    };
    match serving {
        Ok(()) => "ok\n".into_response(),
        Err(err) => Rejection::from(err).response(None),
    }
}

async fn path_not_found() -> Response {
    Rejection::from(Error::new(Kind::NotFound, "no such path")).response(None)
}

async fn method_not_allowed() -> Response {
    Rejection::from(Error::new(Kind::BadRequest, "method not allowed for this path")).response(None)
}

/// Adds `connection: close` to responses during a planned stop, so that callers move to other hosts before this one
/// closes connections.
async fn close_when_leaving<O: Owners>(
    State(host): HostState<O>,
    request: Request,
    next: Next,
) -> Response {
    let mut response = next.run(request).await;
    if host.requests.phase() != ShutdownPhase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn request_info(headers: &HeaderMap) -> Result<RequestInfo> {
    let Some(caller) = reply::header(headers, CALLER_HEADER)? else {
        let message = format!("missing header {CALLER_HEADER}");
        return Err(Error::new(Kind::BadRequest, message));
    };
    check_name(caller)?;
    Ok(RequestInfo {
        id: RequestId::random(),
        received_at: Instant::now(),
        caller: caller.to_owned(),
        traceparent: headers.get("traceparent").and_then(|it| it.to_str().ok()).map(str::to_owned),
    })
}

fn check_token<O: Owners>(host: &Host<O>, headers: &HeaderMap) -> Result<()> {
    let given = reply::header(headers, header::AUTHORIZATION.as_str())?;
    let given = given.and_then(|it| it.strip_prefix("Bearer ")).unwrap_or_default();
    if constant_time_eq(given.as_bytes(), host.context.cfg.operator_token.as_bytes()) {
        return Ok(());
    }
    Err(Error::new(Kind::Unauthorized, "operator token missing or wrong"))
}

/// Compares secrets in a time that does not depend on where they differ, against timing attacks.
fn constant_time_eq(given: &[u8], wanted: &[u8]) -> bool {
    let differences = given.iter().zip(wanted).fold(0, |acc, (a, b)| acc | (a ^ b));
    given.len() == wanted.len() && differences == 0
}

/// Answers a request that failed before it was processed.
fn reject<O: Owners>(
    host: &Host<O>,
    endpoint: &'static str,
    id: RequestId,
    err: Error,
) -> Response {
    respond::<O, ()>(host, endpoint, id, Instant::now(), Rejection::from(err).into())
}

/// Counts the request, records a failure as an event, and makes the response.
fn respond<O: Owners, T: Serialize>(
    host: &Host<O>,
    endpoint: &'static str,
    id: RequestId,
    received_at: Instant,
    ended: Handled<T>,
) -> Response {
    let class = class_label(ended.class);
    match ended.result {
        Ok(body) => {
            host.metrics.record_request(endpoint, class, ended.result_label, received_at.elapsed());
            axum::Json(body).into_response()
        }
        Err(rejection) => {
            let kind = rejection.error.kind;
            host.metrics.record_request(endpoint, class, kind.into(), received_at.elapsed());
            let cause = format!("{endpoint}: {} outcome={}", rejection.error, rejection.outcome);
            host.record(Event::new(EventKind::Rejected, cause).request(id.to_string()));
            rejection.response(Some(id))
        }
    }
}
