//! What this relay holds of the quota of one tenant, and its callers that wait for an answer of the owner.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use crate::{
    policy::quota::{Grant, Limit},
    relay::quota::{QuotaRefusal, ledger::Members},
    wire::relay::QuotaRole,
};

/// The time in which requests are counted for the size of the next grant.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Who grants the tokens of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Granter {
    /// This relay.
    Own,
    /// Another relay.
    Peer(SocketAddr),
}

/// A request's answer from the granter.
pub(super) type Verdict = Result<(), QuotaRefusal>;

pub(super) struct Holder {
    limit: Limit,
    pub(super) grant: Option<Grant>,
    /// The relay that gave the grant, and when.
    pub(super) granted_by: Option<(Granter, Instant)>,
    /// Until then the owner has no token.
    denied_until: Option<Instant>,
    /// Requests that wait for an answer. A task asks for them while there are any.
    pub(super) waiters: Vec<oneshot::Sender<Verdict>>,
    pub(super) is_asking: bool,
    roles: Option<(Arc<Members>, [Option<Granter>; 2])>,
    counted_since: Instant,
    count: u32,
    last_count: u32,
    pub(super) used_at: Instant,
    /// Requests since the metrics were last updated.
    pub(super) admitted: u64,
    pub(super) refused: u64,
}

impl Holder {
    pub(super) fn new(limit: Limit, now: Instant) -> Self {
        Self {
            limit,
            grant: None,
            granted_by: None,
            denied_until: None,
            waiters: Vec::new(),
            is_asking: false,
            roles: None,
            counted_since: now,
            count: 0,
            last_count: 0,
            used_at: now,
            admitted: 0,
            refused: 0,
        }
    }

    /// Counts a request and admits it from tokens that are here. The error is the time until the owner expects a token,
    /// if it has said that it has none. `None` if the granter has to be asked.
    pub(super) fn admit(&mut self, limit: Limit, now: Instant) -> Option<Result<(), Duration>> {
        self.used_at = now;
        if now.saturating_duration_since(self.counted_since) >= COUNT_INTERVAL {
            let is_recent = now.saturating_duration_since(self.counted_since) < 2 * COUNT_INTERVAL;
            self.last_count = if is_recent { self.count } else { 0 };
            (self.counted_since, self.count) = (now, 0);
        }
        self.count += 1;
        if self.limit != limit {
            self.limit = limit;
            self.denied_until = None;
        }
        if self.grant.as_mut().is_some_and(|it| it.take(now)) {
            return Some(Ok(()));
        }
        let wait = self.denied_until.and_then(|it| it.checked_duration_since(now));
        wait.filter(|it| !it.is_zero()).map(Err)
    }

    /// Remembers that the owner expects no token before `wait` has passed.
    pub(super) fn deny(&mut self, wait: Duration, now: Instant) {
        self.denied_until = now.checked_add(wait);
    }

    /// How many tokens beyond those needed now are expected to be used within a lease.
    pub(super) fn expected(&self, lease: Duration) -> u32 {
        let per_second = f64::from(self.count.max(self.last_count));
        (per_second * lease.as_secs_f64()) as u32
    }

    /// Who grants the tokens of the tenant, in this role.
    pub(super) fn granter(
        &mut self,
        role: QuotaRole,
        tenant: &str,
        own_name: &str,
        members: &Arc<Members>,
    ) -> Option<Granter> {
        let is_known = self.roles.as_ref().is_some_and(|it| Arc::ptr_eq(&it.0, members));
        if !is_known {
            let granter = |it: Option<&(String, SocketAddr)>| {
                it.map(|it| if it.0 == own_name { Granter::Own } else { Granter::Peer(it.1) })
            };
            self.roles = Some((members.clone(), members.roles(tenant).map(granter)));
        }
        self.roles.as_ref().and_then(|it| it.1[role as usize])
    }
}
