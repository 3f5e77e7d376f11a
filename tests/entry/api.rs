//! The examples and the error table of docs/API.md agree with the code.

use gentianpass::{
    error::Kind,
    event::Event,
    wire::{caller, operator, target},
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use strum::VariantArray;

const API_MD: &str = include_str!("../../docs/API.md");

/// Checks that an example parses as `T` and that `T` serializes to the same fields.
fn check_example<T: DeserializeOwned + Serialize>(example: &str) {
    let message: T = serde_json::from_str(example).unwrap_or_else(|err| panic!("{err}: {example}"));
    let shown: Value = serde_json::from_str(example).expect("json");
    assert_eq!(serde_json::to_value(&message).expect("json"), shown);
}

/// Guards against documented examples that differ from what the hosts send and accept.
#[test]
fn examples() {
    let blocks = API_MD.split("```json ").skip(1);
    let mut found = Vec::new();
    for block in blocks {
        let (name, rest) = block.split_once('\n').expect("name");
        let (example, _) = rest.split_once("```").expect("end");
        match name {
            "Query" => check_example::<caller::Query>(example),
            "Answer" => check_example::<caller::Answer>(example),
            "Dispatch" => check_example::<caller::Dispatch>(example),
            "Dispatched" => check_example::<caller::Dispatched>(example),
            "Entries" => check_example::<caller::Entries>(example),
            "Failure" => check_example::<caller::Failure>(example),
            "Announcement" => check_example::<target::Announcement>(example),
            "Announced" => check_example::<target::Announced>(example),
            "Sub" => check_example::<target::Sub>(example),
            "SubAnswer" => check_example::<target::SubAnswer>(example),
            "Refusal" => check_example::<target::Refusal>(example),
            "Run" => check_example::<target::Run>(example),
            "RunAnswer" => check_example::<target::RunAnswer>(example),
            "Cancel" => check_example::<target::Cancel>(example),
            "Health" => check_example::<target::Health>(example),
            "EntryStatus" => check_example::<operator::EntryStatus>(example),
            "State" => check_example::<operator::State>(example),
            "ChangeRequest" => check_example::<operator::ChangeRequest>(example),
            "ChangeAnswer" => check_example::<operator::ChangeAnswer>(example),
            "Events" => check_example::<Vec<Event>>(example),
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
        API_MD.split_once("| error | status | outcome |\n|---|---|---|\n").expect("table");
    let mut shown: Vec<&str> = table.lines().take_while(|it| it.starts_with('|')).collect();
    let row = |it: &Kind| format!("| `{it}` | {} | `{}` |", it.status(), it.outcome());
    let mut expected: Vec<String> = Kind::VARIANTS.iter().map(row).collect();
    shown.sort_unstable();
    expected.sort_unstable();
    assert_eq!(shown, expected);
}
