//! Rule FAILBACK: a cold server must not get more requests in a second than `coldPerS` x 1.5 + 5, summed over all
//! machines. The relay that owns a cold server is stopped with SIGTERM while the server is cold.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Fault, Verdict,
    cluster::Cluster,
    record::Record,
    requester::{self, Log},
    server::{self, Server},
};

/// `coldPerS` of the service.
const COLD_PER_S: usize = 60;

/// The bound of the rule: `coldPerS` x `coldLoadFactor` + `coldSlack`.
const BOUND: usize = COLD_PER_S * 3 / 2 + 5;

/// `coldStartS` of the service, as on the users' sheets.
const COLD: Duration = Duration::from_secs(3);

/// When the relay is stopped, counted from the start of the servers.
const STOP_AFTER: Duration = Duration::from_millis(1_500);

/// Requesters in each zone, and the interval of each.
const REQUESTERS: u32 = 60;
const INTERVAL: Duration = Duration::from_millis(240);

/// The zone whose relay is stopped.
const STOPPED: usize = 1;

pub fn run(dir: &Path, trouble: bool) -> Result<Verdict, Fault> {
    let record = Record::new();
    let cluster = Cluster::start(0, 260)?;
    let config = format!(
        r#"{{"version":1,"routes":[{{"name":"r-print","host":"print.example","pathPrefix":"/print/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":500,"priority":1,"service":"print-queue","maxAttempts":2,"allowedRegions":[]}}],"services":[{{"name":"print-queue","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":{COLD_PER_S}.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    );
    let (status, body) = cluster.put_config(0, &config)?;
    if status != 200 {
        return Err(format!("the configuration was answered {status} {body}"));
    }
    record.add("configuration 1 acknowledged");
    thread::sleep(Duration::from_secs(5));

    let log = Arc::new(Log::default());
    let mut threads = Vec::new();
    for (i, machine) in cluster.machines.iter().enumerate() {
        let mut directories = vec![cluster.directory(i)];
        directories.extend((0..3).filter(|it| *it != i).map(|it| cluster.directory(it)));
        let opts = requester::Options {
            host: "print.example".into(),
            path: "/print/".into(),
            deadline: Duration::from_millis(3_000),
            interval: INTERVAL,
            zone: machine.zone.clone(),
            region: machine.zone.replace("zone", "region"),
            directories,
        };
        threads.extend(requester::start(REQUESTERS, &opts, &log));
    }
    thread::sleep(Duration::from_secs(2));

    // The servers of the service start together and are cold.
    let mut servers = Vec::new();
    for (i, machine) in cluster.machines.iter().enumerate() {
        let opts = server::Options {
            id: format!("i-{}", machine.zone),
            service: "print-queue".into(),
            zone: machine.zone.clone(),
            addr: cluster.server_addr(i),
            slots: 6,
            queue: 24,
            work: Duration::from_millis(20),
            cold: COLD,
            crash_prefix: None,
        };
        servers.push(Server::start(opts, cluster.controls(), record.clone())?);
    }
    thread::sleep(STOP_AFTER);
    if trouble {
        cluster.terminate_relay(STOPPED)?;
        record.add(format!("SIGTERM to the relay of {}", cluster.machines[STOPPED].name));
    }
    thread::sleep(COLD - STOP_AFTER + Duration::from_millis(500));
    log.stop();
    threads.into_iter().for_each(|it| drop(it.join()));
    servers.iter().for_each(|it| it.end());

    let verdict = judge(&servers, &log, &record);
    record.save(dir)?;
    verdict
}

/// Counts, for each cold server, the requests that were sent and arrived inside any one second of its cold start.
fn judge(servers: &[Arc<Server>], log: &Log, record: &Record) -> Result<Verdict, Fault> {
    let sent = log.sent.lock().unwrap();
    let mut broken = false;
    let mut total = 0;
    for server in servers {
        let cold_until = server.cold_until();
        let arrivals = server.arrivals.lock().unwrap();
        let counted: Vec<(Instant, Instant)> = arrivals
            .iter()
            .filter(|it| it.at < cold_until)
            .filter_map(|it| Some((sent.get(&it.request_id)?.at, it.at)))
            .collect();
        total += counted.len();
        for it in arrivals.iter() {
            let relay = sent.get(&it.request_id).map_or("?".into(), |it| it.to.to_string());
            record.add_at(
                it.at,
                format!("server {} gets {} through {relay}", server.opts.id, it.request_id),
            );
        }
        let second = Duration::from_secs(1);
        let in_second = |from: Instant| {
            let inside = |(sent, at): &&(Instant, Instant)| *sent >= from && *at <= from + second;
            counted.iter().filter(inside).count()
        };
        let (most, from) = counted
            .iter()
            .map(|(sent, _)| (in_second(*sent), *sent))
            .filter(|(_, from)| *from + second <= cold_until)
            .max()
            .unwrap_or((0, server.started));
        record.add_at(
            from,
            format!(
                "server {} got {most} requests in the second that begins here, {} ms after its start; the bound is {BOUND}",
                server.opts.id,
                from.saturating_duration_since(server.started).as_millis()
            ),
        );
        println!("{}: at most {most} in a second, bound {BOUND}", server.opts.id);
        broken |= most > BOUND;
    }
    let mut counts = std::collections::BTreeMap::new();
    for (id, it) in sent.iter() {
        *counts.entry(it.status).or_insert(0) += 1;
        if it.answered < servers[0].started {
            continue;
        }
        record.add_at(it.at, format!("{id} sent to {}", it.to));
        record.add_at(it.answered, format!("{id} answered with status {:?}", it.status));
    }
    record.add(format!("answers by status: {counts:?}"));
    if total < COLD_PER_S {
        return Err(format!("only {total} requests reached cold servers"));
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
