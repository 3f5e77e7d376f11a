//! `gentianpass label`: shows, sets and removes the labels of an object.

use std::io::Write;

use clap::Subcommand;
use eyre::{Result, bail};
use serde::Serialize;

use crate::{
    cmd::{
        Context, Label, change,
        output::{self, Format},
    },
    state::{Object, ObjectKind},
    wire::operator::{Edit, State},
};

/// Shows or changes the labels of an object.
///
/// Objects are written KIND/NAME, with the kinds zone, target, node, caller, kind and version (INDEX@NUMBER).
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

const EXAMPLES: &str = "\
Labels with an effect:
  zone, target, node  drain=true                 Out of service for new requests
  kind                class=quick, class=broad   Admission class; broad without a label
  kind                idempotent=false           Runs at most once; accepted by /v1/dispatch only
  version             retired=true               Not used for new queries
Other labels are matched by groups (on targets) and selectors (on callers).

Examples:
  gentianpass label get target/ld-3
  gentianpass label set target/ld-3 drain=true --diff
  gentianpass label set version/labels@41 retired=true
  gentianpass label remove target/ld-3 drain";

#[derive(Debug, Subcommand)]
enum Action {
    /// Shows the labels of an object, or one of them.
    Get {
        /// The object, such as zone/tayside-a.
        object: Object,
        /// Show only the label with this key.
        key: Option<String>,
    },
    /// Sets one label of an object.
    Set {
        /// The object, such as zone/tayside-a.
        object: Object,
        /// The label to set.
        #[arg(value_name = "KEY=VALUE")]
        label: Label,
        #[command(flatten)]
        change: change::Args,
    },
    /// Removes one label of an object.
    Remove {
        /// The object, such as zone/tayside-a.
        object: Object,
        /// The key of the label to remove.
        #[arg(value_parser = super::parse_name)]
        key: String,
        #[command(flatten)]
        change: change::Args,
    },
}

/// A label and who set it: an operator or the target itself.
#[derive(Debug, Serialize)]
struct Row {
    key: String,
    value: String,
    set_by: &'static str,
}

pub(super) async fn run<W: Write>(ctx: &mut Context<W>, args: Args) -> Result<()> {
    let state = ctx.api.state().await?;
    match args.action {
        Action::Get { object, key } => get(ctx, &state, &object, key.as_deref()),
        Action::Set { object, label, change } => {
            let edit = Edit::SetLabel { object, key: label.key, value: label.value };
            change::run(ctx, &change, &state, edit).await
        }
        Action::Remove { object, key, change } => {
            change::run(ctx, &change, &state, Edit::RemoveLabel { object, key }).await
        }
    }
}

fn get<W: Write>(
    ctx: &mut Context<W>,
    state: &State,
    object: &Object,
    key: Option<&str>,
) -> Result<()> {
    let mut rows = effective_labels(state, object);
    if let Some(key) = key {
        rows.retain(|it| it.key == key);
        if rows.is_empty() {
            bail!("{object} has no label {key:?}");
        }
    }
    if ctx.format == Format::Json {
        return output::json(&mut ctx.out, &rows);
    }
    let rows = rows.into_iter().map(|it| [it.key, it.value, it.set_by.into()]);
    output::table(&mut ctx.out, ["KEY", "VALUE", "SET BY"], rows)
}

/// The effective labels of an object, sorted by key. A label that an operator set overrides the label with the same key
/// that the target announces.
fn effective_labels(state: &State, object: &Object) -> Vec<Row> {
    let set_by_operator = state.labels.iter().find(|it| it.object == *object).map(|it| &it.labels);
    let announced = state
        .targets
        .iter()
        .find(|it| object.kind == ObjectKind::Target && it.name == object.name)
        .map(|it| &it.labels);
    let row = |set_by| {
        move |(key, value): (&String, &String)| Row {
            key: key.clone(),
            value: value.clone(),
            set_by,
        }
    };
    let mut rows: Vec<_> = set_by_operator.into_iter().flatten().map(row("operator")).collect();
    let overridden = |key: &String| set_by_operator.is_some_and(|it| it.contains_key(key));
    let announced = announced.into_iter().flatten().filter(|it| !overridden(it.0));
    rows.extend(announced.map(row("target")));
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    rows
}
