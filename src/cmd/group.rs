//! `gentianpass group`: shows and changes groups of targets.

use std::io::Write;

use clap::Subcommand;
use eyre::Result;

use crate::{
    cmd::{
        Context, Label, change,
        output::{self, Format},
    },
    state::{Group, Match},
    wire::operator::Edit,
};

/// Shows or changes groups of targets.
///
/// A group serves one index with the targets whose labels match. A target belongs to it as soon as it announces such
/// labels.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

const EXAMPLES: &str = "\
Examples:
  gentianpass group list
  gentianpass group set label-designer --index labels --match service=label-designer --diff
  gentianpass group remove label-designer";

#[derive(Debug, Subcommand)]
enum Action {
    /// Lists all groups.
    List,
    /// Creates or replaces a group.
    Set {
        /// The name of the group.
        #[arg(value_parser = super::name)]
        name: String,
        /// The index whose versions the group serves.
        #[arg(long, value_parser = super::name)]
        index: String,
        /// A label that targets of the group have; all targets without one.
        #[arg(long = "match", value_name = "KEY=VALUE")]
        targets: Vec<Label>,
        #[command(flatten)]
        change: change::Args,
    },
    /// Removes a group that no selector names.
    Remove {
        /// The name of the group.
        #[arg(value_parser = super::name)]
        name: String,
        #[command(flatten)]
        change: change::Args,
    },
}

pub(super) async fn run<W: Write>(ctx: &mut Context<W>, args: Args) -> Result<()> {
    let state = ctx.api.state().await?;
    match args.action {
        Action::List => list(ctx, &state.groups),
        Action::Set { name, index, targets, change } => {
            let targets = Match(super::labels(targets));
            let edit = Edit::PutGroup(Group { name, index, targets });
            change::run(ctx, &change, &state, edit).await
        }
        Action::Remove { name, change } => {
            change::run(ctx, &change, &state, Edit::RemoveGroup { name }).await
        }
    }
}

fn list<W: Write>(ctx: &mut Context<W>, groups: &[Group]) -> Result<()> {
    if ctx.format == Format::Json {
        return output::json(&mut ctx.out, &groups);
    }
    let row = |it: &Group| [it.name.clone(), it.index.clone(), output::labels(&it.targets.0)];
    output::table(&mut ctx.out, ["GROUP", "INDEX", "MATCH"], groups.iter().map(row))
}
