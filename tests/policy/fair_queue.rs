//! Fair shares of tenants in the wait queue, and a replay of tenants that share an overloaded service.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use gentianpass::policy::queue::{Class, Flow, Queue, Ticket};
use proptest::prelude::*;

use crate::cases;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn flow(tenant: usize) -> Flow {
    Flow::of_tenant(&format!("tenant-{tenant}"))
}

fn push(queue: &mut Queue<usize>, tenant: usize, latest: Instant, now: Instant) -> Ticket {
    let ticket = queue.ticket_of(flow(tenant), Class::Needed, 1, latest);
    queue.push(ticket, tenant, now);
    ticket
}

/// Guards against a tenant with many waiting requests that keeps others waiting until it is served.
#[test]
fn pop_takes_turns() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for _ in 0..10 {
        push(&mut queue, 1, now + ms(50), now);
    }
    for tenant in [2, 3, 2, 3] {
        push(&mut queue, tenant, now + ms(90), now);
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(now)).collect();
    assert_eq!(order[..6], [1, 2, 3, 1, 2, 3]);
    assert_eq!(order[6..], [1; 8], "one that is alone uses all turns");
}

/// Guards against a tenant that gets more turns by leaving the queue and coming back, or by requests that never wait.
#[test]
fn turns_remembered() {
    let now = Instant::now();
    let mut queue = Queue::default();
    push(&mut queue, 1, now + ms(50), now);
    push(&mut queue, 2, now + ms(90), now);
    push(&mut queue, 2, now + ms(90), now);
    assert_eq!(queue.pop(now), Some(1));
    let again = queue.ticket_of(flow(1), Class::Needed, 1, now + ms(50));
    assert!(!queue.is_first(&again));
    assert_eq!(queue.pop(now), Some(2));
    assert!(queue.is_first(&again));
    queue.charge(&again);
    assert!(!queue.is_first(&again));
}

#[test]
fn class_and_priority_before_turns() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let entries =
        [("late", Class::Late, 0), ("second", Class::Needed, 1), ("first", Class::Needed, 0)];
    for (at, (name, class, priority)) in entries.into_iter().enumerate() {
        let ticket = queue.ticket_of(flow(at), class, priority, now + ms(50));
        queue.push(ticket, name, now);
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(now)).collect();
    assert_eq!(order, ["first", "second", "late"]);
}

/// Guards against a tenant that fills the queue and pushes out the requests of others.
#[test]
fn push_drops_from_largest() {
    let now = Instant::now();
    let mut queue = Queue::bounded(100);
    push(&mut queue, 2, now + ms(900), now);
    for i in 0..500 {
        push(&mut queue, 1, now + ms(i), now);
    }
    push(&mut queue, 3, now + ms(900), now);
    assert_eq!(queue.len(), 100);
    let mut counts = HashMap::new();
    while let Some(tenant) = queue.pop(now) {
        *counts.entry(tenant).or_insert(0) += 1;
    }
    assert_eq!(counts, HashMap::from([(1, 98), (2, 1), (3, 1)]));
}

/// Guards against a light tenant that is refused because of the many waiting requests of another.
#[test]
fn is_hopeless_counts_turns() {
    let start = Instant::now();
    let mut queue = Queue::default();
    for _ in 0..300 {
        push(&mut queue, 1, start + ms(10_000), start);
    }
    // A place becomes free each 10 ms.
    for i in 1..=10 {
        queue.pop(start + ms(10 * i));
    }
    let now = start + ms(100);
    let light = queue.ticket_of(flow(2), Class::Needed, 1, now + ms(50));
    let heavy = queue.ticket_of(flow(1), Class::Needed, 1, now + ms(10_001));
    let heavy_soon = queue.ticket_of(flow(1), Class::Late, 1, now + ms(2_000));
    assert!(!queue.is_hopeless(&light, now) && !queue.is_hopeless(&heavy, now));
    assert!(queue.is_hopeless(&heavy_soon, now));
}

