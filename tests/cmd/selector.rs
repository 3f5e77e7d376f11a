use expect_test::expect;

use crate::{fake::Fake, run};

/// Guards against access that is given or taken unseen.
#[tokio::test]
async fn set_diff() {
    let fake = Fake::start().await;
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
    assert!(fake.plan().ids.is_empty(), "nothing is sent");
}

/// Guards against changes that are reported but not made.
#[tokio::test]
async fn set_list_remove() {
    let fake = Fake::start().await;
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
    assert!(fake.plan().tables.config.selectors.is_empty());
}

/// Guards against success of a rejected change.
#[tokio::test]
async fn set_unknown_group() {
    let fake = Fake::start().await;
    let out = run(&fake, "selector set s --group nothing --kind k").await;
    expect![[r#"
        error: not_found: there is no group "nothing"; nothing was applied
    "#]]
    .assert_eq(&out);
}
