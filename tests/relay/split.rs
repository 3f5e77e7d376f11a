//! Weighted splits.

use gentianpass::{relay::SplitPicker, route::Part};
use proptest::prelude::*;

fn parts(weights: &[u64]) -> Vec<Part> {
    weights.iter().map(|&weight| Part { service: "s".into(), weight }).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Among any 100 requests each part gets its share, within a margin of three requests.
    #[test]
    fn pick_follows_weights(weights in prop::collection::vec(0u64..1_000_000, 1..5), skipped in 0usize..1_000) {
        prop_assume!(weights.iter().sum::<u64>() > 0);
        let parts = parts(&weights);
        let split_picker = SplitPicker::default();
        for _ in 0..skipped {
            split_picker.pick(&parts);
        }
        let mut counts = vec![0u64; weights.len()];
        for _ in 0..100 {
            counts[split_picker.pick(&parts)] += 1;
        }
        let total = weights.iter().sum::<u64>() as f64;
        for (count, weight) in counts.iter().zip(&weights) {
            let expected = 100.0 * *weight as f64 / total;
            prop_assert!((*count as f64 - expected).abs() <= 3.0, "{counts:?} for {weights:?}");
        }
    }
}

#[test]
fn pick_without_weights() {
    assert_eq!(SplitPicker::default().pick(&parts(&[0, 0])), 0);
}

#[test]
fn pick_never_chooses_zero_weight() {
    let split_picker = SplitPicker::default();
    let parts = parts(&[0, 5, 0, 5]);
    assert!((0..1_000).all(|_| parts[split_picker.pick(&parts)].weight > 0));
}
