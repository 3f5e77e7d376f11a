//! A caller's request: its route, its deadline, and what is sent to targets for it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Response, StatusCode, Uri,
    header::{EXPECT, HOST, HeaderValue},
    http::request::Parts,
};
use tokio::time::timeout_at;

use crate::{
    policy::canary,
    relay::{
        call,
        exchange::{Leash, Outgoing},
        gather,
        host::Host,
        reply::{self, Refusal},
        settings::Headers,
        target::Target,
        view::{Path, ServiceKey, View},
    },
    route::{Kind, To},
    wire::relay::Delegation,
};

/// What callers wait besides the time from the arrival of a request to its answer: the ways, and now and then a question
/// for addresses.
const WAYS: Duration = Duration::from_millis(14);

/// One more round trip, for a caller that had to connect first.
const CONNECT: Duration = Duration::from_millis(8);

/// The largest part of the objective that is left for these ways.
const RETURN_DIVISOR: u32 = 4;

/// The time that is left for the way of the last answer back to the caller.
const RETURN: Duration = Duration::from_millis(10);

/// Whether a request is the first one on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connection {
    /// The caller connected for this request.
    New,
    /// The connection has carried requests before.
    Kept,
}

/// A request with its route and its times.
pub(super) struct Query {
    pub(super) view: Arc<View>,
    path: usize,
    pub(super) request_id: Option<HeaderValue>,
    pub(super) arrived: Instant,
    /// When an answer that covers enough shards should leave.
    pub(super) stop_at: Instant,
    /// When the last answer must leave.
    pub(super) give_up: Instant,
    /// When the caller or the route gives up.
    deadline: Instant,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) leash: Arc<Leash>,
}

impl Query {
    /// The route.
    pub(super) fn path(&self) -> &Path {
        &self.view.routes.paths[self.path]
    }

    /// The id of the request, for the log.
    pub(super) fn id(&self) -> &str {
        self.request_id.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("-")
    }

    /// The time within which an answer has its full worth.
    pub(super) fn objective(&self) -> Duration {
        let route = &self.path().route;
        Duration::from_millis(route.objective_ms.min(route.timeout_ms))
    }

    /// Whether an answer would leave too late for its full worth.
    pub(super) fn is_late(&self, now: Instant) -> bool {
        now > self.arrived + self.objective()
    }

    /// Identifies requests that do the same.
    pub(super) fn fingerprint(&self) -> u64 {
        let text = format!("{} {}", self.uri, String::from_utf8_lossy(&self.body));
        canary::fingerprint(&self.path().route.host, self.method.as_str(), &text)
    }

    fn is_quarantined(&self) -> bool {
        let quarantine = &self.view.quarantine;
        !quarantine.is_empty() && quarantine.contains(&self.fingerprint())
    }

    /// The request as one target gets it.
    pub(super) fn to_target(&self, names: &Headers, target: &Target) -> Outgoing {
        let mut request = Outgoing::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let headers = request.headers_mut();
        headers.insert(names.deadline.clone(), HeaderValue::from(left.as_millis() as u64));
        if let Ok(name) = HeaderValue::from_str(&target.name) {
            headers.insert(names.expected.clone(), name);
        }
        request
    }
}

impl Query {
    /// How many targets of one service may run the request.
    pub(super) fn max_attempts(&self) -> usize {
        let route = &self.path().route;
        match route.kind {
            Kind::Idempotent => route.max_attempts.max(1) as usize,
            Kind::AtMostOnce => 1,
        }
    }

    /// The request as another relay gets it, which is to ask these shards until `stop_at`.
    pub(super) fn delegation(
        &self,
        names: &Headers,
        shards: Vec<u16>,
        stop_at: Instant,
    ) -> Delegation {
        let now = Instant::now();
        let left_ms = self.give_up.saturating_duration_since(now).as_millis();
        let kept = self.headers.iter().filter(|(name, _)| *name != names.deadline);
        let kept = kept.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
        let deadline = (names.deadline.to_string(), left_ms.to_string().into_bytes());
        Delegation {
            version: self.view.routes.version,
            shards,
            partial_after_us: stop_at.saturating_duration_since(now).as_micros() as u64,
            method: self.method.to_string(),
            uri: self.uri.to_string(),
            headers: kept.chain([deadline]).collect(),
            body: self.body.to_vec(),
        }
    }

