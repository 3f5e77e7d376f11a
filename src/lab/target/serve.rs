//! The HTTP API of a stand-in target.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use tokio_util::sync::CancellationToken;

use crate::{
    error::Kind,
    event::unix_ms,
    lab::target::{fault::Damage, gate::Running, host::Host},
    wire::target::{Cancel, Health, Refusal, Run, RunAnswer, Sub, SubAnswer},
};

/// The API of one target.
pub fn router(host: Arc<Host>) -> Router {
    Router::new()
        .route("/v1/sub", post(sub))
        .route("/v1/run", post(run))
        .route("/v1/cancel", post(cancel))
        .route("/v1/health", get(health))
        .with_state(host)
}

async fn sub(State(host): State<Arc<Host>>, Json(sub): Json<Sub>) -> Response {
    let arrived = Instant::now();
    host.until_answering().await;
    let Some(shard) = host.shard(&sub.index, sub.version, sub.shard) else {
        host.receive();
        return host.refuse(Kind::WrongVersion);
    };
    let _running = match host.start(arrived, sub.deadline_ms) {
        Ok(running) => running,
        Err(kind) => return host.refuse(kind),
    };
    host.count_text(&sub.text);
    host.crash_if_poisoned(&sub.text).await;
    let cancelled = host.register(sub.id);
    let service = host.service_secs();
    let end = arrived + Duration::from_millis(sub.deadline_ms);
    let rows = shard.search(&sub.text);
    let worked = tokio::select! {
        () = host.work(service) => Ok(()),
        () = cancelled.token.cancelled() => Err(Kind::Cancelled),
        () = tokio::time::sleep_until(end.into()) => Err(Kind::Timeout),
    };
    if let Err(kind) = worked {
        host.counters.lock().dropped += 1;
        return refusal(kind);
    }
    host.finish(arrived);
    let answer = SubAnswer {
        id: sub.id,
        index: sub.index,
        version: sub.version,
        shard: sub.shard,
        count: rows.len(),
        rows,
    };
    host.damaged(answer)
}

/// A cancel does not stop it: an effect cannot be taken back.
async fn run(State(host): State<Arc<Host>>, Json(run): Json<Run>) -> Response {
    let arrived = Instant::now();
    host.until_answering().await;
    let running = match host.start(arrived, run.deadline_ms) {
        Ok(running) => running,
        Err(kind) => return host.refuse(kind),
    };
    *host.counters.lock().runs.entry(run.key.clone()).or_default() += 1;
    host.crash_if_poisoned(&run.body).await;
    let service = host.service_secs();
    host.work(service).await;
    drop(running);
    host.finish(arrived);
    let result = format!("{} ran {} {}", host.spec.name, run.kind, run.key);
    Json(RunAnswer { id: run.id, result }).into_response()
}

async fn cancel(State(host): State<Arc<Host>>, Json(cancel): Json<Cancel>) -> StatusCode {
    host.until_answering().await;
    if let Some(token) = host.cancels.lock().remove(&cancel.id) {
        token.cancel();
    }
    StatusCode::NO_CONTENT
}

async fn health(State(host): State<Arc<Host>>) -> Json<Health> {
    host.until_answering().await;
    let switches = host.switches.lock();
    let (lie, leaving) = (switches.lie, switches.leaving.is_some());
    drop(switches);
    Json(Health {
        name: host.spec.name.clone(),
        incarnation: host.incarnation(),
        cold: lie.map_or_else(|| host.gate.cold(Instant::now()), |it| it.cold),
        leaving: lie.map_or(leaving, |it| it.leaving),
        in_flight: lie.map_or_else(|| host.gate.running(), |it| it.in_flight),
    })
}

fn refusal(kind: Kind) -> Response {
    let status = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    (status, Json(Refusal { error: kind })).into_response()
}

/// Removes the cancellation of a request that ended.
struct Registered<'a> {
    host: &'a Host,
    id: u64,
    token: CancellationToken,
}

impl Drop for Registered<'_> {
    fn drop(&mut self) {
        self.host.cancels.lock().remove(&self.id);
    }
}

impl Host {
    /// Waits while the target sends nothing.
    async fn until_answering(&self) {
        let _ = self.stalled.subscribe().wait_for(|it| !*it).await;
    }

    /// Counts an arrived request.
    fn receive(&self) {
        let leaving = self.switches.lock().leaving.is_some();
        let mut counters = self.counters.lock();
        counters.received += 1;
        counters.after_leave += u64::from(leaving);
        counters.last_received_ms = unix_ms();
    }

    fn start(&self, arrived: Instant, deadline_ms: u64) -> Result<Running, Kind> {
        self.receive();
        let now = Instant::now();
        if self.switches.lock().leaving.is_some_and(|it| it <= now) {
            return Err(Kind::Draining);
        }
        if now >= arrived + Duration::from_millis(deadline_ms) {
            return Err(Kind::DeadlinePassed);
        }
        let running = self.gate.enter(now)?;
        let mut counters = self.counters.lock();
        counters.started += 1;
        counters.since_mark += 1;
        Ok(running)
    }

    fn refuse(&self, kind: Kind) -> Response {
        self.counters.lock().refused += 1;
        let status = StatusCode::SERVICE_UNAVAILABLE;
        (status, Json(Refusal { error: kind })).into_response()
    }

    fn count_text(&self, text: &str) {
        let watched = self.switches.lock().watch.as_ref().is_some_and(|it| text.starts_with(it));
        if watched {
            *self.counters.lock().texts.entry(text.to_owned()).or_default() += 1;
        }
    }

    async fn crash_if_poisoned(&self, text: &str) {
        let crash_on = self.switches.lock().crash_on.clone();
        if let Some((poison, back_after_ms)) = crash_on
            && text.contains(&poison)
        {
            self.crash(back_after_ms);
            std::future::pending::<()>().await;
        }
    }

    fn register(&self, id: u64) -> Registered<'_> {
        let token = CancellationToken::new();
        self.cancels.lock().insert(id, token.clone());
        Registered { host: self, id, token }
    }

    /// Works for this long, longer if the target is overloaded meanwhile.
    async fn work(&self, service_secs: f64) {
        let mut done = 0.0;
        loop {
            let needed = service_secs * self.gate.factor(Instant::now());
            if needed <= done {
                return;
            }
            tokio::time::sleep(Duration::from_secs_f64(needed - done)).await;
            done = needed;
        }
    }

    fn finish(&self, arrived: Instant) {
        let mut counters = self.counters.lock();
        counters.finished += 1;
        counters.last_service_us = arrived.elapsed().as_micros() as u64;
    }

    fn damaged(&self, mut answer: SubAnswer) -> Response {
        let damage = self.switches.lock().damage;
        match damage {
            None => {}
            Some(Damage::Truncated) if answer.rows.pop().is_none() => answer.count += 1,
            Some(Damage::Truncated) => {}
            Some(Damage::WrongVersion) => answer.version += 1,
            Some(Damage::Malformed) => return "{\"id\":".into_response(),
        }
        Json(answer).into_response()
    }
}
