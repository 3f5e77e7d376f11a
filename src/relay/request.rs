//! A caller's request: its route, its deadlines, and the requests to targets and delegates that are derived from it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Response, Uri,
    header::{EXPECT, HOST, HeaderValue},
    http::request::Parts,
};
use tokio::time::timeout_at;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    policy::canary,
    relay::{
        exchange::DetachFlag,
        gather,
        host::Host,
        probe,
        quarantine::{self, Pass},
        quota,
        response::{self, Refusal},
        sender::{self, Denial, Origin, Sender},
        settings::Headers,
        target::Target,
        transmit::TargetRequest,
        view::{ResolvedRoute, ServiceKey, View},
    },
    route::{self, Kind, To},
    wire::{
        self,
        relay::{Delegation, Message},
    },
};

/// Time that counts towards the caller's latency but passes outside this process: network transit and, now and then, an
/// address look-up.
const CALLER_OVERHEAD: Duration = Duration::from_millis(14);

/// One more round trip, if the caller had to connect first.
const CONNECT_OVERHEAD: Duration = Duration::from_millis(8);

/// At most the objective divided by this is reserved for such overhead.
const MAX_OVERHEAD_DIVISOR: u32 = 4;

/// Time reserved for the transit of the response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Whether the caller opened its connection for this request. The caller's latency then includes the time to connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerConnection {
    /// The request is the first one on its connection.
    New,
    /// The connection has carried requests before.
    Reused,
}

/// A caller's request with its route and deadlines.
pub(super) struct Query {
    pub(super) view: Arc<View>,
    /// Position of the route in the routing table.
    index: usize,
    /// Who sends it; none on public routes and in tables without tenants.
    sender: Option<Sender>,
    /// The regions that route and tenant have in common, if both have some.
    common_homes: Option<Vec<String>>,
    pub(super) request_id: Option<HeaderValue>,
    pub(super) arrived: Instant,
    /// From this moment on a response is sent as soon as it covers enough shards.
    pub(super) soft_deadline: Instant,
    /// The last moment at which a response can be sent.
    pub(super) hard_deadline: Instant,
    /// When the caller gives up, or the timeout of the route passes. Targets are told the time until then.
    caller_deadline: Instant,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    pub(super) body: Bytes,
    /// How many more shards may be given up without missing the minimum coverage.
    spare_shards: AtomicUsize,
    /// Set once the request has been answered or refused.
    pub(super) detach: Arc<DetachFlag>,
}

impl Query {
    pub(super) fn route(&self) -> &ResolvedRoute {
        &self.view.table.routes[self.index]
    }

    /// The tenant that sends the request; none on public routes and in tables without tenants.
    pub(super) fn tenant(&self) -> Option<&route::Tenant> {
        self.sender.map(|it| self.view.table.tenants.get(it.tenant))
    }

    /// The tenant with the key by which it was found.
    pub(super) fn sender(&self) -> Option<Sender> {
        self.sender
    }

    /// The priority: that of the tenant if it has one, else that of the route; 0 is the highest.
    pub(super) fn priority(&self) -> u32 {
        let priority = self.tenant().and_then(|it| it.priority);
        priority.unwrap_or(self.route().config.priority)
    }

    /// The regions whose targets and relays may serve the request: those of the route and of the tenant, both if both
    /// have some; all if empty.
    pub(super) fn homes(&self) -> &[String] {
        if let Some(homes) = &self.common_homes {
            return homes;
        }
        let own = self.tenant().map(|it| it.homes.as_slice()).filter(|it| !it.is_empty());
        own.unwrap_or(&self.route().config.homes)
    }

    /// Whether the target is in a region that may serve the request.
    pub(super) fn allows(&self, target: &Target) -> bool {
        let homes = self.homes();
        homes.is_empty() || homes.contains(&target.region)
    }

    /// The request id, for the log.
    pub(super) fn id(&self) -> &str {
        self.request_id.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("-")
    }

    /// The time within which a response has its full value to the caller.
    pub(super) fn objective(&self) -> Duration {
        let route = &self.route().config;
        Duration::from_millis(route.objective_ms.min(route.timeout_ms))
    }

    /// How long a service of the route has no target because all are paused.
    pub(super) fn paused_for(&self, now: Instant) -> Duration {
        let services = self.route().services.iter().map(|it| self.view.service(*it));
        let ends = services.filter_map(|it| it.paused_until(now));
        ends.max().map_or(Duration::ZERO, |it| it.saturating_duration_since(now))
    }

    /// Whether a response sent now would miss the objective.
    pub(super) fn is_past_objective(&self, now: Instant) -> bool {
        now > self.arrived + self.objective()
    }

    /// Identifies what a service runs for this request. Equal for requests with the same host, method, URI and body,
    /// whatever their ids. It differs between services, so that crashes of different shards are not added up.
    pub(super) fn fingerprint(&self, service: &str) -> u64 {
        let text = format!("{} {}", self.uri, String::from_utf8_lossy(&self.body));
        let request = canary::fingerprint(&self.route().config.host, self.method.as_str(), &text);
        xxh3_64_with_seed(service.as_bytes(), request)
    }

