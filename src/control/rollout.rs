//! Rollouts on the control hosts. Every host follows their stages with its own steady clock, so that a new leader knows
//! the deadlines. The leader also keeps the evidence of the relays in memory and proposes the next steps.

use std::collections::{BTreeMap, HashMap};

use strum::VariantArray;

use crate::{
    control::driver::Driver,
    policy::rollout::{self, BAD_NATS, Counts, DOUBT_NATS, SILENCE_MS, Situation, Trail, Verdict},
    raft::Role,
    state::{Change, Config, Phase, Revision, Rollout, Stage, rollout::Advance},
    wire::control::{Evidence, ProcessId},
};

/// Interval after which a step is proposed again if it has not been applied, in milliseconds.
const PROPOSAL_RETRY_MS: u64 = 1_000;

/// While a rollout runs, the clock of the log advances at least this often, in milliseconds: a host that restarts takes the
/// time since the start from it.
const CLOCK_INTERVAL_MS: u64 = 1_000;

/// Number of processes of relays whose evidence is kept. A relay that restarts is a new process, and what its predecessor has
/// seen still counts.
const MAX_REPORTERS: usize = 1_024;

/// Identifies a rollout: service, version and start by the log's clock.
type Key = (String, String, u64);

/// What this host knows of a running rollout. Times are in milliseconds of the thread's clock.
struct Progress {
    /// Time since the start when the rollout was seen first, by the log's clock.
    elapsed_before_ms: u64,
    seen_ms: u64,
    stage: Stage,
    stage_seen_ms: u64,
    /// Revision of the configuration when the stage was seen first, at or after that of the stage.
    stage_revision: Revision,
    had_targets: bool,
    /// Since when there is no serving target of the new version.
    no_target_since_ms: Option<u64>,
    proposed_ms: Option<u64>,
    trails: BTreeMap<String, Trail>,
}

impl Progress {
    fn new(rollout: &Rollout, config: &Config, now_ms: u64) -> Self {
        Self {
            elapsed_before_ms: config.now_ms.saturating_sub(rollout.started_ms),
            seen_ms: now_ms,
            stage: rollout.stage,
            stage_seen_ms: now_ms,
            stage_revision: config.revision,
            had_targets: false,
            no_target_since_ms: None,
            proposed_ms: None,
            trails: BTreeMap::new(),
        }
    }

    fn follow(&mut self, rollout: &Rollout, config: &Config, now_ms: u64) {
        if self.stage != rollout.stage {
            self.stage = rollout.stage;
            self.stage_seen_ms = now_ms;
            self.stage_revision = config.revision;
            self.proposed_ms = None;
            self.trails.values_mut().for_each(|it| it.start_stage(now_ms));
        }
        let has_targets = config.targets.values().any(|it| {
            it.phase == Phase::Serving
                && it.service() == Some(&rollout.service)
                && it.software() == Some(&rollout.target_version)
        });
        self.had_targets |= has_targets;
        let since_ms = self.no_target_since_ms.unwrap_or(now_ms);
        self.no_target_since_ms = (!has_targets).then_some(since_ms);
    }

    /// The verdict over all routes: bad if it is bad on one, good if it is good on one and nowhere bad.
    fn verdict(&self, now_ms: u64, nats: f64) -> Verdict {
        let mut verdict = Verdict::Undecided;
        for (route, trail) in &self.trails {
            match trail.judge(now_ms, nats) {
                Verdict::Bad(reason) => return Verdict::Bad(format!("route {route}: {reason}")),
                Verdict::Good => verdict = Verdict::Good,
                Verdict::Undecided => {}
            }
        }
        verdict
    }

    fn summary(&self) -> String {
        let sum = |part: fn(&Counts) -> u64| -> u64 {
            self.trails.values().map(|it| part(it.new_counts())).sum()
        };
        let (answers, failures) = (sum(|it| it.answers), sum(|it| it.failures));
        format!("{answers} answers, {failures} failures on {} routes", self.trails.len())
    }
}

/// Evidence of one process, and when it arrived.
struct Report {
    at_ms: u64,
    evidence: Evidence,
}

