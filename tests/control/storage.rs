//! The data folder: lost, damaged, full.

use std::{fs, os::unix::fs::symlink, process::Command};

use hyper::Method;
use uuid::Uuid;

use crate::cluster::{Cluster, edit, label, until};

/// Guards against a host that votes under its old identity after it lost its disk.
#[tokio::test(flavor = "multi_thread")]
async fn lost_folder_rejoins_as_learner() {
    let mut cluster = Cluster::start("repair_after_ms = 2500");
    let leader = cluster.leader(0).await;
    let lost = (leader + 1) % 3;
    cluster.set(lost, "caller", "x").await;
    let before = cluster.state(leader).await.expect("state").members;
    cluster.kill(lost);
    fs::remove_dir_all(&cluster.hosts[lost].data).expect("removed");
    cluster.spawn(lost);
    let rpc = cluster.hosts[lost].rpc;
    let joined = cluster
        .state_where(leader, "it is a learner", |it| {
            it.members.iter().any(|it| it.rpc == rpc && it.role == "learner")
        })
        .await;
    assert!(before.iter().all(|old| joined.members.iter().any(|it| it.id == old.id)));
    let state = cluster.state_where(lost, "it has the state", |it| !it.labels.is_empty()).await;
    assert_eq!(label(&state, "caller").as_deref(), Some("x"));
    cluster
        .state_where(leader, "it replaces its old identity", |it| {
            it.members.len() == 3 && it.members.iter().all(|it| it.role != "learner")
        })
        .await;
}

/// Guards against a host that starts from a damaged log, and against a message that does not say where.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_folder_stops_the_host() {
    let mut cluster = Cluster::start("");
    cluster.set(0, "caller", "x").await;
    cluster.kill(0);
    let file = cluster.hosts[0].data.join("log");
    let mut bytes = fs::read(&file).expect("readable");
    bytes[20] ^= 1;
    fs::write(&file, bytes).expect("writable");
    cluster.spawn(0);
    assert!(!cluster.exit(0).await.success());
    let log = cluster.log(0);
    assert!(log.contains(&format!("{} is damaged at offset 0", file.display())), "{log}");
}

/// Guards against a full disk that takes the reads with it, or that needs a restart after space was freed.
#[tokio::test(flavor = "multi_thread")]
async fn full_disk_rejects_changes() {
    let mut cluster = Cluster::prepare("");
    for host in &cluster.hosts {
        fs::create_dir_all(&host.data).expect("folder");
        symlink("/dev/full", host.data.join("reserve")).expect("link");
    }
    (0..3).for_each(|i| cluster.spawn(i));
    cluster.state_where(0, "reads are served", |it| it.members.len() == 3).await;
    let (status, body) = cluster.change(0, Uuid::new_v4(), 0, edit("caller", "x")).await;
    assert_eq!((status, &body["error"]), (429, &"overloaded".into()), "{body}");
    for host in &cluster.hosts {
        fs::remove_file(host.data.join("reserve")).expect("removed");
    }
    until("changes are taken again", async || {
        let (status, _) = cluster.change(0, Uuid::new_v4(), 0, edit("caller", "x")).await;
        (status == 200).then_some(())
    })
    .await;
    let (_, events) = cluster.http(0, Method::GET, "/v1/events", "").await;
    assert!(events.is_array());
}

/// Guards against settings whose problems are reported one at a time, or that are only noticed in service.
#[test]
fn check_reports_all_problems() {
    let dir = tempfile::TempDir::new().expect("temporary folder");
    let file = dir.path().join("control.toml");
    fs::write(&file, "name = \"a b\"\nheartbeat_ms = 1\nunknown = true\n").expect("writable");
    let output = Command::new(env!("CARGO_BIN_EXE_gentianpass-control"))
        .args(["--check", "--settings"])
        .arg(&file)
        .output()
        .expect("started");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    for key in ["name", "zone", "listen_http", "heartbeat_ms", "unknown", "operator_token"] {
        assert!(text.contains(&format!(": {key} = ")), "{key} in {text}");
    }
}
