//! A server that was restarted under its id is told to stop at once, while its first report is still on its way.

use std::{
    net::Ipv4Addr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cold::Deployment,
    fleet::Role,
    record::Record,
    server::{Plan, Server},
};

/// For how long a leaving server may still get requests (`drainMs`).
const DRAIN: Duration = Duration::from_millis(3_000);

/// How much longer than that the restarted server goes on serving.
const STAYS: Duration = Duration::from_millis(5_000);

/// How far the clock of the restarted server is ahead.
const CLOCK_AHEAD: Duration = Duration::from_millis(1_500);

/// How long its first report is on its way.
const LATE: Duration = Duration::from_millis(2_500);

/// From its start until it is told to stop.
const STOP_AFTER: Duration = Duration::from_millis(500);

fn restarted(old: &Server, record: &Record) -> Result<std::sync::Arc<Server>, String> {
    let plan = Plan {
        id: old.id.clone(),
        service: old.service.clone(),
        zone: old.zone.clone(),
        addr: (Ipv4Addr::LOCALHOST, 0).into(),
        work: Duration::from_millis(40),
        records: false,
        clock_ahead: CLOCK_AHEAD,
    };
    Server::start(plan, record).map_err(|it| it.to_string())
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(record)?;
    deployment.report_regularly(1);
    deployment.report_regularly(2);
    let control = deployment.control.clone();
    let old = deployment.servers[0].clone();
    if !old.report("ready", &control) {
        return Err("the first report was not acknowledged".into());
    }
    let requesters = deployment.request(record);
    thread::sleep(Duration::from_secs(1));
    old.report("ready", &control);
    // A planned restart: the server leaves, serves for `drainMs` and a little longer, and ends.
    if !old.leave(&control) {
        return Err("the first leave was not acknowledged".into());
    }
    record.say("the server leaves, acknowledged");
    thread::sleep(DRAIN + Duration::from_millis(300));
    old.crash();
    thread::sleep(Duration::from_millis(500));
    let new = restarted(&old, record)?;
    record.say("it starts again under its id");
    let (seq, body) = new.next_report("ready");
    let first_report = {
        let (new, to) = (new.clone(), control[0]);
        thread::spawn(move || {
            if trouble {
                thread::sleep(LATE);
            }
            new.send_report(to, seq, &body, Duration::from_secs(5));
        })
    };
    thread::sleep(STOP_AFTER);
    if !new.leave(&control[1..]) {
        return Err("the second leave was not acknowledged".into());
    }
    let left_at = Instant::now();
    record.say("it leaves again, acknowledged");
    thread::sleep(DRAIN + STAYS);
    let _ = first_report.join();
    new.crash();
    let attempts = requesters.stop();
    deployment.stop();
    for i in 0..deployment.fleet.machines.len() {
        let words = ["announcement_ignored", "target_announced", "leave_acknowledged"];
        for line in deployment.fleet.log_lines(i, Role::Control, &words) {
            record.note(&format!("log of {}: {line}", deployment.fleet.machines[i].name));
        }
    }
    let served = attempts.iter().filter(|it| it.status == 200).count();
    record.say(&format!("{served} of {} requests were served", attempts.len()));
    if served * 2 < attempts.len() {
        return Err("less than half of the requests were served".into());
    }
    let arrivals = new.arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|it| it.at > left_at + DRAIN);
    let late: Vec<_> = late.map(|it| (it.at - left_at).as_millis()).collect();
    record.say(&format!(
        "{} requests reached the server later than {} ms after its leave was acknowledged, the last one after {} ms",
        late.len(),
        DRAIN.as_millis(),
        late.iter().max().unwrap_or(&0)
    ));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
