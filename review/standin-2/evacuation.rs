//! An evacuation of a zone ends shortly after the servers of the zone have turned cold, before their next report is due.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cold::{self, COLD, Deployment, REPORT_INTERVAL},
    record::Record,
};

/// How long before the end of the evacuation the server turns cold. In the run without trouble its regular report has
/// told so before the end.
const SHORTLY: Duration = Duration::from_millis(100);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(record)?;
    deployment.report_regularly(1);
    deployment.report_regularly(2);
    let own = deployment.control[0];
    let server = deployment.servers[0].clone();
    if !server.report("ready", &[own]) {
        return Err("the first report was not acknowledged".into());
    }
    let requesters = deployment.request(record);
    let report_then_wait = || {
        thread::sleep(REPORT_INTERVAL);
        server.report("ready", &[own]);
    };
    (0..2).for_each(|_| report_then_wait());
    deployment
        .fleet
        .order("/evacuation/tayside-a/start", "", 20)
        .ok_or("the start of the evacuation was not acknowledged")?;
    record.say("evacuation of tayside-a acknowledged");
    (0..4).for_each(|_| report_then_wait());
    let reported_at = Instant::now();
    let before_end = if trouble { SHORTLY } else { REPORT_INTERVAL + SHORTLY };
    if trouble {
        thread::sleep(SHORTLY);
    }
    cold::turn_cold(&server, record);
    if !trouble {
        thread::sleep((reported_at + REPORT_INTERVAL).saturating_duration_since(Instant::now()));
        server.report("ready", &[own]);
    }
    let end_at = server.cold_until.lock().unwrap().unwrap_or(reported_at) - COLD + before_end;
    thread::sleep(end_at.saturating_duration_since(Instant::now()));
    let from = Instant::now();
    deployment
        .fleet
        .order("/evacuation/tayside-a/end", "", 20)
        .ok_or("the end of the evacuation was not acknowledged")?;
    record.say("the end of the evacuation is acknowledged");
    // Reports go on at their usual interval.
    let mut next = reported_at + REPORT_INTERVAL;
    while server.cold_left() > Duration::ZERO {
        if next > Instant::now() {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            server.report("ready", &[own]);
        }
        next += REPORT_INTERVAL;
    }
    let attempts = requesters.stop();
    deployment.stop();
    cold::judge(record, &server, &attempts, from)
}
