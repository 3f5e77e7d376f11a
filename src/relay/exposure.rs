//! The share of sub-requests that a host sends to the new version of a service while it is on trial.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use rand::{Rng, RngExt};

use crate::route::PPM_SCALE;

/// Requests that a host may send to the new version beyond its share. All hosts together may exceed the share by 50
/// requests, so that one is the least and, with some 70 hosts, the most that a host can have.
const INITIAL_REQUESTS: u64 = 1;

/// By how much the requests sent to the new version may exceed their share of those that reached a target, in percent.
/// Draws vary around the share, and a limit without a margin would hold them below it.
const MARGIN_PERCENT: u64 = 25;

/// Decides at random which sub-requests go to the new version. The share refers to the requests that reach targets: if
/// the old targets are unreachable, the new version gets nothing beyond its share.
#[derive(Debug, Default)]
pub struct Exposure {
    ppm: AtomicU32,
    sent_new: AtomicU64,
    reached_old: AtomicU64,
}

impl Exposure {
    /// Changes the share, in millionths.
    pub fn set_ppm(&self, ppm: u32) {
        self.ppm.store(ppm, Ordering::Relaxed);
    }

    /// Whether this sub-request is for the new version.
    pub fn draw(&self, rng: &mut impl Rng) -> bool {
        let ppm = u64::from(self.ppm.load(Ordering::Relaxed));
        ppm > 0 && rng.random_range(0..PPM_SCALE) < ppm && self.has_room(ppm)
    }

    /// Counts a request that is sent to the new version.
    pub fn record_sent_new(&self) {
        self.sent_new.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that an old target has answered or refused.
    pub fn record_reached_old(&self) {
        self.reached_old.fetch_add(1, Ordering::Relaxed);
    }

    fn has_room(&self, ppm: u64) -> bool {
        let sent_new = self.sent_new.load(Ordering::Relaxed);
        let reached = sent_new + self.reached_old.load(Ordering::Relaxed);
        let share = u128::from(reached) * u128::from(ppm * (100 + MARGIN_PERCENT))
            / (u128::from(PPM_SCALE) * 100);
        u128::from(sent_new) < share + u128::from(INITIAL_REQUESTS)
    }
}
