//! A report of a server that says it is warm arrives late, at another control host than the later report that says it
//! is cold.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cold::{self, Deployment, REPORT_INTERVAL},
    fleet::Role,
    record::Record,
};

/// How long the late report is on its way.
const LATE: Duration = Duration::from_millis(1_700);

/// After this time without an acknowledgement the next node is called.
const PATIENCE: Duration = Duration::from_secs(1);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(record)?;
    deployment.report_regularly(1);
    deployment.report_regularly(2);
    let (first, second) = (deployment.control[0], deployment.control[1]);
    let server = deployment.servers[0].clone();
    if !server.report("ready", &[first]) {
        return Err("the first report was not acknowledged".into());
    }
    let requesters = deployment.request(record);
    for _ in 0..3 {
        thread::sleep(REPORT_INTERVAL);
        server.report("ready", &[first]);
    }
    thread::sleep(REPORT_INTERVAL);

    // This report leaves while the server is warm.
    let (seq, body) = server.next_report("ready");
    let sent_at = Instant::now();
    record.say(&format!("report seq={seq} (warm) leaves for the first control host"));
    let on_its_way = {
        let server = server.clone();
        thread::spawn(move || {
            if trouble {
                thread::sleep(LATE);
            }
            server.send_report(first, seq, &body, Duration::from_secs(5));
        })
    };
    thread::sleep(Duration::from_millis(300));
    cold::turn_cold(&server, record);
    let next = if trouble { PATIENCE } else { REPORT_INTERVAL };
    thread::sleep((sent_at + next).saturating_duration_since(Instant::now()));
    if !server.report("ready", &[second]) {
        return Err("the report that the server is cold was not acknowledged".into());
    }
    let known_at = Instant::now();
    record.say("the report that the server is cold is acknowledged");
    while server.cold_left() > Duration::ZERO {
        thread::sleep(REPORT_INTERVAL);
        server.report("ready", &[second]);
    }
    let _ = on_its_way.join();
    let attempts = requesters.stop();
    deployment.stop();
    for i in 0..deployment.fleet.machines.len() {
        let words = ["announcement_ignored", "target_announced"];
        for line in deployment.fleet.log_lines(i, Role::Control, &words) {
            record.note(&format!("log of {}: {line}", deployment.fleet.machines[i].name));
        }
    }
    cold::judge(record, &server, &attempts, known_at)
}
