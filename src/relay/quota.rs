//! Quotas of tenants over all relays. A request takes a token before it is dispatched; the relay that owns the tenant's
//! bucket grants them. The decisions are those of [`policy::quota`].
//!
//! [`policy::quota`]: crate::policy::quota

mod holder;
mod ledger;
mod report;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use parking_lot::Mutex;
use rand::RngExt;
use tokio::{
    sync::oneshot,
    time::{sleep_until, timeout},
};

use crate::{
    metric::Registry,
    policy::quota::{Bound, Grant, Limit, Lot, Membership},
    relay::{
        host::Host,
        quota::{
            holder::{Granter, Holder, Verdict},
            ledger::{Ledger, Members},
            report::Report,
        },
        request::Query,
        settings::Settings,
    },
    route,
    wire::relay::{Message, QuotaReply, QuotaRequest, QuotaRole, Reply},
};

/// An owner or a deputy that does not answer within this time plus a round trip counts as silent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// `Retry-After` if neither the owner nor the deputy can be asked. Another relay may be in contact with them.
const UNREACHABLE_WAIT: Duration = Duration::from_millis(250);

/// `rate_millis` is in thousandths of a request per second.
const MILLIS: f64 = 1_000.0;

/// State of a tenant that has sent no request for this many windows is dropped.
const IDLE_WINDOWS: u32 = 3;

/// Why a request is not dispatched. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuotaRefusal {
    /// The tenant is above its limit. A token is expected after this time.
    Exceeded(Duration),
    /// Neither the owner nor the deputy of the tenant can be asked.
    Unreachable,
}

impl QuotaRefusal {
    /// The status of the response.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Exceeded(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Unreachable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The cause, for the log and the response.
    pub(super) fn cause(self) -> &'static str {
        match self {
            Self::Exceeded(_) => "over_quota",
            Self::Unreachable => "quota_unreachable",
        }
    }

    /// The time after which to try again. It is spread, so that callers refused together do not return together.
    fn retry_after(self, limit: Limit) -> Duration {
        let (wait, spread) = match self {
            Self::Exceeded(wait) => {
                let interval = Duration::try_from_secs_f64(1.0 / limit.rate).unwrap_or(wait);
                (wait, wait.max(interval))
            }
            Self::Unreachable => (UNREACHABLE_WAIT, UNREACHABLE_WAIT),
        };
        wait.saturating_add(spread.mul_f64(rand::rng().random_range(0.0..1.0)))
    }
}

/// The limit of a tenant, if it has one.
fn limit(tenant: &route::Tenant) -> Option<Limit> {
    let rate = tenant.rate_millis as f64 / MILLIS;
    (tenant.rate_millis > 0).then_some(Limit { rate, burst: tenant.burst as f64 })
}

/// The quotas of a relay: what it holds of them and what it grants.
pub(super) struct Quotas {
    own_name: String,
    bound: Bound,
    members: Mutex<Arc<Members>>,
    ledger: Mutex<Ledger>,
    holders: Mutex<HashMap<Box<str>, Holder>>,
    report: Mutex<Report>,
}

/// What a relay that was asked has granted, and when it was asked.
struct Answer {
    lot: Lot,
    granter: Granter,
    asked_at: Instant,
}

impl Quotas {
    pub(super) fn new(cfg: &Settings, registry: &Registry) -> Self {
        Self {
            own_name: cfg.name.clone(),
            bound: cfg.quota,
            members: Mutex::default(),
            ledger: Mutex::new(Ledger::new(&cfg.name, cfg.quota)),
            holders: Mutex::default(),
            report: Mutex::new(Report::new(registry)),
        }
    }

    /// Records that a poll sent at `sent_at` has confirmed the current view.
    pub(super) fn confirm(&self, host: &Host, sent_at: Instant) {
        let view = host.view();
        let members = Members::new(&view.nodes);
        let members = {
            let mut current = self.members.lock();
            if **current != members {
                *current = Arc::new(members);
            }
            current.clone()
        };
        let own = view.nodes.iter().find(|it| it.name == self.own_name);
        let membership = match own.filter(|it| !it.leaving) {
            Some(it) if it.incarnation == host.incarnation => Membership::Current,
            Some(_) => Membership::Earlier,
            None => Membership::None,
        };
        self.ledger.lock().confirm(&members, membership, sent_at);
    }

    /// Answers another relay.
    pub(super) fn serve(&self, host: &Host, request: &QuotaRequest) -> QuotaReply {
        let now = Instant::now();
        let mut ledger = self.ledger.lock();
        if let Some((id, unused)) = request.returned {
            ledger.put_back(&request.tenant, id, unused, now);
        }
        let view = host.view();
        let tenants = &view.table.tenants;
        let limit = tenants.find_name(&request.tenant).and_then(|it| limit(tenants.get(it)));
        let Some(limit) = limit.filter(|_| !host.is_leaving()) else { return QuotaReply::NotReady };
        let tokens = (request.needed, request.spare);
        match ledger.grant(request.role, &request.tenant, limit, tokens, now) {
            Some(lot) => QuotaReply::Granted {
                id: lot.id,
                tokens: lot.tokens,
                lease_us: lot.lease.as_micros() as u64,
                wait_us: u64::try_from(lot.wait.as_micros()).unwrap_or(u64::MAX),
            },
            None => QuotaReply::NotReady,
        }
    }