    /// Whether the route leads to several shards.
    pub(super) fn has_shards(&self) -> bool {
        matches!(self.route().config.to, To::Shards(_))
    }

    /// Whether the minimum coverage is reached without one more shard.
    pub(super) fn has_spare_shards(&self) -> bool {
        self.spare_shards.load(Ordering::Relaxed) > 0
    }

    /// Gives up a shard whose targets cannot be reached, so that the response does not wait for it. False if the minimum
    /// coverage would be missed: then it is worth waiting until a target returns.
    pub(super) fn give_up_shard(&self) -> bool {
        let one_less = |it: usize| it.checked_sub(1);
        self.spare_shards.fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_less).is_ok()
    }

    /// The request as it is sent to this target.
    pub(super) fn target_request(&self, names: &Headers, target: &Target) -> TargetRequest {
        let mut request = TargetRequest::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = self.caller_deadline.saturating_duration_since(Instant::now());
        let headers = request.headers_mut();
        headers.insert(names.deadline.clone(), HeaderValue::from(left.as_millis() as u64));
        if let Ok(name) = HeaderValue::from_str(&target.name) {
            headers.insert(names.expected_process.clone(), name);
        }
        request
    }
}

impl Query {
    /// How many targets of one service may run the request.
    pub(super) fn max_attempts(&self) -> usize {
        let route = &self.route().config;
        match route.kind {
            Kind::Idempotent => route.max_attempts.max(1) as usize,
            Kind::AtMostOnce => 1,
        }
    }

    /// How many of the greatest records of a shard's response are needed, if the route leads to shards.
    pub(super) fn max_records(&self) -> Option<usize> {
        match &self.route().config.to {
            To::Shards(shards) => Some(shards.top),
            To::Service(_) | To::Split(_) => None,
        }
    }

    /// The message that delegates these shards to another relay. That relay must return results that have arrived by
    /// `soft_deadline`. The headers contain no key.
    pub(super) fn delegation(
        &self,
        names: &Headers,
        shards: Vec<u16>,
        soft_deadline: Instant,
    ) -> Message {
        let now = Instant::now();
        let left_ms = self.hard_deadline.saturating_duration_since(now).as_millis();
        let partial_after = soft_deadline.saturating_duration_since(now);
        let forwarded = self.headers.iter().filter(|(name, _)| *name != names.deadline);
        let forwarded =
            forwarded.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
        let deadline = (names.deadline.to_string(), left_ms.to_string().into_bytes());
        let delegation = Box::new(Delegation {
            version: self.view.table.version,
            shards,
            partial_after_us: u64::try_from(partial_after.as_micros()).unwrap_or(u64::MAX),
            method: self.method.to_string(),
            uri: self.uri.to_string(),
            headers: forwarded.chain([deadline]).collect(),
            body: self.body.to_vec(),
        });
        match (self.sender, self.tenant()) {
            (Some(sender), Some(tenant)) => {
                let sender =
                    wire::relay::Sender { tenant: tenant.name.clone(), key: sender.digest };
                Message::DelegateFor(sender, delegation)
            }
            _ => Message::Delegate(delegation),
        }
    }

    /// Finds the route and the sender of a request and computes its deadlines. The error is the reason why the table does
    /// not admit it.
    pub(super) fn resolve(
        host: &Host,
        view: Arc<View>,
        connection: CallerConnection,
        head: Parts,
        body: Bytes,
        arrived: Instant,
        origin: &Origin<'_>,
    ) -> Result<Self, Denial> {
        let Parts { method, uri, mut headers, .. } = head;
        let authority = uri.authority().map(|it| it.as_str().to_owned());
        let host_header = headers.get(HOST).and_then(|it| it.to_str().ok()).map(str::to_owned);
        let name = host_header.or(authority).ok_or(Denial::no_route("no_host"))?;
        let index = view.table.index.find(&name, uri.path());
        let index = index.ok_or(Denial::no_route("no_route"))?;
        let names = &host.cfg.headers;
        let route = &view.table.routes[index].config;
        let limit = Duration::from_millis(route.timeout_ms);
        let requested = headers.get(&names.deadline).and_then(|it| it.to_str().ok()?.parse().ok());
        let left = requested.map_or(limit, |it| Duration::from_millis(it).min(limit));
        // Targets must not work on a response that this process can no longer pass on.
        let left = host.answer_by().map_or(left, |it| left.min(it.duration_since(arrived)));
        let objective = Duration::from_millis(route.objective_ms).min(left);
        let overhead = match connection {
            CallerConnection::New => CALLER_OVERHEAD + CONNECT_OVERHEAD,
            CallerConnection::Reused => CALLER_OVERHEAD,
        };
        let spare_shards = match &route.to {
            To::Shards(shards) => shards.services.len() - shards.min_shards(),
            To::Service(_) | To::Split(_) => 0,
        };
        response::strip_hop_by_hop(&mut headers);
        headers.remove(EXPECT);
        let sender = sender::identify(host, &view.table, route, &mut headers, origin)?;
        let tenant = sender.map(|it| view.table.tenants.get(it.tenant));
        let common_homes = tenant.and_then(|it| common_homes(&route.homes, &it.homes));
        if common_homes.as_ref().is_some_and(Vec::is_empty) {
            return Err(Denial::no_common_region());
        }
        let uri = uri.path_and_query().map_or(Uri::from_static("/"), |it| Uri::from(it.clone()));
        Ok(Self {
            index,
            sender,
            common_homes,
            request_id: headers.get(&names.request_id).cloned(),
            arrived,
            soft_deadline: arrived + objective - overhead.min(objective / MAX_OVERHEAD_DIVISOR),
            hard_deadline: arrived + left.saturating_sub(RESPONSE_MARGIN),
            caller_deadline: arrived + left,
            method,
            uri,
            headers,
            body,
            spare_shards: AtomicUsize::new(spare_shards),
            detach: Arc::default(),
            view,
        })
    }
}