/// The rollouts that this host follows, and the evidence that it has as the leader.
#[derive(Default)]
pub struct Rollouts {
    running: HashMap<Key, Progress>,
    reports: BTreeMap<ProcessId, Report>,
    /// Since when this host leads, or has been asked to start anew.
    led_since_ms: u64,
    clock_ms: u64,
}

impl Rollouts {
    /// Forgets the evidence. Relays repeat it, because it is cumulative.
    pub fn forget_evidence(&mut self, now_ms: u64) {
        self.reports.clear();
        for progress in self.running.values_mut() {
            progress.trails.clear();
            progress.proposed_ms = None;
        }
        self.led_since_ms = now_ms;
    }

    /// Keeps evidence. Older evidence than what is known, which arrives late, is dropped.
    fn record(&mut self, evidence: Evidence, now_ms: u64) {
        if self.running.is_empty() {
            return;
        }
        let is_known = self.reports.contains_key(&evidence.reporter);
        if !is_known && self.reports.len() >= MAX_REPORTERS {
            return;
        }
        let known = self.reports.get(&evidence.reporter).map_or(0, |it| it.evidence.revision);
        if evidence.revision >= known {
            self.reports.insert(evidence.reporter.clone(), Report { at_ms: now_ms, evidence });
        }
    }

    /// Notes new rollouts and stages, and forgets the rollouts that have ended.
    fn follow(&mut self, config: &Config, now_ms: u64) {
        let running: HashMap<Key, &Rollout> =
            config.rollouts.values().filter(|it| it.stage.is_running()).map(keyed).collect();
        self.running.retain(|key, _| running.contains_key(key));
        for (key, rollout) in running {
            let progress =
                self.running.entry(key).or_insert_with(|| Progress::new(rollout, config, now_ms));
            progress.follow(rollout, config, now_ms);
        }
        if self.running.is_empty() {
            self.reports.clear();
        }
    }

    /// Adds the evidence of all relays to the trails of a rollout.
    fn evaluate(&mut self, key: &Key, now_ms: u64) {
        let mut sums: BTreeMap<&str, (Counts, Counts)> = BTreeMap::new();
        for report in self.reports.values() {
            let observations = report.evidence.observations.iter();
            for it in observations.filter(|it| {
                (&it.service, &it.target_version, it.started_ms) == (&key.0, &key.1, key.2)
            }) {
                for route in &it.routes {
                    let (old, new) = sums.entry(&route.route).or_default();
                    old.add(&route.old);
                    new.add(&route.new);
                }
            }
        }
        let Some(progress) = self.running.get_mut(key) else { return };
        for (route, (old, new)) in sums {
            progress.trails.entry(route.to_owned()).or_default().push(now_ms, old, new);
        }
    }

    /// Whether each registered relay follows the stage and has nothing in flight at the old version, or has no lease.
    fn is_drained(&self, key: &Key, progress: &Progress, config: &Config, now_ms: u64) -> bool {
        config.nodes.values().all(|node| {
            let process =
                ProcessId { process_name: node.name.clone(), incarnation: node.incarnation };
            let report = self.reports.get(&process);
            // A relay with a lease has followed the stage since a poll that it sent after the commit of the stage.
            let since_ms = report.map_or(self.led_since_ms, |it| it.at_ms);
            let silent_since_ms = since_ms.max(progress.stage_seen_ms);
            if now_ms >= silent_since_ms + SILENCE_MS {
                return true;
            }
            report.is_some_and(|it| {
                let mut of_service =
                    it.evidence.observations.iter().filter(|it| it.service == key.0);
                it.evidence.revision >= progress.stage_revision
                    && of_service.all(|it| it.old_in_flight == 0)
            })
        })
    }

