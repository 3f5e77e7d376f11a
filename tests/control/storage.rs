//! Durable state and settings: lost data folder, damaged log, full disk, invalid settings.

use std::{fs, os::unix::fs::symlink, path::Path, process::Command};

use gentianpass::{
    raft::{self, Payload, Save},
    route::Table,
    state::{Change, Entry, Reply},
    store::Log,
};
use hyper::Method;
use uuid::Uuid;

use crate::cluster::{Cluster, label_edit, label_value, submit, wait_until};

/// Size of the operator's document in a large route table, in bytes.
const DOCUMENT_BYTES: usize = 220_000;

/// A route table as large as a configuration with several hundred routes.
fn large_table(version: u64) -> Change {
    let document = "x".repeat(DOCUMENT_BYTES);
    Change::PutRoutes(Box::new(Table { version, document, ..Table::default() }))
}

/// Guards against a host that votes under its old identity after it lost its disk, and could so vote twice in a term.
/// It must rejoin as a learner under a new identity, which then replaces the old one.
#[tokio::test(flavor = "multi_thread")]
async fn host_with_lost_data_rejoins_as_learner() {
    let mut cluster = Cluster::start("repair_after_ms = 2500");
    let leader = cluster.wait_for_leader(0).await;
    let lost = (leader + 1) % 3;
    cluster.set_label(lost, "caller", "x").await;
    let before = cluster.state(leader).await.expect("state").members;
    cluster.kill(lost);
    fs::remove_dir_all(&cluster.hosts[lost].data).expect("removed");
    cluster.spawn(lost);
    let rpc = cluster.hosts[lost].rpc;
    let joined = cluster
        .wait_for_state(leader, "the host is a learner", |it| {
            it.members.iter().any(|it| it.rpc == rpc && it.role == "learner")
        })
        .await;
    assert!(before.iter().all(|old| joined.members.iter().any(|it| it.id == old.id)));
    let state =
        cluster.wait_for_state(lost, "the host has the state", |it| !it.labels.is_empty()).await;
    assert_eq!(label_value(&state, "caller").as_deref(), Some("x"));
    cluster
        .wait_for_state(leader, "the new identity replaces the old one", |it| {
            it.members.len() == 3 && it.members.iter().all(|it| it.role != "learner")
        })
        .await;
}

/// Guards against a log that is compacted by its number of entries only: some hundred large changes filled the disk, and
/// nothing was accepted any more. Three times the default of `snapshot_bytes` must be enough for the data folder.
#[tokio::test(flavor = "multi_thread")]
async fn large_changes_keep_folder_bounded() {
    const MAX_FOLDER_BYTES: u64 = 24 << 20;
    const CHANGES: u64 = 130;
    let cluster = Cluster::start("");
    cluster.wait_for_leader(0).await;
    let client = cluster.client(&[0, 1, 2]);
    let mut largest = 0;
    for version in 1..=CHANGES {
        let reply = submit(&client, large_table(version)).await.expect("committed");
        assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
        let folders = cluster.hosts.iter().map(|it| folder_bytes(&it.data));
        largest = largest.max(folders.max().expect("hosts"));
    }
    println!("a data folder had at most {largest} bytes");
    assert!(largest <= MAX_FOLDER_BYTES, "a data folder had {largest} bytes");
}

/// Guards against a host that needs several copies of its log in memory to start: after a kill of all hosts, none of
/// them came back within the memory that it is given. The log is longer than the limit for a snapshot, as an earlier
/// version may have left it.
#[tokio::test(flavor = "multi_thread")]
async fn restart_with_long_log_needs_little_memory() {
    const MAX_MEMORY_BYTES: u64 = 128 << 20;
    const CHANGES: u64 = 220;
    let mut cluster = Cluster::start("");
    cluster.set_label(0, "caller", "x").await;
    wait_until("all hosts have the same log", async || {
        let (a, b, c) = (cluster.state(0).await?, cluster.state(1).await?, cluster.state(2).await?);
        (a.revision == b.revision && b.revision == c.revision).then_some(())
    })
    .await;
    (0..3).for_each(|i| cluster.kill(i));
    cluster.hosts.iter().for_each(|it| append_large_changes(&it.data, CHANGES));
    (0..3).for_each(|i| cluster.spawn(i));
    for i in 0..3 {
        cluster.wait_for_state(i, "the host serves reads", |it| it.revision > CHANGES).await;
    }
    let peaks: Vec<_> = (0..3).map(|i| cluster.peak_memory_bytes(i)).collect();
    println!("peak memory: {peaks:?} bytes");
    assert!(peaks.iter().all(|it| *it <= MAX_MEMORY_BYTES), "peak memory: {peaks:?} bytes");
}

/// Appends entries with large route tables to the log of a host that does not run.
fn append_large_changes(data: &Path, count: u64) {
    let (mut log, opened) = Log::open(data).expect("opened");
    let last = opened.recovered.entries.last().expect("the log is not empty");
    for version in 1..=count {
        let change =
            Entry { id: version.into(), base: None, at_ms: 0, change: large_table(version) };
        let data = bincode::serialize(&change).expect("serializable");
        let payload = Payload::Data(data.into());
        let entry = raft::Entry { index: last.index + version, term: last.term, payload };
        log.save(Save { hard: None, entries: vec![entry] }).expect("saved");
    }
}

/// The size of all files in a folder. A file that is being replaced may be missed.
fn folder_bytes(path: &Path) -> u64 {
    let files = fs::read_dir(path).expect("folder").flatten();
    files.filter_map(|it| it.metadata().ok()).map(|it| it.len()).sum()
}

/// Guards against a host that starts from a damaged log, and against an error message without the position of the
/// damage.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_log_prevents_start() {
    let mut cluster = Cluster::start("");
    cluster.set_label(0, "caller", "x").await;
    cluster.kill(0);
    let file = cluster.hosts[0].data.join("log");
    let mut bytes = fs::read(&file).expect("readable");
    bytes[20] ^= 1;
    fs::write(&file, bytes).expect("writable");
    cluster.spawn(0);
    assert!(!cluster.wait_for_exit(0).await.success());
    let log = cluster.log(0);
    assert!(log.contains(&format!("{} is damaged at offset 0", file.display())), "{log}");
}

/// Guards against a full disk that also stops reads, and against one that needs a restart after space was freed. The
/// link to `/dev/full` makes the host fail to allocate its reserved space.
#[tokio::test(flavor = "multi_thread")]
async fn full_disk_rejects_changes() {
    let mut cluster = Cluster::prepare("");
    for host in &cluster.hosts {
        fs::create_dir_all(&host.data).expect("folder");
        symlink("/dev/full", host.data.join("reserve")).expect("link");
    }
    (0..3).for_each(|i| cluster.spawn(i));
    cluster.wait_for_state(0, "reads are served", |it| it.members.len() == 3).await;
    let (status, body) = cluster.change(0, Uuid::new_v4(), 0, label_edit("caller", "x")).await;
    assert_eq!((status, &body["error"]), (429, &"overloaded".into()), "{body}");
    for host in &cluster.hosts {
        fs::remove_file(host.data.join("reserve")).expect("removed");
    }
    wait_until("changes are accepted again", async || {
        let (status, _) = cluster.change(0, Uuid::new_v4(), 0, label_edit("caller", "x")).await;
        (status == 200).then_some(())
    })
    .await;
    let (_, events) = cluster.http(0, Method::GET, "/v1/events", "").await;
    assert!(events.is_array());
}

/// Guards against a settings check that reports only one problem per run, or misses one that would show up in
/// operation.
#[test]
fn check_reports_all_invalid_settings() {
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
