//! A process of a target, as this host knows it.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{
    relay::{choice::TargetStats, cold_start::ColdStartLimiter, pool::Pool},
    state,
};

/// The round trip to a target that was not connected yet, by how far it is.
const OWN_REGION_ROUND_TRIP: Duration = Duration::from_millis(1);
const OTHER_REGION_ROUND_TRIP: Duration = Duration::from_millis(16);

/// A process of a target.
pub(super) struct Target {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) region: String,
    /// Whether it is in the region of this host.
    pub(super) is_near: bool,
    pub(super) slots: u32,
    pub(super) pool: Pool,
    pub(super) stats: Mutex<TargetStats>,
    pub(super) cold_start: Mutex<ColdStartLimiter>,
    usable: AtomicBool,
}

impl Target {
    pub(super) fn new(target: &state::Target, region: &str, own_region: &str) -> Self {
        let is_near = region == own_region;
        let round_trip = if is_near { OWN_REGION_ROUND_TRIP } else { OTHER_REGION_ROUND_TRIP };
        Self {
            name: target.name.clone(),
            zone: target.zone.clone(),
            region: region.to_owned(),
            is_near,
            slots: target.slots,
            pool: Pool::new(target.addr, round_trip),
            stats: Mutex::new(TargetStats::new(Instant::now())),
            cold_start: Mutex::default(),
            usable: AtomicBool::new(false),
        }
    }

    /// Whether new work may go there.
    pub(super) fn is_usable(&self) -> bool {
        self.usable.load(Ordering::Relaxed)
    }

    /// Allows or forbids new work. Connections to a target that gets none are closed.
    pub(super) fn set_usable(&self, usable: bool) {
        if self.usable.swap(usable, Ordering::Relaxed) && !usable {
            self.pool.invalidate();
        }
    }
}
