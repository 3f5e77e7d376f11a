//! Rule CONFIG: other content that is sent under the version held must not be read back or obeyed.

use std::{path::Path, thread, time::Duration};

use crate::{Fault, Verdict, cluster::Cluster, record::Record};

const LIMITS: &str = r#""limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;
const SERVICES: &str = r#""services":[{"name":"print-queue","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":0.0}]"#;

fn config(version: u64, prefixes: &[&str]) -> String {
    let routes: Vec<_> = prefixes
        .iter()
        .map(|it| {
            format!(
                r#"{{"name":"r-{it}","host":"print.example","pathPrefix":"/{it}/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":500,"priority":1,"service":"print-queue","maxAttempts":2,"allowedRegions":[]}}"#
            )
        })
        .collect();
    format!(r#"{{"version":{version},"routes":[{}],{SERVICES},{LIMITS}}}"#, routes.join(","))
}

pub fn run(dir: &Path, trouble: bool) -> Result<Verdict, Fault> {
    let record = Record::new();
    let cluster = Cluster::start(0, 260)?;
    let put = |machine: usize, label: &str, text: &str| -> Result<u16, Fault> {
        let (status, body) = cluster.put_config(machine, text)?;
        record.add(format!("{label} sent to {}: {status} {body}", cluster.machines[machine].name));
        Ok(status)
    };
    if put(0, "version 3 with one route", &config(3, &["print"]))? != 200 {
        return Err("the first configuration was refused".into());
    }
    let first = config(8, &[]);
    let other = config(8, &["sheets"]);
    if put(0, "version 8 of operator A, without routes", &first)? != 200 {
        return Err("version 8 was refused".into());
    }
    if trouble {
        put(1, "version 8 of operator B, with another content", &other)?;
    }
    thread::sleep(Duration::from_secs(4));
    let mut obeyed = false;
    for machine in 0..3 {
        let (status, text) = cluster.get_config(machine)?;
        record.add(format!("read back at {}: {status} {text}", cluster.machines[machine].name));
        if status != 200 {
            return Err(format!("the configuration could not be read back: {status}"));
        }
        obeyed |= text != first;
    }
    record.save(dir)?;
    Ok(if obeyed { Verdict::Broken } else { Verdict::Held })
}
