//! Connections of an owned target: each is one task that takes jobs from the target's queue.

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
        batch::{Job, Work},
        exchange,
        guard::{Open, Slot},
        link::{Fault, Link, Message},
        target::{Cancelling, Next, Start, Target},
    },
    wire::target::{Cancel, Health},
};

/// How often an idle connection is checked.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// How long the answer to a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// The target's deadline lies this much earlier than the owner's, so that it has given up when the owner frees the slot.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// How long the health request after a broken connection may take.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the health request is tried while the target closes the connection without an answer.
const CRASH_CHECKS: u32 = 5;

/// The pause between two health requests after a broken connection.
const CRASH_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Starts the task of a connection.
pub(super) fn spawn(open: Open) {
    // Without a runtime the process ends, and a guard that is dropped then asks for a connection in vain.
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(run(open));
    }
}

/// Connects, and works until the connection ends or is no longer needed.
async fn run(mut open: Open) {
    let target = open.target.clone();
    let Some(link) = connect(&target).await else {
        target.doubt();
        open.refused();
        return;
    };
    let epoch = open.connected();
    let wake = Arc::new(Notify::new());
    let mut worker = Worker { target, link, wake, epoch, unknown: None };
    worker.work().await;
    drop(open);
    if let Some((slot, deadline)) = worker.unknown.take() {
        tokio::time::sleep_until(deadline).await;
        drop(slot);
    }
}

/// Opens a connection to the process that announced the target. Another process at this address may be cold, so it gets
/// no work before it has announced itself.
async fn connect(target: &Target) -> Option<Link> {
    let mut link = Link::open(target.addr).await.ok()?;
    let health = ask_health(&mut link, target.shared.silence).await.ok()??;
    target.report(health.incarnation, health.cold);
    let ready = link.ready(target.shared.silence).await;
    (ready && health.incarnation == target.incarnation).then_some(link)
}

struct Worker {
    target: Arc<Target>,
    link: Link,
    wake: Arc<Notify>,
    /// Connections of an earlier epoch than the target's were open when one of them stopped carrying data.
    epoch: u64,
    /// The slot of a request that the target may still run although the connection broke, and its deadline.
    unknown: Option<(Slot, Instant)>,
}

impl Worker {
    async fn work(&mut self) {
        let mut woken = false;
        loop {
            let usable = match self.target.next(&self.wake, self.epoch, woken) {
                Next::Work(start) => {
                    woken = false;
                    self.run(start).await
                }
                Next::Cancel(cancel) => {
                    woken = false;
                    self.cancel(cancel).await
                }
                Next::Park => {
                    woken = true;
                    self.park(&mut woken).await
                }
                Next::Close => return,
            };
            if !usable {
                return;
            }
        }
    }

    /// Waits for work. False if the connection has to end.
    async fn park(&mut self, woken: &mut bool) -> bool {
        let wake = self.wake.clone();
        let alive = tokio::select! {
            biased;
            () = wake.notified() => return true,
            () = self.link.closed() => false,
            () = tokio::time::sleep(PING_INTERVAL) => true,
        };
        if !self.target.unpark(&self.wake) {
            // Woken at the same moment: the wake-up is either used or passed on.
            wake.notified().await;
            if !alive {
                self.target.pass_on();
            }
            return alive;
        }
        *woken = false;
        alive && self.ping().await
    }

    async fn ping(&mut self) -> bool {
        let silence = self.target.shared.silence;
        match ask_health(&mut self.link, silence).await {
            Ok(health) => {
                if let Some(health) = health {
                    self.target.report(health.incarnation, health.cold);
                }
                self.link.ready(silence).await
            }
            Err(fault) => {
                if fault == Fault::Timeout {
                    self.target.distrust(self.epoch);
                }
                false
            }
        }
    }

    async fn cancel(&mut self, cancel: Cancelling) -> bool {
        let Ok(body) = serde_json::to_vec(&Cancel { id: cancel.id }) else { return true };
        self.target.shared.meter.cancels.inc();
        let answer = self.link.ask(Message::post("/v1/cancel", body), CANCEL_TIMEOUT).await;
        let confirmed = answer.as_ref().is_ok_and(|(status, _)| status.is_success());
        cancel.confirm(confirmed);
        answer.is_ok() && self.link.ready(CANCEL_TIMEOUT).await
    }