    fn situation(&self, rollout: &Rollout, config: &Config, now_ms: u64) -> Option<Situation> {
        let (key, _) = keyed(rollout);
        let progress = self.running.get(&key)?;
        Some(Situation {
            stage: rollout.stage,
            elapsed_ms: progress.elapsed_before_ms + (now_ms - progress.seen_ms),
            stage_ms: now_ms - progress.stage_seen_ms,
            duration_ms: rollout.duration_ms,
            had_targets: progress.had_targets,
            no_target_ms: progress.no_target_since_ms.map(|it| now_ms - it),
            is_drained: rollout.stage == Stage::Finishing
                && self.is_drained(&key, progress, config, now_ms),
            verdict: progress.verdict(now_ms, BAD_NATS),
            doubt: progress.verdict(now_ms, DOUBT_NATS),
        })
    }

    /// The steps that are due, each once per [`PROPOSAL_RETRY_MS`].
    fn due_steps(&mut self, config: &Config, now_ms: u64) -> Vec<Advance> {
        let mut steps = Vec::new();
        for rollout in config.rollouts.values().filter(|it| it.stage.is_running()) {
            let (key, _) = keyed(rollout);
            self.evaluate(&key, now_ms);
            let Some(situation) = self.situation(rollout, config, now_ms) else { continue };
            let Some((stage, cause)) = rollout::next(&situation) else { continue };
            let Some(progress) = self.running.get_mut(&key) else { continue };
            if progress.proposed_ms.is_some_and(|it| now_ms < it + PROPOSAL_RETRY_MS) {
                continue;
            }
            progress.proposed_ms = Some(now_ms);
            let mut reason = format!("{cause} ({})", progress.summary());
            while reason.len() > crate::state::rollout::MAX_REASON_BYTES {
                reason.pop();
            }
            let Rollout { service, target_version, started_ms, exposure_ppm, .. } = rollout;
            log::info!(
                "event=rollout_step service={service} version={target_version:?} from={} to={stage} \
                 elapsed_ms={} duration_ms={} reason={reason:?}",
                rollout.stage,
                situation.elapsed_ms,
                rollout.duration_ms,
            );
            steps.push(Advance {
                service: service.clone(),
                target_version: target_version.clone(),
                started_ms: *started_ms,
                stage,
                exposure_ppm: *exposure_ppm,
                reason,
            });
        }
        steps
    }
}

fn keyed(rollout: &Rollout) -> (Key, &Rollout) {
    let Rollout { service, target_version, started_ms, .. } = rollout;
    ((service.clone(), target_version.clone(), *started_ms), rollout)
}

impl Driver {
    /// Keeps evidence of a relay. A host that does not lead drops it.
    pub(super) fn record_evidence(&mut self, evidence: Evidence) {
        if self.core.role() == Role::Leader {
            let now_ms = self.now_ms();
            self.rollouts.record(evidence, now_ms);
        }
    }

    /// Notes the stages of the rollouts, on every host.
    pub(super) fn follow_rollouts(&mut self, now_ms: u64) {
        let host = self.host.clone();
        host.with_tables(|it| {
            if !it.config.rollouts.is_empty() || !self.rollouts.running.is_empty() {
                self.rollouts.follow(&it.config, now_ms);
            }
        });
    }

    /// Proposes the steps that are due, on the leader.
    pub(super) fn advance_rollouts(&mut self, now_ms: u64) -> eyre::Result<()> {
        if self.rollouts.running.is_empty() {
            return Ok(());
        }
        let host = self.host.clone();
        let steps = host.with_tables(|it| self.rollouts.due_steps(&it.config, now_ms));
        for step in steps {
            self.propose_internal(Change::AdvanceRollout(step))?;
        }
        if now_ms >= self.rollouts.clock_ms + CLOCK_INTERVAL_MS {
            self.rollouts.clock_ms = now_ms;
            self.propose_internal(Change::Tick)?;
        }
        Ok(())
    }

    /// Updates the number of rollouts by stage, once there has been one.
    pub(super) fn update_rollout_gauges(&self) {
        let stages: Vec<_> =
            self.host.with_tables(|it| it.config.rollouts.values().map(|it| it.stage).collect());
        if stages.is_empty() {
            return;
        }
        for stage in Stage::VARIANTS {
            let count = stages.iter().filter(|it| *it == stage).count();
            let name = format!("rollouts_{stage}");
            self.host.metrics.state_gauges.with_label_values(&[name.as_str()]).set(count as i64);
        }
    }
}
