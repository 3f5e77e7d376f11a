//! Which hosts a caller is told to use.

use std::net::SocketAddr;

use gentianpass::{
    relay::AddressQuery,
    route::Service,
    state::{Change, Node},
};

use crate::support::{Bench, gather, target};

/// How many hosts a zone has, more than a region needs.
const HOSTS: u16 = 8;

fn node(zone: &str, number: u16) -> Node {
    let zone_number = u16::from(zone == "beside");
    let addr = SocketAddr::from(([10, 0, zone_number as u8, number as u8], 80));
    Node {
        name: format!("{zone}-{number}"),
        incarnation: 1,
        http: addr,
        rpc: addr,
        zone: zone.into(),
        leaving: false,
    }
}

/// A region with many hosts in two zones; all targets are in `zone`.
async fn bench(zone: &str) -> Bench {
    let bench = Bench::start().await;
    for number in 0..HOSTS {
        bench.control.apply(Change::PutNode(node("near", number)));
        bench.control.apply(Change::PutNode(node("beside", number)));
    }
    for service in ["s-0", "s-1"] {
        let addr = SocketAddr::from(([10, 1, 0, 1], 80));
        bench.control.apply(Change::PutTarget(target(service, service, zone, addr)));
    }
    let service = Service { max_connections: 64, cold_millis_per_s: 0 };
    bench.route_with(vec![gather(&["s-0", "s-1"], 1_000_000)], &service).await;
    bench
}

fn addresses(bench: &Bench, zone: &str) -> Vec<SocketAddr> {
    let asker =
        AddressQuery { name: "labels.example".into(), zone: zone.into(), region: "here".into() };
    let mut addresses = bench.relay.addresses(&asker).expect("routes are known");
    addresses.sort();
    addresses
}

fn all_in(addresses: &[SocketAddr], zone: &str) -> bool {
    let hosts: Vec<_> = (0..HOSTS).map(|it| node(zone, it).http).collect();
    addresses.iter().all(|it| hosts.contains(it))
}

/// 32 of 64 connections are used, 4 for each host; the other region has 4 hosts too.
#[tokio::test]
async fn few_hosts_for_all_callers() {
    let bench = bench("beside").await;
    let from_near = addresses(&bench, "near");
    assert_eq!(from_near.len(), 4, "{from_near:?}");
    assert_eq!(from_near, addresses(&bench, "beside"));
}

#[tokio::test]
async fn zone_of_the_targets() {
    let bench = bench("beside").await;
    assert!(all_in(&addresses(&bench, "near"), "beside"));
}

#[tokio::test]
async fn own_zone_if_alike() {
    let bench = bench("beside").await;
    for service in ["s-0", "s-1"] {
        let addr = SocketAddr::from(([10, 1, 0, 2], 80));
        let name = format!("{service}-near");
        bench.control.apply(Change::PutTarget(target(&name, service, "near", addr)));
    }
    bench
        .until(|| {
            addresses(&bench, "near").contains(&bench.addr)
                || all_in(&addresses(&bench, "near"), "near")
        })
        .await;
    assert!(all_in(&addresses(&bench, "beside"), "beside"));
}

#[tokio::test]
async fn lost_host_replaced() {
    let bench = bench("beside").await;
    let before = addresses(&bench, "near");
    let lost = (0..HOSTS).map(|it| node("beside", it)).find(|it| it.http == before[0]).unwrap();
    bench.control.apply(Change::RemoveNode { name: lost.name, incarnation: lost.incarnation });
    bench.until(|| addresses(&bench, "near") != before).await;
    let after = addresses(&bench, "near");
    assert_eq!(after.len(), before.len());
    assert_eq!(after.iter().filter(|it| before.contains(it)).count(), before.len() - 1);
}

#[tokio::test]
async fn other_zone_if_too_few() {
    let bench = bench("beside").await;
    for number in 1..HOSTS {
        let name = node("beside", number).name;
        bench.control.apply(Change::RemoveNode { name, incarnation: 1 });
    }
    bench.until(|| !all_in(&addresses(&bench, "near"), "beside")).await;
    let named = addresses(&bench, "near");
    assert!(named.contains(&node("beside", 0).http) && named.len() == 4, "{named:?}");
}
