//! Rollouts: each moves the traffic of one service to targets that run another software version.
//!
//! A rollout goes from [`Stage::Trial`] through [`Stage::Finishing`] to [`Stage::Completed`], or from any of the first two
//! to [`Stage::RolledBack`]. The leader of the control hosts proposes each step; the tables check that it is allowed. The
//! last rollout of a service stays known until the next one starts.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

use crate::{
    error::{Error, Kind},
    route::PPM_SCALE,
    state::{Config, MAX_NAME_BYTES, SERVICE_LABEL, SOFTWARE_LABEL, Target},
};

/// Maximum length of a reason, in bytes.
pub const MAX_REASON_BYTES: usize = 512;

/// Reason of a rollout whose service is no longer configured.
const SERVICE_REMOVED: &str = "a configuration removed the service";

/// Reason of a rollout to the version that is in force.
const IN_FORCE: &str = "the version is in force already";

/// The stage of a rollout.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// A first attempt goes to the new version with probability `exposure_ppm`; everything else goes to the old one.
    Trial,
    /// Everything goes to the new version; requests at the old one end.
    Finishing,
    /// The new version is in force. Its predecessor gets no requests.
    Completed,
    /// The old version stays in force. The new one gets no requests.
    RolledBack,
}

impl Stage {
    /// Whether the rollout goes on.
    pub fn is_running(self) -> bool {
        matches!(self, Self::Trial | Self::Finishing)
    }

    /// Whether a rollout may go from this stage to `next`.
    fn precedes(self, next: Self) -> bool {
        match self {
            Self::Trial => next != Self::Completed,
            Self::Finishing => !next.is_running(),
            Self::Completed | Self::RolledBack => false,
        }
    }
}

/// The last rollout of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Name of the service.
    pub service: String,
    /// The new software version.
    pub target_version: String,
    /// The log's clock when the order was applied, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Time from the start to the deadline, in milliseconds.
    pub duration_ms: u64,
    /// The stage.
    pub stage: Stage,
    /// Probability that a first attempt goes to the new version during the trial, in parts per million.
    pub exposure_ppm: u32,
    /// Why the rollout is at this stage, with the evidence.
    pub reason: String,
}

/// An order to start a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Name of the service.
    pub service: String,
    /// The new software version.
    pub target_version: String,
    /// Time from the start to the deadline, in milliseconds.
    pub duration_ms: u64,
    /// Probability that a first attempt goes to the new version during the trial, in parts per million.
    pub exposure_ppm: u32,
}

/// A step of a running rollout. It has no effect if the rollout is no longer at a stage from which it leads on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advance {
    /// Name of the service.
    pub service: String,
    /// [`Rollout::target_version`] of the rollout.
    pub target_version: String,
    /// [`Rollout::started_ms`] of the rollout.
    pub started_ms: u64,
    /// The next stage, or [`Stage::Trial`] again to change the share.
    pub stage: Stage,
    /// The new [`Rollout::exposure_ppm`].
    pub exposure_ppm: u32,
    /// The new [`Rollout::reason`].
    pub reason: String,
}

/// The rollouts of all services and the versions in force, as encoded apart from the rest of the configuration, which
/// earlier releases decode without them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    /// [`Config::rollouts`].
    pub rollouts: BTreeMap<String, Rollout>,
    /// [`Config::service_versions`].
    pub service_versions: BTreeMap<String, String>,
}

impl Rollouts {
    /// Whether there is neither a rollout nor a version in force.
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty() && self.service_versions.is_empty()
    }
}

/// Checks that a software version has 1 to [`MAX_NAME_BYTES`] bytes and no control characters. More characters are
/// allowed than in names, because versions are chosen outside of this system.
pub fn check_software(version: &str) -> Result<(), Error> {
    if version.is_empty() || version.len() > MAX_NAME_BYTES {
        let message =
            format!("a version must have 1 to {MAX_NAME_BYTES} bytes, got {}", version.len());
        return Err(Error::new(Kind::BadRequest, message));
    }
    if version.chars().any(char::is_control) {
        let message = format!("the version {version:?} has control characters");
        return Err(Error::new(Kind::BadRequest, message));
    }
    Ok(())
}

impl Target {
    /// The service that the target belongs to, as announced.
    pub fn service(&self) -> Option<&str> {
        self.labels.get(SERVICE_LABEL).map(String::as_str)
    }

    /// The software version of the target, as announced.
    pub fn software(&self) -> Option<&str> {
        self.labels.get(SOFTWARE_LABEL).map(String::as_str)
    }
}

impl Config {
    /// The rollout of a service, if it is running.
    pub fn running_rollout(&self, service: &str) -> Option<&Rollout> {
        self.rollouts.get(service).filter(|it| it.stage.is_running())
    }

    /// Whether there is neither a rollout nor a version in force.
    pub fn has_no_rollouts(&self) -> bool {
        self.rollouts.is_empty() && self.service_versions.is_empty()
    }