    /// Runs one job. False if the connection has to end.
    async fn run(&mut self, start: Start) -> bool {
        let Start { job, slot, id, silence } = start;
        let target = self.target.clone();
        let shared = &target.shared;
        let started = std::time::Instant::now();
        // A target must not run anything longer than the new owner waits after the lease of this one.
        let deadline = job.deadline.min(started + shared.max_sub_request);
        let span = exchange::span(&job, &target);
        let left = (deadline - started).saturating_sub(DEADLINE_MARGIN);
        let message = exchange::message(&job, id, left, span.as_ref());
        if let Err(kind) = shared.lease.check() {
            slot.release();
            target.reject(job, kind);
            return true;
        }
        let silent_at = Instant::from_std(started + silence);
        let deadline = Instant::from_std(deadline);
        let probing = AtomicBool::new(false);
        let probe = || target.probe(&job, id, self.epoch, &probing);
        let answer = self.link.exchange(message, silent_at, deadline, probe).await;
        let elapsed = started.elapsed();
        if probing.into_inner() && exchange::cancelled(&answer) {
            drop(slot);
            target.take_back(Job { may_have_run: true, ..job });
            return answer.is_ok() && self.link.ready(shared.silence).await;
        }
        if answer == Err(Fault::Unsent) {
            drop(slot);
            target.take_back(job);
            return false;
        }
        if matches!(answer, Err(Fault::Broken | Fault::CutOff)) {
            target.doubt();
            self.check_crash(&job).await;
            if answer == Err(Fault::Broken) {
                target.cancel_sub(&job, id);
                self.unknown = Some((slot, deadline));
            }
            exchange::finish(&target, &job, id, &answer, elapsed);
            return false;
        }
        exchange::learn(&target, &job, &answer, elapsed);
        exchange::finish(&target, &job, id, &answer, elapsed);
        let usable = answer.is_ok() && self.link.ready(shared.silence).await;
        if usable {
            slot.release();
        }
        usable
    }

    /// Asks the target for its health on a new connection. If it does not accept one, or another process answers, it
    /// crashed, and the request is recorded as suspect before its result is returned.
    async fn check_crash(&self, job: &Job) {
        let Some(fingerprint) = job.watched() else { return };
        if self.crashed().await {
            let request = match &job.work {
                Work::Sub { batch, .. } => batch.batch.request_id,
                Work::Run(run) => run.dispatch.request_id,
            };
            let request = uuid::Uuid::from_u128(request).to_string();
            self.target.shared.suspect(fingerprint, &self.target.name, request).await;
        }
    }

    async fn crashed(&self) -> bool {
        for _ in 0..CRASH_CHECKS {
            let mut link = match Link::open(self.target.addr).await {
                Ok(link) => link,
                Err(err) => return err.kind() == io::ErrorKind::ConnectionRefused,
            };
            match ask_health(&mut link, CRASH_CHECK_TIMEOUT).await {
                Ok(health) => {
                    return health.is_some_and(|it| it.incarnation != self.target.incarnation);
                }
                Err(Fault::Timeout) => return false,
                // Either the process is ending, or the target is at its connection limit.
                Err(_) => tokio::time::sleep(CRASH_CHECK_PAUSE).await,
            }
        }
        false
    }
}

/// Asks a target for its health. `None` is an answer that says nothing.
async fn ask_health(link: &mut Link, timeout: Duration) -> Result<Option<Health>, Fault> {
    let (status, body) = link.ask(Message::get("/v1/health"), timeout).await?;
    Ok((status == StatusCode::OK).then(|| serde_json::from_slice(&body).ok()).flatten())
}

/// The error kind of an exchange that has no complete answer.
pub(super) fn kind(fault: Fault) -> Kind {
    match fault {
        Fault::Unsent => Kind::NoTarget,
        Fault::Broken => Kind::Disconnected,
        Fault::CutOff => Kind::BadAnswer,
        Fault::Timeout | Fault::Silent => Kind::Timeout,
    }
}
