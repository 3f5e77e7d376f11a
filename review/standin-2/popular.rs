//! All servers of a shard crash while they run requests with a path that many requesters ask for, and come back.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cold::REPORT_INTERVAL,
    fleet::{Fleet, Role},
    record::Record,
    requester::{Attempt, Flow, Requesters},
    server::{Plan, Server},
};

const ZONES: [(&str, &str, bool); 3] = [
    ("tayside-a", "tayside", true),
    ("lothian-a", "lothian", true),
    ("highland-a", "highland", true),
];

/// The shards of the route that is added later. The first route leads to a service of its own.
const SHARDS: [&str; 4] = ["huvo11a", "lohu93e", "daje37f", "ficu72g"];

/// How long the servers of the shard are down.
const DOWN: Duration = Duration::from_millis(4_500);

/// From the return of the servers until the state counts as steady: `stabilityWindowMs`, and as much again.
const SETTLE: Duration = Duration::from_secs(8);

/// How long the steady state is observed.
const OBSERVED: Duration = Duration::from_secs(10);

fn config(version: u64, with_search: bool) -> String {
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":33,\"protocol\":\"h1\",\"tls\":false,\
             \"coldStartS\":3.0,\"coldPerS\":0.0}}"
        )
    };
    let mut services = vec![service("kafi81c")];
    let mut routes = vec![
        "{\"name\":\"r-layout\",\"host\":\"labels.example\",\"pathPrefix\":\"/layout/\",\"routeType\":\"safe\",\
         \"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":2,\"service\":\"kafi81c\",\"maxAttempts\":2,\
         \"allowedRegions\":[]}"
            .to_owned(),
    ];
    if with_search {
        services.extend(SHARDS.iter().map(|it| service(it)));
        let shards: Vec<_> = SHARDS.iter().map(|it| format!("\"{it}\"")).collect();
        routes.push(format!(
            "{{\"name\":\"r-find\",\"host\":\"labels.example\",\"pathPrefix\":\"/find/\",\"routeType\":\"safe\",\
             \"timeoutMs\":500,\"targetLatencyMs\":80,\"priority\":2,\"gather\":[{}],\"maxAttempts\":2,\"topK\":5,\
             \"minCoverage\":0.75,\"allowedRegions\":[]}}",
            shards.join(",")
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn share_served(attempts: &[Attempt], from: Instant) -> (usize, usize) {
    let inside: Vec<_> = attempts.iter().filter(|it| it.sent_at >= from).collect();
    (inside.iter().filter(|it| it.status == 200).count(), inside.len())
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(&ZONES).map_err(|it| it.to_string())?;
    fleet.start_all().map_err(|it| it.to_string())?;
    let control: Vec<_> = fleet.machines.iter().map(|it| it.control_addr()).collect();
    fleet.order("/config/replace", &config(7, false), 60).ok_or("no configuration was accepted")?;
    let mut servers = Vec::new();
    for (s, service) in ["kafi81c"].iter().chain(&SHARDS).enumerate() {
        for (z, (zone, ..)) in ZONES.iter().enumerate() {
            let plan = Plan {
                id: format!("i-{s}{z}a91c2"),
                service: (*service).into(),
                zone: (*zone).into(),
                addr: (Ipv4Addr::LOCALHOST, 0).into(),
                work: Duration::from_millis(15),
                records: s > 0,
                clock_ahead: Duration::ZERO,
            };
            servers.push(Server::start(plan, record).map_err(|it| it.to_string())?);
        }
    }
    let servers = Arc::new(Mutex::new(servers));
    let stop = Arc::<AtomicBool>::default();
    let reporter = {
        let (servers, stop, control) = (servers.clone(), stop.clone(), control.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let running: Vec<_> = servers.lock().unwrap().clone();
                for (i, it) in running.iter().enumerate().filter(|(_, it)| !it.is_down()) {
                    it.report("ready", &[control[i % 3]]);
                }
                thread::sleep(REPORT_INTERVAL);
            }
        })
    };
    thread::sleep(REPORT_INTERVAL);
    fleet.order("/config/replace", &config(9, true), 20).ok_or("version 9 was not accepted")?;
    record.say("the version with the added route is acknowledged");
    thread::sleep(Duration::from_secs(3));
    // All requesters of a zone ask for the same label.
    let flow = |i: usize, path: &str, deadline_ms| Flow {
        front: fleet.machines[i].front_addr(),
        host: "labels.example".into(),
        path: path.into(),
        deadline_ms,
        per_second: 20,
        requesters: 10,
        headers: Vec::new(),
    };
    let first = Requesters::start(&flow(0, "/layout/2f", 3_000), record);
    let added: Vec<_> =
        (0..3).map(|i| Requesters::start(&flow(i, "/find/no91/2f", 500), record)).collect();
    let start = Instant::now();
    thread::sleep(Duration::from_secs(4));
    if trouble {
        record.say(&format!("all servers of shard {} crash", SHARDS[1]));
        let crashed: Vec<_> = {
            let servers = servers.lock().unwrap();
            servers.iter().filter(|it| it.service == SHARDS[1]).cloned().collect()
        };
        let crashes: Vec<_> =
            crashed.iter().cloned().map(|it| thread::spawn(move || it.crash())).collect();
        crashes.into_iter().for_each(|it| _ = it.join());
        thread::sleep(DOWN);
        let mut servers = servers.lock().unwrap();
        for old in &crashed {
            let plan = Plan {
                id: old.id.replace("a91c2", "b03d7"),
                service: old.service.clone(),
                zone: old.zone.clone(),
                addr: old.addr,
                work: Duration::from_millis(15),
                records: true,
                clock_ahead: Duration::ZERO,
            };
            let new = Server::start(plan, record).map_err(|it| it.to_string())?;
            new.report("ready", &control);
            if let Some(it) = servers.iter_mut().find(|it| it.id == old.id) {
                *it = new;
            }
        }
        record.say("the servers are back");
    } else {
        thread::sleep(DOWN);
    }
    let back_at = Instant::now();
    thread::sleep(SETTLE + OBSERVED);
    let from = back_at + SETTLE;
    let first = first.stop();
    let added: Vec<_> = added.into_iter().flat_map(Requesters::stop).collect();
    stop.store(true, Ordering::SeqCst);
    let _ = reporter.join();
    for i in 0..fleet.machines.len() {
        for line in fleet.log_lines(i, Role::Relay, &["target_crashed", "suspicion_withdrawn"]) {
            record.note(&format!("log of {}: {line}", fleet.machines[i].name));
        }
    }
    let before = back_at - DOWN;
    let calm = |it: &[Attempt]| {
        let it: Vec<_> = it.iter().filter(|it| it.sent_at < before).cloned().collect();
        share_served(&it, start)
    };
    let (served, sent) = calm(&added);
    record.say(&format!(
        "before the crash {served} of {sent} requests on the added route were served"
    ));
    if served * 10 < sent * 9 {
        return Err("the added route was not served before the crash".into());
    }
    let (first_served, first_sent) = share_served(&first, from);
    let (added_served, added_sent) = share_served(&added, from);
    record.say(&format!(
        "in the steady state after it {first_served} of {first_sent} on the first route and \
         {added_served} of {added_sent} on the added route were served"
    ));
    if first_served * 2 < first_sent || added_sent < 20 {
        return Err("too few requests on the first or the added route".into());
    }
    // Less than a quarter as often.
    let broken = added_served * first_sent * 4 < first_served * added_sent;
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