    /// Takes the rollouts and versions in force out of the configuration, to encode them apart.
    pub fn take_rollouts(&mut self) -> Rollouts {
        Rollouts {
            rollouts: std::mem::take(&mut self.rollouts),
            service_versions: std::mem::take(&mut self.service_versions),
        }
    }

    /// A copy of the rollouts and versions in force, to encode them apart.
    pub fn rollouts(&self) -> Rollouts {
        Rollouts {
            rollouts: self.rollouts.clone(),
            service_versions: self.service_versions.clone(),
        }
    }

    /// Replaces the rollouts and versions in force by decoded ones.
    pub fn set_rollouts(&mut self, decoded: Rollouts) {
        let Rollouts { rollouts, service_versions } = decoded;
        (self.rollouts, self.service_versions) = (rollouts, service_versions);
    }

    /// Starts a rollout. The same order again changes nothing, also after the rollout has ended.
    pub(super) fn start_rollout(&mut self, start: &Start) -> Result<bool, Error> {
        let Start { service, target_version, duration_ms, exposure_ppm } = start;
        let bad_request = |message: String| Err(Error::new(Kind::BadRequest, message));
        check_software(target_version)?;
        if *duration_ms == 0 || u64::from(*exposure_ppm) > PPM_SCALE {
            return bad_request("the duration must be positive and the share at most 1".into());
        }
        if !self.routes.services.contains_key(service) {
            return bad_request(format!("there is no service {service:?}"));
        }
        if let Some(known) = self.rollouts.get(service) {
            if known.target_version == *target_version {
                return Ok(false);
            }
            if known.stage.is_running() {
                let version = &known.target_version;
                let message = format!("a rollout of {service:?} to {version:?} is running");
                return Err(Error::new(Kind::Conflict, message));
            }
        }
        let in_force = self.service_versions.get(service) == Some(target_version);
        let (stage, reason) =
            if in_force { (Stage::Completed, IN_FORCE) } else { (Stage::Trial, "ordered") };
        let rollout = Rollout {
            service: service.clone(),
            target_version: target_version.clone(),
            started_ms: self.now_ms,
            duration_ms: *duration_ms,
            stage,
            exposure_ppm: *exposure_ppm,
            reason: reason.into(),
        };
        self.rollouts.insert(service.clone(), rollout);
        Ok(true)
    }

    /// Applies a step of a rollout. A step of another rollout, or one that its stage does not allow, changes nothing: two
    /// leaders in succession may propose different steps.
    pub(super) fn advance_rollout(&mut self, advance: &Advance) -> Result<bool, Error> {
        let Advance { service, target_version, started_ms, stage, exposure_ppm, reason } = advance;
        if u64::from(*exposure_ppm) > PPM_SCALE || reason.len() > MAX_REASON_BYTES {
            return Err(Error::new(Kind::BadRequest, "the share or the reason is too large"));
        }
        let Some(rollout) = self.rollouts.get_mut(service) else { return Ok(false) };
        let is_same =
            (&rollout.target_version, rollout.started_ms) == (target_version, *started_ms);
        let same_share = (rollout.stage, rollout.exposure_ppm) == (*stage, *exposure_ppm);
        if !is_same || !rollout.stage.precedes(*stage) || same_share {
            return Ok(false);
        }
        rollout.stage = *stage;
        rollout.exposure_ppm = *exposure_ppm;
        rollout.reason.clone_from(reason);
        if *stage == Stage::Completed {
            self.service_versions.insert(service.clone(), target_version.clone());
        }
        Ok(true)
    }

    /// Rolls back the rollouts of services that are no longer configured.
    pub(super) fn end_rollouts_of_removed_services(&mut self) {
        let Self { rollouts, routes, .. } = self;
        for rollout in rollouts.values_mut() {
            if rollout.stage.is_running() && !routes.services.contains_key(&rollout.service) {
                rollout.stage = Stage::RolledBack;
                rollout.reason = SERVICE_REMOVED.into();
            }
        }
    }

    /// Records the version in force of a service when its first target with a known version is announced, unless that is
    /// the new version of a running rollout.
    pub(super) fn record_service_version(&mut self, target: &Target) {
        let (Some(service), Some(version)) = (target.service(), target.software()) else { return };
        let is_new = self.running_rollout(service).is_some_and(|it| it.target_version == version);
        if !is_new && !self.service_versions.contains_key(service) {
            self.service_versions.insert(service.to_owned(), version.to_owned());
        }
    }

    /// Forgets versions in force of services that are not configured and have no targets, and their rollouts.
    pub(super) fn remove_unused_service_versions(&mut self) {
        if self.service_versions.is_empty() && self.rollouts.is_empty() {
            return;
        }
        let Self { rollouts, service_versions, targets, routes, .. } = self;
        let announced: BTreeSet<_> = targets.values().filter_map(Target::service).collect();
        let is_used = |it: &str| routes.services.contains_key(it) || announced.contains(it);
        service_versions.retain(|service, _| is_used(service));
        rollouts.retain(|service, _| is_used(service));
    }
}
