//! Connection tasks of an owned target. Each owns one connection and takes jobs from the queues of the target.

use std::{
    io,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use hyper::StatusCode;
use tokio::{sync::Notify, time::Instant};

use crate::{
    error::Kind,
    owner::{
        batch::{Job, Payload},
        exchange,
        guard::{ConnectionPermit, Slot},
        http::{Connection, ExchangeError, TargetRequest},
        target::{NextAction, PendingCancel, ReadyJob, Target},
    },
    wire::target::{Cancel, Health},
};

/// How often an idle connection is checked with a health request.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout of a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// The deadline sent to the target is this much earlier than the owner's, so that the target has given up when the
/// owner frees the slot.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// The timeout of a health request after a broken connection.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// How many health requests are tried after a broken connection if the target closes new connections without a
/// response.
const CRASH_CHECK_ATTEMPTS: u32 = 5;

/// How long to wait between two health requests after a broken connection.
const CRASH_CHECK_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Spawns the task of a connection.
pub(super) fn spawn(permit: ConnectionPermit) {
    // Without a runtime the process is shutting down. A permit dropped then calls `schedule`, and that must not panic.
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(run(permit));
    }
}

/// Connects and runs jobs until the connection is closed or no longer needed.
async fn run(mut permit: ConnectionPermit) {
    let target = permit.target.clone();
    let Some(connection) = connect(&target).await else {
        target.on_connection_failure();
        permit.connect_failed();
        return;
    };
    let epoch = permit.connected();
    let wake = Arc::new(Notify::new());
    let mut worker = Worker { target, connection, wake, epoch, orphaned_slot: None };
    worker.run_jobs().await;
    drop(permit);
    if let Some((slot, deadline)) = worker.orphaned_slot.take() {
        tokio::time::sleep_until(deadline).await;
        drop(slot);
    }
}

/// Opens a connection and checks that the process that announced the target answers. Another process at this address
/// may be cold, so it gets no work before its own announcement.
async fn connect(target: &Target) -> Option<Connection> {
    let mut connection = Connection::open(target.addr).await.ok()?;
    let health = request_health(&mut connection, target.shared.stall_timeout).await.ok()??;
    target.record_health(health.incarnation, health.cold);
    let ready = connection.wait_ready(target.shared.stall_timeout).await;
    (ready && health.incarnation == target.incarnation).then_some(connection)
}

struct Worker {
    target: Arc<Target>,
    connection: Connection,
    /// Identifies this connection on the idle list and wakes it.
    wake: Arc<Notify>,
    /// The epoch of the target when the connection was opened. The connection is closed when the target is in a later
    /// one.
    epoch: u64,
    /// The slot and deadline of a request that the target may still run although the connection broke. The slot stays
    /// taken until the deadline.
    orphaned_slot: Option<(Slot, Instant)>,
}

impl Worker {
    async fn run_jobs(&mut self) {
        let mut woken = false;
        loop {
            let usable = match self.target.next_action(&self.wake, self.epoch, woken) {
                NextAction::Run(ready_job) => {
                    woken = false;
                    self.run_job(ready_job).await
                }
                NextAction::Cancel(cancel) => {
                    woken = false;
                    self.cancel(cancel).await
                }
                NextAction::Park => {
                    woken = true;
                    self.park(&mut woken).await
                }
                NextAction::Close => return,
            };
            if !usable {
                return;
            }
        }
    }

    /// Waits on the idle list for a wake-up, and checks the connection if none comes. Returns false if the connection
    /// is unusable.
    async fn park(&mut self, woken: &mut bool) -> bool {
        let wake = self.wake.clone();
        let alive = tokio::select! {
            biased;
            () = wake.notified() => return true,
            () = self.connection.wait_closed() => false,
            () = tokio::time::sleep(PING_INTERVAL) => true,
        };
        if !self.target.unpark(&self.wake) {
            // `schedule` woke this connection at the same moment and counts on it: consume the wake-up, or hand it on.
            wake.notified().await;
            if !alive {
                self.target.reassign_wakeup();
            }
            return alive;
        }
        *woken = false;
        alive && self.ping().await
    }

    async fn ping(&mut self) -> bool {
        let stall_timeout = self.target.shared.stall_timeout;
        match request_health(&mut self.connection, stall_timeout).await {
            Ok(health) => {
                if let Some(health) = health {
                    self.target.record_health(health.incarnation, health.cold);
                }
                self.connection.wait_ready(stall_timeout).await
            }
            Err(err) => {
                if err == ExchangeError::Timeout {
                    self.target.retire_connections(self.epoch);
                }
                false
            }
        }
    }

