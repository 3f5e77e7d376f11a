//! Comparison of operators' documents by their content.

use gentianpass::{
    error::Kind,
    route::{Table, document_difference},
    state::{Change, Config},
};

const DOCUMENT: &str =
    r#"{"version":7,"routes":[{"name":"r","share":0.25,"max":1000}],"note":null}"#;

#[test]
fn document_difference_form() {
    let cases = [
        ("spaces", DOCUMENT.replace(',', " ,\n\t")),
        (
            "order of fields",
            r#"{"note":null,"routes":[{"max":1000,"share":0.25,"name":"r"}],"version":7}"#.into(),
        ),
        ("fraction", DOCUMENT.replace(":7,", ":7.0,")),
        ("exponent", DOCUMENT.replace("1000", "1e3")),
        ("share", DOCUMENT.replace("0.25", "25e-2")),
        ("escape", DOCUMENT.replace("\"r\"", "\"\\u0072\"")),
    ];
    for (case, other) in cases {
        assert_ne!(other, DOCUMENT, "{case}");
        assert_eq!(document_difference(DOCUMENT, &other), None, "{case}");
        assert_eq!(document_difference(&other, DOCUMENT), None, "{case}");
    }
}

#[test]
fn document_difference_content() {
    let cases = [
        ("/routes/0/max", DOCUMENT.replace("1000", "1000.5")),
        ("/routes/0/share", DOCUMENT.replace("0.25", "\"0.25\"")),
        ("/routes/1", DOCUMENT.replace("}]", "},{}]")),
        ("/note", DOCUMENT.replace(",\"note\":null", "")),
        ("/extra", DOCUMENT.replace("{\"version\"", "{\"extra\":1,\"version\"")),
        ("/", DOCUMENT[..9].to_owned()),
    ];
    for (path, other) in cases {
        assert_eq!(document_difference(DOCUMENT, &other).as_deref(), Some(path));
        assert_eq!(document_difference(&other, DOCUMENT).as_deref(), Some(path));
    }
    let order = document_difference("[1,2]", "[2,1]");
    assert_eq!(order.as_deref(), Some("/0"), "the order of elements counts");
}

/// Guards against two integers that are taken for the same one because both are converted to floating-point numbers.
#[test]
fn document_difference_large_integers() {
    let compare = |one: &str, other: &str| document_difference(one, other).is_none();
    assert!(!compare("9007199254740993", "9007199254740992"));
    assert!(!compare("9007199254740993", "9007199254740992.0"));
    assert!(compare("9007199254740992", "9007199254740992.0"));
    assert!(!compare("18446744073709551615", "-1"));
    assert!(compare("0", "-0.0"));
    assert!(!compare("1e300", "1e301"));
}

/// Guards against a log line of the length of a document: names of fields are the operator's.
#[test]
fn document_difference_bounded() {
    let document = format!("{{\"{}\":1}}", "ä".repeat(10_000));
    let path = document_difference(&document, "{}").expect("different");
    assert!(path.len() <= 200, "{} bytes", path.len());
}

/// Guards against an order that is refused because it arrives again in another form, and against a document that is read
/// back in another form than the first one.
#[test]
fn put_routes_other_form() {
    let mut config = Config::default();
    let table = |document: &str| {
        let document = document.to_owned();
        Change::PutRoutes(Box::new(Table { version: 7, document, ..Table::default() }))
    };
    config.apply(&table(DOCUMENT), 0).expect("accepted");
    let before = config.clone();
    config.apply(&table(&DOCUMENT.replace(',', " , ")), 0).expect("acknowledged again");
    assert_eq!(config, before, "nothing changes");
    let other = config.apply(&table(&DOCUMENT.replace("0.25", "0.5")), 0).expect_err("refused");
    assert_eq!(other.kind, Kind::Conflict);
    assert!(other.message.contains("differs_at=/routes/0/share"), "{}", other.message);
    assert_eq!(config, before, "nothing changes");
}
