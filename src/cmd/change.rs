//! Shared by all commands that change the control state: the preview with `--diff`, conflicts with changes of other
//! operators, and retries after a lost answer.
//!
//! A change carries the operator revision that it builds on and is rejected as a conflict if another operator's change
//! came first. It also carries an id, under which its outcome is recorded, so that a repeated change is applied once.

use std::io::Write;

use eyre::{Result, bail};
use uuid::Uuid;

use crate::{
    cmd::{
        Context,
        diff::{self, Effect},
        output::{self, Format},
    },
    error::Kind,
    state::Revision,
    wire::operator::{ChangeAnswer, ChangeRequest, Edit, State},
};

/// Maximum number of retries on a newer revision with `--force-retry`.
const MAX_FORCED_RETRIES: u32 = 5;

/// Options of the commands that change the control state.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Args {
    /// Shows the effect on targets, groups, shards and callers without applying the change.
    #[arg(long)]
    diff: bool,
    /// Applies the change only if the operator revision is still this one.
    #[arg(long, value_name = "REVISION", conflicts_with = "force_retry")]
    base: Option<Revision>,
    /// Applies the change even if another operator changed something in the meantime: retries it on the newer revision.
    #[arg(long)]
    force_retry: bool,
    /// Sends the change under this id, which an earlier failed command printed, so that it is applied at most once.
    #[arg(long, value_name = "UUID")]
    change_id: Option<Uuid>,
}

/// Prints the effect of a change (`--diff`) or applies the change and prints the outcome.
pub(super) async fn run<W: Write>(
    ctx: &mut Context<W>,
    args: &Args,
    state: &State,
    edit: Edit,
) -> Result<()> {
    if args.diff {
        return print_effect(ctx, &diff::effect(state, &edit.into())?);
    }
    let mut base = args.base.unwrap_or(state.operator_revision);
    let mut retries = if args.force_retry { MAX_FORCED_RETRIES } else { 0 };
    let mut id = args.change_id.unwrap_or_else(Uuid::new_v4);
    loop {
        let request = ChangeRequest { id: id.to_string(), base, edit: edit.clone() };
        let answer = ctx.api.change(&request).await?;
        if answer.error == Some(Kind::Conflict) && retries > 0 {
            retries -= 1;
            base = answer.operator_revision;
            // The control hosts have recorded a conflict as the outcome of the first id and would return it again.
            id = Uuid::new_v4();
            continue;
        }
        return print_answer(ctx, base, &answer);
    }
}

fn print_effect<W: Write>(ctx: &mut Context<W>, effect: &Effect) -> Result<()> {
    match ctx.format {
        Format::Json => output::json(&mut ctx.out, effect),
        Format::Text => Ok(write!(ctx.out, "{effect}")?),
    }
}

/// Prints the outcome of a change. Fails if the change was not applied.
fn print_answer<W: Write>(
    ctx: &mut Context<W>,
    base: Revision,
    answer: &ChangeAnswer,
) -> Result<()> {
    if ctx.format == Format::Json {
        output::json(&mut ctx.out, answer)?;
    }
    match answer.error {
        None => {
            if ctx.format == Format::Text {
                writeln!(ctx.out, "applied at revision {}", answer.revision)?;
            }
            Ok(())
        }
        Some(Kind::Conflict) => bail!(
            "conflict: the operator revision is {}, the change builds on {base}; nothing was applied. \
             Look at the state and run the command again, or add --force-retry",
            answer.operator_revision
        ),
        Some(kind) => bail!("{kind}: {}; nothing was applied", answer.message),
    }
}
