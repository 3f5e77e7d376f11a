//! Waiting for room at the targets of a service, and a replay of an overloaded shard.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use gentianpass::policy::queue::{Bounds, Class, Queue};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that arrived at `start` with an objective of 136 ms and 790 ms until its caller gives up.
fn bounds(start: Instant) -> Bounds {
    Bounds { soft: start + ms(136), hard: start + ms(790), cost: ms(16) }
}

#[test]
fn stage_follows_time_and_need() {
    let start = Instant::now();
    let stage = |after: u64, is_spare| bounds(start).stage(start + ms(after), is_spare);
    assert_eq!(stage(0, false), Some((Class::Needed, start + ms(120))));
    assert_eq!(stage(0, true), Some((Class::Spare, start + ms(120))));
    assert_eq!(stage(130, false), Some((Class::Late, start + ms(774))));
    assert_eq!(stage(130, true), None, "the request is answered without it");
    assert_eq!(stage(780, false), None, "no target could answer in time");
}

#[test]
fn pop_order() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let entries = [
        ("late", Class::Late, 0, 50),
        ("spare", Class::Spare, 0, 50),
        ("less urgent", Class::Needed, 2, 50),
        ("second", Class::Needed, 1, 90),
        ("third", Class::Needed, 1, 90),
        ("first", Class::Needed, 1, 80),
    ];
    for (name, class, priority, latest) in entries {
        let ticket = queue.ticket(class, priority, now + ms(latest));
        queue.push(ticket, name, now);
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(now)).collect();
    assert_eq!(order, ["first", "second", "third", "less urgent", "spare", "late"]);
}

#[test]
fn pop_drops_hopeless() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for (name, latest) in [("hopeless", 10), ("waits", 40)] {
        let ticket = queue.ticket(Class::Needed, 1, now + ms(latest));
        queue.push(ticket, name, now);
    }
    assert_eq!(queue.pop(now + ms(20)), Some("waits"));
    assert!(queue.is_empty());
}

/// Guards against a newcomer that takes the place of one that waits.
#[test]
fn is_first_respects_waiting() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let waiting = queue.ticket(Class::Needed, 1, now + ms(50));
    queue.push(waiting, (), now);
    let newcomer = queue.ticket(Class::Needed, 1, now + ms(60));
    assert!(!queue.is_first(&newcomer));
    let urgent = queue.ticket(Class::Needed, 0, now + ms(60));
    assert!(queue.is_first(&urgent));
    assert!(queue.remove(&waiting) && !queue.remove(&waiting));
    assert!(queue.is_first(&newcomer));
}

#[test]
fn is_hopeless_from_pace() {
    let start = Instant::now();
    let mut queue = Queue::default();
    for _ in 0..20 {
        let ticket = queue.ticket(Class::Needed, 1, start + ms(1_000));
        queue.push(ticket, (), start);
    }
    // A place becomes free each 10 ms; 10 sub-requests remain.
    for i in 1..=10 {
        queue.pop(start + ms(10 * i));
    }
    let now = start + ms(100);
    let after = |queue: &mut Queue<()>, left| queue.ticket(Class::Late, 1, now + ms(left));
    let (short, long) = (after(&mut queue, 80), after(&mut queue, 120));
    assert!(queue.is_hopeless(&short, now));
    assert!(!queue.is_hopeless(&long, now));
    let urgent = queue.ticket(Class::Needed, 0, now + ms(5));
    assert!(!queue.is_hopeless(&urgent, now), "nothing is served before it");
}

#[test]
fn push_bounded() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for i in 0..5_000 {
        let ticket = queue.ticket(Class::Needed, 1, now + ms(i));
        queue.push(ticket, i, now);
    }
    assert_eq!(queue.len(), 1_000);
    assert_eq!(queue.pop(now), Some(0), "the last in order are dropped");
}

/// A sub-request of the replay.
#[derive(Clone, Copy)]
struct Arrival {
    at: Instant,
    is_spare: bool,
}

/// What became of the sub-requests of a replay.
#[derive(Debug, Default)]
struct Outcome {
    started: usize,
    needed: usize,
    needed_in_time: usize,
}

/// The time in which a target of the replay serves one sub-request, and how many it serves at once.
const SERVICE_TIME_MS: u64 = 15;
const SLOTS: u64 = 3;

/// One shard with half of its targets gone: 300 sub-requests/s for a target that serves 200/s. Half of the requests can
/// be answered without the shard.
fn overloaded_shard(start: Instant) -> impl Iterator<Item = Arrival> {
    (0..3_000u64).map(move |i| Arrival { at: start + ms(i * 10 / 3), is_spare: i % 2 == 0 })
}

/// Replays the arrivals. `take` returns the next sub-request to start.
fn replay(
    start: Instant,
    mut push: impl FnMut(Arrival, Instant),
    mut take: impl FnMut(Instant) -> Option<Arrival>,
) -> Outcome {
    let mut arrivals: VecDeque<_> = overloaded_shard(start).collect();
    let needed = arrivals.iter().filter(|it| !it.is_spare).count();
    let mut outcome = Outcome { needed, ..Outcome::default() };
    for tick in 0..10_000 / (SERVICE_TIME_MS / SLOTS) {
        let now = start + ms(tick * SERVICE_TIME_MS / SLOTS);
        while arrivals.front().is_some_and(|it| it.at <= now) {
            push(arrivals.pop_front().unwrap(), now);
        }
        let Some(it) = take(now) else { continue };
        outcome.started += 1;
        let in_time = now + ms(SERVICE_TIME_MS) <= bounds(it.at).soft;
        outcome.needed_in_time += usize::from(!it.is_spare && in_time);
    }
    outcome
}

/// Guards against an overloaded shard whose capacity goes to requests that can do without it, or that are late already.
/// In arrival order, each waiting for a third of its time, nearly none is in time.
#[test]
fn overloaded_shard_serves_needed() {
    let start = Instant::now();
    let mut fifo = VecDeque::new();
    let fifo = std::cell::RefCell::new(&mut fifo);
    let in_order = replay(
        start,
        |it, _| fifo.borrow_mut().push_back(it),
        |now| {
            let mut fifo = fifo.borrow_mut();
            while fifo.front().is_some_and(|it: &Arrival| it.at + ms(790 / 3) < now) {
                fifo.pop_front();
            }
            fifo.pop_front()
        },
    );
    let queue = std::cell::RefCell::new(Queue::default());
    let by_need = replay(
        start,
        |it, now| {
            let mut queue = queue.borrow_mut();
            let Some((class, until)) = bounds(it.at).stage(now, it.is_spare) else { return };
            let ticket = queue.ticket(class, 1, until);
            queue.push(ticket, it, now);
        },
        |now| queue.borrow_mut().pop(now),
    );
    let share = |it: &Outcome| it.needed_in_time as f64 / it.needed as f64;
    assert!(share(&in_order) < 0.2, "{in_order:?}");
    assert!(share(&by_need) > 0.99, "{by_need:?}");
    assert!(by_need.started as f64 > 0.9 * 2_000.0, "goodput of the capacity: {by_need:?}");
}
