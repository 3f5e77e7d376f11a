//! Quotas: the bound over all hosts in any order of grants, losses and changes, and what a tenant below its limit gets.

use std::time::{Duration, Instant};

use gentianpass::policy::quota::{
    Bound, Bucket, Grant, Limit, Lot, Membership, Reserve, TENURE, Tenure,
};
use proptest::prelude::*;

use crate::cases;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const LIMIT: Limit = Limit { rate: 10.0, burst: 20.0 };

/// A bucket that is full at `now`.
fn full(limit: Limit, now: Instant) -> Bucket {
    Bucket::new(limit, Bound::default(), now - Duration::from_secs(1_000), now)
}

fn now() -> Instant {
    Instant::now() + Duration::from_secs(3_600)
}

/// Guards against an owner that stood still and hands out the refill of that time beyond the burst.
#[test]
fn bucket_after_long_sleep() {
    let start = now();
    let mut bucket = full(LIMIT, start);
    while bucket.take(start).is_ok() {}
    let later = start + Duration::from_secs(3_600);
    let taken = std::iter::from_fn(|| bucket.take(later).ok()).count();
    // The margin of the owner is half of 0.1 * (10 * 5 + 20) + 20.
    assert_eq!(taken, 33);
}

/// Guards against a new owner that hands out the burst once more.
#[test]
fn bucket_starts_empty() {
    let start = now();
    let mut bucket = Bucket::new(LIMIT, Bound::default(), start, start);
    let wait = bucket.take(start).unwrap_err();
    assert!(wait > ms(99) && wait < ms(101), "{wait:?}");
    assert!(bucket.take(start + ms(101)).is_ok() && bucket.take(start + ms(101)).is_err());
}

#[test]
fn bucket_put_back() {
    let start = now();
    let mut bucket = full(LIMIT, start);
    let lot = bucket.grant(1, 28, 5, start);
    assert_eq!(lot.tokens, 33);
    assert!(bucket.take(start).is_err());
    bucket.put_back(1, 5, start + ms(1));
    bucket.put_back(1, 5, start + ms(1));
    bucket.put_back(2, 5, start + ms(1));
    let taken = std::iter::from_fn(|| bucket.take(start + ms(1)).ok()).count();
    assert_eq!(taken, 5, "a second return and one of an unknown grant add nothing");
}

#[test]
fn bucket_limit_lowered() {
    let start = now();
    let mut bucket = full(LIMIT, start);
    bucket.set_limit(Limit { rate: 1.0, burst: 0.0 }, start);
    let taken = std::iter::from_fn(|| bucket.take(start).ok()).count();
    assert_eq!(taken, 10, "the margin is half of 0.1 * 5 + 20");
}

#[test]
fn bucket_limit_raised() {
    let start = now();
    let mut bucket = Bucket::new(LIMIT, Bound::default(), start, start);
    bucket.set_limit(Limit { rate: 1_000.0, burst: 100.0 }, start);
    assert!(bucket.take(start).is_err());
    let taken = std::iter::from_fn(|| bucket.take(start + ms(50)).ok()).count();
    assert_eq!(taken, 50);
}

/// Guards against an owner that keeps state of idle tenants for ever, or drops one that would come back fuller.
#[test]
fn bucket_is_idle_when_full() {
    let start = now();
    let mut bucket = full(LIMIT, start);
    assert!(bucket.is_idle(start));
    bucket.grant(1, 1, 1, start);
    assert!(!bucket.is_idle(start + ms(1)));
    assert!(bucket.is_idle(start + Duration::from_secs(5)));
}

#[test]
fn grant_ends_with_lease() {
    let start = now();
    let lot = Lot { id: 1, tokens: 2, lease: ms(100), wait: ms(0) };
    let mut grant = Grant::new(&lot, start);
    assert!(grant.take(start + ms(99)) && !grant.take(start + ms(100)));
    assert_eq!(grant.unused(), (1, 1));
}

/// A rate of 1,000/s needs a message for each lease, not for each request.
#[test]
fn lease_follows_rate() {
    let lease = |rate, burst| Bound::default().lease(Limit { rate, burst });
    assert_eq!(lease(1.0, 1.0), ms(1_000));
    assert!(lease(1_000.0, 100.0) >= ms(100) && lease(1_000.0, 100.0) < ms(110));
    let start = now();
    let lot = full(Limit { rate: 1_000.0, burst: 100.0 }, start).grant(1, 1, 100, start);
    assert_eq!(lot.tokens, 101);
}

