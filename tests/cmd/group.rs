use expect_test::expect;

use crate::{fake::Fake, run};

/// Guards against a group that loses its targets unseen.
#[tokio::test]
async fn set_diff() {
    let fake = Fake::start().await;
    let args = "group set label-designer --index labels --match service=labels --diff";
    let out = run(&fake, args).await;
    expect![[r#"
        Nothing was applied. Add --base 6 to apply exactly this change:
        group label-designer: version 7 covers 2 of 2 shards -> version 7 covers 0 of 2 shards, usable targets 3 -> 0
        SHARD LOST: group label-designer version 7 shard 0 has no usable replica
        SHARD LOST: group label-designer version 7 shard 1 has no usable replica
    "#]].assert_eq(&out);
    assert!(fake.plan().ids.is_empty(), "nothing is sent");
}

/// Guards against changes that are reported but not made.
#[tokio::test]
async fn set_list_remove() {
    let fake = Fake::start().await;
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
    assert!(!fake.plan().tables.config.groups.contains_key("all"));
}

/// Guards against the removal of a group that callers still reach.
#[tokio::test]
async fn remove_named_by_selector() {
    let fake = Fake::start().await;
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
