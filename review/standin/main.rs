//! Stand-ins for the clients, servers, operators and platform of a small deployment, and the scenarios that use them.
//!
//! Usage: `standin SCENARIO CASE_DIR`. Starts the project's programs as separate processes on loopback addresses, writes
//! `record.txt` into `CASE_DIR`, ends every process that it started, and exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cluster;
mod http;
mod record;
mod requester;
mod scenario_config;
mod scenario_crash;
mod scenario_failback;
mod scenario_restart;
mod server;

use std::{path::PathBuf, process::ExitCode};

/// Outcome of a scenario.
pub enum Verdict {
    Held,
    Broken,
}

/// Why a scenario could not run.
pub type Fault = String;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let [scenario, dir] = &args[..] else {
        eprintln!("usage: standin SCENARIO CASE_DIR");
        return ExitCode::from(2);
    };
    let dir = PathBuf::from(dir);
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let result = match scenario.as_str() {
        "failback" => scenario_failback::run(&dir, trouble),
        "crash" => scenario_crash::run(&dir, trouble),
        "restart" => scenario_restart::run(&dir, trouble),
        "same-version" => scenario_config::run(&dir, trouble),
        other => Err(format!("unknown scenario {other:?}")),
    };
    match result {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(fault) => {
            println!("could not run: {fault}");
            ExitCode::from(2)
        }
    }
}
