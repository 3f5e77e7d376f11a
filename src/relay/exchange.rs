//! One HTTP exchange with one target: its task, its outcome and what is recorded of it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use parking_lot::Mutex;
use strum::{Display, IntoStaticStr};
use tokio::{sync::oneshot, task::AbortHandle, time::timeout_at};

use crate::{
    relay::{
        choice::Observation,
        evidence,
        host::Host,
        request::Query,
        rollout::Subject,
        target::Target,
        transmit,
        typical::LatencyEstimate,
        view::Service,
        wait::{self, WaitQueue},
    },
    wire::control::ProcessId,
};

/// An exchange with a target that may get no new sub-requests is logged if it ends later than this.
const LATE_EXCHANGE: Duration = Duration::from_secs(1);

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
    /// The tenant no longer holds the key. Nothing was sent.
    KeyWithdrawn,
    /// Whether the tenant still holds the key is not known. Nothing was sent.
    ConfigUnconfirmed,
    /// A rollout does not allow requests to the target any more. No byte was sent.
    Withdrawn,
}

impl NotRunReason {
    /// Whether the request ends, because no other target may run it either.
    pub(super) fn is_final(self) -> bool {
        matches!(self, Self::KeyWithdrawn | Self::ConfigUnconfirmed)
    }
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

/// An exchange with a target. It counts as in flight there until it is dropped, which wakes a sub-request that waits for
/// room.
pub(super) struct Attempt {
    pub(super) target: Arc<Target>,
    queue: WaitQueue,
    started_at: Instant,
    sent_at: Mutex<Option<Instant>>,
    subject: Option<Subject>,
}

impl Attempt {
    /// The side of the running rollout that the exchange gives evidence of.
    pub(super) fn subject(&self) -> Option<&Subject> {
        self.subject.as_ref()
    }

    /// When the request was handed to a connection, if it was.
    pub(super) fn sent_at(&self) -> Option<Instant> {
        *self.sent_at.lock()
    }

    /// Records that the request is handed to a connection now.
    pub(super) fn record_sent(&self) {
        *self.sent_at.lock() = Some(Instant::now());
        if let Some(subject) = &self.subject {
            subject.record_sent();
        }
    }
}

impl Drop for Attempt {
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
    service: &Service,
    target: &Arc<Target>,
) -> ExchangeHandle {
    let (tx, outcome) = oneshot::channel();
    let started_at = Instant::now();
    // The exchange is in flight before its target's admission is checked: a relay that reports nothing in flight at a
    // version after it has closed it thus sends nothing there later.
    target.stats.lock().start_request(started_at);
    target.cold_start.lock().record(started_at);
    let attempt = Attempt {
        target: target.clone(),
        queue: service.queue.clone(),
        started_at,
        sent_at: Mutex::default(),
        subject: service.rollout.as_ref().and_then(|it| Subject::new(it, target)),
    };
    let request_detach = query.detach.clone();
    let (host, query) = (host.clone(), query.clone());
    let task = tokio::spawn(async move {
        let outcome = run_and_record(&host, &query, &attempt).await;
        drop(attempt);
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

async fn run_and_record(host: &Host, query: &Query, attempt: &Attempt) -> Outcome {
    let target = &attempt.target;
    let latency = &query.route().latency;
    let sending = transmit::send(host, query, attempt);
    let outcome = match timeout_at(query.hard_deadline.into(), sending).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Unknown(UnknownReason::Timeout),
    };
    let now = Instant::now();
    log_if_late(query, attempt, &outcome, now);
    if matches!(outcome, Outcome::NotRun(reason) if reason.is_final()) {
        // It tells nothing about the target.
        return outcome;
    }
    evidence::record(query, attempt, &outcome, now);
    let observation = match &outcome {
        Outcome::Answered(it) if it.status.is_server_error() => Some(Observation::Failed),
        Outcome::Answered(_) => {
            let took = (now - attempt.started_at).saturating_sub(target.pool.round_trip());
            Some(Observation::Answered(record_latency(latency, took)))
        }
        Outcome::NotRun(NotRunReason::Shed) => Some(Observation::Failed),
        Outcome::NotRun(NotRunReason::Withdrawn) => None,
        Outcome::NotRun(_) | Outcome::Unknown(_) => Some(Observation::NoResponse),
    };
    if matches!(outcome, Outcome::NotRun(NotRunReason::WrongProcess)) {
        target.set_usable(false);
    }
    if let Some(observation) = observation {
        target.stats.lock().record(observation, now);
    }
    host.metrics.record_exchange(&outcome, now - attempt.started_at);
    outcome
}

/// Logs an exchange that ends long after its target was taken out of service, and whether it was sent before that.
fn log_if_late(query: &Query, attempt: &Attempt, outcome: &Outcome, now: Instant) {
    let Attempt { target, started_at, .. } = attempt;
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
