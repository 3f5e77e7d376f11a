//! Output of the operators' command: tables with aligned columns, or JSON.

use std::{fmt::Display, io::Write};

use eyre::Result;
use serde::Serialize;
use tabwriter::TabWriter;

use crate::state::Labels;

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Format {
    /// Tables and sentences, for people.
    Text,
    /// JSON, for programs (`--json`).
    Json,
}

/// Writes a value as indented JSON, followed by a line break.
pub(super) fn json(out: &mut impl Write, value: &impl Serialize) -> Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)?;
    Ok(())
}

/// Writes a heading and rows in aligned columns, followed by an empty line.
pub(super) fn table<const N: usize>(
    out: &mut impl Write,
    heading: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> Result<()> {
    let mut columns = TabWriter::new(Vec::new());
    writeln!(columns, "{}", heading.join("\t"))?;
    for row in rows {
        writeln!(columns, "{}", row.join("\t"))?;
    }
    let text = columns.into_inner().map_err(|err| eyre::eyre!("{err}"))?;
    // Empty cells at the end of a row are padded with blanks.
    for line in String::from_utf8(text)?.lines() {
        writeln!(out, "{}", line.trim_end())?;
    }
    writeln!(out)?;
    Ok(())
}

/// Labels as on the command line (`KEY=VALUE`), separated by commas; a dash if there are none.
pub(super) fn labels(labels: &Labels) -> String {
    comma_separated(labels.iter().map(|(key, value)| format!("{key}={value}")))
}

/// Values separated by commas; a dash if there are none.
pub(super) fn comma_separated(values: impl IntoIterator<Item = impl Display>) -> String {
    let values: Vec<_> = values.into_iter().map(|it| it.to_string()).collect();
    if values.is_empty() { "-".into() } else { values.join(", ") }
}
