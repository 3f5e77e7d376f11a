use expect_test::expect;

use crate::{fake::FakeCluster, run};

/// Guards against a preview that does not show which callers lose or gain access.
#[tokio::test]
async fn set_diff() {
    let fake = FakeCluster::start().await;
    fake.set_label("caller/janitor", "team", "design");
    fake.add_selector();
    let args = "selector set designers --group label-designer --kind label-page --caller team=design --diff";
    let out = run(&fake, args).await;
    expect![[r#"
        Nothing was applied. Add --base 8 to apply exactly this change:
        caller janitor loses label-search to group label-designer
        caller janitor gains label-page to group label-designer
    "#]]
    .assert_eq(&out);
    let args = "selector set everyone --group label-designer --kind label-search --diff";
    let out = run(&fake, args).await;
    expect![[r#"
        Nothing was applied. Add --base 8 to apply exactly this change:
        caller (callers without labels) gains label-search to group label-designer
    "#]]
    .assert_eq(&out);
    assert!(fake.lock_state().change_ids.is_empty(), "a change was sent");
}

/// Guards against changes that are reported as applied but have no effect.
#[tokio::test]
async fn set_list_remove() {
    let fake = FakeCluster::start().await;
    let args = "selector set designers --group label-designer --kind label-search --kind label-page --caller team=design";
    let out = run(&fake, args).await;
    assert_eq!(out, "applied at revision 7\n");
    let out = run(&fake, "selector list").await;
    expect![[r#"
        SELECTOR   CALLERS      KINDS                     GROUP
        designers  team=design  label-page, label-search  label-designer

    "#]]
    .assert_eq(&out);
    let out = run(&fake, "selector remove designers").await;
    assert_eq!(out, "applied at revision 8\n");
    assert!(fake.lock_state().tables.config.selectors.is_empty());
}

/// Guards against reporting success for a rejected change.
#[tokio::test]
async fn set_unknown_group() {
    let fake = FakeCluster::start().await;
    let out = run(&fake, "selector set s --group nothing --kind k").await;
    expect![[r#"
        error: not_found: there is no group "nothing"; nothing was applied
    "#]]
    .assert_eq(&out);
}
