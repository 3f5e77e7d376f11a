//! One HTTP exchange with one target, from taking a connection to the complete response.

use std::{
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderName, HeaderValue, RETRY_AFTER},
    http::response,
};
use parking_lot::Mutex;
use strum::{Display, IntoStaticStr};
use tokio::{
    sync::oneshot,
    task::AbortHandle,
    time::{sleep_until, timeout_at},
};

use crate::{
    relay::{
        buffer::ResponseBuffer,
        choice::Observation,
        host::Host,
        pool::Connection,
        request::Query,
        settings::Headers,
        target::Target,
        typical::LatencyEstimate,
        wait::{self, WaitQueue},
    },
    route,
    state::Change,
    wire::control::ProcessId,
};

/// Longest pause that a target is granted, so that a faulty value does not take it out of service for good.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// An exchange with a target that may get no new sub-requests is logged if it ends later than this.
const LATE_EXCHANGE: Duration = Duration::from_secs(1);

/// Statuses of a final response. Any other one says nothing that could be trusted, not even that the request did not run.
const VALID_STATUSES: RangeInclusive<u16> = 200..=599;

/// A connection is silent if no response header arrived for this many times the route's late threshold, and for at
/// least the minimum. The target is then avoided and its connections are not reused, but the exchange keeps waiting.
const SILENCE_FACTOR: u32 = 4;
const MIN_SILENCE: Duration = Duration::from_millis(400);

/// Header that tells how long the sender keeps an idle connection open.
pub(super) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A complete response of a target.
#[derive(Clone, Debug)]
pub(super) struct TargetResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The process of the target, if it says that it is leaving.
    pub(super) leaving: Option<ProcessId>,
}

/// The outcome of an exchange.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The target responded, possibly with an error status.
    Answered(TargetResponse),
    /// The target did not run the request, so it may be sent to another one.
    NotRun(NotRunReason),
    /// The target may have run the request.
    Unknown(UnknownReason),
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum NotRunReason {
    /// The target refused to run it.
    Shed,
    /// Another process now has the address of the target.
    WrongProcess,
    /// No connection could be established, or it was closed before any byte was sent.
    Unreachable,
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum UnknownReason {
    /// The connection broke before the response was complete, or the body is too long to be
    /// buffered.
    Disconnected,
    /// The response belongs to another request or is invalid.
    BadAnswer,
    /// The response did not arrive before the hard deadline.
    Timeout,
}

/// Decides what happens to running exchanges when their handle is dropped. Once the flag is set they finish in the
/// background; until then they are aborted, which closes their connections.
#[derive(Default)]
pub(super) struct DetachFlag(AtomicBool);

impl DetachFlag {
    /// Lets running exchanges finish in the background, so that their connections can be reused.
    pub(super) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether exchanges may finish in the background.
    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A running exchange. Dropping it aborts the exchange, unless the flag of its request or of its call is set.
pub(super) struct ExchangeHandle {
    pub(super) target: Arc<Target>,
    outcome: oneshot::Receiver<Outcome>,
    task: AbortHandle,
    request_detach: Arc<DetachFlag>,
    call_detach: Arc<DetachFlag>,
}

impl ExchangeHandle {
    /// Waits for the outcome.
    pub(super) async fn join(mut self) -> (Arc<Target>, Outcome) {
        let outcome = (&mut self.outcome).await;
        (self.target.clone(), outcome.unwrap_or(Outcome::Unknown(UnknownReason::Disconnected)))
    }
}

impl Drop for ExchangeHandle {
    fn drop(&mut self) {
        if !self.request_detach.is_set() && !self.call_detach.is_set() {
            self.task.abort();
        }
    }
}

/// Counts an exchange as in flight at its target until it is dropped, which wakes a sub-request that waits for room.
struct InFlightGuard {
    target: Arc<Target>,
    queue: WaitQueue,
    started_at: Instant,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.target.stats.lock().end_request(self.started_at);
        wait::wake_next(&self.queue);
    }
}

/// Starts an exchange in a task of its own.
pub(super) fn start(
    host: &Arc<Host>,
    query: &Arc<Query>,
    call_detach: &Arc<DetachFlag>,
    queue: &WaitQueue,
    target: &Arc<Target>,
) -> ExchangeHandle {
    let (tx, outcome) = oneshot::channel();
    let started_at = Instant::now();
    target.stats.lock().start_request(started_at);
    target.cold_start.lock().record(started_at);
    let in_flight = InFlightGuard { target: target.clone(), queue: queue.clone(), started_at };
    let request_detach = query.detach.clone();
    let (host, query) = (host.clone(), query.clone());
    let task = tokio::spawn(async move {
        let outcome = run_and_record(&host, &query, &in_flight).await;
        drop(in_flight);
        let _ = tx.send(outcome);
    });
    let task = task.abort_handle();
    ExchangeHandle {
        target: target.clone(),
        outcome,
        task,
        request_detach,
        call_detach: call_detach.clone(),
    }
}

async fn run_and_record(host: &Host, query: &Query, in_flight: &InFlightGuard) -> Outcome {
    let target = &in_flight.target;
    let latency = &query.route().latency;
    let outcome = match timeout_at(query.hard_deadline.into(), send(host, query, target)).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Unknown(UnknownReason::Timeout),
    };
    let now = Instant::now();
    log_if_late(query, in_flight, &outcome, now);
    let observation = match &outcome {
        Outcome::Answered(it) if it.status.is_server_error() => Observation::Failed,
        Outcome::Answered(_) => {
            let took = (now - in_flight.started_at).saturating_sub(target.pool.round_trip());
            Observation::Answered(record_latency(latency, took))
        }
        Outcome::NotRun(NotRunReason::Shed) => Observation::Failed,
        Outcome::NotRun(_) | Outcome::Unknown(_) => Observation::NoResponse,
    };
    if matches!(outcome, Outcome::NotRun(NotRunReason::WrongProcess)) {
        target.set_usable(false);
    }
    target.stats.lock().record(observation, now);
    host.metrics.record_exchange(&outcome, now - in_flight.started_at);
    outcome
}

