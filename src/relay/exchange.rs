//! One request to one target, from the choice of a connection to the complete answer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderName, HeaderValue},
};
use parking_lot::Mutex;
use strum::{Display, IntoStaticStr};
use tokio::{
    sync::oneshot,
    task::AbortHandle,
    time::{sleep_until, timeout_at},
};

use crate::relay::{
    choice::Observed, host::Host, pool::Connection, request::Query, target::Target,
    typical::Typical,
};

/// The longest answer that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A connection without an answer for this many times the usual late one, and at least this long, is silent.
const SILENCE_FACTOR: u32 = 4;
const SILENCE_LEAST: Duration = Duration::from_millis(400);

/// Says how long the sender keeps an idle connection.
pub(super) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A complete answer of a target.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// How an exchange ended.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The target answered.
    Answered(Answer),
    /// The target did not run the request.
    NotRun(Refused),
    /// The target may have run the request.
    Unknown(Broken),
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Refused {
    /// The target says so.
    Shed,
    /// Another process has the address.
    WrongProcess,
    /// There was no connection.
    Unreachable,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Broken {
    /// The connection ended before the answer was complete.
    Disconnected,
    /// The answer belongs to another request, or is none.
    BadAnswer,
    /// There was no answer in time.
    Timeout,
}

/// Whether a request or a sub-request has its answer. Exchanges for one that is dropped without an answer end at once.
#[derive(Default)]
pub(super) struct DetachFlag(AtomicBool);

impl DetachFlag {
    /// Lets exchanges that still run end by themselves: their connections can be used again.
    pub(super) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether there is an answer.
    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// An exchange under way.
pub(super) struct Running {
    pub(super) target: Arc<Target>,
    outcome: oneshot::Receiver<Outcome>,
    task: AbortHandle,
    request_detach: Arc<DetachFlag>,
    call_detach: Arc<DetachFlag>,
}

impl Running {
    /// Waits for the end.
    pub(super) async fn end(mut self) -> (Arc<Target>, Outcome) {
        let outcome = (&mut self.outcome).await;
        (self.target.clone(), outcome.unwrap_or(Outcome::Unknown(Broken::Disconnected)))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.request_detach.is_set() && !self.call_detach.is_set() {
            self.task.abort();
        }
    }
}

/// Counts an exchange at its target.
struct Started {
    target: Arc<Target>,
    at: Instant,
}

impl Drop for Started {
    fn drop(&mut self) {
        self.target.standing.lock().end(self.at);
    }
}

/// Starts an exchange.
pub(super) fn start(
    host: &Arc<Host>,
    query: &Arc<Query>,
    call_detach: &Arc<DetachFlag>,
    target: &Arc<Target>,
) -> Running {
    let (tx, outcome) = oneshot::channel();
    let at = Instant::now();
    target.standing.lock().start(at);
    target.cold.lock().count(at);
    let started = Started { target: target.clone(), at };
    let request_detach = query.detach.clone();
    let (host, query) = (host.clone(), query.clone());
    let task = tokio::spawn(async move {
        let outcome = observe(&host, &query, &started).await;
        drop(started);
        let _ = tx.send(outcome);
    });
    let task = task.abort_handle();
    Running {
        target: target.clone(),
        outcome,
        task,
        request_detach,
        call_detach: call_detach.clone(),
    }
}

async fn observe(host: &Host, query: &Query, started: &Started) -> Outcome {
    let target = &started.target;
    let typical = &query.path().typical;
    let outcome = match timeout_at(query.give_up.into(), run(host, query, target)).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Unknown(Broken::Timeout),
    };
    let now = Instant::now();
    let observed = match &outcome {
        Outcome::Answered(it) if it.status.is_server_error() => Observed::Failed,
        Outcome::Answered(_) => {
            let took = (now - started.at).saturating_sub(target.pool.round_trip());
            Observed::Answered(record(typical, took))
        }
        Outcome::NotRun(Refused::Shed) => Observed::Failed,
        Outcome::NotRun(_) | Outcome::Unknown(_) => Observed::Silent,
    };
    if matches!(outcome, Outcome::NotRun(Refused::WrongProcess)) {
        target.set_usable(false);
    }
    target.standing.lock().learn(observed, now);
    host.metrics.exchange(&outcome, now - started.at);
    outcome
}

/// Records a time and returns it as a share of the usual one.
fn record(typical: &Mutex<Typical>, took: Duration) -> f64 {
    let mut typical = typical.lock();
    let usual = typical.median();
    typical.record(took);
    took.as_secs_f64() / usual.as_secs_f64()
}

async fn run(host: &Host, query: &Query, target: &Target) -> Outcome {
    if let Some(conn) = target.pool.reuse().await
        && let Some(outcome) = attempt(host, query, target, conn).await
    {
        return outcome;
    }
    let conn = match target.pool.connect().await {
        Ok(conn) => conn,
        Err(err) => {
            log::debug!("event=connect_failed target={} cause={err:?}", target.name);
            return Outcome::NotRun(Refused::Unreachable);
        }
    };
    host.metrics.connections.with_label_values::<&str>(&[]).inc();
    let outcome = attempt(host, query, target, conn).await;
    outcome.unwrap_or(Outcome::NotRun(Refused::Unreachable))
}

/// Sends the request on a connection. None if no byte of it was sent.
async fn attempt(
    host: &Host,
    query: &Query,
    target: &Target,
    mut conn: Connection,
) -> Option<Outcome> {
    let request = query.to_target(&host.cfg.headers, target);
    let silence = (query.path().typical.lock().late() * SILENCE_FACTOR).max(SILENCE_LEAST);
    let silent_at = Instant::now() + target.pool.round_trip() + silence;
    let mut answer = std::pin::pin!(conn.sender.try_send_request(request));
    let head = tokio::select! {
        head = &mut answer => head,
        () = sleep_until(silent_at.into()) => {
            log::info!(
                "event=connection_silent request={} target={} limit_ms={}",
                query.id(), target.name, silence.as_millis()
            );
            target.standing.lock().learn(Observed::Silent, Instant::now());
            target.pool.renew();
            answer.await
        }
    };
    let head = match head {
        Ok(head) => head,
        Err(mut err) => {
            let unsent = err.take_message().is_some();
            return (!unsent).then(|| Outcome::Unknown(broken(err.error())));
        }
    };
    Some(finish(host, query, target, conn, head).await)
}

async fn finish(
    host: &Host,
    query: &Query,
    target: &Target,
    conn: Connection,
    head: Response<Incoming>,
) -> Outcome {
    let names = &host.cfg.headers;
    let (head, body) = head.into_parts();
    let body = match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Outcome::Unknown(Broken::Disconnected),
    };
    let answered = head.headers.get(&names.request_id);
    if answered.is_some() && answered != query.request_id.as_ref() {
        return Outcome::Unknown(Broken::BadAnswer);
    }
    let closes = head.headers.get(CONNECTION).is_some_and(names_close);
    if !closes && query.body.is_empty() {
        target.pool.give_back(conn, keep_alive(&head.headers));
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(Refused::WrongProcess);
    }
    if head.headers.contains_key(&names.not_run) {
        return Outcome::NotRun(Refused::Shed);
    }
    if head.status.is_informational()
        || head.status.is_success() && !head.headers.contains_key(&names.signature)
    {
        return Outcome::Unknown(Broken::BadAnswer);
    }
    Outcome::Answered(Answer { status: head.status, headers: head.headers, body })
}

fn broken(err: &hyper::Error) -> Broken {
    if err.is_parse() { Broken::BadAnswer } else { Broken::Disconnected }
}

fn names_close(value: &HeaderValue) -> bool {
    value.to_str().is_ok_and(|it| it.split(',').any(|it| it.trim().eq_ignore_ascii_case("close")))
}

/// How long the target keeps an idle connection, if it says so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// A request to a target.
pub(super) type Outgoing = Request<Full<Bytes>>;
