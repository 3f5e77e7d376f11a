use std::process::Output;

use tokio::process::Command;

use crate::fake::{Fake, TOKEN};

async fn start(fake: &Fake, token: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gentianpass"))
        .args(args)
        .env("GENTIANPASS_CONTROL", format!("127.0.0.1:1,{}", fake.control))
        .env("GENTIANPASS_TOKEN", token)
        .kill_on_drop(true)
        .output()
        .await
        .expect("started")
}

/// Guards against a command that stops at the first control host although the next one works.
#[tokio::test]
async fn environment_second_host() {
    let fake = Fake::start().await;
    let output = start(&fake, TOKEN, &["group", "list"]).await;
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("label-designer"));
}

/// Guards against exit code 0 without success, and against a token in messages.
#[tokio::test]
async fn exit_code_failure() {
    let fake = Fake::start().await;
    let output = start(&fake, "another-secret", &["group", "list"]).await;
    assert_eq!(output.status.code(), Some(1));
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(err, "gentianpass: unauthorized: wrong token\n");
    let output = start(&fake, TOKEN, &["explain"]).await;
    assert_eq!(output.status.code(), Some(2));
}
