//! Known index versions: their layout, and their removal once newer ones are complete.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    error::{Error, Kind},
    state::{Config, Holding, check_name},
};

impl Config {
    /// Checks that each shard number is less than the number of shards, and that the latter agrees with the known
    /// version.
    pub(super) fn check_holdings(&self, holdings: &[Holding]) -> Result<(), Error> {
        for holding in holdings {
            check_name(&holding.index)?;
            if holding.shard >= holding.shards {
                let message = format!(
                    "shard {} does not exist in a version with {} shards",
                    holding.shard, holding.shards
                );
                return Err(Error::new(Kind::BadRequest, message));
            }
            let key = (holding.index.clone(), holding.version);
            let known = self.versions.get(&key).map_or(holding.shards, |it| it.shards);
            if known != holding.shards {
                let message = format!(
                    "{}@{} has {known} shards, not {}",
                    holding.index, holding.version, holding.shards
                );
                return Err(Error::new(Kind::BadRequest, message));
            }
        }
        Ok(())
    }

    /// Removes each version that no target holds, if a newer version of the same index is complete, that is, targets
    /// hold all its shards. Without a complete newer version, a version that no target holds stays known, so that its
    /// lost shards are reported as missing.
    pub(super) fn remove_superseded_versions(&mut self) {
        let mut held_shards: BTreeMap<(&str, u64), BTreeSet<u32>> = BTreeMap::new();
        for holding in self.targets.values().flat_map(|it| &it.holdings) {
            held_shards.entry((&holding.index, holding.version)).or_default().insert(holding.shard);
        }
        let superseded = |index: &str, version: u64| {
            self.versions
                .iter()
                .filter(|((name, number), _)| name == index && *number > version)
                .any(|((name, number), layout)| {
                    let shards =
                        held_shards.get(&(name.as_str(), *number)).map_or(0, BTreeSet::len);
                    shards == layout.shards as usize
                })
        };
        let old: Vec<_> = self
            .versions
            .keys()
            .filter(|(index, version)| {
                !held_shards.contains_key(&(index.as_str(), *version))
                    && superseded(index, *version)
            })
            .cloned()
            .collect();
        for key in old {
            self.versions.remove(&key);
        }
    }
}
