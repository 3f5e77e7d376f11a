use gentianpass::policy::ownership::{owner, weight};
use proptest::prelude::*;

use crate::nodes;

fn any_usable() -> impl Strategy<Value = Vec<bool>> {
    prop::collection::vec(prop::bool::weighted(0.8), 1..15)
}

proptest! {
    #![proptest_config(crate::cases(1_000))]

    /// Guards against targets without an owner, unusable owners, and owners in another zone although the target's zone
    /// has a usable host.
    #[test]
    fn owner_matches_reference(target in "[a-z]{1,8}", zone in 0..4, usable in any_usable()) {
        let nodes = nodes(&usable);
        let zone = format!("z{zone}");
        let usable: Vec<_> = nodes.iter().filter(|it| it.usable).collect();
        let own_zone: Vec<_> = usable.iter().copied().filter(|it| it.zone == zone).collect();
        let candidates = if own_zone.is_empty() { usable } else { own_zone };
        let mut best = None;
        for node in candidates {
            if best.is_none_or(|it| weight(&target, &node.name) > weight(&target, it)) {
                best = Some(node.name.as_str());
            }
        }
        let found = owner(&target, &zone, &nodes).map(|it| nodes[it.0 as usize].name.as_str());
        prop_assert_eq!(found, best);
    }

    /// Guards against the loss of a host that moves targets of other hosts. Each move interrupts a target until the
    /// lease of its old owner has ended.
    #[test]
    fn owner_removed_node(usable in any_usable(), removed in any::<prop::sample::Index>()) {
        let before = nodes(&usable);
        let mut after = before.clone();
        let removed = after.remove(removed.index(before.len())).name;
        for i in 0..60 {
            let (target, zone) = (format!("t{i}"), format!("z{}", i % 4));
            let old = owner(&target, &zone, &before).map(|it| &before[it.0 as usize].name);
            let new = owner(&target, &zone, &after).map(|it| &after[it.0 as usize].name);
            prop_assert!(old == new || old == Some(&removed), "{target} moved: {old:?} to {new:?}");
            prop_assert!(new != Some(&removed));
        }
    }
}

/// Guards against entry hosts that own far more targets than others of their zone.
#[test]
fn owner_spread() {
    let nodes = nodes(&[true; 12]);
    let mut counts = [0; 12];
    for i in 0..12_000 {
        let key = owner(&format!("t{i}"), &format!("z{}", i % 3), &nodes).expect("owner");
        counts[key.0 as usize] += 1;
    }
    assert!(counts.iter().all(|it| (850..1_150).contains(it)), "{counts:?}");
}
