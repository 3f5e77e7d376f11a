use expect_test::expect;

use crate::{check, fake::Fake};

/// Guards against labels that are shown without their origin, or in spite of an operator's label.
#[tokio::test]
async fn get_origin() {
    let fake = Fake::start().await;
    fake.set_label("target/ld-0-x", "drain", "false");
    check(
        &fake,
        "label get target/ld-0-x",
        expect![[r#"
        KEY      VALUE           SET BY
        drain    false           operator
        service  label-designer  target

    "#]],
    )
    .await;
    fake.set_label("target/ld-0-x", "service", "other");
    check(
        &fake,
        "label get target/ld-0-x service",
        expect![[r#"
        KEY      VALUE  SET BY
        service  other  operator

    "#]],
    )
    .await;
    check(
        &fake,
        "label get target/ld-0-x nothing",
        expect![[r#"
        error: target/ld-0-x has no label "nothing"
    "#]],
    )
    .await;
}

/// Guards against changes that are reported but not made.
#[tokio::test]
async fn set_remove() {
    let fake = Fake::start().await;
    check(
        &fake,
        "label set zone/y drain=true",
        expect![[r#"
            applied at revision 7
        "#]],
    )
    .await;
    check(
        &fake,
        "label get zone/y",
        expect![[r#"
        KEY    VALUE  SET BY
        drain  true   operator

    "#]],
    )
    .await;
    check(
        &fake,
        "label remove zone/y drain",
        expect![[r#"
            applied at revision 8
        "#]],
    )
    .await;
    assert!(fake.plan().tables.config.labels.is_empty());
}

/// Guards against a class or rule of repetition that changes unseen.
#[tokio::test]
async fn set_kind_diff() {
    let fake = Fake::start().await;
    check(
        &fake,
        "label set kind/print-dispatch idempotent=false --diff",
        expect![[r#"
            Nothing was applied. Add --base 6 to apply exactly this change:
            kind print-dispatch: class broad, may be repeated -> class broad, runs at most once
        "#]],
    )
    .await;
    assert!(fake.plan().ids.is_empty(), "nothing is sent");
}
