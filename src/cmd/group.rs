//! `gentianpass group`: lists, sets and removes groups of targets.

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
/// A group serves one index with all targets whose labels match. A target becomes a member as soon as it announces
/// matching labels.
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
        #[arg(value_parser = super::parse_name)]
        name: String,
        /// The index whose versions the group serves.
        #[arg(long, value_parser = super::parse_name)]
        index: String,
        /// A label that a target must have to belong to the group; may be repeated. Without one, all targets belong to it.
        #[arg(long = "match", value_name = "KEY=VALUE")]
        targets: Vec<Label>,
        #[command(flatten)]
        change: change::Args,
    },
    /// Removes a group. Rejected while a selector names it.
    Remove {
        /// The name of the group.
        #[arg(value_parser = super::parse_name)]
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
            let targets = Match(super::to_labels(targets));
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