/// Logs an exchange that ends long after its target was taken out of service, and whether it was sent before that.
fn log_if_late(query: &Query, in_flight: &InFlightGuard, outcome: &Outcome, now: Instant) {
    let InFlightGuard { target, started_at, .. } = in_flight;
    let Some(since) = target.unusable_since().filter(|it| now - *it > LATE_EXCHANGE) else {
        return;
    };
    let outcome: &'static str = match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::NotRun(reason) => reason.into(),
        Outcome::Unknown(reason) => reason.into(),
    };
    log::info!(
        "event=exchange_ended_late request={} target={} incarnation={} outcome={outcome} took_ms={} \
         out_of_service_ms={} revision={}",
        query.id(),
        target.name,
        target.incarnation,
        (now - *started_at).as_millis(),
        (now - since).as_millis(),
        query.view.revision
    );
}

/// Adds a sample to the estimate. Returns the sample divided by the median before it.
fn record_latency(latency: &Mutex<LatencyEstimate>, took: Duration) -> f64 {
    let mut latency = latency.lock();
    let median = latency.median();
    latency.record(took);
    took.as_secs_f64() / median.as_secs_f64()
}

async fn send(host: &Host, query: &Query, target: &Target) -> Outcome {
    if let Some(conn) = target.pool.take_idle().await
        && let Some(outcome) = send_on_connection(host, query, target, conn).await
    {
        return outcome;
    }
    let conn = match target.pool.connect().await {
        Ok(conn) => conn,
        Err(err) => {
            log::debug!("event=connect_failed target={} cause={err:?}", target.name);
            return Outcome::NotRun(NotRunReason::Unreachable);
        }
    };
    host.metrics.connections.with_label_values::<&str>(&[]).inc();
    let outcome = send_on_connection(host, query, target, conn).await;
    outcome.unwrap_or(Outcome::NotRun(NotRunReason::Unreachable))
}

/// Sends the request on a connection and reads the response. `None` if no byte of the request was sent.
async fn send_on_connection(
    host: &Host,
    query: &Query,
    target: &Target,
    mut conn: Connection,
) -> Option<Outcome> {
    let request = query.target_request(&host.cfg.headers, target);
    let silence = (query.route().latency.lock().late_threshold() * SILENCE_FACTOR).max(MIN_SILENCE);
    let silent_at = Instant::now() + target.pool.round_trip() + silence;
    let mut response = std::pin::pin!(conn.sender.try_send_request(request));
    let head = tokio::select! {
        head = &mut response => head,
        () = sleep_until(silent_at.into()) => {
            log::info!(
                "event=connection_silent request={} target={} limit_ms={}",
                query.id(), target.name, silence.as_millis()
            );
            target.stats.lock().record(Observation::NoResponse, Instant::now());
            target.pool.invalidate();
            response.await
        }
    };
    let head = match head {
        Ok(head) => head,
        Err(mut err) => {
            let unsent = err.take_message().is_some();
            return (!unsent).then(|| Outcome::Unknown(unknown_reason(err.error())));
        }
    };
    Some(read_response(host, query, target, conn, head).await)
}

