//! Chooses the replica of a shard for the next sub-request.

use crate::{
    entry::{host::ActiveConfig, shard::Shards},
    error::Kind,
    state::{TargetKey, View},
};

impl Shards {
    /// Chooses a usable target of the shard that was not asked yet through its current owner, or says why there is
    /// none. Marks the shard as lost if no target of it is usable.
    pub(super) fn choose_target(
        &mut self,
        current: &ActiveConfig,
        group: &str,
        number: u32,
    ) -> Result<TargetKey, Kind> {
        let view = &*current.view;
        let replicas = replicas(view, group, self.version(), number);
        let usable: Vec<TargetKey> = replicas
            .iter()
            .copied()
            .filter(|it| view.target(*it).usable && view.target(*it).owner.is_some())
            .collect();
        let shard = self.get_mut(number);
        if usable.is_empty() {
            let kind = if replicas.is_empty() { Kind::NoTarget } else { Kind::Draining };
            shard.lost = true;
            return Err(shard.reason_after(kind));
        }
        let untried: Vec<TargetKey> = usable
            .into_iter()
            .filter(|it| {
                let target = view.target(*it);
                let owner = target.owner.map(|it| view.node(it).incarnation);
                !shard
                    .attempts
                    .iter()
                    .any(|it| it.target == target.name && Some(it.owner_incarnation) == owner)
            })
            .collect();
        current.pick(&untried).ok_or_else(|| shard.reason_after(Kind::NoTarget))
    }
}

/// All targets that hold a shard of an index version.
fn replicas<'a>(view: &'a View, group: &str, version: u64, number: u32) -> &'a [TargetKey] {
    let group = view.group(group);
    let version = group.and_then(|it| it.versions.iter().find(|it| it.number == version));
    let shard = version.and_then(|it| it.shards.get(number as usize));
    shard.map_or(&[], Vec::as_slice)
}