/// Guards against two relays that grant as owner because one of them holds an older configuration.
#[test]
fn tenure_waits_and_lapses() {
    let start = now();
    let mut tenure = Tenure::default();
    // Polls that control hosts hold for 1 s.
    for i in 0..3 {
        tenure.confirm(start + ms(i * 1_000), Membership::Current, start + ms(i * 1_000 + 1_000));
    }
    assert_eq!(tenure.start(start + ms(3_450)), None, "an older owner may grant until then");
    assert_eq!(tenure.start(start + ms(3_500)), Some(start + ms(1_000) + TENURE));
    assert_eq!(tenure.start(start + ms(4_500)), None, "not confirmed any more");
    tenure.confirm(start + ms(3_900), Membership::Current, start + ms(4_800));
    assert!(tenure.start(start + ms(4_800)).is_some(), "it cannot have been removed in between");
    tenure.confirm(start + ms(6_700), Membership::Current, start + ms(6_810));
    assert_eq!(
        tenure.start(start + ms(9_100)),
        None,
        "another owner may have been there meanwhile"
    );
    tenure.confirm(start + ms(8_500), Membership::Current, start + ms(9_300));
    assert!(tenure.start(start + ms(9_310)).is_some());
    tenure.confirm(start + ms(9_300), Membership::None, start + ms(9_400));
    assert_eq!(tenure.start(start + ms(9_500)), None, "removed");
}

/// Guards against tenants that are refused for seconds after all relays have started again.
#[test]
fn tenure_restarted_process() {
    let start = now();
    let mut tenure = Tenure::default();
    tenure.confirm(start, Membership::Earlier, start + ms(10));
    assert_eq!(tenure.start(start + ms(20)), None, "it is not a member yet");
    tenure.confirm(start + ms(50), Membership::Current, start + ms(60));
    assert!(tenure.start(start + ms(60)).is_some(), "no other relay has had its roles");
    let mut removed = Tenure::default();
    removed.confirm(start, Membership::None, start + ms(10));
    removed.confirm(start + ms(50), Membership::Current, start + ms(60));
    assert_eq!(removed.start(start + ms(60)), None, "another relay may grant as owner");
}

/// What happens at one step of a random history.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// A request arrives at a host.
    Request(usize),
    /// As many requests as arrive in a burst.
    Burst(usize),
    /// The owner loses its memory, or another one takes over.
    ReplaceOwner,
    ReplaceDeputy,
    /// A host cannot reach the owner, or can again.
    Cut(usize),
    /// Unused tokens of a host are lost on their way back.
    LoseReturn(usize),
    /// A holder stands still with its tokens for longer than the lease.
    Freeze,
    SetLimit(u16, u16),
}

const HOSTS: usize = 4;

/// Hosts with one owner and one deputy, at most one of each at a time as [`Tenure`] ensures.
struct Model {
    now: Instant,
    limit: Limit,
    owner: Bucket,
    deputy: Reserve,
    holders: [Option<Grant>; HOSTS],
    is_cut: [bool; HOSTS],
    next_id: u64,
    /// When requests reached a target.
    sent: Vec<Instant>,
    /// A central bucket without grants, for what must not be refused.
    central: f64,
    central_at: Instant,
    wrongly_refused: usize,
    /// Whether requests above the limit are sent too.
    sends_above_limit: bool,
}

impl Model {
    fn new(limit: Limit, is_full: bool) -> Self {
        let now = now();
        let owner =
            if is_full { full(limit, now) } else { Bucket::new(limit, Bound::default(), now, now) };
        Self {
            now,
            limit,
            owner,
            deputy: Reserve::new(limit, Bound::default(), now - Duration::from_secs(1_000), now),
            holders: [None; HOSTS],
            is_cut: [false; HOSTS],
            next_id: 0,
            sent: Vec::new(),
            central: limit.burst,
            central_at: now,
            wrongly_refused: 0,
            sends_above_limit: true,
        }
    }

    fn request(&mut self, host: usize) {
        let passed = (self.now - self.central_at).as_secs_f64();
        self.central = (self.central + passed * self.limit.rate).min(self.limit.burst);
        self.central_at = self.now;
        let is_allowed = self.central >= 1.0;
        if !is_allowed && !self.sends_above_limit {
            return;
        }
        let is_admitted = self.admit(host);
        if is_admitted {
            self.sent.push(self.now);
        }
        if is_allowed {
            self.central -= 1.0;
            self.wrongly_refused += usize::from(!is_admitted);
        }
    }

    fn admit(&mut self, host: usize) -> bool {
        let now = self.now;
        if self.holders[host].as_mut().is_some_and(|it| it.take(now)) {
            return true;
        }
        if let Some(old) = self.holders[host].take() {
            let (id, unused) = old.unused();
            self.owner.put_back(id, unused, now);
        }
        self.next_id += 1;
        let lot = if self.is_cut[host] {
            self.deputy.grant(self.next_id, 1, now)
        } else {
            self.owner.grant(self.next_id, 1, 3, now)
        };
        let mut grant = Grant::new(&lot, now);
        let is_admitted = grant.take(now);
        self.holders[host] = Some(grant);
        is_admitted
    }

