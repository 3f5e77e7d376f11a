//! `gentianpass status`: shows control hosts, zones, groups, entry hosts, targets and requests suspected of crashing
//! targets.
//!
//! The control state gives the members, versions and owners; the load of each target comes from the status of the entry
//! hosts.

use std::{collections::BTreeMap, io::Write, net::SocketAddr};

use eyre::{Result, bail};
use futures::{StreamExt, stream};
use serde::Serialize;

use crate::{
    cmd::{
        Context, diff,
        explain::MAX_CONCURRENT_HOSTS,
        output::{self, Format},
        zone,
    },
    state::{DRAIN_LABEL, Node, Object, ObjectKind, Revision, TargetView, VersionView, View},
    wire::operator::{EntryStatus, Member, OwnedTarget, State, SuspectState},
};

/// Shows control hosts, zones, groups, entry hosts and targets.
///
/// If an entry host does not answer, shows everything else and then fails.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Show only the targets of this zone; the other tables stay complete.
    #[arg(long, value_name = "ZONE", value_parser = super::parse_name)]
    zone: Option<String>,
}

#[derive(Debug, Serialize)]
struct Report {
    revision: Revision,
    operator_revision: Revision,
    members: Vec<Member>,
    zones: Vec<ZoneRow>,
    groups: Vec<VersionRow>,
    entry_hosts: Vec<NodeRow>,
    targets: Vec<TargetRow>,
    suspects: Vec<SuspectState>,
}

/// A zone and the number of its entry hosts and targets.
#[derive(Debug, Serialize)]
struct ZoneRow {
    zone: String,
    drained: bool,
    entry_hosts: usize,
    targets: usize,
    usable_targets: usize,
}

/// A version of the index of a group, or a group whose index has no version yet.
#[derive(Debug, Serialize)]
struct VersionRow {
    group: String,
    index: String,
    version: Option<u64>,
    /// Whether new queries use this version.
    pinned: bool,
    retired: bool,
    shards: usize,
    /// The number of shards that at least one target holds.
    held: usize,
    /// The number of shards that at least one usable target holds.
    usable: usize,
}

#[derive(Debug, Serialize)]
struct NodeRow {
    name: String,
    zone: String,
    http: SocketAddr,
    usable: bool,
    status: Option<EntryStatus>,
    /// Why there is no status.
    error: Option<String>,
}

#[derive(Debug, Serialize)]
struct TargetRow {
    name: String,
    zone: String,
    usable: bool,
    owner: Option<String>,
    /// The entry host that reports the target as its own: the owner or, during a handover, the previous owner.
    held_by: Option<String>,
    /// The load that this host reports.
    load: Option<OwnedTarget>,
}

pub(super) async fn run<W: Write>(ctx: &mut Context<W>, args: &Args) -> Result<()> {
    let state = ctx.api.state().await?;
    let view = View::build(&diff::config_from_state(&state));
    let entry_hosts = fetch_node_rows(ctx, &state.nodes, &view).await;
    let mut targets = target_rows(&view, &entry_hosts);
    targets.retain(|it| args.zone.as_ref().is_none_or(|zone| it.zone == *zone));
    let report = Report {
        revision: state.revision,
        operator_revision: state.operator_revision,
        zones: zone_rows(&state, &view),
        groups: state.groups.iter().flat_map(|it| version_rows(&view, &it.name)).collect(),
        entry_hosts,
        targets,
        members: state.members,
        suspects: state.suspects,
    };
    match ctx.format {
        Format::Json => output::json(&mut ctx.out, &report)?,
        Format::Text => print(&mut ctx.out, &report)?,
    }
    let errors = report.entry_hosts.iter().filter_map(|it| it.error.as_ref());
    let failed: Vec<_> = errors.collect();
    if !failed.is_empty() {
        let all = report.entry_hosts.len();
        bail!(
            "{} of {all} entry hosts did not answer: {}",
            failed.len(),
            output::comma_separated(failed)
        );
    }
    Ok(())
}

