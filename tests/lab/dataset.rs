//! The data set: the same rows from the same seed, versions that differ, and shards that add up to all rows.

use std::collections::BTreeSet;

use gentianpass::{
    lab::{
        dataset::{Dataset, ShardCache, shard_of},
        reference,
    },
    state::Holding,
    wire::caller::{Answer, Missing, Row},
};

const DATASET: Dataset = Dataset { seed: 7, rows: 4_000 };

fn rows(index: &str, version: u64) -> Vec<Row> {
    DATASET.version(index, version).collect()
}

fn holding(version: u64, shard: u32, shards: u32) -> Holding {
    Holding { index: "labels".into(), version, shard, shards }
}

/// Guards against a data set that differs between processes: answers of the targets could then not be compared with a
/// scan in the test process.
#[test]
fn same_seed_gives_same_rows() {
    assert_eq!(rows("labels", 3), rows("labels", 3));
    let other: Vec<Row> = Dataset { seed: 8, ..DATASET }.version("labels", 3).collect();
    assert_ne!(rows("labels", 3), other);
    assert_ne!(rows("labels", 3), rows("proofs", 3));
}

/// Guards against versions that are too similar, so that an answer with rows of two versions would pass as one.
#[test]
fn version_differs_from_previous() {
    for index in ["labels", "proofs"] {
        for version in 1..12 {
            let (old, new) = (rows(index, version), rows(index, version + 1));
            let ids = |rows: &[Row]| rows.iter().map(|it| it.id).collect::<BTreeSet<_>>();
            let (old_ids, new_ids) = (ids(&old), ids(&new));
            let old_rows: BTreeSet<_> = old.into_iter().collect();
            let changed =
                new.iter().filter(|it| old_ids.contains(&it.id) && !old_rows.contains(*it));
            assert!(changed.count() > 200, "{index}@{version}: too few rows changed");
            assert!(old_ids.difference(&new_ids).count() > 100, "too few rows removed");
            assert!(new_ids.difference(&old_ids).count() > 100, "too few rows added");
            assert!((3_800..4_200).contains(&new_ids.len()), "{} rows", new_ids.len());
        }
    }
}

/// Guards against an inverted index that finds other rows than the full scan.
#[test]
fn search_equals_scan() {
    let shard_cache = ShardCache::new(DATASET);
    let texts = [
        DATASET.narrow_text("labels", 5),
        DATASET.broad_text("labels", 2).to_uppercase(),
        "morag dens road".to_owned(),
        "mäkinen".to_owned(),
        "nobody".to_owned(),
        String::new(),
    ];
    for shards in [1, 10, 31] {
        for text in &texts {
            let mut found = Vec::new();
            for shard in 0..shards {
                let part = shard_cache.shard(&holding(2, shard, shards)).expect("shard");
                found.extend(part.search(text));
            }
            found.sort();
            let all_rows = reference::full_scan(DATASET, "labels", 2, text);
            assert_eq!(found, all_rows, "{text:?} over {shards} shards");
            assert_eq!(all_rows.is_empty(), text == "nobody", "{text:?}");
        }
    }
}

/// Guards against a check that accepts rows of another version, or rows of a shard that is reported missing.
#[test]
fn check_rejects_wrong_rows() {
    let text = DATASET.broad_text("labels", 1);
    let all_rows = reference::full_scan(DATASET, "labels", 2, &text);
    let rows: Vec<Row> = all_rows.iter().filter(|it| shard_of(it.id, 10) != 4).cloned().collect();
    let reason = gentianpass::error::Kind::Timeout;
    let answer = Answer {
        request_id: "1".into(),
        outcome: gentianpass::error::Outcome::Done,
        version: 2,
        covered: 9,
        total: 10,
        missing: vec![Missing { shard: 4, reason }],
        rows,
    };
    assert!(reference::is_correct(&answer, &all_rows));
    assert!(!reference::is_correct(&answer, &reference::full_scan(DATASET, "labels", 3, &text)));
    assert!(!reference::is_correct(
        &Answer { rows: all_rows.clone(), ..answer.clone() },
        &all_rows
    ));
    assert!(!reference::is_correct(&Answer { covered: 10, ..answer.clone() }, &all_rows));
    assert!(!reference::is_correct(
        &Answer { covered: 10, missing: Vec::new(), ..answer },
        &all_rows
    ));
}
