//! Compares documents of operators by their content: the order of fields, spaces and the notation of numbers do not
//! count.

use serde_json::{Number, Value};
use xxhash_rust::xxh3::xxh3_64;

/// The maximum length of a description of a difference, in bytes. Names of fields come from operators.
const MAX_PATH_BYTES: usize = 200;

/// Digest of the text of a document, for logs and messages.
pub fn document_digest(document: &str) -> u64 {
    xxh3_64(document.as_bytes())
}

/// Where the contents of two JSON documents differ first, as a JSON pointer; none if they are the same. Fields that this
/// product does not use count as well. A document that is not JSON has the same content as an identical text only.
pub fn document_difference(one: &str, other: &str) -> Option<String> {
    if one == other {
        return None;
    }
    let (Ok(one), Ok(other)) = (serde_json::from_str(one), serde_json::from_str(other)) else {
        return Some("/".into());
    };
    let mut path = difference(&one, &other)?;
    path.truncate(path.floor_char_boundary(MAX_PATH_BYTES));
    Some(path)
}

/// Where two values differ first. The recursion is bounded by the depth that `serde_json` reads.
fn difference(one: &Value, other: &Value) -> Option<String> {
    match (one, other) {
        (Value::Object(one), Value::Object(other)) => {
            let both = one.iter().chain(other.iter());
            both.map(|(key, _)| (key, one.get(key), other.get(key))).find_map(|it| member(it))
        }
        (Value::Array(one), Value::Array(other)) => {
            let count = one.len().max(other.len());
            (0..count).map(|i| (i, one.get(i), other.get(i))).find_map(|it| member(it))
        }
        (Value::Number(one), Value::Number(other)) if is_same_number(one, other) => None,
        _ => (one != other).then(String::new),
    }
}

/// Where the member `key` of two objects or arrays differs first.
fn member<K: ToString>((key, one, other): (K, Option<&Value>, Option<&Value>)) -> Option<String> {
    let path = match (one, other) {
        (Some(one), Some(other)) => difference(one, other)?,
        _ => String::new(),
    };
    Some(format!("/{}{path}", key.to_string()))
}

fn is_same_number(one: &Number, other: &Number) -> bool {
    match (integer(one), integer(other)) {
        (None, None) => one.as_f64() == other.as_f64(),
        (one, other) => one == other,
    }
}

/// The exact value of a number that is an integer in any notation.
fn integer(number: &Number) -> Option<i128> {
    let exact = number.as_i64().map(i128::from).or_else(|| number.as_u64().map(i128::from));
    // Beyond 2^100 all floating-point numbers are integers; they are compared as what they are.
    let whole = |it: &f64| it.fract() == 0.0 && it.abs() < 2f64.powi(100);
    exact.or_else(|| number.as_f64().filter(whole).map(|it| it as i128))
}
