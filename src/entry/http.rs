//! The HTTP API for callers, targets and operators.

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
        announce, body, dispatch,
        gate::Phase,
        host::Host,
        list,
        metrics::class_label,
        owners::Owners,
        query,
        reply::{self, Rejection, RequestId},
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

type Shared<O> = State<Arc<Host<O>>>;

/// A request as it arrived.
pub(super) struct Arrival {
    /// Identifies the request.
    pub(super) id: RequestId,
    /// When its head had arrived.
    pub(super) at: Instant,
    /// The caller's name.
    pub(super) caller: String,
    /// The caller's trace context.
    pub(super) traceparent: Option<String>,
}

/// How a request ended, for metrics and events.
pub(super) struct Ended<T> {
    /// The admission class, if the request got that far.
    pub(super) class: Option<crate::wire::owner::Class>,
    /// A word for the metrics if there is an answer.
    pub(super) word: &'static str,
    /// The answer.
    pub(super) result: Result<T, Rejection>,
}

impl<T> From<Rejection> for Ended<T> {
    fn from(rejection: Rejection) -> Self {
        Self { class: None, word: "", result: Err(rejection) }
    }
}

/// All paths of an entry host.
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
        .fallback(no_path)
        .method_not_allowed_fallback(no_method)
        .layer(from_fn_with_state(host.clone(), close_when_leaving::<O>))
        .with_state(host)
}

async fn query<O: Owners>(State(host): Shared<O>, headers: HeaderMap, body: Body) -> Response {
    let arrival = match arrival(&headers) {
        Ok(it) => it,
        Err(err) => return rejected(&host, "query", RequestId::random(), err),
    };
    let span = info_span!("query", request = %arrival.id, caller = %arrival.caller);
    trace::set_remote_parent(&span, arrival.traceparent.as_deref());
    let (id, at) = (arrival.id, arrival.at);
    let ended = async {
        match body::json::<Query>(body).await {
            Ok(query) => query::run(&host, &arrival, query).await,
            Err(err) => Rejection::from(err).into(),
        }
    };
    let ended = ended.instrument(span).await;
    finish(&host, "query", id, at, ended)
}

async fn dispatch<O: Owners>(State(host): Shared<O>, headers: HeaderMap, body: Body) -> Response {
    let arrival = match arrival(&headers) {
        Ok(it) => it,
        Err(err) => return rejected(&host, "dispatch", RequestId::random(), err),
    };
    let span = info_span!("dispatch", request = %arrival.id, caller = %arrival.caller);
    trace::set_remote_parent(&span, arrival.traceparent.as_deref());
    let (id, at) = (arrival.id, arrival.at);
    let body = match body::json::<Dispatch>(body).await {
        Ok(it) => it,
        Err(err) => return rejected(&host, "dispatch", id, err),
    };
    // A task of its own: a caller that disconnects must not interrupt a claimed request.
    let task = tokio::spawn(dispatch::run(host.clone(), arrival, body).instrument(span));
    let ended = task
        .await
        .unwrap_or_else(|err| Rejection::from(Error::new(Kind::Internal, err.to_string())).into());
    finish(&host, "dispatch", id, at, ended)
}

async fn entries<O: Owners>(State(host): Shared<O>, headers: HeaderMap) -> Response {
    reply::answer(arrival(&headers).and_then(|it| list::run(&host, &it.caller)))
}

async fn targets<O: Owners>(State(host): Shared<O>, body: Body) -> Response {
    let announced = async {
        let announcement: Announcement = body::json(body).await?;
        announce::run(&host, announcement).await
    };
    reply::answer(announced.await)
}

async fn status<O: Owners>(State(host): Shared<O>, headers: HeaderMap) -> Response {
    reply::answer(check_token(&host, &headers).map(|()| host.status()))
}

async fn events<O: Owners>(
    State(host): Shared<O>,
    headers: HeaderMap,
    filter: Result<UrlQuery<Filter>, axum::extract::rejection::QueryRejection>,
) -> Response {
    let found = check_token(&host, &headers).and_then(|()| {
        let UrlQuery(filter) =
            filter.map_err(|err| Error::new(Kind::BadRequest, err.body_text()))?;
        Ok(host.parts.events.find(&filter))
    });
    reply::answer(found)
}

async fn metrics<O: Owners>(State(host): Shared<O>) -> Response {
    host.parts.metrics.render().into_response()
}

async fn healthz<O: Owners>(State(host): Shared<O>) -> Response {
    let serving = match host.gate.phase() {
        Phase::Rejecting => Err(Kind::Leaving.into()),
        Phase::Serving | Phase::Leaving => host.check_lease(),
    };
    match serving {
        Ok(()) => "ok\n".into_response(),
        Err(err) => Rejection::from(err).response(None),
    }
}

async fn no_path() -> Response {
    Rejection::from(Error::new(Kind::NotFound, "no such path")).response(None)
}

async fn no_method() -> Response {
    Rejection::from(Error::new(Kind::BadRequest, "this path has another method")).response(None)
}

/// Tells callers to close their connections while the host leaves, so that none is cut later.
async fn close_when_leaving<O: Owners>(
    State(host): Shared<O>,
    request: Request,
    next: Next,
) -> Response {
    let mut response = next.run(request).await;
    if host.gate.phase() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn arrival(headers: &HeaderMap) -> Result<Arrival> {
    let Some(caller) = reply::header(headers, CALLER_HEADER)? else {
        let message = format!("header {CALLER_HEADER} is missing");
        return Err(Error::new(Kind::BadRequest, message));
    };
    check_name(caller)?;
    Ok(Arrival {
        id: RequestId::random(),
        at: Instant::now(),
        caller: caller.to_owned(),
        traceparent: headers.get("traceparent").and_then(|it| it.to_str().ok()).map(str::to_owned),
    })
}

fn check_token<O: Owners>(host: &Host<O>, headers: &HeaderMap) -> Result<()> {
    let given = reply::header(headers, header::AUTHORIZATION.as_str())?;
    let given = given.and_then(|it| it.strip_prefix("Bearer ")).unwrap_or_default();
    if same_secret(given.as_bytes(), host.parts.cfg.operator_token.as_bytes()) {
        return Ok(());
    }
    Err(Error::new(Kind::Unauthorized, "the operator's token is missing or wrong"))
}

/// Compares in a time that does not depend on where the secrets differ.
fn same_secret(given: &[u8], wanted: &[u8]) -> bool {
    let differences = given.iter().zip(wanted).fold(0, |acc, (a, b)| acc | (a ^ b));
    given.len() == wanted.len() && differences == 0
}

fn rejected<O: Owners>(
    host: &Host<O>,
    endpoint: &'static str,
    id: RequestId,
    err: Error,
) -> Response {
    finish::<O, ()>(host, endpoint, id, Instant::now(), Rejection::from(err).into())
}

fn finish<O: Owners, T: Serialize>(
    host: &Host<O>,
    endpoint: &'static str,
    id: RequestId,
    at: Instant,
    ended: Ended<T>,
) -> Response {
    let class = class_label(ended.class);
    match ended.result {
        Ok(body) => {
            host.metrics.request(endpoint, class, ended.word, at.elapsed());
            axum::Json(body).into_response()
        }
        Err(rejection) => {
            let kind = rejection.error.kind;
            host.metrics.request(endpoint, class, kind.into(), at.elapsed());
            let cause = format!("{endpoint}: {} outcome={}", rejection.error, rejection.outcome);
            host.record(Event::new(EventKind::Rejected, cause).request(id.to_string()));
            rejection.response(Some(id))
        }
    }
}