    async fn cancel(&mut self, cancel: PendingCancel) -> bool {
        let Ok(body) = serde_json::to_vec(&Cancel { id: cancel.id }) else { return true };
        self.target.shared.metrics.cancels.inc();
        let result =
            self.connection.send(TargetRequest::post("/v1/cancel", body), CANCEL_TIMEOUT).await;
        let confirmed = result.as_ref().is_ok_and(|(status, _)| status.is_success());
        cancel.confirm(confirmed);
        result.is_ok() && self.connection.wait_ready(CANCEL_TIMEOUT).await
    }

    /// Runs one job. Returns false if the connection cannot be used again.
    async fn run_job(&mut self, ready_job: ReadyJob) -> bool {
        let ReadyJob { job, slot, id, stall_timeout } = ready_job;
        let target = self.target.clone();
        let shared = &target.shared;
        let started = std::time::Instant::now();
        // No request may run longer than a new owner waits after the lease of this one has expired.
        let deadline = job.deadline.min(started + shared.max_sub_request);
        let span = exchange::span(&job, &target);
        let left = (deadline - started).saturating_sub(DEADLINE_MARGIN);
        let request = exchange::build_request(&job, id, left, span.as_ref());
        if let Err(kind) = shared.lease.check() {
            slot.release();
            target.reject(job, kind);
            return true;
        }
        let stall_at = Instant::from_std(started + stall_timeout);
        let deadline = Instant::from_std(deadline);
        let cancel_sent = AtomicBool::new(false);
        let probe = || target.cancel_stalled(&job, id, self.epoch, &cancel_sent);
        let result = self.connection.exchange(request, stall_at, deadline, probe).await;
        let elapsed = started.elapsed();
        if cancel_sent.into_inner() && exchange::not_running(&result) {
            drop(slot);
            target.requeue(Job { may_have_run: true, ..job });
            return result.is_ok() && self.connection.wait_ready(shared.stall_timeout).await;
        }
        if result == Err(ExchangeError::NotSent) {
            drop(slot);
            target.requeue(job);
            return false;
        }
        if matches!(result, Err(ExchangeError::Disconnected | ExchangeError::Truncated)) {
            target.on_connection_failure();
            self.check_crash(&job).await;
            if result == Err(ExchangeError::Disconnected) {
                target.cancel_sub_request(&job, id);
                self.orphaned_slot = Some((slot, deadline));
            }
            exchange::record_result(&target, &job, id, &result, elapsed);
            return false;
        }
        exchange::update_limit(&target, &job, &result, elapsed);
        exchange::record_result(&target, &job, id, &result, elapsed);
        let usable = result.is_ok() && self.connection.wait_ready(shared.stall_timeout).await;
        if usable {
            slot.release();
        }
        usable
    }

    /// Checks with a health request on a new connection whether the target crashed during the job: the connection is
    /// refused, or another process answers. A crash is recorded as suspect before the result is returned, so that the
    /// request is not repeated at this target.
    async fn check_crash(&self, job: &Job) {
        let Some(fingerprint) = job.crash_fingerprint() else { return };
        if self.target_crashed().await {
            let request = match &job.payload {
                Payload::Sub { batch, .. } => batch.batch.request_id,
                Payload::Dispatch(call) => call.dispatch.request_id,
            };
            let request = uuid::Uuid::from_u128(request).to_string();
            self.target.shared.report_crash(fingerprint, &self.target.name, request).await;
        }
    }

    async fn target_crashed(&self) -> bool {
        for _ in 0..CRASH_CHECK_ATTEMPTS {
            let mut connection = match Connection::open(self.target.addr).await {
                Ok(connection) => connection,
                Err(err) => return err.kind() == io::ErrorKind::ConnectionRefused,
            };
            match request_health(&mut connection, CRASH_CHECK_TIMEOUT).await {
                Ok(health) => {
                    return health.is_some_and(|it| it.incarnation != self.target.incarnation);
                }
                Err(ExchangeError::Timeout) => return false,
                // The process is ending, or the target is at its connection limit.
                Err(_) => tokio::time::sleep(CRASH_CHECK_RETRY_DELAY).await,
            }
        }
        false
    }
}

/// Sends a health request. Returns `None` for a response that is not a valid health report.
async fn request_health(
    connection: &mut Connection,
    timeout: Duration,
) -> Result<Option<Health>, ExchangeError> {
    let (status, body) = connection.send(TargetRequest::get("/v1/health"), timeout).await?;
    Ok((status == StatusCode::OK).then(|| serde_json::from_slice(&body).ok()).flatten())
}

/// The error kind for an exchange without a complete response.
pub(super) fn error_kind(err: ExchangeError) -> Kind {
    match err {
        ExchangeError::NotSent => Kind::NoTarget,
        ExchangeError::Disconnected => Kind::Disconnected,
        ExchangeError::Truncated => Kind::BadAnswer,
        ExchangeError::Timeout | ExchangeError::Stalled => Kind::Timeout,
    }
}
