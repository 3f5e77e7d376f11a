//! What this host has seen of the running rollouts, reported to the control hosts.

use std::time::{Duration, Instant};

use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::{
    control::Client,
    relay::{
        exchange::{Attempt, NotRunReason, Outcome, UnknownReason},
        follow::ControlSync,
        host::Host,
        request::Query,
        rollout::{Side, Subject, Track},
    },
    wire::control::{Comparison, Evidence, Observation, ProcessId},
};

/// How often evidence is sent while a rollout runs.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a report. The next one contains what is lost, so a control host that does not answer is not waited for.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Adds the outcome of an exchange to the evidence. Requests that were not sent or not run are no evidence.
pub(super) fn record(query: &Query, attempt: &Attempt, outcome: &Outcome, now: Instant) {
    let Some(Subject { track, side, is_cold }) = attempt.subject() else { return };
    let has_reached = matches!(outcome, Outcome::Answered(_) | Outcome::NotRun(NotRunReason::Shed));
    if *side == Side::Old && has_reached {
        track.exposure.record_reached_old();
    }
    let Some(sent_at) = attempt.sent_at() else { return };
    // Connecting is no work of the target, and neither side is to look slower because it is farther away.
    let took = (now - sent_at).saturating_sub(attempt.target.pool.round_trip());
    let failed = match outcome {
        Outcome::NotRun(_) => return,
        Outcome::Answered(it) => it.status.is_server_error(),
        // The caller has left too little time, which is no fault of the target.
        Outcome::Unknown(UnknownReason::Timeout)
            if took < query.route().latency.lock().late_threshold() =>
        {
            return;
        }
        Outcome::Unknown(_) => true,
    };
    let latency = (!failed && !is_cold).then_some(took);
    track.record(&query.route().config.name, *side, |it| it.record(failed, latency));
}

/// The evidence of this host, or none if no rollout is running.
fn evidence(host: &Host) -> Option<Evidence> {
    // Read before the exchanges in flight are counted: these cannot start at the old version any more once a view that
    // follows the stage `finishing` is in use.
    let revision = host.view().revision;
    let tracks = host.rollouts.running();
    if tracks.is_empty() {
        return None;
    }
    let reporter = ProcessId { process_name: host.cfg.name.clone(), incarnation: host.incarnation };
    let observations = tracks.iter().map(|it| observation(it)).collect();
    Some(Evidence { reporter, revision, observations })
}

fn observation(track: &Track) -> Observation {
    let counts = track.counts().into_iter();
    Observation {
        service: track.service.clone(),
        target_version: track.target_version.clone(),
        started_ms: track.started_ms,
        old_in_flight: track.in_flight_old() as u64,
        routes: counts.map(|(route, [old, new])| Comparison { route, old, new }).collect(),
    }
}

impl ControlSync {
    /// Sends the evidence of this host again and again while a rollout runs, also if it has had no requests: the leader
    /// waits until each host follows a stage.
    pub(super) async fn report_evidence(&self) {
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut client = None;
        let mut has_failed = false;
        loop {
            ticks.tick().await;
            let Some(evidence) = evidence(&self.host) else {
                client = None;
                continue;
            };
            let Some(addr) = self.polled_host() else { continue };
            let known = client.take().filter(|(known, _)| *known == addr);
            let (_, client) =
                client.insert(known.unwrap_or_else(|| (addr, Client::new(vec![addr]))));
            let sent = timeout(REPORT_TIMEOUT, client.record_evidence(evidence)).await;
            let cause = match sent {
                Ok(Ok(())) => None,
                Ok(Err(err)) => Some(err.to_string()),
                Err(_) => Some("no answer in time".to_owned()),
            };
            if let Some(cause) = &cause
                && !has_failed
            {
                log::warn!("event=evidence_failed control_host={addr} cause={cause:?}");
            }
            has_failed = cause.is_some();
        }
    }
}