async fn fetch_node_rows<W: Write>(ctx: &Context<W>, nodes: &[Node], view: &View) -> Vec<NodeRow> {
    let api = &ctx.api;
    let rows = nodes.iter().map(|node| async move {
        let (status, error) = match api.entry_status(node.http).await {
            Ok(status) => (Some(status), None),
            Err(err) => (None, Some(format!("{err:#}"))),
        };
        NodeRow {
            name: node.name.clone(),
            zone: node.zone.clone(),
            http: node.http,
            usable: view.nodes().any(|(_, it)| it.name == node.name && it.usable),
            status,
            error,
        }
    });
    stream::iter(rows).buffered(MAX_CONCURRENT_HOSTS).collect().await
}

fn zone_rows(state: &State, view: &View) -> Vec<ZoneRow> {
    let row = |zone: &str| {
        let object = Object::new(ObjectKind::Zone, zone);
        let labels = state.labels.iter().find(|it| it.object == object);
        let targets = || view.targets().filter(|(_, it)| it.zone == zone);
        ZoneRow {
            zone: zone.to_owned(),
            drained: labels
                .is_some_and(|it| it.labels.get(DRAIN_LABEL).is_some_and(|it| it == "true")),
            entry_hosts: view.nodes().filter(|(_, it)| it.zone == zone).count(),
            targets: targets().count(),
            usable_targets: targets().filter(|(_, it)| it.usable).count(),
        }
    };
    zone::known_zones(state).into_iter().map(row).collect()
}

fn version_rows(view: &View, name: &str) -> Vec<VersionRow> {
    let Some(group) = view.group(name) else { return Vec::new() };
    let pinned = diff::coverage(view, group).map(|it| it.version);
    let empty = VersionRow {
        group: group.name.clone(),
        index: group.index.clone(),
        version: None,
        pinned: false,
        retired: false,
        shards: 0,
        held: 0,
        usable: 0,
    };
    if group.versions.is_empty() {
        return vec![empty];
    }
    let row = |it: &VersionView| VersionRow {
        group: group.name.clone(),
        index: group.index.clone(),
        version: Some(it.number),
        pinned: pinned == Some(it.number),
        retired: it.retired,
        shards: it.shards.len(),
        held: it.shards.iter().filter(|it| !it.is_empty()).count(),
        usable: diff::usable_shards(view, it).count(),
    };
    group.versions.iter().map(row).collect()
}

fn target_rows(view: &View, nodes: &[NodeRow]) -> Vec<TargetRow> {
    let mut reports_by_target: BTreeMap<&str, Vec<(&str, &OwnedTarget)>> = BTreeMap::new();
    for node in nodes {
        for target in node.status.iter().flat_map(|it| &it.targets) {
            reports_by_target.entry(&target.name).or_default().push((&node.name, target));
        }
    }
    let row = |target: &TargetView| {
        let owner = target.owner.map(|it| view.node(it).name.clone());
        let reports = reports_by_target.get(target.name.as_str()).map_or(&[][..], |it| it);
        let from_owner = reports.iter().find(|it| Some(it.0) == owner.as_deref());
        let report = from_owner.or_else(|| reports.first());
        TargetRow {
            name: target.name.clone(),
            zone: target.zone.clone(),
            usable: target.usable,
            held_by: report.map(|it| it.0.to_owned()),
            load: report.map(|it| it.1.clone()),
            owner,
        }
    };
    view.targets().map(|(_, it)| row(it)).collect()
}

fn print(out: &mut impl Write, report: &Report) -> Result<()> {
    writeln!(
        out,
        "revision {}, operator revision {}\n",
        report.revision, report.operator_revision
    )?;
    let members = report.members.iter();
    let row = |it: &Member| [it.name.clone(), it.zone.clone(), it.role.clone(), it.rpc.to_string()];
    output::table(out, ["CONTROL HOST", "ZONE", "ROLE", "RPC"], members.map(row))?;
    print_zones(out, &report.zones)?;
    print_groups(out, &report.groups)?;
    print_nodes(out, &report.entry_hosts)?;
    print_targets(out, &report.targets)?;
    if report.suspects.is_empty() {
        return Ok(());
    }
    let state = |it: &SuspectState| if it.quarantined { "blocked" } else { "suspected" };
    let row = |it: &SuspectState| {
        [format!("{:016x}", it.fingerprint), state(it).into(), output::comma_separated(&it.targets)]
    };
    output::table(
        out,
        ["REQUEST FINGERPRINT", "STATE", "CRASHED TARGETS"],
        report.suspects.iter().map(row),
    )
}

