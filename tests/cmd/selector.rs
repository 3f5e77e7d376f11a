use expect_test::expect;

use crate::{check, fake::Fake};

/// Guards against access that is given or taken unseen.
#[tokio::test]
async fn set_diff() {
    let fake = Fake::start().await;
    fake.set_label("caller/janitor", "team", "design");
    fake.add_selector();
    let args = "selector set designers --group label-designer --kind label-page --caller team=design --diff";
    check(
        &fake,
        args,
        expect![[r#"
            Nothing was applied. Add --base 8 to apply exactly this change:
            caller janitor loses label-search to group label-designer
            caller janitor gains label-page to group label-designer
        "#]],
    )
    .await;
    let args = "selector set everyone --group label-designer --kind label-search --diff";
    check(
        &fake,
        args,
        expect![[r#"
            Nothing was applied. Add --base 8 to apply exactly this change:
            caller (callers without labels) gains label-search to group label-designer
        "#]],
    )
    .await;
    assert!(fake.plan().ids.is_empty(), "nothing is sent");
}

/// Guards against changes that are reported but not made.
#[tokio::test]
async fn set_list_remove() {
    let fake = Fake::start().await;
    let args = "selector set designers --group label-designer --kind label-search --kind label-page --caller team=design";
    check(
        &fake,
        args,
        expect![[r#"
            applied at revision 7
        "#]],
    )
    .await;
    check(
        &fake,
        "selector list",
        expect![[r#"
        SELECTOR   CALLERS      KINDS                     GROUP
        designers  team=design  label-page, label-search  label-designer

    "#]],
    )
    .await;
    check(
        &fake,
        "selector remove designers",
        expect![[r#"
            applied at revision 8
        "#]],
    )
    .await;
    assert!(fake.plan().tables.config.selectors.is_empty());
}

/// Guards against success of a rejected change.
#[tokio::test]
async fn set_unknown_group() {
    let fake = Fake::start().await;
    check(
        &fake,
        "selector set s --group nothing --kind k",
        expect![[r#"
        error: not_found: there is no group "nothing"; nothing was applied
    "#]],
    )
    .await;
}
