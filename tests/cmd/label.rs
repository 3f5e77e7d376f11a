use expect_test::expect;

use crate::{fake::FakeCluster, run};

/// Guards against labels shown with the wrong origin, and against a target's label shown although an operator overrides it.
#[tokio::test]
async fn get_origin() {
    let fake = FakeCluster::start().await;
    fake.set_label("target/ld-0-x", "drain", "false");
    let out = run(&fake, "label get target/ld-0-x").await;
    expect![[r#"
        KEY      VALUE           SET BY
        drain    false           operator
        service  label-designer  target

    "#]]
    .assert_eq(&out);
    fake.set_label("target/ld-0-x", "service", "other");
    let out = run(&fake, "label get target/ld-0-x service").await;
    expect![[r#"
        KEY      VALUE  SET BY
        service  other  operator

    "#]]
    .assert_eq(&out);
    let out = run(&fake, "label get target/ld-0-x nothing").await;
    expect![[r#"
        error: target/ld-0-x has no label "nothing"
    "#]]
    .assert_eq(&out);
}

/// Guards against changes that are reported as applied but have no effect.
#[tokio::test]
async fn set_remove() {
    let fake = FakeCluster::start().await;
    let out = run(&fake, "label set zone/y drain=true").await;
    assert_eq!(out, "applied at revision 7\n");
    let out = run(&fake, "label get zone/y").await;
    expect![[r#"
        KEY    VALUE  SET BY
        drain  true   operator

    "#]]
    .assert_eq(&out);
    let out = run(&fake, "label remove zone/y drain").await;
    assert_eq!(out, "applied at revision 8\n");
    assert!(fake.lock_state().tables.config.labels.is_empty());
}

/// Guards against a preview that does not show that the idempotence of a request kind changes.
#[tokio::test]
async fn set_kind_diff() {
    let fake = FakeCluster::start().await;
    let out = run(&fake, "label set kind/print-dispatch idempotent=false --diff").await;
    expect![[r#"
        Nothing was applied. Add --base 6 to apply exactly this change:
        kind print-dispatch: class broad, may be repeated -> class broad, runs at most once
    "#]]
    .assert_eq(&out);
    assert!(fake.lock_state().change_ids.is_empty(), "a change was sent");
}
