//! Labels, label matches, and the objects that can be labelled.

use std::{collections::BTreeMap, fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

use crate::error::{Error, Kind};

/// Maximum length of a name, label key or label value, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Label of a zone, entry host or target that gets no new work while the value is `true`.
pub const DRAIN_LABEL: &str = "drain";

/// Label of a target with the name of the service that it belongs to.
pub const SERVICE_LABEL: &str = "service";

/// Label of a target with its software version. Targets without it have an unknown version.
pub const SOFTWARE_LABEL: &str = "software";

/// Labels of one object, by key.
pub type Labels = BTreeMap<String, String>;

/// Checks that a name, label key or label value has 1 to [`MAX_NAME_BYTES`] bytes and only ASCII letters, digits and
/// `-_.:@`.
pub fn check_name(name: &str) -> Result<(), Error> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        let message = format!("a name must have 1 to {MAX_NAME_BYTES} bytes, got {}", name.len());
        return Err(Error::new(Kind::BadRequest, message));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:@".contains(c);
    if let Some(c) = name.chars().find(|&c| !allowed(c)) {
        let message = format!("{c:?} is not allowed in the name {name:?}");
        return Err(Error::new(Kind::BadRequest, message));
    }
    Ok(())
}

/// A match on labels: every listed label must have the listed value. An empty match matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Match(pub Labels);

impl Match {
    /// Whether `labels` contain every key of the match with the same value.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.0.iter().all(|(key, value)| labels.get(key) == Some(value))
    }
}

/// Kinds of objects that can be labelled.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ObjectKind {
    /// An availability zone.
    Zone,
    /// A target, which runs requests.
    Target,
    /// An entry host.
    Node,
    /// A caller, which sends requests.
    Caller,
    /// A request kind.
    Kind,
    /// A version of an index, named `INDEX@NUMBER`.
    Version,
}

/// Reference to an object that can be labelled, written `KIND/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Object {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object within its kind.
    pub name: String,
}

impl Object {
    /// The object of this kind with this name, which is not checked.
    pub fn new(kind: ObjectKind, name: impl Into<String>) -> Self {
        Self { kind, name: name.into() }
    }
}

impl fmt::Display for Object {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl From<Object> for String {
    fn from(object: Object) -> Self {
        object.to_string()
    }
}

impl TryFrom<String> for Object {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl FromStr for Object {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let Some((kind, name)) = text.split_once('/') else {
            return Err(Error::new(
                Kind::BadRequest,
                format!("{text:?} does not have the form KIND/NAME"),
            ));
        };
        let Ok(kind) = kind.parse() else {
            let message =
                format!("{kind:?} is not one of zone, target, node, caller, kind, version");
            return Err(Error::new(Kind::BadRequest, message));
        };
        check_name(name)?;
        Ok(Self::new(kind, name))
    }
}
