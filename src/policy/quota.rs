//! Quotas of tenants: a token bucket at one owner relay, grants of its tokens to other relays, and the reserve of a
//! deputy. All functions take the time of a steady clock.
//!
//! The bound over all hosts for a window is `(rate * window + burst) * (1 + excess) + slack`. Half of what it allows above
//! `rate * window + burst` is the margin of the owner, the other half belongs to the deputy. The owner counts a granted
//! token until the end of its lease and keeps its level plus these tokens at or below `burst + margin`. What is used in a
//! window was in the bucket or granted at its start, or refilled during it, so the time between grant and use is covered.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// How long a relay stays owner or deputy after it sent the last poll that control hosts confirmed. Control hosts hold
/// polls for 1 s, so that the last confirmed one was sent up to 2 s ago. It is below the time after which control hosts
/// remove a silent relay (3 s), so that a relay that was removed no longer grants.
pub const TENURE: Duration = Duration::from_millis(2_500);

/// A relay whose poll is confirmed within this time after it sent the one confirmed before has been a member all the
/// time, because control hosts remove it only after 3 s.
const MAX_CONFIRM_GAP: Duration = Duration::from_millis(2_900);

/// The longest lease of a grant.
pub const MAX_LEASE: Duration = Duration::from_secs(1);

/// The shortest lease of a grant. An answer of the owner may take about 80 ms.
pub const MIN_LEASE: Duration = Duration::from_millis(100);

/// The tokens that are used during a lease take at most this share of the owner's margin. The rest is for tokens that
/// wait at relays ahead of use.
const LEASE_SHARE: f64 = 0.4;

/// How long an owner accepts the return of unused tokens, from their grant.
const RETURN_TIMEOUT: Duration = Duration::from_secs(2);

/// Levels are compared with this tolerance, in tokens, because they are sums of fractions.
const EPSILON: f64 = 1e-6;

/// The limit of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens per second. Above zero.
    pub rate: f64,
    /// Tokens that may be used at once after a quiet period.
    pub burst: f64,
}

/// How far the requests that reach targets may exceed a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The window in which requests are counted.
    pub window: Duration,
    /// The share of the limit that may be exceeded.
    pub excess: f64,
    /// The number of requests that may exceed it besides.
    pub slack: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 }
    }
}

impl Bound {
    /// The most requests of a tenant that may reach targets in a window.
    pub fn requests(&self, limit: Limit) -> f64 {
        let within = limit.rate * self.window.as_secs_f64() + limit.burst;
        within * (1.0 + self.excess) + self.slack
    }

    /// The part of the bound above the limit that the owner may use, in tokens. The deputy has as much.
    fn margin(&self, limit: Limit) -> f64 {
        let within = limit.rate * self.window.as_secs_f64() + limit.burst;
        (within * self.excess + self.slack) / 2.0
    }

    /// How long the tokens of a grant may be used. It is 100 ms for a high rate, so that tokens in use but not yet
    /// expired fit into the margin, and up to 1 s for a low one.
    pub fn lease(&self, limit: Limit) -> Duration {
        let seconds = LEASE_SHARE * self.margin(limit) / limit.rate;
        Duration::try_from_secs_f64(seconds).map_or(MAX_LEASE, |it| it.clamp(MIN_LEASE, MAX_LEASE))
    }
}

/// Tokens that an owner or a deputy hands out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lot {
    /// Identifies the grant when tokens are returned.
    pub id: u64,
    /// The number of tokens, 0 if there is none.
    pub tokens: u32,
    /// How long they may be used, counted by the holder from the moment it asked.
    pub lease: Duration,
    /// When a further token is expected.
    pub wait: Duration,
}

/// Tokens that refill with time and that count until the end of their lease.
#[derive(Clone, Debug)]
struct Tokens {
    rate: f64,
    /// The most tokens in the bucket and under lease together.
    capacity: f64,
    level: f64,
    refilled_at: Instant,
    /// Grants by the end of their lease, with their id and tokens.
    leased: VecDeque<(Instant, u64, u32)>,
    leased_tokens: u64,
}

impl Tokens {
    /// Refilled since `since`, and empty then.
    fn new(rate: f64, capacity: f64, since: Instant, now: Instant) -> Self {
        let capacity = capacity.max(1.0);
        let level = (rate * now.saturating_duration_since(since).as_secs_f64()).min(capacity);
        Self { rate, capacity, level, refilled_at: now, leased: VecDeque::new(), leased_tokens: 0 }
    }

    fn set_limit(&mut self, rate: f64, capacity: f64, now: Instant) {
        self.refill(now);
        (self.rate, self.capacity) = (rate, capacity.max(1.0));
        self.level = self.level.min(self.room());
    }

    fn room(&self) -> f64 {
        (self.capacity - self.leased_tokens as f64).max(0.0)
    }

