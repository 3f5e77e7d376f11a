//! Replays of load on queries over many shards, against the decisions of the wait queue and of admission, without a
//! network.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use gentianpass::policy::{
    admission::{self, Overload},
    queue::{Bounds, Class, Queue, Ticket},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const SHARDS: usize = 36;
/// How many shards of a request may be missing.
const SPARE: usize = 1;
/// How many sub-requests each shard serves at once, and how long each takes, in microseconds.
const PLACES: usize = 4;
const SERVICE_US: u64 = 10_000;
/// Requests per second that the shards can serve.
const CAPACITY_PER_S: u64 = PLACES as u64 * 1_000_000 / SERVICE_US;
/// How long requests arrive, in seconds.
const LOAD_S: u64 = 3;
const OBJECTIVE: Duration = Duration::from_millis(136);
const DEADLINE: Duration = Duration::from_millis(790);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Done {
        request: usize,
        shard: usize,
    },
    /// The stage of a waiting sub-request ends.
    StageEnd {
        request: usize,
        shard: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    New,
    Waiting(Ticket),
    Running,
    Done,
    GivenUp,
}

struct Request {
    arrived: Instant,
    shards: Vec<State>,
    spare: usize,
    /// When the request ended, and whether it was answered.
    ended: Option<(Instant, bool)>,
    /// How often the caller sends it again at once after a refusal.
    repeats: u32,
}

impl Request {
    fn new(arrived: Instant) -> Self {
        Self { arrived, shards: vec![State::New; SHARDS], spare: SPARE, ended: None, repeats: 0 }
    }
}

#[derive(Debug, Default)]
struct Outcome {
    in_time: usize,
    late: usize,
    refused: usize,
    /// The longest time from arrival to a refusal.
    longest_refusal: Duration,
    /// Sub-requests that were served for requests that failed.
    wasted: usize,
}

struct Replay {
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    number: u64,
    requests: Vec<Request>,
    queues: Vec<Queue<usize>>,
    free: Vec<usize>,
    rng: SmallRng,
    has_admission: bool,
}

