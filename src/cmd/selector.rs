//! `gentianpass selector`: lists, sets and removes selectors, which define the groups that callers may send requests to.

use std::io::Write;

use clap::Subcommand;
use eyre::Result;

use crate::{
    cmd::{
        Context, Label, change,
        output::{self, Format},
    },
    state::{Match, Selector},
    wire::operator::Edit,
};

/// Shows or changes which callers may send requests to which groups.
///
/// A selector allows the callers whose labels match to send requests of certain kinds to a group. Requests that no
/// selector admits are rejected.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

const EXAMPLES: &str = "\
Examples:
  gentianpass selector list
  gentianpass label set caller/janitor team=design
  gentianpass selector set designers --group label-designer --kind label-search --caller team=design --diff
  gentianpass selector remove designers";

#[derive(Debug, Subcommand)]
enum Action {
    /// Lists all selectors.
    List,
    /// Creates or replaces a selector.
    Set {
        /// The name of the selector.
        #[arg(value_parser = super::parse_name)]
        name: String,
        /// The group that requests may be sent to.
        #[arg(long, value_parser = super::parse_name)]
        group: String,
        /// An admitted request kind; may be repeated.
        #[arg(long = "kind", value_name = "KIND", required = true, value_parser = super::parse_name)]
        kinds: Vec<String>,
        /// A label that a caller must have to be admitted; may be repeated. Without one, all callers are admitted.
        #[arg(long = "caller", value_name = "KEY=VALUE")]
        callers: Vec<Label>,
        #[command(flatten)]
        change: change::Args,
    },
    /// Removes a selector.
    Remove {
        /// The name of the selector.
        #[arg(value_parser = super::parse_name)]
        name: String,
        #[command(flatten)]
        change: change::Args,
    },
}

pub(super) async fn run<W: Write>(ctx: &mut Context<W>, args: Args) -> Result<()> {
    let state = ctx.api.state().await?;
    match args.action {
        Action::List => list(ctx, &state.selectors),
        Action::Set { name, group, kinds, callers, change } => {
            let callers = Match(super::to_labels(callers));
            let kinds = kinds.into_iter().collect();
            let edit = Edit::PutSelector(Selector { name, callers, kinds, group });
            change::run(ctx, &change, &state, edit).await
        }
        Action::Remove { name, change } => {
            change::run(ctx, &change, &state, Edit::RemoveSelector { name }).await
        }
    }
}

fn list<W: Write>(ctx: &mut Context<W>, selectors: &[Selector]) -> Result<()> {
    if ctx.format == Format::Json {
        return output::json(&mut ctx.out, &selectors);
    }
    let row = |it: &Selector| {
        let callers = output::labels(&it.callers.0);
        [it.name.clone(), callers, output::comma_separated(&it.kinds), it.group.clone()]
    };
    output::table(
        &mut ctx.out,
        ["SELECTOR", "CALLERS", "KINDS", "GROUP"],
        selectors.iter().map(row),
    )
}