    /// Refills up to `now`. Room that a lease gives back counts from the end of that lease.
    fn refill(&mut self, now: Instant) {
        while let Some(&(end, _, tokens)) = self.leased.front()
            && end <= now
        {
            self.refill_to(end);
            self.leased.pop_front();
            self.leased_tokens -= u64::from(tokens);
        }
        self.refill_to(now);
    }

    fn refill_to(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.level = (self.level + self.rate * passed.as_secs_f64()).min(self.room());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes up to `wanted` whole tokens.
    fn take(&mut self, wanted: u32) -> u32 {
        let taken = wanted.min((self.level + EPSILON) as u32);
        self.level = (self.level - f64::from(taken)).max(0.0);
        taken
    }

    fn lease(&mut self, id: u64, tokens: u32, end: Instant) {
        // A lower limit may shorten the leases. The queue stays in order if the later one ends no sooner.
        let end = self.leased.back().map_or(end, |it| it.0.max(end));
        self.leased.push_back((end, id, tokens));
        self.leased_tokens += u64::from(tokens);
    }

    /// Takes back tokens that the holder of a grant will not use.
    fn put_back(&mut self, id: u64, unused: u32) {
        if let Some(it) = self.leased.iter_mut().find(|it| it.1 == id) {
            let unused = unused.min(it.2);
            it.2 -= unused;
            self.leased_tokens -= u64::from(unused);
        }
        self.level = (self.level + f64::from(unused)).min(self.room());
    }

    /// The time until a whole token is expected.
    fn wait(&self) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let refill = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX);
        if self.room() >= 1.0 {
            return refill;
        }
        // Refilling goes on when a lease gives back room.
        let lease = self.leased.front().map(|it| it.0.saturating_duration_since(self.refilled_at));
        lease.unwrap_or_default().max(refill)
    }

    fn is_full(&self) -> bool {
        self.leased.is_empty() && self.level + EPSILON >= self.capacity
    }
}

/// A grant with tokens beyond those that were needed at once.
#[derive(Clone, Copy, Debug)]
struct Spare {
    tokens: u32,
    spare: u32,
    granted_at: Instant,
}

/// The bucket of a tenant at its owner.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: Limit,
    bound: Bound,
    tokens: Tokens,
    spares: BTreeMap<u64, Spare>,
    /// Tokens granted ahead of use that may still come back.
    spare_tokens: u64,
}

impl Bucket {
    /// A bucket that was empty at `since`, when its owner became the owner, and has granted nothing from then on.
    pub fn new(limit: Limit, bound: Bound, since: Instant, now: Instant) -> Self {
        let capacity = limit.burst + bound.margin(limit);
        let tokens = Tokens::new(limit.rate, capacity, since, now);
        Self { limit, bound, tokens, spares: BTreeMap::new(), spare_tokens: 0 }
    }

    /// Changes the limit. Tokens beyond the new burst are discarded.
    pub fn set_limit(&mut self, limit: Limit, now: Instant) {
        if self.limit != limit {
            self.tokens.set_limit(limit.rate, limit.burst + self.bound.margin(limit), now);
            self.limit = limit;
        }
    }

    /// Takes a token that is used at once. The error is the time until one is expected.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.tokens.refill(now);
        if self.tokens.take(1) == 1 { Ok(()) } else { Err(self.tokens.wait()) }
    }

    /// Grants the tokens that a holder needs now, and up to `spare` ahead of use. Tokens ahead of use are limited, so
    /// that they are missing nowhere else. `id` must not have been used before.
    pub fn grant(&mut self, id: u64, needed: u32, spare: u32, now: Instant) -> Lot {
        self.tokens.refill(now);
        self.forget_spares(now);
        let lease = self.bound.lease(self.limit);
        let needed = self.tokens.take(needed);
        let leased = self.limit.rate * lease.as_secs_f64();
        let max_spare = (self.bound.margin(self.limit) - leased).max(0.0) as u64;
        let left = max_spare.saturating_sub(self.spare_tokens);
        let spare = self.tokens.take(spare.min(u32::try_from(left).unwrap_or(u32::MAX)));
        let tokens = needed + spare;
        if tokens > 0 {
            self.tokens.lease(id, tokens, now + lease);
        }
        if spare > 0 {
            self.spares.insert(id, Spare { tokens, spare, granted_at: now });
            self.spare_tokens += u64::from(spare);
        }
        Lot { id, tokens, lease, wait: self.tokens.wait() }
    }

    /// Takes back tokens that the holder of a grant will not use. Does nothing if the grant is unknown.
    pub fn put_back(&mut self, id: u64, unused: u32, now: Instant) {
        self.tokens.refill(now);
        self.forget_spares(now);
        if let Some(it) = self.spares.remove(&id) {
            self.spare_tokens -= u64::from(it.spare);
            self.tokens.put_back(id, unused.min(it.tokens));
        }
    }

    /// Whether nothing is lost if the bucket is dropped, because a new one would be as full.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.tokens.refill(now);
        self.forget_spares(now);
        self.tokens.is_full() && self.spares.is_empty()
    }

    fn forget_spares(&mut self, now: Instant) {
        while let Some(it) = self.spares.first_entry()
            && it.get().granted_at + RETURN_TIMEOUT <= now
        {
            self.spare_tokens -= u64::from(it.remove().spare);
        }
    }
}

