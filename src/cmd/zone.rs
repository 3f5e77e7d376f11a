//! `gentianpass zone`: takes an availability zone out of service and brings it back.

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
Within 3 s after `zone out` no new work goes to targets and entry hosts of the zone; work that runs there ends
normally. After `zone in` its targets start at their warm-up limits.

Examples:
  gentianpass zone out tayside-a --diff
  gentianpass zone out tayside-a
  gentianpass zone in tayside-a";

#[derive(Debug, Subcommand)]
enum Action {
    /// Takes the zone out of service: sets its label drain=true.
    Out(Zone),
    /// Brings the zone back: removes its label drain.
    In(Zone),
}

#[derive(Debug, clap::Args)]
struct Zone {
    /// The name of the zone.
    #[arg(value_name = "ZONE", value_parser = super::name)]
    name: String,
    #[command(flatten)]
    change: change::Args,
}

pub(super) async fn run<W: Write>(ctx: &mut Context<W>, args: Args) -> Result<()> {
    let state = ctx.api.state().await?;
    let (Action::Out(zone) | Action::In(zone)) = &args.action;
    let known = zones(&state);
    if !known.contains(zone.name.as_str()) {
        bail!(
            "no host or target is in zone {:?}; the zones are {}. To label a zone before its first host starts, use \
             `gentianpass label set zone/{} drain=true`",
            zone.name,
            output::list(known),
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

/// All zones that a host or target is in or that have labels. A mistyped name would otherwise drain nothing.
pub(super) fn zones(state: &State) -> BTreeSet<&str> {
    let labelled = state.labels.iter().filter(|it| it.object.kind == ObjectKind::Zone);
    let targets = state.targets.iter().map(|it| it.zone.as_str());
    let nodes = state.nodes.iter().map(|it| it.zone.as_str());
    let members = state.members.iter().map(|it| it.zone.as_str());
    let labelled = labelled.map(|it| it.object.name.as_str());
    targets.chain(nodes).chain(members).chain(labelled).collect()
}
