//! The HTTP API of a stand-in target, with the injected faults applied.

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
    lab::target::{capacity::RunningRequest, fault::Damage, instance::StandInTarget},
    wire::target::{Cancel, Health, Refusal, Run, RunAnswer, Sub, SubAnswer},
};

/// The routes of one target.
pub fn router(stand_in: Arc<StandInTarget>) -> Router {
    Router::new()
        .route("/v1/sub", post(sub))
        .route("/v1/run", post(run))
        .route("/v1/cancel", post(cancel))
        .route("/v1/health", get(health))
        .with_state(stand_in)
}

async fn sub(State(stand_in): State<Arc<StandInTarget>>, Json(sub): Json<Sub>) -> Response {
    let arrived = Instant::now();
    stand_in.wait_while_stalled().await;
    let Some(shard) = stand_in.shard(&sub.index, sub.version, sub.shard) else {
        stand_in.count_received();
        return stand_in.refuse(Kind::WrongVersion);
    };
    let _running = match stand_in.start_request(arrived, sub.deadline_ms) {
        Ok(running) => running,
        Err(kind) => return stand_in.refuse(kind),
    };
    stand_in.count_text(&sub.text);
    stand_in.crash_on_text(&sub.text).await;
    let cancelled = stand_in.register_cancellation(sub.id);
    let service = stand_in.draw_service_secs();
    let end = arrived + Duration::from_millis(sub.deadline_ms);
    let rows = shard.search(&sub.text);
    let worked = tokio::select! {
        () = stand_in.simulate_work(service) => Ok(()),
        () = cancelled.token.cancelled() => Err(Kind::Cancelled),
        () = tokio::time::sleep_until(end.into()) => Err(Kind::Timeout),
    };
    if let Err(kind) = worked {
        stand_in.counters.lock().dropped += 1;
        return refusal(kind);
    }
    stand_in.count_finished(arrived);
    let answer = SubAnswer {
        id: sub.id,
        index: sub.index,
        version: sub.version,
        shard: sub.shard,
        count: rows.len(),
        rows,
    };
    stand_in.apply_damage(answer)
}

/// Runs a request to its end. Cancellation and a deadline that passes meanwhile do not stop it, since its effect
/// cannot be undone.
async fn run(State(stand_in): State<Arc<StandInTarget>>, Json(run): Json<Run>) -> Response {
    let arrived = Instant::now();
    stand_in.wait_while_stalled().await;
    let running = match stand_in.start_request(arrived, run.deadline_ms) {
        Ok(running) => running,
        Err(kind) => return stand_in.refuse(kind),
    };
    *stand_in.counters.lock().runs.entry(run.key.clone()).or_default() += 1;
    stand_in.crash_on_text(&run.body).await;
    let service = stand_in.draw_service_secs();
    stand_in.simulate_work(service).await;
    drop(running);
    stand_in.count_finished(arrived);
    let result = format!("{} ran {} {}", stand_in.spec.name, run.kind, run.key);
    Json(RunAnswer { id: run.id, result }).into_response()
}

async fn cancel(
    State(stand_in): State<Arc<StandInTarget>>,
    Json(cancel): Json<Cancel>,
) -> StatusCode {
    stand_in.wait_while_stalled().await;
    if let Some(token) = stand_in.cancellations.lock().remove(&cancel.id) {
        token.cancel();
    }
    StatusCode::NO_CONTENT
}

async fn health(State(stand_in): State<Arc<StandInTarget>>) -> Json<Health> {
    stand_in.wait_while_stalled().await;
    let faults = stand_in.faults.lock();
    let (lie, leaving) = (faults.lie, faults.refuse_from.is_some());
    drop(faults);
    Json(Health {
        name: stand_in.spec.name.clone(),
        incarnation: stand_in.incarnation(),
        cold: lie.map_or_else(|| stand_in.capacity.cold(Instant::now()), |it| it.cold),
        leaving: lie.map_or(leaving, |it| it.leaving),
        in_flight: lie.map_or_else(|| stand_in.capacity.running(), |it| it.in_flight),
    })
}

fn refusal(kind: Kind) -> Response {
    let status = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    (status, Json(Refusal { error: kind })).into_response()
}

/// The cancellation token of a running sub-request; it is unregistered on drop.
struct Cancellation<'a> {
    stand_in: &'a StandInTarget,
    id: u64,
    token: CancellationToken,
}

impl Drop for Cancellation<'_> {
    fn drop(&mut self) {
        self.stand_in.cancellations.lock().remove(&self.id);
    }
}

impl StandInTarget {
    /// Waits while the target is stalled.
    async fn wait_while_stalled(&self) {
        let _ = self.stalled.subscribe().wait_for(|it| !*it).await;
    }

    /// Counts an arrived request.
    fn count_received(&self) {
        let leaving = self.faults.lock().refuse_from.is_some();
        let mut counters = self.counters.lock();
        counters.received += 1;
        counters.after_leave += u64::from(leaving);
        counters.last_received_ms = unix_ms();
    }

    fn start_request(&self, arrived: Instant, deadline_ms: u64) -> Result<RunningRequest, Kind> {
        self.count_received();
        let now = Instant::now();
        if self.faults.lock().refuse_from.is_some_and(|it| it <= now) {
            return Err(Kind::Draining);
        }
        if now >= arrived + Duration::from_millis(deadline_ms) {
            return Err(Kind::DeadlinePassed);
        }
        let running = self.capacity.start_request(now)?;
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
        let watched =
            self.faults.lock().watched_prefix.as_ref().is_some_and(|it| text.starts_with(it));
        if watched {
            *self.counters.lock().texts.entry(text.to_owned()).or_default() += 1;
        }
    }

    async fn crash_on_text(&self, text: &str) {
        let crash_on = self.faults.lock().crash_on.clone();
        if let Some((crash_text, back_after_ms)) = crash_on
            && text.contains(&crash_text)
        {
            self.crash(back_after_ms);
            std::future::pending::<()>().await;
        }
    }

    fn register_cancellation(&self, id: u64) -> Cancellation<'_> {
        let token = CancellationToken::new();
        self.cancellations.lock().insert(id, token.clone());
        Cancellation { stand_in: self, id, token }
    }

    /// Sleeps for the service time, and longer while the target is overloaded: the slowdown is evaluated again after
    /// each sleep.
    async fn simulate_work(&self, service_secs: f64) {
        let mut done = 0.0;
        loop {
            let needed = service_secs * self.capacity.slowdown(Instant::now());
            if needed <= done {
                return;
            }
            tokio::time::sleep(Duration::from_secs_f64(needed - done)).await;
            done = needed;
        }
    }

    fn count_finished(&self, arrived: Instant) {
        let mut counters = self.counters.lock();
        counters.finished += 1;
        counters.last_service_us = arrived.elapsed().as_micros() as u64;
    }

    fn apply_damage(&self, mut answer: SubAnswer) -> Response {
        let damage = self.faults.lock().damage;
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
