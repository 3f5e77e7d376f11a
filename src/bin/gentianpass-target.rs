//! Process that runs stand-in targets for the demo, the measurements and the tests.

use std::process::ExitCode;

use gentianpass::{lab::target, process};

fn main() -> ExitCode {
    process::main(target::run)
}
