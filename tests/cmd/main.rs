//! Tests of the operators' command against fake control hosts and entry hosts.

mod change;
mod explain;
mod fake;
mod group;
mod label;
mod process;
mod rollout;
mod selector;
mod status;
mod zone;

use std::io::Write;

use clap::Parser;
use gentianpass::cmd;
use tempfile::NamedTempFile;

use crate::fake::{FakeCluster, TOKEN};

/// Runs the command in this process with these arguments. Returns its output, followed by its error if it fails.
async fn run(fake: &FakeCluster, args: &str) -> String {
    let mut token = NamedTempFile::new().expect("file");
    writeln!(token, "{TOKEN}").expect("written");
    let control = fake.control.to_string();
    let file = token.path().to_str().expect("path");
    let global = ["gentianpass", "--control", &control, "--token-file", file];
    let args = cmd::Args::parse_from(global.into_iter().chain(args.split_whitespace()));
    let mut out = Vec::new();
    let result = cmd::run(args, &mut out).await;
    let mut out = String::from_utf8(out).expect("text");
    if let Err(err) = result {
        out.push_str(&format!("error: {err:#}\n"));
    }
    fake.replace_ports(out)
}
