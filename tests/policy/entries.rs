use std::collections::BTreeMap;

use gentianpass::policy::{
    entries::{MAX_ADDRESSES, addresses},
    ownership::weight,
};
use proptest::prelude::*;

use crate::nodes;

proptest! {
    #![proptest_config(crate::cases(1_000))]

    /// Guards against unusable hosts in the list, and against entry hosts that compute different lists for a caller.
    #[test]
    fn addresses_matches_reference(caller in "[a-z]{1,8}", usable in prop::collection::vec(any::<bool>(), 0..12)) {
        let nodes = nodes(&usable);
        let mut rest: Vec<_> = nodes.iter().filter(|it| it.usable).collect();
        let mut expected = Vec::new();
        while expected.len() < MAX_ADDRESSES && !rest.is_empty() {
            let best = (0..rest.len()).max_by_key(|&i| weight(&caller, &rest[i].name));
            expected.push(rest.remove(best.expect("not empty")).http);
        }
        prop_assert_eq!(addresses(&caller, nodes.iter().rev()), expected);
    }
}

/// Guards against entry hosts that get far more callers than others.
#[test]
fn addresses_spread() {
    let nodes = nodes(&[true; 11]);
    let mut first = BTreeMap::new();
    for caller in 0..11_000 {
        let list = addresses(&format!("caller-{caller}"), &nodes);
        *first.entry(list[0]).or_insert(0) += 1;
    }
    assert_eq!(first.len(), 11);
    assert!(first.values().all(|it| (850..1_150).contains(it)), "{first:?}");
}