/// The regions that are in both lists; none if one list is empty, which means all regions.
fn common_homes(one: &[String], other: &[String]) -> Option<Vec<String>> {
    let common = || one.iter().filter(|it| other.contains(it)).cloned().collect();
    (!one.is_empty() && !other.is_empty()).then(common)
}

/// Processes a request whose body has been received.
pub(super) async fn handle(
    host: &Arc<Host>,
    connection: CallerConnection,
    head: Parts,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let arrived = Instant::now();
    let view = match host.ready_view(&head.headers).await {
        Ok(view) => view,
        Err(cause) => return response::not_ready(cause),
    };
    let request_id = head.headers.get(&host.cfg.headers.request_id).cloned();
    let origin = Origin::Caller;
    let query = match Query::resolve(host, view.clone(), connection, head, body, arrived, &origin) {
        Ok(query) => Arc::new(query),
        Err(denial) => return response::deny(host, &view, request_id.as_ref(), denial),
    };
    let pass = match quarantine::admit(host, &query).await {
        Ok(pass) => pass,
        Err(wait) => return quarantine::refuse(host, &query, wait),
    };
    let repeatable = query.route().config.kind == Kind::Idempotent;
    if !repeatable && host.answer_by().is_some_and(|it| it < query.arrived + query.objective()) {
        // It could end here without a known outcome, and be repeated nowhere. Another host has more time for it.
        host.metrics.record_answer(&query, "refused");
        return response::refuse(host, &query, &Refusal::new(false, false, "leaving"));
    }
    if let Err((refusal, retry_after)) = quota::admit(host, &query).await {
        host.metrics.record_answer(&query, refusal.cause());
        let mut response = response::text(refusal.status(), refusal.cause(), retry_after);
        response::set_request_id(host, &query, response.headers_mut());
        return response;
    }
    tokio::select! {
        biased;
        response = dispatch(host, &query, pass) => response,
        () = host.out_of_time() => {
            host.metrics.record_answer(&query, "refused");
            response::refuse(host, &query, &Refusal::new(true, true, "leaving"))
        }
    }
}

async fn dispatch(host: &Arc<Host>, query: &Arc<Query>, pass: Pass) -> Response<Full<Bytes>> {
    let route = query.route();
    match &route.config.to {
        To::Shards(shards) => gather::run(host, query, shards, pass).await,
        To::Service(_) => handle_single(host, query, route.services[0], pass).await,
        To::Split(parts) => {
            let key = route.services[route.split_picker.pick(parts)];
            match quarantine::admit_to(host, query, &[key], 0).await {
                Ok(pass) => handle_single(host, query, key, pass).await,
                Err(wait) => quarantine::refuse(host, query, wait),
            }
        }
    }
}

async fn handle_single(
    host: &Arc<Host>,
    query: &Arc<Query>,
    key: ServiceKey,
    pass: Pass,
) -> Response<Full<Bytes>> {
    let permit = pass.into_permit();
    let call = probe::send_or_call(host, query, key, query.max_attempts(), permit);
    let result = timeout_at(query.hard_deadline.into(), call).await;
    query.detach.set();
    let refusal = match result {
        Ok(Ok(response)) => {
            host.metrics.record_answer(query, "full");
            return response::forward(host, query, response);
        }
        Ok(Err(failure)) => match failure.response {
            Some(response) => {
                host.metrics.record_answer(query, "target_failed");
                return response::forward(host, query, response);
            }
            None => Refusal::new(false, failure.may_have_run, failure.cause),
        },
        Err(_) => Refusal::new(true, true, "timeout"),
    };
    host.metrics.record_answer(query, "refused");
    response::refuse(host, query, &refusal)
}
