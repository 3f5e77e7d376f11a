//! Stand-ins of the second review: a small deployment of the project's programs on loopback addresses, with requesters,
//! servers and an operator that follow the users' pages.
//!
//! Usage: `standin SCENARIO RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! `TROUBLE=0` in the environment leaves the disruption out.

mod cold;
mod evacuation;
mod fleet;
mod handover;
mod http;
mod late_report;
mod popular;
mod record;
mod requester;
mod server;
mod unheard_leave;

use std::{path::Path, process::ExitCode};

use record::Record;

/// Whether the rule held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(scenario), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: standin SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(&path)) {
        Ok(it) => it,
        Err(err) => {
            eprintln!("{path}: {err}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    record.say(&format!("scenario {scenario}, trouble {trouble}"));
    let result = match scenario.as_str() {
        "evacuation" => evacuation::run(&record, trouble),
        "handover" => handover::run(&record, trouble),
        "late_report" => late_report::run(&record, trouble),
        "popular" => popular::run(&record, trouble),
        "unheard_leave" => unheard_leave::run(&record, trouble),
        _ => Err(format!("unknown scenario {scenario}")),
    };
    let code = match &result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    record.say(&format!("result: {result:?}"));
    record.flush();
    ExitCode::from(code)
}
