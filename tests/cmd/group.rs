use expect_test::expect;

use crate::{fake::FakeCluster, run};

/// Guards against a preview that does not show that a group loses its targets.
#[tokio::test]
async fn set_diff() {
    let fake = FakeCluster::start().await;
    let args = "group set label-designer --index labels --match service=labels --diff";
    let out = run(&fake, args).await;
    expect![[r#"
        Nothing was applied. Add --base 6 to apply exactly this change:
        group label-designer: version 7 covers 2 of 2 shards -> version 7 covers 0 of 2 shards, usable targets 3 -> 0
        SHARD LOST: group label-designer version 7 shard 0 has no usable replica
        SHARD LOST: group label-designer version 7 shard 1 has no usable replica
    "#]].assert_eq(&out);
    assert!(fake.lock_state().change_ids.is_empty(), "a change was sent");
}

/// Guards against changes that are reported as applied but have no effect.
#[tokio::test]
async fn set_list_remove() {
    let fake = FakeCluster::start().await;
    let out = run(&fake, "group set all --index labels").await;
    assert_eq!(out, "applied at revision 7\n");
    let out = run(&fake, "group list").await;
    expect![[r#"
        GROUP           INDEX   MATCH
        all             labels  -
        label-designer  labels  service=label-designer

    "#]]
    .assert_eq(&out);
    let out = run(&fake, "group remove all").await;
    assert_eq!(out, "applied at revision 8\n");
    assert!(!fake.lock_state().tables.config.groups.contains_key("all"));
}

/// Guards against removing a group that a selector still admits callers to.
#[tokio::test]
async fn remove_named_by_selector() {
    let fake = FakeCluster::start().await;
    fake.add_selector();
    let out = run(&fake, "group remove label-designer").await;
    expect![[r#"
        error: bad_request: selector "designers" still names the group "label-designer"; nothing was applied
    "#]].assert_eq(&out);
    let out = run(&fake, "group remove label-designer --diff").await;
    expect![[r#"
        error: the change would be rejected: bad_request: selector "designers" still names the group "label-designer"
    "#]].assert_eq(&out);
}