fn print_zones(out: &mut impl Write, zones: &[ZoneRow]) -> Result<()> {
    let row = |it: &ZoneRow| {
        [
            it.zone.clone(),
            if it.drained { "drained" } else { "in service" }.into(),
            it.entry_hosts.to_string(),
            format!("{} of {}", it.usable_targets, it.targets),
        ]
    };
    output::table(out, ["ZONE", "STATE", "ENTRY HOSTS", "USABLE TARGETS"], zones.iter().map(row))
}

fn print_groups(out: &mut impl Write, groups: &[VersionRow]) -> Result<()> {
    let state = |it: &VersionRow| match it {
        VersionRow { version: None, .. } => "no targets",
        VersionRow { retired: true, .. } => "retired",
        VersionRow { pinned: false, .. } => "not in use",
        VersionRow { usable, shards, .. } if usable == shards => "complete",
        _ => "INCOMPLETE",
    };
    let row = |it: &VersionRow| {
        [
            it.group.clone(),
            it.index.clone(),
            it.version.map_or("-".into(), |it| it.to_string()),
            state(it).into(),
            format!("{} of {}", it.held, it.shards),
            format!("{} of {}", it.usable, it.shards),
        ]
    };
    let heading = ["GROUP", "INDEX", "VERSION", "STATE", "SHARDS HELD", "SHARDS USABLE"];
    output::table(out, heading, groups.iter().map(row))
}

fn print_nodes(out: &mut impl Write, nodes: &[NodeRow]) -> Result<()> {
    let state = |it: &NodeRow| match &it.status {
        None => "NO ANSWER",
        Some(status) if status.leaving => "leaving",
        Some(_) if !it.usable => "drained",
        Some(status) if status.lease_left_ms == 0 => "NO LEASE",
        Some(_) => "serving",
    };
    let row = |it: &NodeRow| {
        let cell = |value: Option<String>| value.unwrap_or_else(|| "-".into());
        let status = it.status.as_ref();
        [
            it.name.clone(),
            it.zone.clone(),
            it.http.to_string(),
            state(it).into(),
            cell(status.map(|it| it.lease_left_ms.to_string())),
            cell(status.map(|it| it.revision.to_string())),
            cell(status.map(|it| it.targets.len().to_string())),
        ]
    };
    let heading = ["ENTRY HOST", "ZONE", "HTTP", "STATE", "LEASE MS", "REVISION", "OWNED TARGETS"];
    output::table(out, heading, nodes.iter().map(row))
}

fn print_targets(out: &mut impl Write, targets: &[TargetRow]) -> Result<()> {
    let state = |it: &TargetRow| match &it.load {
        Some(OwnedTarget { closed: Some(reason), .. }) => reason.clone(),
        _ if !it.usable => "drained".into(),
        Some(_) => "in use".into(),
        None => "no owner yet".into(),
    };
    let owner = |it: &TargetRow| {
        let owner = it.owner.as_deref().unwrap_or("-");
        match it.held_by.as_deref() {
            Some(held_by) if held_by != owner => format!("{held_by} -> {owner}"),
            _ => owner.to_owned(),
        }
    };
    let row = |it: &TargetRow| {
        let cell = |value: fn(&OwnedTarget) -> String| it.load.as_ref().map_or("-".into(), value);
        [
            it.name.clone(),
            it.zone.clone(),
            state(it),
            owner(it),
            cell(|it| format!("{} of {}", it.limit, it.slots)),
            cell(|it| it.in_flight.to_string()),
            cell(|it| it.queued.to_string()),
            cell(|it| it.connections.to_string()),
        ]
    };
    let heading =
        ["TARGET", "ZONE", "STATE", "OWNER", "LIMIT", "IN FLIGHT", "QUEUED", "CONNECTIONS"];
    output::table(out, heading, targets.iter().map(row))
}