/// The reserve of a tenant at its deputy. It holds half of the deputy's part of the bound and refills with the other half
/// in a window.
#[derive(Clone, Debug)]
pub struct Reserve {
    limit: Limit,
    bound: Bound,
    tokens: Tokens,
}

impl Reserve {
    /// A reserve that was empty at `since`, when its deputy became the deputy.
    pub fn new(limit: Limit, bound: Bound, since: Instant, now: Instant) -> Self {
        let (rate, capacity) = Self::shape(limit, bound);
        Self { limit, bound, tokens: Tokens::new(rate, capacity, since, now) }
    }

    fn shape(limit: Limit, bound: Bound) -> (f64, f64) {
        let half = bound.margin(limit) / 2.0;
        (half / bound.window.as_secs_f64(), half)
    }

    /// Changes the limit of the tenant.
    pub fn set_limit(&mut self, limit: Limit, now: Instant) {
        if self.limit != limit {
            let (rate, capacity) = Self::shape(limit, self.bound);
            self.tokens.set_limit(rate, capacity, now);
            self.limit = limit;
        }
    }

    /// Takes a token that is used at once. The error is the time until one is expected.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.tokens.refill(now);
        if self.tokens.take(1) == 1 { Ok(()) } else { Err(self.tokens.wait()) }
    }

    /// Grants tokens that are needed now, none ahead of use.
    pub fn grant(&mut self, id: u64, needed: u32, now: Instant) -> Lot {
        self.tokens.refill(now);
        let tokens = self.tokens.take(needed);
        if tokens > 0 {
            self.tokens.lease(id, tokens, now + MIN_LEASE);
        }
        Lot { id, tokens, lease: MIN_LEASE, wait: self.tokens.wait() }
    }

    /// Whether nothing is lost if the reserve is dropped.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.tokens.refill(now);
        self.tokens.is_full()
    }
}

/// Tokens at the relay that uses them.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    id: u64,
    tokens: u32,
    end: Instant,
}

impl Grant {
    /// The tokens of a lot that was asked for at `asked_at` by the steady clock of this process.
    pub fn new(lot: &Lot, asked_at: Instant) -> Self {
        Self { id: lot.id, tokens: lot.tokens, end: asked_at + lot.lease }
    }

    /// Uses a token. False if none is left or the lease has ended.
    pub fn take(&mut self, now: Instant) -> bool {
        let is_left = self.tokens > 0 && now < self.end;
        self.tokens -= u32::from(is_left);
        is_left
    }

    /// The grant and its unused tokens, which must be returned.
    pub fn unused(self) -> (u64, u32) {
        (self.id, self.tokens)
    }

    /// When the lease ends.
    pub fn end(&self) -> Instant {
        self.end
    }
}

/// How a relay is known to a configuration that control hosts have confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// It is not listed.
    None,
    /// An earlier process of it is listed.
    Earlier,
    /// This process of it is listed.
    Current,
}

/// Since when a relay has been a confirmed member of the configuration without interruption. A relay grants only while
/// its tenure holds, so that no two relays grant as owner of the same tenant although their configurations differ: a
/// relay that joins waits for [`TENURE`], and one with an older configuration has stopped by then. A process whose first
/// configuration lists an earlier process of its relay does not wait: the relay was never removed, so that no other one
/// has taken over its roles.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tenure {
    start: Option<Instant>,
    confirmed_at: Option<Instant>,
    was_never_removed: bool,
}

impl Tenure {
    /// Records at `now` that a poll sent at `sent_at` has confirmed the configuration, and whether this relay is a member.
    pub fn confirm(&mut self, sent_at: Instant, membership: Membership, now: Instant) {
        let is_unbroken = self.confirmed_at.is_some_and(|it| now < it + MAX_CONFIRM_GAP);
        let is_first = self.confirmed_at.is_none();
        let is_listed = membership != Membership::None;
        let was_listed =
            if is_first { membership == Membership::Earlier } else { self.was_never_removed };
        self.was_never_removed = is_listed && was_listed && (is_first || is_unbroken);
        let start = self.start.filter(|_| is_unbroken);
        let wait = if self.was_never_removed { Duration::ZERO } else { TENURE };
        let is_member = membership == Membership::Current;
        self.start = is_member.then(|| start.unwrap_or(now + wait));
        self.confirmed_at = Some(sent_at);
    }

    /// Since when this relay may grant, if it may at `now`.
    pub fn start(&self, now: Instant) -> Option<Instant> {
        let start = self.start?;
        (start <= now && now < self.confirmed_at? + TENURE).then_some(start)
    }
}
