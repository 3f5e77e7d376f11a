//! `gentianpass zone`: takes an availability zone out of service and brings it back by setting and removing its label
//! `drain`.

use std::{collections::BTreeSet, io::Write};

use clap::Subcommand;
use eyre::{Result, bail};

use crate::{
    cmd::{Context, change, output},
    state::{DRAIN_LABEL, Object, ObjectKind},
    wire::operator::{Edit, State},
};

/// Takes an availability zone out of service or brings it back.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

const EXAMPLES: &str = "\
Within 3 s after `zone out`, targets of the zone receive no new requests, and its entry hosts own no targets and are
no longer listed for callers. Requests that run there complete normally. After `zone in` its targets start at their warm-up limits.

Examples:
  gentianpass zone out tayside-a --diff
  gentianpass zone out tayside-a
  gentianpass zone in tayside-a";

#[derive(Debug, Subcommand)]
enum Action {
    /// Takes the zone out of service by setting its label drain=true.
    Out(Zone),
    /// Brings the zone back by removing its label drain.
    In(Zone),
}

#[derive(Debug, clap::Args)]
struct Zone {
    /// The name of the zone.
    #[arg(value_name = "ZONE", value_parser = super::parse_name)]
    name: String,
    #[command(flatten)]
    change: change::Args,
}

pub(super) async fn run<W: Write>(ctx: &mut Context<W>, args: Args) -> Result<()> {
    let state = ctx.api.state().await?;
    let (Action::Out(zone) | Action::In(zone)) = &args.action;
    let known_names = known_zones(&state);
    if !known_names.contains(zone.name.as_str()) {
        bail!(
            "no host or target is in zone {:?}; the zones are {}. To label a zone before its first host starts, use \
             `gentianpass label set zone/{} drain=true`",
            zone.name,
            output::comma_separated(known_names),
            zone.name
        );
    }
    let object = Object::new(ObjectKind::Zone, zone.name.clone());
    let key = DRAIN_LABEL.to_owned();
    let edit = match args.action {
        Action::Out(_) => Edit::SetLabel { object, key, value: "true".into() },
        Action::In(_) => Edit::RemoveLabel { object, key },
    };
    change::run(ctx, &zone.change, &state, edit).await
}

/// All zones that contain a host or target or that have labels. Other names are rejected, because draining a mistyped
/// name would report success without effect.
pub(super) fn known_zones(state: &State) -> BTreeSet<&str> {
    let labelled = state.labels.iter().filter(|it| it.object.kind == ObjectKind::Zone);
    let targets = state.targets.iter().map(|it| it.zone.as_str());
    let nodes = state.nodes.iter().map(|it| it.zone.as_str());
    let members = state.members.iter().map(|it| it.zone.as_str());
    let labelled = labelled.map(|it| it.object.name.as_str());
    targets.chain(nodes).chain(members).chain(labelled).collect()
}
