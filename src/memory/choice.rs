//! Decides what is released when the requests of a process hold too much.

use std::{cmp::Reverse, collections::HashMap, net::IpAddr};

use strum::IntoStaticStr;

/// Why bytes are held.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// The body of a request is being received. The request has not run.
    Unfinished,
    /// The request may run.
    Complete,
    /// The caller has not taken the response.
    Untaken,
}

/// Something that is held.
#[derive(Clone, Copy, Debug)]
pub struct Holding<K> {
    /// Identifies it.
    pub key: K,
    /// For whom it is held.
    pub caller: IpAddr,
    /// Increases from one to the next.
    pub order: u64,
    /// Why it is held.
    pub stage: Stage,
    /// How much is held.
    pub bytes: usize,
}

/// The position of what must be released first: the newest unfinished body of the caller that holds most, or its oldest
/// response that was not taken. Complete requests are never chosen, and do not count towards what a caller holds: their
/// number is bounded by what targets take. None if there is nothing to choose.
pub fn choose<K>(holdings: &[Holding<K>]) -> Option<usize> {
    let candidates = || holdings.iter().enumerate().filter(|(_, it)| it.stage != Stage::Complete);
    let mut by_caller = HashMap::<IpAddr, usize>::new();
    for (_, it) in candidates() {
        *by_caller.entry(it.caller).or_default() += it.bytes;
    }
    let (largest, _) = by_caller.into_iter().max_by_key(|(caller, bytes)| (*bytes, *caller))?;
    let own = || candidates().filter(|(_, it)| it.caller == largest);
    let unfinished = own().filter(|(_, it)| it.stage == Stage::Unfinished);
    let newest = unfinished.max_by_key(|(_, it)| it.order);
    newest.or_else(|| own().max_by_key(|(_, it)| Reverse(it.order))).map(|(at, _)| at)
}