    /// Holders return unused tokens at the end of the lease.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        for holder in &mut self.holders {
            if let Some(it) = holder.filter(|it| it.end() <= end) {
                let (id, unused) = it.unused();
                self.owner.put_back(id, unused, it.end().max(self.now));
                *holder = None;
            }
        }
        self.now = end;
    }

    fn step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Pass(time) => self.pass(ms(time)),
            Step::Request(host) => self.request(host),
            Step::Burst(host) => (0..40).for_each(|_| self.request(host)),
            Step::ReplaceOwner => {
                self.owner = Bucket::new(self.limit, Bound::default(), now, now);
            }
            Step::ReplaceDeputy => {
                self.deputy = Reserve::new(self.limit, Bound::default(), now, now);
            }
            Step::Cut(host) => self.is_cut[host] = !self.is_cut[host],
            Step::LoseReturn(host) => self.holders[host] = None,
            Step::Freeze => self.now += ms(1_500),
            Step::SetLimit(rate, burst) => {
                self.limit = Limit { rate: f64::from(rate), burst: f64::from(burst) };
                self.owner.set_limit(self.limit, now);
                self.deputy.set_limit(self.limit, now);
            }
        }
    }

    /// The most requests in a window, from any request on.
    fn most_in_window(&self) -> usize {
        let window = Bound::default().window;
        let in_window =
            |at: &Instant| self.sent.iter().filter(|it| *it >= at && **it < *at + window).count();
        self.sent.iter().map(in_window).max().unwrap_or(0)
    }
}

fn limit() -> impl Strategy<Value = Limit> {
    (1..80u16, 1..60u16)
        .prop_map(|(rate, burst)| Limit { rate: f64::from(rate), burst: f64::from(burst) })
}

/// Steps that keep all hosts in contact.
fn calm() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..400u64).prop_map(Step::Pass),
        6 => (0..HOSTS).prop_map(Step::Request),
        2 => (0..HOSTS).prop_map(Step::Burst),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => calm(),
        1 => Just(Step::ReplaceOwner),
        1 => Just(Step::ReplaceDeputy),
        2 => (0..HOSTS).prop_map(Step::Cut),
        2 => (0..HOSTS).prop_map(Step::LoseReturn),
        1 => Just(Step::Freeze),
    ]
}

/// Guards against a tenant far above its limit that gets less than the limit, because tokens under lease keep its bucket
/// from refilling.
#[test]
fn above_limit_served_at_limit() {
    for rate in [1.0, 10.0, 100.0, 1_000.0] {
        let mut model = Model::new(Limit { rate, burst: 10.0 }, true);
        for i in 0..20_000 {
            model.request(i % HOSTS);
            model.pass(Duration::from_secs_f64(0.2 / rate));
        }
        // 20,000 requests at five times the limit.
        assert!(model.sent.len() >= 3_960, "{rate}/s: {}", model.sent.len());
    }
}

proptest! {
    #![proptest_config(cases(400))]

    /// Guards against more requests in a window than the bound, whatever is lost, cut off or replaced.
    #[test]
    fn window_within_bound(limit in limit(), steps in prop::collection::vec(any_step(), 1..300)) {
        let mut model = Model::new(limit, true);
        steps.into_iter().for_each(|it| model.step(it));
        let most = model.most_in_window();
        prop_assert!(most as f64 <= Bound::default().requests(limit), "{most}");
    }

    /// Guards against a limit change that leaves tokens of the higher limit: a window that begins after the change, and
    /// after the leases of earlier grants, is within the lower bound.
    #[test]
    fn window_within_lowered_bound(
        before in prop::collection::vec(any_step(), 1..100),
        lower in limit(),
        after in prop::collection::vec(any_step(), 1..200),
    ) {
        let mut model = Model::new(Limit { rate: 100.0, burst: 100.0 }, true);
        before.into_iter().for_each(|it| model.step(it));
        model.step(Step::SetLimit(lower.rate as u16, lower.burst as u16));
        model.pass(ms(1_000));
        model.sent.clear();
        after.into_iter().for_each(|it| model.step(it));
        let most = model.most_in_window();
        prop_assert!(most as f64 <= Bound::default().requests(lower), "{most}");
    }

    /// Guards against a request of a tenant below its limit that is refused because tokens are held elsewhere.
    #[test]
    fn below_limit_never_refused(
        limit in limit(),
        steps in prop::collection::vec(calm(), 1..400),
    ) {
        let mut model = Model::new(limit, true);
        model.sends_above_limit = false;
        steps.into_iter().for_each(|it| model.step(it));
        prop_assert_eq!(model.wrongly_refused, 0);
    }
}