impl Replay {
    /// Requests that arrive for 5 s at `times` the capacity.
    fn new(times: u64, repeats: u32, has_admission: bool) -> Self {
        let start = Instant::now();
        let mut replay = Self {
            now: start,
            events: BinaryHeap::new(),
            number: 0,
            requests: Vec::new(),
            queues: (0..SHARDS).map(|_| Queue::default()).collect(),
            free: vec![PLACES; SHARDS],
            rng: SmallRng::seed_from_u64(1),
            has_admission,
        };
        let per_s = times * CAPACITY_PER_S;
        for i in 0..per_s * LOAD_S {
            let arrived = start + Duration::from_micros(i * 1_000_000 / per_s);
            replay.requests.push(Request { repeats, ..Request::new(arrived) });
            replay.schedule(arrived, Event::Arrival(i as usize));
        }
        replay
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival(request) => self.arrive(request),
                Event::Done { request, shard } => self.finish(request, shard),
                Event::StageEnd { request, shard } => {
                    if let State::Waiting(ticket) = self.requests[request].shards[shard]
                        && ticket.latest_start() <= self.now
                    {
                        self.queues[shard].remove(&ticket);
                        self.wait(request, shard);
                    }
                }
            }
        }
        self.outcome()
    }

    fn arrive(&mut self, request: usize) {
        if self.has_admission && self.admit(request).is_err() {
            self.requests[request].ended = Some((self.now, false));
            if self.requests[request].repeats > 0 {
                self.repeat(request);
            }
            return;
        }
        for shard in 0..SHARDS {
            if self.requests[request].ended.is_some() {
                return;
            }
            if self.free[shard] > 0 && self.queues[shard].is_empty() {
                self.begin(request, shard);
            } else {
                self.wait(request, shard);
            }
        }
    }

    fn admit(&mut self, request: usize) -> Result<(), Overload> {
        let in_time = self.bounds(request).in_time();
        let budget = in_time - self.now;
        let predictions = self.queues.iter_mut().map(|it| {
            let ticket = it.ticket(Class::Spare, 1, in_time);
            (it.predicted_wait(&ticket), budget)
        });
        admission::admit(predictions, SPARE)
    }

    /// The caller sends the request again at once.
    fn repeat(&mut self, request: usize) {
        let repeats = self.requests[request].repeats - 1;
        self.requests.push(Request { repeats, ..Request::new(self.now) });
        self.schedule(self.now + Duration::from_millis(1), Event::Arrival(self.requests.len() - 1));
    }

    fn bounds(&self, request: usize) -> Bounds {
        let arrived = self.requests[request].arrived;
        Bounds {
            soft: arrived + OBJECTIVE,
            hard: arrived + DEADLINE,
            cost: Duration::from_micros(SERVICE_US),
        }
    }

    fn wait(&mut self, request: usize, shard: usize) {
        let it = &self.requests[request];
        if it.ended.is_some() {
            return;
        }
        let is_spare = it.spare > 0;
        let Some((class, until)) = self.bounds(request).stage(self.now, is_spare) else {
            return self.give_up(request, shard);
        };
        let queue = &mut self.queues[shard];
        let ticket = queue.ticket(class, 1, until);
        if is_spare && queue.is_hopeless(&ticket, self.now) {
            return self.give_up(request, shard);
        }
        queue.push(ticket, request, self.now);
        self.requests[request].shards[shard] = State::Waiting(ticket);
        self.schedule(until, Event::StageEnd { request, shard });
    }

    fn give_up(&mut self, request: usize, shard: usize) {
        let it = &mut self.requests[request];
        it.shards[shard] = State::GivenUp;
        if it.spare > 0 {
            it.spare -= 1;
            return;
        }
        self.end(request, false);
    }

    fn begin(&mut self, request: usize, shard: usize) {
        self.free[shard] -= 1;
        self.requests[request].shards[shard] = State::Running;
        let took = Duration::from_micros(self.rng.random_range(SERVICE_US / 2..SERVICE_US * 3 / 2));
        self.schedule(self.now + took, Event::Done { request, shard });
    }

    fn finish(&mut self, request: usize, shard: usize) {
        if self.requests[request].shards[shard] != State::Running {
            return;
        }
        self.requests[request].shards[shard] = State::Done;
        let it = &self.requests[request];
        let done = it.shards.iter().filter(|it| **it == State::Done).count();
        let past = self.now >= it.arrived + OBJECTIVE;
        let all = it.shards.iter().all(|it| matches!(it, State::Done | State::GivenUp));
        if it.ended.is_none() && (all || done >= SHARDS - SPARE && past) {
            self.end(request, true);
        }
        self.release(shard);
    }

    /// Ends a request: what waits for it leaves the queues, and what runs is cancelled.
    fn end(&mut self, request: usize, ok: bool) {
        self.requests[request].ended = Some((self.now, ok));
        for shard in 0..SHARDS {
            match self.requests[request].shards[shard] {
                State::Waiting(ticket) => {
                    self.queues[shard].remove(&ticket);
                }
                State::Running => {
                    self.requests[request].shards[shard] = State::GivenUp;
                    self.release(shard);
                }
                _ => {}
            }
        }
    }

    fn release(&mut self, shard: usize) {
        self.free[shard] += 1;
        if let Some(next) = self.queues[shard].pop(self.now) {
            self.begin(next, shard);
        }
    }

    fn outcome(&self) -> Outcome {
        let mut outcome = Outcome::default();
        for it in &self.requests {
            let done = it.shards.iter().filter(|it| **it == State::Done).count();
            match it.ended {
                Some((at, true)) if at <= it.arrived + OBJECTIVE => outcome.in_time += 1,
                Some((_, true)) => outcome.late += 1,
                Some((at, false)) => {
                    outcome.refused += 1;
                    outcome.wasted += done;
                    outcome.longest_refusal = outcome.longest_refusal.max(at - it.arrived);
                }
                None => outcome.refused += 1,
            }
        }
        outcome
    }
}

/// The share of the capacity that was used for requests answered in time.
fn goodput(outcome: &Outcome) -> f64 {
    outcome.in_time as f64 / (CAPACITY_PER_S * LOAD_S) as f64
}

/// Guards against requests that take places at most shards and fail at the others: without admission nearly no request is
/// answered while the load lasts.
#[test]
fn gather_load_crowd() {
    for times in [2, 3] {
        let before = Replay::new(times, 0, false).run();
        assert!(goodput(&before) < 0.1, "{times}: {before:?}");
        let outcome = Replay::new(times, 0, true).run();
        assert!(goodput(&outcome) >= 0.9, "{times}: {outcome:?}");
        assert!(outcome.longest_refusal < OBJECTIVE / 4, "{times}: {outcome:?}");
    }
}

/// Guards against refusals of what could be served: at the capacity itself, shards have backlogs now and then.
#[test]
fn gather_load_at_capacity() {
    let outcome = Replay::new(1, 0, true).run();
    assert!(goodput(&outcome) >= 0.99, "{outcome:?}");
}

/// Guards against callers that return at once after each refusal and take the capacity of all.
#[test]
fn gather_load_immediate_repeats() {
    let outcome = Replay::new(3, 3, true).run();
    assert!(goodput(&outcome) >= 0.9, "{outcome:?}");
    assert!(outcome.longest_refusal < OBJECTIVE / 4, "{outcome:?}");
}
