//! What all commands that change something have in common: the effect shown first, conflicts, lost answers.

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

/// How often --force-retry builds on a newer revision before it gives up.
const MAX_FORCED_RETRIES: u32 = 5;

/// Options of the commands that change something.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Args {
    /// Shows the effect on targets, groups, shards and callers, and applies nothing.
    #[arg(long)]
    diff: bool,
    /// Applies the change only if the operator revision is still this one.
    #[arg(long, value_name = "REVISION", conflicts_with = "force_retry")]
    base: Option<Revision>,
    /// Applies the change even if another operator changed something in the meantime.
    #[arg(long)]
    force_retry: bool,
    /// Sends the change under this id, which a failed command has printed. It is applied once at most.
    #[arg(long, value_name = "UUID")]
    change_id: Option<Uuid>,
}

/// Shows the effect of a change or applies it.
pub(super) async fn run<W: Write>(
    ctx: &mut Context<W>,
    args: &Args,
    state: &State,
    edit: Edit,
) -> Result<()> {
    if args.diff {
        return show(ctx, &diff::effect(state, &edit.into())?);
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
            // The outcome of the first id is recorded as a conflict.
            id = Uuid::new_v4();
            continue;
        }
        return report(ctx, base, &answer);
    }
}

fn show<W: Write>(ctx: &mut Context<W>, effect: &Effect) -> Result<()> {
    match ctx.format {
        Format::Json => output::json(&mut ctx.out, effect),
        Format::Text => Ok(write!(ctx.out, "{effect}")?),
    }
}

fn report<W: Write>(ctx: &mut Context<W>, base: Revision, answer: &ChangeAnswer) -> Result<()> {
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
