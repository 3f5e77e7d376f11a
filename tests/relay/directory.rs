//! The addresses that a caller gets from an address look-up.

use std::net::SocketAddr;

use gentianpass::{
    relay::AddressQuery,
    route::Service,
    state::{Change, Node},
};

use crate::support::{Harness, gather, target};

/// More hosts than a region needs.
const HOSTS_PER_ZONE: u16 = 8;

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

/// A region with many hosts in two zones. All targets are in `zone`.
async fn start_harness(zone: &str) -> Harness {
    let harness = Harness::start().await;
    for number in 0..HOSTS_PER_ZONE {
        harness.control.apply(Change::PutNode(node("near", number)));
        harness.control.apply(Change::PutNode(node("beside", number)));
    }
    for service in ["s-0", "s-1"] {
        let addr = SocketAddr::from(([10, 1, 0, 1], 80));
        harness.control.apply(Change::PutTarget(target(service, service, zone, addr)));
    }
    let service = Service { max_connections: 64, cold_millis_per_s: 0 };
    harness.put_routes_with(vec![gather(&["s-0", "s-1"], 1_000_000)], &service).await;
    harness
}

fn addresses(harness: &Harness, zone: &str) -> Vec<SocketAddr> {
    let query =
        AddressQuery { name: "labels.example".into(), zone: zone.into(), region: "here".into() };
    let mut addresses = harness.relay.addresses(&query).expect("no routing table");
    addresses.sort();
    addresses
}

fn all_in(addresses: &[SocketAddr], zone: &str) -> bool {
    let hosts: Vec<_> = (0..HOSTS_PER_ZONE).map(|it| node(zone, it).http).collect();
    addresses.iter().all(|it| hosts.contains(it))
}

/// Half of the 64 connections are used, 4 per host, which makes 8 hosts: 4 in each of the two regions.
#[tokio::test]
async fn all_callers_get_same_few_hosts() {
    let harness = start_harness("beside").await;
    let from_near = addresses(&harness, "near");
    assert_eq!(from_near.len(), 4, "{from_near:?}");
    assert_eq!(from_near, addresses(&harness, "beside"));
}

#[tokio::test]
async fn zone_with_targets_preferred() {
    let harness = start_harness("beside").await;
    assert!(all_in(&addresses(&harness, "near"), "beside"));
}

#[tokio::test]
async fn own_zone_preferred_at_similar_coverage() {
    let harness = start_harness("beside").await;
    for service in ["s-0", "s-1"] {
        let addr = SocketAddr::from(([10, 1, 0, 2], 80));
        let name = format!("{service}-near");
        harness.control.apply(Change::PutTarget(target(&name, service, "near", addr)));
    }
    harness
        .wait_until(|| {
            addresses(&harness, "near").contains(&harness.addr)
                || all_in(&addresses(&harness, "near"), "near")
        })
        .await;
    assert!(all_in(&addresses(&harness, "beside"), "beside"));
}

#[tokio::test]
async fn lost_host_replaced() {
    let harness = start_harness("beside").await;
    let before = addresses(&harness, "near");
    let lost =
        (0..HOSTS_PER_ZONE).map(|it| node("beside", it)).find(|it| it.http == before[0]).unwrap();
    harness.control.apply(Change::RemoveNode { name: lost.name, incarnation: lost.incarnation });
    harness.wait_until(|| addresses(&harness, "near") != before).await;
    let after = addresses(&harness, "near");
    assert_eq!(after.len(), before.len());
    assert_eq!(after.iter().filter(|it| before.contains(it)).count(), before.len() - 1);
}

#[tokio::test]
async fn second_zone_fills_missing_hosts() {
    let harness = start_harness("beside").await;
    for number in 1..HOSTS_PER_ZONE {
        let name = node("beside", number).name;
        harness.control.apply(Change::RemoveNode { name, incarnation: 1 });
    }
    harness.wait_until(|| !all_in(&addresses(&harness, "near"), "beside")).await;
    let returned = addresses(&harness, "near");
    assert!(returned.contains(&node("beside", 0).http) && returned.len() == 4, "{returned:?}");
}
