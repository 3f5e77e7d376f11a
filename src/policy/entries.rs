//! Assigns entry hosts to callers.

use std::{cmp::Reverse, net::SocketAddr};

use crate::{policy::ownership::weight, state::NodeView};

/// The most addresses that a caller gets. With three zones they are rarely all in the same one, so a caller usually has
/// an address left after the loss of a zone.
pub const MAX_ADDRESSES: usize = 4;

/// Returns the addresses of usable entry hosts for a caller, in the order in which to try them. Rendezvous hashing
/// spreads callers evenly, and a host that joins or leaves moves only the callers that it gains or loses.
pub fn addresses<'a>(
    caller: &str,
    nodes: impl IntoIterator<Item = &'a NodeView>,
) -> Vec<SocketAddr> {
    let mut usable: Vec<_> = nodes
        .into_iter()
        .filter(|it| it.usable)
        .map(|it| (Reverse(weight(caller, &it.name)), &it.name, it.http))
        .collect();
    usable.sort_unstable();
    usable.into_iter().take(MAX_ADDRESSES).map(|(_, _, http)| http).collect()
}
