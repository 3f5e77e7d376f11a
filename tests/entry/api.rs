//! The examples and the error table of docs/API.md agree with the code.

use gentianpass::{
    error::Kind,
    event::Event,
    wire::{caller, operator, target},
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use strum::VariantArray;

const PAGE: &str = include_str!("../../docs/API.md");

/// Checks that an example parses as `T` and that `T` serializes to the same fields.
fn same<T: DeserializeOwned + Serialize>(example: &str) {
    let message: T = serde_json::from_str(example).unwrap_or_else(|err| panic!("{err}: {example}"));
    let shown: Value = serde_json::from_str(example).expect("json");
    assert_eq!(serde_json::to_value(&message).expect("json"), shown);
}

/// Guards against documented examples that differ from what the hosts send and accept.
#[test]
fn examples() {
    let blocks = PAGE.split("```json ").skip(1);
    let mut found = Vec::new();
    for block in blocks {
        let (name, rest) = block.split_once('\n').expect("name");
        let (example, _) = rest.split_once("```").expect("end");
        match name {
            "Query" => same::<caller::Query>(example),
            "Answer" => same::<caller::Answer>(example),
            "Dispatch" => same::<caller::Dispatch>(example),
            "Dispatched" => same::<caller::Dispatched>(example),
            "Entries" => same::<caller::Entries>(example),
            "Failure" => same::<caller::Failure>(example),
            "Announcement" => same::<target::Announcement>(example),
            "Announced" => same::<target::Announced>(example),
            "Sub" => same::<target::Sub>(example),
            "SubAnswer" => same::<target::SubAnswer>(example),
            "Refusal" => same::<target::Refusal>(example),
            "Run" => same::<target::Run>(example),
            "RunAnswer" => same::<target::RunAnswer>(example),
            "Cancel" => same::<target::Cancel>(example),
            "Health" => same::<target::Health>(example),
            "EntryStatus" => same::<operator::EntryStatus>(example),
            "State" => same::<operator::State>(example),
            "ChangeRequest" => same::<operator::ChangeRequest>(example),
            "ChangeAnswer" => same::<operator::ChangeAnswer>(example),
            "Events" => same::<Vec<Event>>(example),
            other => panic!("unknown message {other}"),
        }
        found.push(name);
    }
    found.dedup();
    assert_eq!(found.len(), 20, "{found:?}");
}

/// Guards against an error kind that is not documented, or with another status or outcome.
#[test]
fn error_table() {
    let (_, table) =
        PAGE.split_once("| error | status | outcome |\n|---|---|---|\n").expect("table");
    let mut shown: Vec<&str> = table.lines().take_while(|it| it.starts_with('|')).collect();
    let row = |it: &Kind| format!("| `{it}` | {} | `{}` |", it.status(), it.outcome());
    let mut expected: Vec<String> = Kind::VARIANTS.iter().map(row).collect();
    shown.sort_unstable();
    expected.sort_unstable();
    assert_eq!(shown, expected);
}
