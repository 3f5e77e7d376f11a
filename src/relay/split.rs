//! Distributes requests over weighted services, so that each gets close to its share even over few requests.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::route::Part;

/// The golden ratio as a fraction of 2^64: its multiples modulo 2^64 form a low-discrepancy sequence.
const GOLDEN_RATIO_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A position that advances with each request. It starts at random, so that hosts differ.
#[derive(Debug)]
pub struct SplitPicker(AtomicU64);

impl Default for SplitPicker {
    fn default() -> Self {
        Self(AtomicU64::new(rand::random()))
    }
}

impl SplitPicker {
    /// The index of the part for the next request; 0 if all weights are 0.
    pub fn pick(&self, parts: &[Part]) -> usize {
        let position = self.0.fetch_add(GOLDEN_RATIO_STEP, Ordering::Relaxed);
        let total: u128 = parts.iter().map(|it| u128::from(it.weight)).sum();
        let mut left = (u128::from(position) * total) >> u64::BITS;
        let chosen = parts.iter().position(|it| {
            let weight = u128::from(it.weight);
            let contains = left < weight;
            left = left.saturating_sub(weight);
            contains
        });
        chosen.unwrap_or(0)
    }
}
