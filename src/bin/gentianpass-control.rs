//! Control host: a voter, learner or spare in the Raft group that replicates the control state, stored on disk.

use std::process::ExitCode;

use gentianpass::{control, process};

fn main() -> ExitCode {
    process::main(control::run)
}
