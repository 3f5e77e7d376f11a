//! Measures the memory of 100,000 tenants with one key each, and the mean time to find the tenant of a key.
//! Run with `cargo run --release --example tenant_cost`.

use std::{hint::black_box, time::Instant};

use gentianpass::route::{KeyDigest, Table, Tenant, Tenants};

const TENANTS: usize = 100_000;
const LOOKUPS: usize = 1_000_000;

fn main() {
    let keys: Vec<_> = (0..TENANTS).map(|it| format!("{it:032x}")).collect();
    let empty = resident_kb();
    let tenants = keys.iter().enumerate().map(|(i, key)| Tenant {
        name: format!("tenant-{i}"),
        keys: vec![KeyDigest::new(key.as_bytes())],
        homes: vec!["tayside".into()],
        rate_millis: 2_500,
        burst: 10,
        ..Tenant::default()
    });
    let table = Table { version: 1, tenants: tenants.collect(), ..Table::default() };
    let with_table = resident_kb();
    println!("table: {} bytes a tenant", (with_table - empty) * 1_024 / TENANTS);
    let start = Instant::now();
    let lookup = Tenants::new(&table);
    println!("lookup built in {:?}", start.elapsed());
    println!("lookup: {} bytes a tenant", (resident_kb() - with_table) * 1_024 / TENANTS);
    println!("encoded: {} bytes a tenant", bincode::serialize(&table).unwrap().len() / TENANTS);
    // A step that has no common factor with the number of tenants, so that each lookup meets another part of the map.
    let at = |i: usize| &keys[i * 7_919 % TENANTS];
    let start = Instant::now();
    for i in 0..LOOKUPS {
        black_box(KeyDigest::new(at(i).as_bytes()));
    }
    println!("digest of a key: {:?}", start.elapsed() / LOOKUPS as u32);
    let start = Instant::now();
    for i in 0..LOOKUPS {
        let found = lookup.find(&KeyDigest::new(at(i).as_bytes()));
        black_box(found.map(|it| lookup.get(it).rate_millis));
    }
    println!("tenant of a key: {:?}", start.elapsed() / LOOKUPS as u32);
}

/// The resident memory of this process, in kB.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("status of the process");
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).expect("VmRSS");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}
