//! Which targets a rollout opens to which sub-requests.

use strum::FromRepr;

use crate::state::{Rollout, Stage};

/// Which sub-requests a rollout of the service allows to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromRepr)]
#[repr(u8)]
pub enum Admission {
    /// All: no rollout is running, and the target runs the version in force.
    Open,
    /// All: the target runs the version in force while another one is on trial.
    Old,
    /// A share of the first attempts: the target runs the version on trial.
    New,
    /// All: the rollout is finishing, and the target runs its version.
    Final,
    /// None: the version of the target is unknown or another one, or the rollout excludes it.
    Closed,
}

/// Whether a sub-request is sent to the version on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// It is sent to any target but one on trial. All retries and hedges are.
    Regular,
    /// It is a first attempt for the version on trial.
    Canary,
}

impl Admission {
    /// The admission of a target with this version, if known, in a service with this version in force, if known. Until
    /// the version in force is known, all targets count as running it: a process that has just started must not refuse
    /// all requests.
    pub fn new(version: Option<&str>, in_force: Option<&str>, rollout: Option<&Rollout>) -> Self {
        let Some(in_force) = in_force else { return Self::Open };
        let is_in_force = version == Some(in_force);
        let is_new = rollout.is_some_and(|it| version == Some(it.target_version.as_str()));
        match rollout.map(|it| it.stage) {
            Some(Stage::Trial) if is_in_force => Self::Old,
            Some(Stage::Trial) if is_new => Self::New,
            Some(Stage::Finishing) if is_new => Self::Final,
            None | Some(Stage::Completed | Stage::RolledBack) if is_in_force => Self::Open,
            _ => Self::Closed,
        }
    }

    /// Whether a target may be chosen. `has_lease` tells whether control hosts have confirmed the configuration lately.
    pub fn allows(self, choice: Choice, has_lease: bool) -> bool {
        match (self, choice) {
            (Self::Open | Self::Old, Choice::Regular) => true,
            (Self::Final, Choice::Regular) | (Self::New, Choice::Canary) => has_lease,
            _ => false,
        }
    }
}