async fn read_response(
    host: &Host,
    query: &Query,
    target: &Target,
    conn: Connection,
    head: Response<Incoming>,
) -> Outcome {
    let names = &host.cfg.headers;
    let (head, body) = head.into_parts();
    let is_own = head.headers.get(&names.request_id) == query.request_id.as_ref();
    let has_id = head.headers.contains_key(&names.request_id);
    let is_foreign = !is_own && (has_id || conn.is_reused);
    if !is_foreign {
        // These hold even if the body does not arrive.
        record_wishes(host, target, &head);
    }
    let mut buffer = ResponseBuffer::new(&host.buffers, query.max_records());
    let body = match buffer.collect(body).await {
        Ok(body) => body,
        Err(err) => {
            log::info!(
                "event=response_incomplete request={} target={} cause={err:?}",
                query.id(),
                target.name
            );
            return Outcome::Unknown(UnknownReason::Disconnected);
        }
    };
    let keep_alive = keep_alive_timeout(&head.headers);
    if is_foreign {
        log::info!(
            "event=response_discarded request={} target={} status={} cause=\"{} on a {} connection\"",
            query.id(),
            target.name,
            head.status.as_u16(),
            if has_id { "id of another request" } else { "no request id" },
            if conn.is_reused { "reused" } else { "new" },
        );
        return Outcome::Unknown(UnknownReason::BadAnswer);
    }
    let outcome = classify(names, target, head, body);
    if has_id && query.body.is_empty() && is_reusable(query, &outcome) {
        target.pool.put_idle(conn, keep_alive);
    }
    outcome
}

/// Heeds what a target says of itself in a response: that it is leaving, or that it wants no requests for some time.
fn record_wishes(host: &Host, target: &Target, head: &response::Parts) {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        // The response is from another process.
        return;
    }
    if says_leaving(&host.cfg.headers, &head.headers) {
        retire(host, target);
    }
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(pause) = retry_after(&head.headers)
    {
        log::info!("event=target_paused target={} pause_ms={}", target.name, pause.as_millis());
        target.pause(Instant::now() + pause);
    }
}

fn says_leaving(names: &Headers, headers: &HeaderMap) -> bool {
    headers.get(&names.leaving).is_some_and(|it| it == "1")
}

/// Sends a target nothing more after it has said that it is leaving, and reports it.
pub(super) fn retire(host: &Host, target: &Target) {
    if !host.retired.insert(target) {
        return;
    }
    let Target { name, incarnation, .. } = target;
    log::info!("event=target_leaving target={name} incarnation={incarnation}");
    host.reports.push(Change::RetireTarget { name: name.clone(), incarnation: *incarnation });
    host.submit_now.notify_one();
}

/// The time in `Retry-After`, if it is given in seconds.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::try_from_secs_f64(seconds).ok()?.min(MAX_PAUSE))
}

/// Whether the connection of an exchange with this outcome may carry another request. The next request of an
/// at-most-once call has the id of the refused one, so a late copy of the refusal would claim that it did not run.
fn is_reusable(query: &Query, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered(it) => !it.headers.get(CONNECTION).is_some_and(has_close_token),
        Outcome::NotRun(_) => query.route().config.kind == route::Kind::Idempotent,
        Outcome::Unknown(_) => false,
    }
}

/// What a complete response to this request means.
fn classify(names: &Headers, target: &Target, head: response::Parts, body: Bytes) -> Outcome {
    if !VALID_STATUSES.contains(&head.status.as_u16()) {
        return Outcome::Unknown(UnknownReason::BadAnswer);
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(NotRunReason::WrongProcess);
    }
    if head.headers.contains_key(&names.not_run) {
        return Outcome::NotRun(NotRunReason::Shed);
    }
    if head.status.is_success() && !head.headers.contains_key(&names.signature) {
        return Outcome::Unknown(UnknownReason::BadAnswer);
    }
    let leaving = says_leaving(names, &head.headers).then(|| target.process());
    Outcome::Answered(TargetResponse { status: head.status, headers: head.headers, body, leaving })
}

fn unknown_reason(err: &hyper::Error) -> UnknownReason {
    if err.is_parse() { UnknownReason::BadAnswer } else { UnknownReason::Disconnected }
}

fn has_close_token(value: &HeaderValue) -> bool {
    value.to_str().is_ok_and(|it| it.split(',').any(|it| it.trim().eq_ignore_ascii_case("close")))
}

/// How long the target keeps an idle connection, if the response says so.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// A request as it is sent to a target.
pub(super) type TargetRequest = Request<Full<Bytes>>;