proptest! {
    #![proptest_config(cases(300))]

    /// Guards against another order, rank or drop than that of one sorted list when there are no tenants.
    #[test]
    fn one_flow_matches_reference(steps in prop::collection::vec((0..4u8, 0..3u32, 0..40u64), 1..600)) {
        let now = Instant::now();
        let mut queue = Queue::bounded(200);
        let mut reference = BTreeMap::new();
        let mut tickets = Vec::new();
        for (number, (step, priority, latest)) in steps.into_iter().enumerate() {
            let key = (priority, latest, number);
            let ticket = queue.ticket(Class::Needed, priority, now + ms(latest));
            let is_first = reference.keys().next().is_none_or(|it| key < *it);
            prop_assert_eq!(queue.is_first(&ticket), is_first);
            match step {
                0 => prop_assert_eq!(queue.pop(now), reference.pop_first().map(|it| it.1)),
                1 if !tickets.is_empty() => {
                    let (ticket, key) = tickets.swap_remove(number % tickets.len());
                    prop_assert_eq!(queue.remove(&ticket), reference.remove(&key).is_some());
                }
                _ => {
                    queue.push(ticket, number, now);
                    reference.insert(key, number);
                    if reference.len() > 200 {
                        reference.pop_last();
                    }
                    tickets.push((ticket, key));
                }
            }
            prop_assert_eq!(queue.len(), reference.len());
        }
    }
}

const TENANTS: usize = 20;

/// Replays 9.8 s of arrivals, and 200 ms in which the last ones are served, at a service that serves 200
/// sub-requests/s. Each tenant sends 9/s, which together is 90% of that, and tenant 0 `factor` times as much. Returns
/// the share of each tenant's sub-requests that started in time.
fn replay(factor: usize, flow_of: impl Fn(usize) -> Flow) -> Vec<f64> {
    let start = Instant::now();
    let mut queue = Queue::default();
    let (mut sent, mut served) = ([0usize; TENANTS], [0usize; TENANTS]);
    for tick in 0..2_000u64 {
        let now = start + ms(tick * 5);
        for tenant in (0..TENANTS).filter(|_| tick < 1_960) {
            let rate = if tenant == 0 { 9 * factor } else { 9 };
            // In each tick of 5 ms, as many as are due by its end.
            let due = (tick as usize + 1) * 5 * rate / 1_000;
            for _ in sent[tenant]..due {
                sent[tenant] += 1;
                let ticket = queue.ticket_of(flow_of(tenant), Class::Needed, 1, now + ms(120));
                if queue.is_first(&ticket) || !queue.is_hopeless(&ticket, now) {
                    queue.push(ticket, tenant, now);
                }
            }
        }
        if let Some(tenant) = queue.pop(now) {
            served[tenant] += 1;
        }
    }
    sent.iter().zip(served).map(|(sent, served)| served as f64 / *sent as f64).collect()
}

/// The mean over all tenants but the first, and over the worst tenth of them.
fn mean_and_worst(shares: &[f64]) -> (f64, f64) {
    let mut others = shares[1..].to_vec();
    others.sort_by(f64::total_cmp);
    let mean = |it: &[f64]| it.iter().sum::<f64>() / it.len() as f64;
    (mean(&others), mean(&others[..TENANTS / 10]))
}

/// Guards against a tenant at ten times its usual load that takes the room of the others.
#[test]
fn heavy_tenant_leaves_room() {
    let (mean, worst) = mean_and_worst(&replay(10, flow));
    let (old_mean, old_worst) = mean_and_worst(&replay(10, |_| Flow::default()));
    println!(
        "fair: mean {mean:.3} worst tenth {worst:.3}; one order: {old_mean:.3} {old_worst:.3}"
    );
    assert!(worst > 0.99 && mean > 0.99, "{mean} {worst}");
    assert!(old_mean < 0.8, "{old_mean} {old_worst}");
}

/// Guards against capacity that is kept for tenants that do not use it.
#[test]
fn lone_tenant_uses_all() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for _ in 0..1_000 {
        push(&mut queue, 1, now + ms(10_000), now);
    }
    let served = (0..1_000).filter(|it| queue.pop(now + ms(5 * it)).is_some()).count();
    assert_eq!(served, 1_000);
}
