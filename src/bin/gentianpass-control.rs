//! A control host with a disk: voter, learner or spare of the replicated control state.

use std::process::ExitCode;

use gentianpass::{control, process};

fn main() -> ExitCode {
    process::main(control::run)
}
