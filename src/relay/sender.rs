//! Who sends a request: looks up the tenant that holds its key, and checks before each attempt that it still does.

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue},
};

use crate::{
    relay::{exchange::NotRunReason, host::Host, request::Query, view::RouteTable},
    route::{KeyDigest, Route, TenantKey},
    wire,
};

/// The tenant that sends a request, in the table of the request's view, and the key by which it was found.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sender {
    pub(super) tenant: TenantKey,
    pub(super) digest: KeyDigest,
}

/// What a request says of its sender.
pub(super) enum Origin<'a> {
    /// A caller has sent it, with a key in a header.
    Caller,
    /// Another relay has delegated it, and has looked up the sender.
    Relay(Option<&'a wire::relay::Sender>),
}

/// Why the routing table does not admit a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Denial {
    /// The status of the response. Other statuses than 503 are for good, so that they need a confirmed configuration.
    pub(super) status: StatusCode,
    pub(super) cause: &'static str,
}

impl Denial {
    /// No route matches.
    pub(super) fn no_route(cause: &'static str) -> Self {
        Self { status: StatusCode::NOT_FOUND, cause }
    }

    /// The request has no key that a tenant holds.
    fn key(cause: &'static str) -> Self {
        Self { status: StatusCode::UNAUTHORIZED, cause }
    }

    /// The configuration is too old to tell whether a key still holds.
    fn unconfirmed() -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, cause: "config_unconfirmed" }
    }

    /// No region may serve both the route and the tenant.
    pub(super) fn no_common_region() -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, cause: "no_common_region" }
    }
}

/// Finds the sender of a request. If the table has tenants, removes the key from the headers, and replaces what the
/// sender said of its name by the name in the table. Routes that need no key have no sender.
pub(super) fn identify(
    host: &Host,
    table: &RouteTable,
    route: &Route,
    headers: &mut HeaderMap,
    origin: &Origin<'_>,
) -> Result<Option<Sender>, Denial> {
    if table.tenants.is_empty() {
        return Ok(None);
    }
    let names = &host.cfg.headers;
    let key = sole_value(headers, &names.credential).map(|it| KeyDigest::new(it.as_bytes()));
    headers.remove(&names.credential);
    headers.remove(&names.tenant);
    if route.public {
        return Ok(None);
    }
    let digest = match origin {
        Origin::Caller => key.ok_or(Denial::key("no_key"))?,
        Origin::Relay(sender) => sender.ok_or(Denial::key("no_tenant"))?.key,
    };
    let tenant = table.tenants.find(&digest).ok_or(Denial::key("unknown_key"))?;
    let name = &table.tenants.get(tenant).name;
    if let Origin::Relay(Some(sender)) = origin
        && sender.tenant != *name
    {
        return Err(Denial::key("unknown_tenant"));
    }
    if host.may_miss_withdrawals() {
        return Err(Denial::unconfirmed());
    }
    // Names of a valid table fit into a header.
    let value = HeaderValue::from_bytes(name.as_bytes());
    headers.insert(names.tenant.clone(), value.map_err(|_| Denial::key("unknown_tenant"))?);
    Ok(Some(Sender { tenant, digest }))
}

/// The value of a header that occurs once.
fn sole_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    values.next().is_none().then_some(first)
}

impl Host {
    /// Whether a key may have been withdrawn without this host knowing, where this must not be.
    fn may_miss_withdrawals(&self) -> bool {
        self.cfg.revoke_everywhere && self.freshness.age() > self.cfg.revoke_age
    }

    /// Checks with the newest table, right before an attempt, that the tenant still holds the key of its request. A process
    /// that stood still waits for its first polls, like [`Self::ready_view`].
    pub(super) async fn check_sender(&self, query: &Query) -> Result<(), NotRunReason> {
        if query.sender().is_none() {
            return Ok(());
        }
        if !self.freshness.polls_after_pause(self.max_key_age()).await
            || self.may_miss_withdrawals()
        {
            return Err(NotRunReason::ConfigUnconfirmed);
        }
        if self.is_key_withdrawn(query) { Err(NotRunReason::KeyWithdrawn) } else { Ok(()) }
    }

    /// Whether the tenant of a request has lost its key since the request arrived. A table without tenants needs no keys.
    pub(super) fn is_key_withdrawn(&self, query: &Query) -> bool {
        let (Some(sender), Some(tenant)) = (query.sender(), query.tenant()) else { return false };
        let tenants = &self.view().table.tenants;
        let holder = tenants.find(&sender.digest).map(|it| &tenants.get(it).name);
        !tenants.is_empty() && holder != Some(&tenant.name)
    }
}