    /// Takes a token if that needs no message. `None` if the owner or the deputy has to be asked.
    fn admit_locally(&self, host: &Host, tenant: &str, limit: Limit) -> Option<Verdict> {
        let now = Instant::now();
        let mut holders = self.holders.lock();
        if !holders.contains_key(tenant) {
            holders.insert(tenant.into(), Holder::new(limit, now));
        }
        let holder = holders.get_mut(tenant)?;
        let taken = holder.admit(limit, now);
        if let Some(taken) = taken {
            return Some(taken.map_err(QuotaRefusal::Exceeded));
        }
        let members = self.members.lock().clone();
        let owner = holder.granter(QuotaRole::Owner, tenant, &self.own_name, &members);
        if owner != Some(Granter::Own) || host.is_leaving() {
            return None;
        }
        let taken = self.ledger.lock().take(QuotaRole::Owner, tenant, limit, now)?;
        Some(taken.map_err(QuotaRefusal::Exceeded))
    }

    fn record(&self, tenant: &str, limit: Limit, verdict: Verdict) {
        let now = Instant::now();
        let mut holders = self.holders.lock();
        let mut report = self.report.lock();
        if let Some(it) = holders.get_mut(tenant) {
            match verdict {
                Ok(()) => it.admitted += 1,
                Err(refusal) => {
                    it.refused += 1;
                    report.log_refusal(refusal, tenant, limit, it, now);
                }
            }
        }
        if report.is_due(self.bound.window, now) {
            report.update(&mut holders, now);
            let max_idle = self.bound.window * IDLE_WINDOWS;
            holders.retain(|_, it| {
                it.is_asking || now.saturating_duration_since(it.used_at) < max_idle
            });
        }
    }
}

/// Takes a token for a request of a tenant with a limit. Called once for each request of a caller; its sub-requests,
/// retries and hedges need no further one. The error is the status, the cause and the `Retry-After` of the response.
pub(super) async fn admit(host: &Arc<Host>, query: &Query) -> Result<(), (QuotaRefusal, Duration)> {
    let Some(tenant) = query.tenant() else { return Ok(()) };
    let Some(limit) = limit(tenant) else { return Ok(()) };
    let verdict = match host.quotas.admit_locally(host, &tenant.name, limit) {
        Some(verdict) => verdict,
        None => wait_for_grant(host, &tenant.name, limit).await,
    };
    host.quotas.record(&tenant.name, limit, verdict);
    verdict.map_err(|it| (it, it.retry_after(limit)))
}

/// Waits for the answer of the granter. One task asks for all requests of the tenant that wait.
async fn wait_for_grant(host: &Arc<Host>, tenant: &str, limit: Limit) -> Verdict {
    let (tx, rx) = oneshot::channel();
    let is_first = {
        let mut holders = host.quotas.holders.lock();
        let holder =
            holders.entry(tenant.into()).or_insert_with(|| Holder::new(limit, Instant::now()));
        holder.waiters.push(tx);
        !std::mem::replace(&mut holder.is_asking, true)
    };
    if is_first {
        tokio::spawn(ask_for_waiters(host.clone(), tenant.to_owned(), limit));
    }
    rx.await.unwrap_or(Err(QuotaRefusal::Unreachable))
}

/// Asks until no request of the tenant waits.
async fn ask_for_waiters(host: Arc<Host>, tenant: String, limit: Limit) {
    let quotas = &host.quotas;
    loop {
        let (needed, spare, granters, returned) = {
            let mut holders = quotas.holders.lock();
            let Some(holder) = holders.get_mut(tenant.as_str()) else { return };
            holder.waiters.retain(|it| !it.is_closed());
            if holder.waiters.is_empty() {
                holder.is_asking = false;
                return;
            }
            let needed = u32::try_from(holder.waiters.len()).unwrap_or(u32::MAX);
            let members = quotas.members.lock().clone();
            let granters = [QuotaRole::Owner, QuotaRole::Deputy].map(|role| {
                let granter = holder.granter(role, &tenant, &quotas.own_name, &members);
                granter.map(|it| (role, it))
            });
            let spare = holder.expected(quotas.bound.lease(limit));
            let returned = holder.grant.take().map(Grant::unused);
            (needed, spare, granters, returned.zip(holder.granted_by.map(|it| it.0)))
        };
        let request = QuotaRequest {
            tenant: tenant.clone(),
            role: QuotaRole::Owner,
            needed,
            spare,
            returned: None,
        };
        let answer = ask(&host, limit, request, granters, returned).await;
        quotas.hand_out(&host, &tenant, needed as usize, answer.as_ref());
    }
}

