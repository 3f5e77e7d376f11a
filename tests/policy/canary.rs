use gentianpass::{
    policy::canary::{KNOWN_GOOD_CAPACITY, KnownGood, fingerprint, target_order},
    state::TargetKey,
};
use proptest::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

proptest! {
    #![proptest_config(crate::cases(1_000))]

    /// Guards against entry hosts that send canaries of the same request to different targets.
    #[test]
    fn target_order_matches_reference(
        request in any::<u64>(),
        names in prop::collection::btree_set("[a-f]{1,4}", 0..20),
    ) {
        let names: Vec<_> = names.into_iter().collect();
        let list = || names.iter().enumerate().map(|(i, it)| (TargetKey(i as u32), it.as_str()));
        let forward = target_order(request, list());
        let backward = target_order(request, list().rev());
        prop_assert_eq!(&forward, &backward);
        let mut rest: Vec<_> = list().collect();
        for key in forward {
            let weight = |it: &(TargetKey, &str)| xxh3_64_with_seed(it.1.as_bytes(), request);
            let best = (0..rest.len()).max_by_key(|&i| weight(&rest[i])).expect("one is left");
            prop_assert_eq!(rest.swap_remove(best).0, key);
        }
        prop_assert!(rest.is_empty());
    }
}

/// Guards against equal fingerprints of requests whose parts differ only in where one ends and the next begins.
#[test]
fn fingerprint_parts() {
    assert_eq!(fingerprint("g", "k", "text"), fingerprint("g", "k", "text"));
    assert_ne!(fingerprint("ab", "c", "d"), fingerprint("a", "bc", "d"));
    assert_ne!(fingerprint("a", "b", "cd"), fingerprint("a", "bc", "d"));
    assert_ne!(fingerprint("a", "b", ""), fingerprint("", "a", "b"));
}

/// Guards against one target that runs the canaries of all requests.
#[test]
fn target_order_spread() {
    let names: Vec<_> = (0..10).map(|it| format!("t{it}")).collect();
    let mut counts = [0; 10];
    for request in 0..5_000 {
        let text = request.to_string();
        let list = names.iter().enumerate().map(|(i, it)| (TargetKey(i as u32), it.as_str()));
        counts[target_order(fingerprint("g", "k", &text), list)[0].0 as usize] += 1;
    }
    assert!(counts.iter().all(|it| (400..600).contains(it)), "{counts:?}");
}

/// Guards against unbounded memory, and against eviction of recently used fingerprints.
#[test]
fn known_good_capacity() {
    let mut known = KnownGood::default();
    for request in 0..=KNOWN_GOOD_CAPACITY.get() as u64 {
        known.insert(request);
        assert!(known.contains(0));
    }
    assert!(!known.contains(1));
    known.remove(0);
    assert!(!known.contains(0));
}
