//! The real program with its real owners, between a fake control host and fake targets.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::Duration,
};

use gentianpass::{
    error::{Kind, Outcome},
    wire::caller::{Answer, Dispatched},
};
use tempfile::TempDir;

use crate::{
    control::FakeControl,
    owners::rows,
    support::{Response, TOKEN, control, dispatch, now, post, query, until},
    target::FakeTarget,
};

const BINARY: &str = env!("CARGO_BIN_EXE_gentianpass-entry");

/// A process that is killed when the test ends.
struct Process {
    child: Child,
    addr: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A free address of the loopback interface.
fn free_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener");
    listener.local_addr().expect("address")
}

/// Writes a settings file. Returns its path and the HTTP address of the host.
fn settings(dir: &TempDir, control: SocketAddr, name: &str) -> (PathBuf, SocketAddr) {
    let (http, rpc) = (free_addr(), free_addr());
    let file = dir.path().join(format!("{name}.toml"));
    let trace = dir.path().join(format!("{name}.jsonl"));
    let text = format!(
        "name = \"{name}\"\nzone = \"tayside-a\"\nlisten_http = \"{http}\"\nlisten_rpc = \"{rpc}\"\n\
         control = [\"{control}\"]\noperator_token = \"{TOKEN}\"\nentries_ttl_ms = 200\n\
         max_sub_request_ms = 500\nlease_ms = 1000\npoll_interval_ms = 100\n\
         trace_file = {trace:?}\ntrace_one_in = 1\n"
    );
    std::fs::write(&file, text).expect("settings");
    (file, http)
}

fn start(dir: &TempDir, control: &FakeControl, name: &str) -> Process {
    let (file, addr) = settings(dir, control.addr, name);
    let child = Command::new(BINARY)
        .args(["--settings".as_ref(), file.as_os_str()])
        .stderr(Stdio::null())
        .spawn()
        .expect("started");
    Process { child, addr }
}

async fn ask(process: &Process, text: &str) -> Response {
    post(process.addr, "/v1/query", "designer", query(text, 2_000).to_string()).await
}

/// Guards against faults that only show between processes: queries through local and remote owners, a dispatch sent
/// again to other hosts, traces that span processes, and a SIGTERM that interrupts a request or ends with a status
/// other than 0.
#[tokio::test(flavor = "multi_thread")]
async fn end_to_end() {
    let control = control(0, 0).await;
    let dir = tempfile::tempdir().expect("folder");
    let mut processes: Vec<Process> =
        (1..=3).map(|i| start(&dir, &control, &format!("entry-{i}"))).collect();
    let addrs: Vec<SocketAddr> = processes.iter().map(|it| it.addr).collect();
    for addr in &addrs {
        until("listening", async || tokio::net::TcpStream::connect(addr).await.is_ok()).await;
    }
    let mut targets = Vec::new();
    for shard in 0..6 {
        for replica in 0..2 {
            let name = format!("t{shard}-{replica}");
            targets.push(FakeTarget::start(&name, shard, 6, addrs.clone()).await);
        }
    }
    for process in &processes {
        until("complete", async || {
            let response = ask(process, "warm").await;
            response.status == 200 && response.json::<Answer>().missing.is_empty()
        })
        .await;
    }
    for (i, process) in processes.iter().cycle().take(30).enumerate() {
        let text = format!("name {i}");
        let answer = ask(process, &text).await.answer();
        let mut expected: Vec<_> = (0..6).flat_map(|it| rows(1, it, &text)).collect();
        expected.sort();
        assert_eq!(answer.rows, expected, "{answer:?}");
    }
    let body = dispatch("job", now()).to_string();
    for process in &processes {
        let response = post(process.addr, "/v1/dispatch", "designer", body.clone()).await;
        assert_eq!(response.json::<Dispatched>().result.as_deref(), Some("job"));
    }
    let runs: usize = targets.iter().map(|it| it.received.lock().runs.len()).sum();
    assert_eq!(runs, 1);

    let mut leaving = processes.remove(0);
    let others = async {
        for i in 0..60 {
            let answer = ask(&processes[i % 2], &format!("leaving {i}")).await.answer();
            assert_eq!(answer.missing, [], "while a host stops");
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    };
    let pid = leaving.child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill").success());
    others.await;
    until("ended", async || {
        let listening = tokio::net::TcpStream::connect(leaving.addr).await.is_ok();
        if listening {
            let response = ask(&leaving, "last").await;
            assert!(response.status == 200 || response.failure().1 == Outcome::NotRun);
        }
        !listening
    })
    .await;
    let status = tokio::task::spawn_blocking(move || leaving.child.wait().expect("ended"));
    assert_eq!(status.await.expect("ended").code(), Some(0));
    assert!(!control.tables(|it| it.config.nodes.contains_key("entry-1")));
    check_trace_spans(&dir);
}

/// Checks that queries and calls to owners have spans, and that some span continues the trace of a call.
fn check_trace_spans(dir: &TempDir) {
    let mut lines = String::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        let file = dir.path().join(format!("{name}.jsonl"));
        lines += &std::fs::read_to_string(file).unwrap_or_default();
    }
    let spans: Vec<serde_json::Value> =
        lines.lines().filter_map(|it| serde_json::from_str(it).ok()).collect();
    let named = |name: &str| spans.iter().filter(move |it| it["name"] == name).collect::<Vec<_>>();
    let calls = named("owner_call");
    assert!(!named("query").is_empty() && !calls.is_empty());
    let child = |call: &&serde_json::Value| {
        spans.iter().any(|it| it["parent"] == call["span"] && it["trace"] == call["trace"])
    };
    assert!(calls.iter().any(child), "no span of an owner continues a call");
}

/// Runs the program with `--check`.
fn check(file: &std::path::Path) -> Output {
    let args = ["--settings".as_ref(), file.as_os_str(), "--check".as_ref()];
    Command::new(BINARY).args(args).output().expect("ran")
}

/// Guards against wrong settings that are accepted or reported one at a time, and against a report that shows the
/// token.
#[test]
fn check_settings() {
    let dir = tempfile::tempdir().expect("folder");
    let (file, _) = settings(&dir, free_addr(), "entry-1");
    assert!(check(&file).status.success());
    let wrong =
        std::fs::read_to_string(&file).expect("settings").replace("1000", "1") + "color = 1";
    std::fs::write(&file, wrong).expect("settings");
    let output = check(&file);
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("lease_ms") && text.contains("color"), "{text}");
    assert!(!text.contains(TOKEN), "the token is shown");
}

/// Guards against a failed start whose error does not name the address in use.
#[test]
fn port_in_use() {
    let dir = tempfile::tempdir().expect("folder");
    let (file, addr) = settings(&dir, free_addr(), "entry-1");
    let _listener = std::net::TcpListener::bind(addr).expect("listener");
    let output = Command::new(BINARY).arg("--settings").arg(&file).output().expect("ran");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && text.contains(&addr.to_string()), "{text}");
}

/// Guards against a wrong error kind or outcome while the host has not reached a control host yet.
#[tokio::test(flavor = "multi_thread")]
async fn no_control_host() {
    let control = control(0, 0).await;
    control.set_silent(true);
    let dir = tempfile::tempdir().expect("folder");
    let process = start(&dir, &control, "entry-1");
    until("listening", async || tokio::net::TcpStream::connect(process.addr).await.is_ok()).await;
    assert_eq!(ask(&process, "name").await.failure(), (Kind::NoLease, Outcome::NotRun));
}
