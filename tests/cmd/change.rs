use gentianpass::state::Change;

use crate::{fake::FakeCluster, run};

/// Makes another operator drain zone `y` right before the next change arrives.
fn add_concurrent_change(fake: &FakeCluster) {
    let object = "zone/y".parse().expect("object");
    let change = Change::SetLabel { object, key: "drain".into(), value: "true".into() };
    fake.lock_state().concurrent_change = Some(change);
}

fn drained(fake: &FakeCluster, zone: &str) -> bool {
    let kind = gentianpass::state::ObjectKind::Zone;
    fake.lock_state().tables.config.has_operator_label(kind, zone, "drain", "true")
}

/// Guards against two operators taking two zones out of service at the same time, each unaware of the other's change.
#[tokio::test]
async fn conflict_rejected() {
    let fake = FakeCluster::start().await;
    add_concurrent_change(&fake);
    let out = run(&fake, "zone out x").await;
    assert_eq!(
        out,
        "error: conflict: the operator revision is 7, the change builds on 6; nothing was applied. Look at the state and run the command again, or add --force-retry\n"
    );
    assert!(!drained(&fake, "x"));
}

/// Guards against a forced retry under the id of the first attempt. Its recorded outcome, the conflict, would be returned
/// again.
#[tokio::test]
async fn conflict_force_retry() {
    let fake = FakeCluster::start().await;
    add_concurrent_change(&fake);
    let out = run(&fake, "zone out x --force-retry").await;
    assert_eq!(out, "applied at revision 8\n");
    assert!(drained(&fake, "x") && drained(&fake, "y"));
    let change_ids = &fake.lock_state().change_ids;
    assert_eq!(change_ids.len(), 2);
    assert_ne!(change_ids[0], change_ids[1]);
}

/// Guards against applying a change to a newer revision than the one given with `--base`.
#[tokio::test]
async fn conflict_with_base() {
    let fake = FakeCluster::start().await;
    let old_revision = fake.lock_state().tables.config.operator_revision;
    fake.set_label("zone/y", "drain", "true");
    let out = run(&fake, &format!("zone out x --base {old_revision}")).await;
    assert_eq!(
        out,
        "error: conflict: the operator revision is 7, the change builds on 6; nothing was applied. Look at the state and run the command again, or add --force-retry\n"
    );
    assert!(!drained(&fake, "x"));
}

/// Guards against a conflict with the command's own change, or a second application of it, after its answer was lost.
#[tokio::test]
async fn lost_answer_same_id() {
    let fake = FakeCluster::start().await;
    fake.lock_state().lost_answers = 2;
    let out = run(&fake, "zone out x").await;
    assert_eq!(out, "applied at revision 7\n");
    assert!(drained(&fake, "x"));
    let change_ids = &fake.lock_state().change_ids;
    assert_eq!(change_ids.len(), 3);
    assert!(change_ids.iter().all(|it| *it == change_ids[0]));
}

/// Guards against applying a change again when its command is repeated with the same id after the change was reverted.
#[tokio::test]
async fn change_id_applied_once() {
    let fake = FakeCluster::start().await;
    let args = "zone out x --change-id 6f1ff4b6-8f8c-4c67-a6c6-33d9a0f6a1f4";
    let out = run(&fake, args).await;
    assert_eq!(out, "applied at revision 7\n");
    let out = run(&fake, "zone in x").await;
    assert_eq!(out, "applied at revision 8\n");
    let out = run(&fake, args).await;
    assert_eq!(out, "applied at revision 7\n");
    assert!(!drained(&fake, "x"));
}
