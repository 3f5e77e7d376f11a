//! Messages between relays. A relay that gathers the results of several shards delegates shards that are far away to a
//! relay close to their targets, which merges their results.
//!
//! A connection carries one delegated request at a time. Closing the connection cancels the request.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    route::KeyDigest,
    state::Revision,
    wire::control::{ProcessId, Update},
};

/// A message from the delegating relay to the delegate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A health check, to which the delegate replies with [`Reply::Accepted`] at once.
    Ping,
    /// Asks the delegate to query some shards of a request.
    Delegate(Box<Delegation>),
    /// The caller has its response. The connection is closed next, but requests that are running at targets are not
    /// cancelled.
    Detach,
    /// Like `Delegate`, for the request of a tenant. Appended, because the position of a variant is part of the encoding; a
    /// relay of a release without tenants closes the connection.
    DelegateFor(Sender, Box<Delegation>),
    /// Asks the owner or the deputy of a tenant for tokens, or returns some. The reply is [`Reply::Quota`].
    Quota(QuotaRequest),
    /// Compares configurations. The reply is [`Reply::Standing`]. A relay of an earlier release closes the connection.
    Compare(Standing),
    /// Asks for the configuration if it is newer than this revision. The reply is [`Reply::Config`].
    Fetch(Revision),
}

/// The configuration by which a relay serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The name of the relay.
    pub name: String,
    /// The revision of its configuration.
    pub revision: Revision,
    /// The digest of its configuration.
    pub digest: u64,
    /// The time since control hosts confirmed that there was nothing newer, in microseconds; `None` if they never did.
    pub age_us: Option<u64>,
    /// The time since that answer of the control hosts arrived, in microseconds. The age counts from the poll, which may have
    /// waited for the revision.
    pub heard_us: Option<u64>,
    /// For how long it has known of a newer revision, in microseconds.
    pub behind_us: u64,
}

/// The part of a relay in the quota of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaRole {
    /// Has the bucket.
    Owner,
    /// Has a reserve for the time in which the owner does not answer.
    Deputy,
}

/// A request for tokens of a tenant's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The name of the tenant.
    pub tenant: String,
    /// The role in which the relay is asked. It refuses if it does not have that role.
    pub role: QuotaRole,
    /// Tokens for requests that wait.
    pub needed: u32,
    /// Further tokens that are expected to be used during the lease.
    pub spare: u32,
    /// An earlier grant of this relay, and how many of its tokens will not be used.
    pub returned: Option<(u64, u32)>,
}

/// The answer to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaReply {
    /// The relay has the role. Fewer tokens than needed may be granted, also none.
    Granted {
        /// Identifies the grant.
        id: u64,
        /// The number of tokens.
        tokens: u32,
        /// How long they may be used, from the moment they were asked for, in microseconds.
        lease_us: u64,
        /// The time until a further token is expected, in microseconds.
        wait_us: u64,
    },
    /// The relay does not have the role, cannot be sure of it, or does not know a limit of the tenant.
    NotReady,
}

/// The tenant that sends a request. The delegate accepts it only if the tenant holds the key in its table as well.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The name of the tenant.
    pub tenant: String,
    /// The digest of its key, by which the delegate notices that the key is withdrawn.
    pub key: KeyDigest,
}

/// A request, and the shards of it that the delegate should query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegation {
    /// The version of the route table that `shards` refers to. A delegate with another version refuses.
    pub version: u64,
    /// Indices of the shards in the route's list of services.
    pub shards: Vec<u16>,
    /// The time after which the delegate sends the results that it has, and then each further one as it arrives, in
    /// microseconds.
    pub partial_after_us: u64,
    /// The method of the caller's request.
    pub method: String,
    /// The path and query string of the caller's request.
    pub uri: String,
    /// The headers of the caller's request. The deadline header holds the remaining time.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body of the caller's request.
    pub body: Vec<u8>,
}

/// A message from the delegate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The reply to a ping, and the first reply to a delegation that the delegate accepts.
    Accepted,
    /// The delegate does not accept the delegation and has sent nothing to a target. The cause is for the log.
    Refused(String),
    /// The shards that have completed or failed since the previous reply.
    Progress(Progress),
    /// The answer to a request for tokens.
    Quota(QuotaReply),
    /// The answer to a comparison.
    Standing(Standing),
    /// The whole configuration, or no changes if it is not newer.
    Config(Update),
}

/// The results of shards that have completed or failed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The targets' signatures of their responses, one for each shard that completed.
    pub signatures: Vec<Vec<u8>>,
    /// The greatest records of these responses, merged.
    pub records: Bytes,
    /// The shards that failed.
    pub failed: Vec<FailedShard>,
    /// The targets that say in these responses that they are leaving.
    pub leaving: Vec<ProcessId>,
}

impl Progress {
    /// The number of shards that have completed or failed.
    pub fn ended(&self) -> usize {
        self.signatures.len() + self.failed.len()
    }
}

/// The failure of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedShard {
    /// Whether a target may have executed the request.
    pub may_have_run: bool,
    /// The cause, for the log.
    pub cause: String,
}
