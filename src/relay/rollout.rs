//! The rollouts that this host follows: which targets sub-requests may choose, and how many go to the new version.
//!
//! Without a lease nothing goes to a version under rollout. In a trial the old version serves then. A host that is cut off
//! in a trial does not learn that the rollout was completed and may choose targets that are gone; they refuse the
//! connection, so that the request is refused as not run. In the last stage the old version is not chosen, because the
//! control hosts may have completed the rollout after the lease; requests are refused at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use parking_lot::Mutex;
use prometheus::{IntCounter, IntCounterVec};
use strum::{IntoStaticStr, VariantArray};

use crate::{
    policy::rollout::Counts,
    relay::{admission::Admission, exposure::Exposure, freshness::Freshness, target::Target},
    state::{Config, Rollout, Stage},
};

/// Services with a metric label of their own. The others share one, so that the number of time series is bounded.
const MAX_LABELLED_SERVICES: usize = 64;

/// The metric label of the services beyond [`MAX_LABELLED_SERVICES`].
const OTHER_SERVICES: &str = "other";

/// Routes of which a rollout keeps evidence. It exceeds the routes of a service in any known configuration.
const MAX_ROUTES: usize = 256;

/// The versions that a rollout compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Side {
    /// The version that was in force when the rollout started.
    Old,
    /// The version under rollout.
    New,
}

/// Where a rollout stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Step {
    stage: Stage,
    exposure_ppm: u32,
}

/// A running rollout of one service. It outlives views, so that requests with an older view follow its latest stage.
pub(super) struct Track {
    pub(super) service: String,
    pub(super) target_version: String,
    pub(super) started_ms: u64,
    step: Mutex<Step>,
    pub(super) exposure: Exposure,
    /// The old targets, and those that left the configuration while requests of this host were running there.
    old_targets: Mutex<Vec<Arc<Target>>>,
    /// Evidence by route, of the old and the new version.
    counts: Mutex<BTreeMap<String, [Counts; Side::VARIANTS.len()]>>,
    requests: [IntCounter; Side::VARIANTS.len()],
}

impl Track {
    fn is_of(&self, rollout: &Rollout) -> bool {
        self.target_version == rollout.target_version && self.started_ms == rollout.started_ms
    }

    /// Whether a first attempt that starts now is for the new version.
    pub(super) fn draw(&self, freshness: &Freshness) -> bool {
        self.exposure.draw(&mut rand::rng()) && freshness.has_lease()
    }

    /// Whether only the new version may be chosen.
    pub(super) fn is_finishing(&self) -> bool {
        self.step.lock().stage == Stage::Finishing
    }

    /// The number of exchanges of this host that are in flight at the old version.
    pub(super) fn in_flight_old(&self) -> usize {
        self.old_targets.lock().iter().map(|it| it.stats.lock().in_flight()).sum()
    }

    /// Changes the targets of the old version. One that is not listed any more is kept while requests are running there.
    pub(super) fn set_old_targets(&self, mut targets: Vec<Arc<Target>>) {
        let mut old_targets = self.old_targets.lock();
        let is_listed = |it: &Arc<Target>| targets.iter().any(|other| Arc::ptr_eq(it, other));
        let mut kept: Vec<_> = old_targets.iter().filter(|it| !is_listed(it)).cloned().collect();
        kept.retain(|it| it.stats.lock().in_flight() > 0);
        targets.extend(kept);
        *old_targets = targets;
    }

    /// Adds evidence. Routes beyond [`MAX_ROUTES`] are not counted.
    pub(super) fn record(&self, route: &str, side: Side, record: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.lock();
        if let Some(sides) = counts.get_mut(route) {
            record(&mut sides[side as usize]);
        } else if counts.len() < MAX_ROUTES {
            record(&mut counts.entry(route.to_owned()).or_default()[side as usize]);
        }
    }

    /// The evidence by route, of the old and the new version.
    pub(super) fn counts(&self) -> BTreeMap<String, [Counts; Side::VARIANTS.len()]> {
        self.counts.lock().clone()
    }

