//! What this relay grants: buckets of the tenants that it owns, and reserves of those whose deputy it is.

use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    policy::{
        ownership,
        quota::{Bound, Bucket, Limit, Lot, Membership, Reserve, TENURE, Tenure},
    },
    state::Node,
    wire::relay::QuotaRole,
};

/// How many earlier lists of members are kept, to know since when this relay has a role.
const MAX_HISTORY: usize = 16;

/// The relays that share the buckets of all tenants: those in the configuration that are not leaving.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Members(Vec<(String, SocketAddr)>);

impl Members {
    pub(super) fn new(nodes: &[Node]) -> Self {
        let members = nodes.iter().filter(|it| !it.leaving);
        Self(members.map(|it| (it.name.clone(), it.rpc)).collect())
    }

    /// The owner and the deputy of a tenant: the two with the highest rendezvous weights.
    pub(super) fn roles(&self, tenant: &str) -> [Option<&(String, SocketAddr)>; 2] {
        let weight = |it: &&(String, SocketAddr)| ownership::weight(tenant, &it.0);
        let mut ranked: Vec<_> = self.0.iter().map(|it| (Reverse(weight(&it)), it)).collect();
        if ranked.len() > 2 {
            ranked.select_nth_unstable(1);
            ranked.truncate(2);
        }
        ranked.sort_unstable();
        let at = |i: usize| ranked.get(i).map(|it| it.1);
        [at(0), at(1)]
    }

    fn is(&self, name: &str, role: QuotaRole, tenant: &str) -> bool {
        self.roles(tenant)[role as usize].is_some_and(|it| it.0 == name)
    }
}

/// Grants of this relay. Only while its tenure holds.
#[derive(Debug)]
pub(super) struct Ledger {
    own_name: String,
    bound: Bound,
    tenure: Tenure,
    /// The start of the tenure in which the buckets and reserves were made.
    epoch: Option<Instant>,
    /// Lists of members and when each was first seen, the current one last.
    history: VecDeque<(Instant, Arc<Members>)>,
    buckets: HashMap<Box<str>, Bucket>,
    reserves: HashMap<Box<str>, Reserve>,
    next_id: u64,
    swept_at: Instant,
}

impl Ledger {
    pub(super) fn new(own_name: &str, bound: Bound) -> Self {
        Self {
            own_name: own_name.to_owned(),
            bound,
            tenure: Tenure::default(),
            epoch: None,
            history: VecDeque::new(),
            buckets: HashMap::new(),
            reserves: HashMap::new(),
            // A return to an earlier process under this name must not match a grant of this one.
            next_id: rand::random::<u64>() >> 1,
            swept_at: Instant::now(),
        }
    }

    /// Records that a poll sent at `sent_at` has confirmed the configuration with these nodes.
    pub(super) fn confirm(
        &mut self,
        members: &Arc<Members>,
        membership: Membership,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        self.tenure.confirm(sent_at, membership, now);
        if self.history.back().is_some_and(|it| it.1 == *members) {
            return;
        }
        self.history.push_back((now, members.clone()));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        // State of a role that is lost must not come back with it.
        let name = &self.own_name;
        self.buckets.retain(|tenant, _| members.is(name, QuotaRole::Owner, tenant));
        self.reserves.retain(|tenant, _| members.is(name, QuotaRole::Deputy, tenant));
    }

    /// Since when this relay grants in this role, if it does. An owner takes over at once when those before it are gone,
    /// because they grant no more by the time they are removed. A deputy waits, because the one before it may still be
    /// there with an older configuration.
    fn granting_since(&mut self, role: QuotaRole, tenant: &str, now: Instant) -> Option<Instant> {
        let start = self.tenure.start(now)?;
        if self.epoch != Some(start) {
            self.buckets.clear();
            self.reserves.clear();
            self.epoch = Some(start);
        }
        let in_role = |it: &&(Instant, Arc<Members>)| it.1.is(&self.own_name, role, tenant);
        let since = self.history.iter().rev().take_while(in_role).last()?.0;
        let wait = match role {
            QuotaRole::Owner => Duration::ZERO,
            QuotaRole::Deputy => TENURE,
        };
        let since = start.max(since + wait);
        (since <= now).then_some(since)
    }

    fn bucket(&mut self, tenant: &str, limit: Limit, now: Instant) -> Option<&mut Bucket> {
        // A bucket in memory shows that this relay had the role when it was made, and has it since.
        if self.epoch.is_none()
            || self.epoch != self.tenure.start(now)
            || !self.buckets.contains_key(tenant)
        {
            let since = self.granting_since(QuotaRole::Owner, tenant, now)?;
            self.sweep(now);
            let new = Bucket::new(limit, self.bound, since, now);
            self.buckets.entry(tenant.into()).or_insert(new);
        }
        let bucket = self.buckets.get_mut(tenant)?;
        bucket.set_limit(limit, now);
        Some(bucket)
    }

    fn reserve(&mut self, tenant: &str, limit: Limit, now: Instant) -> Option<&mut Reserve> {
        let since = self.granting_since(QuotaRole::Deputy, tenant, now)?;
        self.sweep(now);
        let new = || Reserve::new(limit, self.bound, since, now);
        let reserve = self.reserves.entry(tenant.into()).or_insert_with(new);
        reserve.set_limit(limit, now);
        Some(reserve)
    }

    /// Takes a token that is used at once by this relay itself. `None` if it does not grant in this role, else the error
    /// is the time until a token is expected.
    pub(super) fn take(
        &mut self,
        role: QuotaRole,
        tenant: &str,
        limit: Limit,
        now: Instant,
    ) -> Option<Result<(), Duration>> {
        match role {
            QuotaRole::Owner => self.bucket(tenant, limit, now).map(|it| it.take(now)),
            QuotaRole::Deputy => self.reserve(tenant, limit, now).map(|it| it.take(now)),
        }
    }

    /// Grants tokens to another relay. `None` if this relay does not grant in this role.
    pub(super) fn grant(
        &mut self,
        role: QuotaRole,
        tenant: &str,
        limit: Limit,
        (needed, spare): (u32, u32),
        now: Instant,
    ) -> Option<Lot> {
        self.next_id += 1;
        let id = self.next_id;
        match role {
            QuotaRole::Owner => {
                self.bucket(tenant, limit, now).map(|it| it.grant(id, needed, spare, now))
            }
            QuotaRole::Deputy => {
                self.reserve(tenant, limit, now).map(|it| it.grant(id, needed, now))
            }
        }
    }

    /// Takes back unused tokens of a grant of this process.
    pub(super) fn put_back(&mut self, tenant: &str, id: u64, unused: u32, now: Instant) {
        if let Some(it) = self.buckets.get_mut(tenant) {
            it.put_back(id, unused, now);
        }
    }

    /// Drops the state of tenants that would be the same if it were made anew.
    fn sweep(&mut self, now: Instant) {
        if now.saturating_duration_since(self.swept_at) >= self.bound.window {
            self.swept_at = now;
            self.buckets.retain(|_, it| !it.is_idle(now));
            self.reserves.retain(|_, it| !it.is_idle(now));
        }
    }
}
