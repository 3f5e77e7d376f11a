//! Connections of an owned target: each is one task that takes jobs from the target's queue.

use std::{sync::Arc, time::Duration};

use hyper::StatusCode;
use tokio::{sync::Notify, time::Instant};

use crate::{
    error::Kind,
    owner::{
        batch::{Job, Work},
        exchange,
        guard::{Open, Slot},
        link::{Answer, Fault, Link, Message},
        target::{Next, Target},
    },
    wire::target::{Cancel, Health},
};

/// How often an idle connection is checked.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// How long the answer to a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the health request after a broken connection may take.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects, and works until the connection ends or is no longer needed.
pub(super) async fn run(target: Arc<Target>, mut open: Open) {
    let Ok(mut link) = Link::open(target.addr).await else {
        target.doubt();
        open.refused();
        return;
    };
    let doubtful = target.state.lock().limit.awaits_report();
    if doubtful && !verify(&target, &mut link).await {
        open.refused();
        return;
    }
    let mut worker = Worker { target, link, wake: Arc::new(Notify::new()), unknown: None };
    open.connected();
    worker.work().await;
    if worker.link.ended() {
        worker.target.doubt();
    }
    drop(open);
    if let Some((slot, deadline)) = worker.unknown.take() {
        tokio::time::sleep_until(deadline).await;
        drop(slot);
    }
}

/// Whether the process that this owner knows answers on a new connection. Its next process, which has another owner
/// state, may listen on the same address already.
async fn verify(target: &Target, link: &mut Link) -> bool {
    let silence = target.shared.silence;
    let end = Instant::now() + silence;
    let Ok(answer) = link.exchange(Message::get("/v1/health"), end, end, || ()).await else {
        return false;
    };
    let Some(health) = health(&answer) else { return link.ready(silence).await };
    target.report(health.incarnation, health.cold);
    health.incarnation == target.incarnation && link.ready(silence).await
}

struct Worker {
    target: Arc<Target>,
    link: Link,
    wake: Arc<Notify>,
    /// The slot of a request that the target may still run although the connection broke, and its deadline.
    unknown: Option<(Slot, Instant)>,
}

impl Worker {
    async fn work(&mut self) {
        let mut woken = false;
        loop {
            let usable = match self.target.next(&self.wake, woken) {
                Next::Work(job, slot, id) => {
                    woken = false;
                    self.run(job, slot, id).await
                }
                Next::Cancel(id) => {
                    woken = false;
                    self.cancel(id).await
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
        let end = Instant::now() + silence;
        let answer = self.link.exchange(Message::get("/v1/health"), end, end, || ()).await;
        match answer {
            Ok(answer) => {
                if let Some(health) = health(&answer) {
                    self.target.report(health.incarnation, health.cold);
                }
                self.link.ready(silence).await
            }
            Err(fault) => {
                if fault == Fault::Timeout {
                    self.target.replace();
                }
                false
            }
        }
    }

    async fn cancel(&mut self, id: u64) -> bool {
        let Ok(body) = serde_json::to_vec(&Cancel { id }) else { return true };
        self.target.shared.meter.cancels.inc();
        let end = Instant::now() + CANCEL_TIMEOUT;
        let message = Message::post("/v1/cancel", body);
        let answer = self.link.exchange(message, end, end, || ()).await;
        answer.is_ok() && self.link.ready(CANCEL_TIMEOUT).await
    }

    /// Runs one job. False if the connection has to end.
    async fn run(&mut self, job: Job, slot: Slot, id: u64) -> bool {
        let target = self.target.clone();
        let shared = &target.shared;
        let started = std::time::Instant::now();
        // A target must not run anything longer than the new owner waits after the lease of this one.
        let deadline = job.deadline.min(started + shared.max_sub_request);
        let span = exchange::span(&job, &target);
        let message = exchange::message(&job, id, deadline - started, span.as_ref());
        if let Err(kind) = shared.lease.check() {
            slot.release();
            target.reject(job, kind);
            return true;
        }
        let silent_at = Instant::from_std(started + shared.silence);
        let deadline = Instant::from_std(deadline);
        let sent = self.link.exchange(message, silent_at, deadline, || target.replace());
        let answer = sent.await;
        let elapsed = started.elapsed();
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
        let Ok(mut link) = Link::open(self.target.addr).await else { return true };
        let end = Instant::now() + CRASH_CHECK_TIMEOUT;
        let answer = link.exchange(Message::get("/v1/health"), end, end, || ()).await;
        match answer {
            Ok(answer) => {
                health(&answer).is_some_and(|it| it.incarnation != self.target.incarnation)
            }
            // A process that ends closes what it had accepted; one that is only slow does not.
            Err(fault) => fault != Fault::Timeout,
        }
    }
}

fn health((status, body): &Answer) -> Option<Health> {
    if *status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(body).ok()
}

/// The error kind of an exchange that has no complete answer.
pub(super) fn kind(fault: Fault) -> Kind {
    match fault {
        Fault::Unsent => Kind::NoTarget,
        Fault::Broken => Kind::Disconnected,
        Fault::CutOff => Kind::BadAnswer,
        Fault::Timeout => Kind::Timeout,
    }
}