    fn set_step(&self, step: Step, revision: u64) {
        let replaced = std::mem::replace(&mut *self.step.lock(), step);
        self.exposure.set_ppm(if step.stage == Stage::Trial { step.exposure_ppm } else { 0 });
        if replaced != step {
            log::info!(
                "event=rollout_changed service={} version={} stage={} exposure_ppm={} \
                 replaced_stage={} replaced_exposure_ppm={} revision={revision}",
                self.service,
                self.target_version,
                step.stage,
                step.exposure_ppm,
                replaced.stage,
                replaced.exposure_ppm,
            );
        }
    }
}

/// The side of a running rollout that an exchange gives evidence of.
pub(super) struct Subject {
    pub(super) track: Arc<Track>,
    pub(super) side: Side,
    /// Whether the target was in its cold start, so that its latency tells nothing of its version.
    pub(super) is_cold: bool,
}

impl Subject {
    /// `None` if the target takes no part in the rollout.
    pub(super) fn new(track: &Arc<Track>, target: &Target) -> Option<Self> {
        let side = match target.admission() {
            Admission::Old => Side::Old,
            Admission::New | Admission::Final => Side::New,
            Admission::Open | Admission::Closed => return None,
        };
        Some(Self { track: track.clone(), side, is_cold: target.is_cold() })
    }

    /// Counts a request that is handed to a connection.
    pub(super) fn record_sent(&self) {
        self.track.requests[self.side as usize].inc();
        if self.side == Side::New {
            self.track.exposure.record_sent_new();
        }
    }
}

/// The rollouts of a configuration that are running.
pub(super) struct Rollouts {
    tracks: Mutex<BTreeMap<String, Arc<Track>>>,
    requests: IntCounterVec,
    labelled: Mutex<BTreeSet<String>>,
}

impl Rollouts {
    /// `requests` counts requests by service and side.
    pub(super) fn new(requests: IntCounterVec) -> Self {
        Self { tracks: Mutex::default(), requests, labelled: Mutex::default() }
    }

    /// Follows the rollouts of a configuration. The evidence of those that have ended is dropped.
    pub(super) fn update(&self, config: &Config) {
        let mut tracks = self.tracks.lock();
        tracks.retain(|service, track| {
            let rollout = config.rollouts.get(service).filter(|it| track.is_of(it));
            let is_running = rollout.is_some_and(|it| it.stage.is_running());
            if !is_running {
                // Requests with an older view stop drawing.
                track.exposure.set_ppm(0);
                log::info!(
                    "event=rollout_ended service={service} version={} stage={} revision={}",
                    track.target_version,
                    rollout.map_or("removed", |it| it.stage.into()),
                    config.revision,
                );
            }
            is_running
        });
        for (service, rollout) in config.rollouts.iter().filter(|(_, it)| it.stage.is_running()) {
            let step = Step { stage: rollout.stage, exposure_ppm: rollout.exposure_ppm };
            let track = tracks.entry(service.clone()).or_insert_with(|| {
                log::info!(
                    "event=rollout_followed service={service} version={} stage={} \
                     exposure_ppm={} revision={}",
                    rollout.target_version,
                    step.stage,
                    step.exposure_ppm,
                    config.revision,
                );
                Arc::new(self.track(service, rollout, step))
            });
            track.set_step(step, config.revision);
        }
    }

    /// The running rollout of a service.
    pub(super) fn get(&self, service: &str) -> Option<Arc<Track>> {
        self.tracks.lock().get(service).cloned()
    }

    /// Whether a rollout is running.
    pub(super) fn is_any_running(&self) -> bool {
        !self.tracks.lock().is_empty()
    }

    /// The running rollouts.
    pub(super) fn running(&self) -> Vec<Arc<Track>> {
        self.tracks.lock().values().cloned().collect()
    }

    fn track(&self, service: &str, rollout: &Rollout, step: Step) -> Track {
        let label = self.label(service);
        let counter = |side: Side| self.requests.with_label_values(&[label, side.into()]);
        Track {
            service: service.to_owned(),
            target_version: rollout.target_version.clone(),
            started_ms: rollout.started_ms,
            step: Mutex::new(step),
            exposure: Exposure::default(),
            old_targets: Mutex::default(),
            counts: Mutex::default(),
            requests: [counter(Side::Old), counter(Side::New)],
        }
    }

    fn label<'a>(&self, service: &'a str) -> &'a str {
        let mut labelled = self.labelled.lock();
        if labelled.len() < MAX_LABELLED_SERVICES {
            labelled.insert(service.to_owned());
        }
        if labelled.contains(service) { service } else { OTHER_SERVICES }
    }
}
