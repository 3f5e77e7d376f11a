//! The list of entry hosts that a caller may use.

use crate::{
    entry::{host::Host, owners::Owners},
    error::Result,
    policy::entries,
    wire::caller::Entries,
};

/// The addresses for this caller, and how long it may use them.
pub(super) fn run<O: Owners>(host: &Host<O>, caller: &str) -> Result<Entries> {
    host.check_lease()?;
    let view = host.view();
    let addresses = entries::addresses(caller, view.nodes().map(|(_, it)| it));
    Ok(Entries { ttl_ms: host.context.cfg.entries_ttl_ms, addresses })
}