impl Quotas {
    /// Gives the tokens of an answer to the requests that wait. The first `needed` of them are refused if the tokens do not
    /// suffice; those that came later may ask again.
    fn hand_out(&self, host: &Arc<Host>, tenant: &str, needed: usize, answer: Option<&Answer>) {
        let now = Instant::now();
        let mut holders = self.holders.lock();
        let Some(holder) = holders.get_mut(tenant) else { return };
        let waiters = std::mem::take(&mut holder.waiters);
        let Some(&Answer { lot, granter, asked_at }) = answer else {
            waiters.into_iter().for_each(|it| _ = it.send(Err(QuotaRefusal::Unreachable)));
            return;
        };
        let mut grant = Grant::new(&lot, asked_at);
        let is_short = (lot.tokens as usize) < needed;
        for (at, waiter) in waiters.into_iter().enumerate() {
            // A token of a request that has ended is kept for the next one.
            if waiter.is_closed() {
                continue;
            }
            if grant.take(now) {
                let _ = waiter.send(Ok(()));
            } else if is_short || at < needed {
                let _ = waiter.send(Err(QuotaRefusal::Exceeded(lot.wait)));
            } else {
                holder.waiters.push(waiter);
            }
        }
        if is_short {
            holder.deny(lot.wait, now);
        }
        (holder.grant, holder.granted_by) = (Some(grant), Some((granter, now)));
        let Granter::Peer(addr) = granter else { return };
        if grant.unused().1 > 0 {
            tokio::spawn(return_unused(host.clone(), tenant.to_owned(), grant, addr));
        }
    }
}

/// Returns the unused tokens of a grant when its lease ends, unless the next request for tokens has.
async fn return_unused(host: Arc<Host>, tenant: String, grant: Grant, addr: SocketAddr) {
    sleep_until(grant.end().into()).await;
    let unused = {
        let mut holders = host.quotas.holders.lock();
        let Some(holder) = holders.get_mut(tenant.as_str()) else { return };
        let held = holder.grant.take_if(|it| it.unused().0 == grant.unused().0);
        held.map(Grant::unused)
    };
    let Some(returned) = unused.filter(|it| it.1 > 0) else { return };
    let request = QuotaRequest {
        tenant,
        role: QuotaRole::Owner,
        needed: 0,
        spare: 0,
        returned: Some(returned),
    };
    let _ = exchange(&host, addr, request).await;
}

/// Asks the owner, then the deputy. `None` if neither can be asked.
async fn ask(
    host: &Arc<Host>,
    limit: Limit,
    request: QuotaRequest,
    granters: [Option<(QuotaRole, Granter)>; 2],
    returned: Option<((u64, u32), Granter)>,
) -> Option<Answer> {
    for (role, granter) in granters.into_iter().flatten() {
        let asked_at = Instant::now();
        let returned = returned.filter(|it| it.1 == granter).map(|it| it.0);
        let request = QuotaRequest { role, returned, ..request.clone() };
        let reply = match granter {
            Granter::Own => {
                let tokens = (request.needed, 0);
                let is_leaving = host.is_leaving();
                let mut ledger = host.quotas.ledger.lock();
                let lot = ledger.grant(role, &request.tenant, limit, tokens, asked_at);
                lot.filter(|_| !is_leaving)
            }
            Granter::Peer(addr) => exchange(host, addr, request).await,
        };
        if let Some(lot) = reply {
            return Some(Answer { lot, granter, asked_at });
        }
    }
    None
}

/// Asks another relay. `None` if it is silent or does not grant.
async fn exchange(host: &Arc<Host>, addr: SocketAddr, request: QuotaRequest) -> Option<Lot> {
    let peer = host.peers.get(addr);
    if peer.is_suspended() {
        return None;
    }
    let asked = async {
        let mut conn = peer.connection().await?;
        conn.send(&Message::Quota(request)).await?;
        let reply: Reply = conn.receive().await?;
        peer.put_idle(conn);
        Ok::<_, std::io::Error>(reply)
    };
    let cause = match timeout(ANSWER_TIMEOUT + peer.round_trip(), asked).await {
        Ok(Ok(Reply::Quota(QuotaReply::Granted { id, tokens, lease_us, wait_us }))) => {
            let (lease, wait) = (Duration::from_micros(lease_us), Duration::from_micros(wait_us));
            return Some(Lot { id, tokens, lease, wait });
        }
        Ok(Ok(Reply::Quota(QuotaReply::NotReady))) => return None,
        Ok(Ok(_)) => "reply out of order".to_owned(),
        Ok(Err(err)) => err.to_string(),
        Err(_) => "quota not answered in time".to_owned(),
    };
    peer.suspend(&cause);
    None
}
