use std::process::Output;

use tokio::process::Command;

use crate::fake::{FakeCluster, TOKEN};

/// Runs the program as a process and waits until it exits. The first control host refuses connections.
async fn run_process(fake: &FakeCluster, token: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gentianpass"))
        .args(args)
        .env("GENTIANPASS_CONTROL", format!("127.0.0.1:1,{}", fake.control))
        .env("GENTIANPASS_TOKEN", token)
        .kill_on_drop(true)
        .output()
        .await
        .expect("started")
}

/// Guards against a command that fails because the first control host is unreachable although the next one answers. The
/// hosts and the token come from environment variables.
#[tokio::test]
async fn unreachable_first_host() {
    let fake = FakeCluster::start().await;
    let output = run_process(&fake, TOKEN, &["group", "list"]).await;
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("label-designer"));
}

/// Guards against exit code 0 after a failure, and against the token in error messages.
#[tokio::test]
async fn exit_code_failure() {
    let fake = FakeCluster::start().await;
    let output = run_process(&fake, "another-secret", &["group", "list"]).await;
    assert_eq!(output.status.code(), Some(1));
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(err, "gentianpass: unauthorized: wrong token\n");
    let output = run_process(&fake, TOKEN, &["explain"]).await;
    assert_eq!(output.status.code(), Some(2));
}
