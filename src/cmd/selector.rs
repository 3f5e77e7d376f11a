//! `gentianpass selector`: shows and changes which callers reach which groups.

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

/// Shows or changes which callers reach which groups.
///
/// A selector admits the callers whose labels match with some request kinds to a group. What no selector admits is
/// denied.
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
        #[arg(value_parser = super::name)]
        name: String,
        /// The group that is reached.
        #[arg(long, value_parser = super::name)]
        group: String,
        /// A request kind that is admitted.
        #[arg(long = "kind", value_name = "KIND", required = true, value_parser = super::name)]
        kinds: Vec<String>,
        /// A label that admitted callers have; all callers without one.
        #[arg(long = "caller", value_name = "KEY=VALUE")]
        callers: Vec<Label>,
        #[command(flatten)]
        change: change::Args,
    },
    /// Removes a selector.
    Remove {
        /// The name of the selector.
        #[arg(value_parser = super::name)]
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
            let callers = Match(super::labels(callers));
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
        [it.name.clone(), callers, output::list(&it.kinds), it.group.clone()]
    };
    output::table(
        &mut ctx.out,
        ["SELECTOR", "CALLERS", "KINDS", "GROUP"],
        selectors.iter().map(row),
    )
}
