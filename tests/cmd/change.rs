use gentianpass::state::Change;

use crate::{fake::Fake, run};

fn race(fake: &Fake) {
    let object = "zone/y".parse().expect("object");
    let change = Change::SetLabel { object, key: "drain".into(), value: "true".into() };
    fake.plan().race = Some(change);
}

fn drained(fake: &Fake, zone: &str) -> bool {
    let kind = gentianpass::state::ObjectKind::Zone;
    fake.plan().tables.config.has_operator_label(kind, zone, "drain", "true")
}

/// Guards against two operators that take two zones out at once, each without knowledge of the other.
#[tokio::test]
async fn conflict_stops() {
    let fake = Fake::start().await;
    race(&fake);
    let out = run(&fake, "zone out x").await;
    assert_eq!(
        out,
        "error: conflict: the operator revision is 7, the change builds on 6; nothing was applied. Look at the state and run the command again, or add --force-retry\n"
    );
    assert!(!drained(&fake, "x"));
}

/// Guards against a forced change that reuses the id of the conflict, whose outcome is recorded.
#[tokio::test]
async fn conflict_force_retry() {
    let fake = Fake::start().await;
    race(&fake);
    let out = run(&fake, "zone out x --force-retry").await;
    assert_eq!(out, "applied at revision 8\n");
    assert!(drained(&fake, "x") && drained(&fake, "y"));
    let ids = &fake.plan().ids;
    assert_eq!(ids.len(), 2);
    assert_ne!(ids[0], ids[1]);
}

/// Guards against a change that builds on a newer state than the one that the operator looked at.
#[tokio::test]
async fn conflict_base() {
    let fake = Fake::start().await;
    let looked_at = fake.plan().tables.config.operator_revision;
    fake.set_label("zone/y", "drain", "true");
    let out = run(&fake, &format!("zone out x --base {looked_at}")).await;
    assert_eq!(
        out,
        "error: conflict: the operator revision is 7, the change builds on 6; nothing was applied. Look at the state and run the command again, or add --force-retry\n"
    );
    assert!(!drained(&fake, "x"));
}

/// Guards against a conflict, or a second change, after the answer to a change was lost.
#[tokio::test]
async fn lost_answer_same_id() {
    let fake = Fake::start().await;
    fake.plan().lost_answers = 2;
    let out = run(&fake, "zone out x").await;
    assert_eq!(out, "applied at revision 7\n");
    assert!(drained(&fake, "x"));
    let ids = &fake.plan().ids;
    assert_eq!(ids.len(), 3);
    assert!(ids.iter().all(|it| *it == ids[0]));
}

/// Guards against a change that a repeated command makes again after another operator has reverted it.
#[tokio::test]
async fn change_id_repeated() {
    let fake = Fake::start().await;
    let args = "zone out x --change-id 6f1ff4b6-8f8c-4c67-a6c6-33d9a0f6a1f4";
    let out = run(&fake, args).await;
    assert_eq!(out, "applied at revision 7\n");
    let out = run(&fake, "zone in x").await;
    assert_eq!(out, "applied at revision 8\n");
    let out = run(&fake, args).await;
    assert_eq!(out, "applied at revision 7\n");
    assert!(!drained(&fake, "x"));
}
