//! Control host: a member of the Raft cluster that replicates the control state, stored on disk. It is a voter or a
//! learner. The setting `role` says whether it may start a new cluster (`voter`) or only join one (`spare`).

use std::process::ExitCode;

use gentianpass::{control, process};

fn main() -> ExitCode {
    process::main(control::run)
}
