use expect_test::expect;

use crate::{fake::FakeCluster, run};

/// Guards against a preview that does not warn that the zone has the last usable replica of a shard.
#[tokio::test]
async fn out_diff_last_replica() {
    let fake = FakeCluster::start().await;
    let out = run(&fake, "zone out x --diff").await;
    expect![[r#"
        Nothing was applied. Add --base 6 to apply exactly this change:
        targets that get no new work (2): ld-0-x, ld-1-x
        entry hosts out of use (1): n-x
        targets with another owner (2): ld-0-x, ld-1-x
        group label-designer: version 7 covers 2 of 2 shards -> version 7 covers 1 of 2 shards, usable targets 3 -> 1
        SHARD LOST: group label-designer version 7 shard 1 has no usable replica
    "#]].assert_eq(&out);
    let out = run(&fake, "zone out y --diff --json").await;
    let effect: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(effect["targets_closed"], serde_json::json!(["ld-0-y"]));
    assert_eq!(effect["shards_lost"], serde_json::json!([]));
    assert!(fake.lock_state().change_ids.is_empty(), "a change was sent");
}

/// Guards against `zone out` or `zone in` without effect, and against a preview that shows an effect where there is none.
#[tokio::test]
async fn out_in() {
    let fake = FakeCluster::start().await;
    let out = run(&fake, "zone out x").await;
    assert_eq!(out, "applied at revision 7\n");
    let out = run(&fake, "zone in x --diff").await;
    expect![[r#"
        Nothing was applied. Add --base 7 to apply exactly this change:
        targets that get new work again (2): ld-0-x, ld-1-x
        entry hosts in use again (1): n-x
        targets with another owner (2): ld-0-x, ld-1-x
        group label-designer: version 7 covers 1 of 2 shards -> version 7 covers 2 of 2 shards, usable targets 1 -> 3
    "#]].assert_eq(&out);
    let out = run(&fake, "zone in x").await;
    assert_eq!(out, "applied at revision 8\n");
    assert!(fake.lock_state().tables.config.labels.is_empty());
    let out = run(&fake, "zone in x --diff").await;
    expect![[r#"
        Nothing was applied. Add --base 8 to apply exactly this change:
        no effect on targets, groups, shards or callers
    "#]]
    .assert_eq(&out);
}

/// Guards against reporting success for a mistyped zone.
#[tokio::test]
async fn out_unknown() {
    let fake = FakeCluster::start().await;
    let out = run(&fake, "zone out xx").await;
    expect![[r#"
        error: no host or target is in zone "xx"; the zones are x, y. To label a zone before its first host starts, use `gentianpass label set zone/xx drain=true`
    "#]].assert_eq(&out);
    assert!(fake.lock_state().change_ids.is_empty(), "a change was sent");
}