    /// Finds the route of a request and works out its times.
    pub(super) fn resolve(
        host: &Host,
        view: Arc<View>,
        connection: Connection,
        head: Parts,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Self, &'static str> {
        let Parts { method, uri, mut headers, .. } = head;
        let authority = uri.authority().map(|it| it.as_str().to_owned());
        let named = headers.get(HOST).and_then(|it| it.to_str().ok()).map(str::to_owned);
        let Some(name) = named.or(authority) else { return Err("no_host") };
        let Some(path) = view.routes.index.find(&name, uri.path()) else { return Err("no_route") };
        let names = &host.cfg.headers;
        let route = &view.routes.paths[path].route;
        let limit = Duration::from_millis(route.timeout_ms);
        let asked = headers.get(&names.deadline).and_then(|it| it.to_str().ok()?.parse().ok());
        let left = asked.map_or(limit, |it| Duration::from_millis(it).min(limit));
        let objective = Duration::from_millis(route.objective_ms).min(left);
        let ways = match connection {
            Connection::New => WAYS + CONNECT,
            Connection::Kept => WAYS,
        };
        reply::strip(&mut headers);
        headers.remove(EXPECT);
        let uri = uri.path_and_query().map_or(Uri::from_static("/"), |it| Uri::from(it.clone()));
        Ok(Self {
            path,
            request_id: headers.get(&names.request_id).cloned(),
            arrived,
            stop_at: arrived + objective - ways.min(objective / RETURN_DIVISOR),
            give_up: arrived + left.saturating_sub(RETURN),
            deadline: arrived + left,
            method,
            uri,
            headers,
            body,
            leash: Arc::default(),
            view,
        })
    }
}

/// Answers a request whose body has arrived.
pub(super) async fn answer(
    host: &Arc<Host>,
    connection: Connection,
    head: Parts,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let arrived = Instant::now();
    let Some(view) = host.ready_view(&head.headers).await else {
        return reply::not_ready("no_routes");
    };
    let query = match Query::resolve(host, view, connection, head, body, arrived) {
        Ok(query) => Arc::new(query),
        Err(cause) => return reply::plain(StatusCode::NOT_FOUND, cause, Duration::ZERO),
    };
    if query.is_quarantined() {
        host.metrics.answer(&query, "quarantined");
        return reply::refuse(host, &query, &Refusal::new(false, false, "quarantined"));
    }
    match &query.path().route.to {
        To::Shards(shards) => gather::run(host, &query, shards).await,
        To::Service(_) => single(host, &query, query.path().to[0]).await,
        To::Split(parts) => {
            let path = query.path();
            single(host, &query, path.to[path.rotation.next(parts)]).await
        }
    }
}

async fn single(host: &Arc<Host>, query: &Arc<Query>, key: ServiceKey) -> Response<Full<Bytes>> {
    let called = call::call(host, query, key, query.max_attempts());
    let ended = timeout_at(query.give_up.into(), called).await;
    query.leash.release();
    let refusal = match ended {
        Ok(Ok(answer)) => {
            host.metrics.answer(query, "full");
            return reply::pass_on(host, query, answer);
        }
        Ok(Err(failure)) => match failure.answer {
            Some(answer) => {
                host.metrics.answer(query, "target_failed");
                return reply::pass_on(host, query, answer);
            }
            None => Refusal::new(false, failure.ran, failure.cause),
        },
        Err(_) => Refusal::new(true, true, "timeout"),
    };
    host.metrics.answer(query, "refused");
    reply::refuse(host, query, &refusal)
}
