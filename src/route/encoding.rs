//! Encoding of routing tables in the log, in snapshots and in messages. A table without tenants and public routes is
//! encoded as in releases that knew neither, so that each release reads what the others have written as long as it
//! knows what the table has.

use std::{collections::BTreeMap, fmt};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, SeqAccess, Visitor},
    ser::SerializeTuple,
};

use crate::route::{Limits, Route, Service, Table, Tenant};

/// In place of the version, says that the version, the old fields and the [`Extension`] follow. No table may have this version.
pub(super) const EXTENDED_VERSION: u64 = u64::MAX;

/// The number of fields of the first encoding.
const PLAIN_FIELDS: usize = 5;

/// The marker, the fields of the first encoding, and the extension.
const EXTENDED_FIELDS: usize = PLAIN_FIELDS + 2;

/// What the first encoding does not have: the positions of the public routes, and the tenants.
type Extension = (Vec<u64>, Vec<Tenant>);

impl Serialize for Table {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Self { version, document, routes, services, limits, tenants } = self;
        let public: Vec<u64> =
            (0..).zip(routes).filter(|(_, it)| it.public).map(|it| it.0).collect();
        let is_extended = !tenants.is_empty() || !public.is_empty();
        let fields = if is_extended { EXTENDED_FIELDS } else { PLAIN_FIELDS };
        let mut tuple = serializer.serialize_tuple(fields)?;
        if is_extended {
            tuple.serialize_element(&EXTENDED_VERSION)?;
        }
        tuple.serialize_element(version)?;
        tuple.serialize_element(document)?;
        tuple.serialize_element(routes)?;
        tuple.serialize_element(services)?;
        tuple.serialize_element(limits)?;
        if is_extended {
            tuple.serialize_element(&(public, tenants))?;
        }
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Table {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(EXTENDED_FIELDS, TableVisitor)
    }
}

struct TableVisitor;

impl<'de> Visitor<'de> for TableVisitor {
    type Value = Table;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a routing table")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Table, A::Error> {
        let first: u64 = field(&mut fields)?;
        let is_extended = first == EXTENDED_VERSION;
        let version = if is_extended { field(&mut fields)? } else { first };
        let document = field(&mut fields)?;
        let mut routes: Vec<Route> = field(&mut fields)?;
        let services: BTreeMap<String, Service> = field(&mut fields)?;
        let limits: Limits = field(&mut fields)?;
        let mut tenants = Vec::new();
        if is_extended {
            let public: Vec<u64>;
            (public, tenants) = field::<_, Extension>(&mut fields)?;
            for i in public {
                let route = usize::try_from(i).ok().and_then(|it| routes.get_mut(it));
                route.ok_or_else(|| A::Error::custom("no such public route"))?.public = true;
            }
        }
        Ok(Table { version, document, routes, services, limits, tenants })
    }
}

fn field<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(fields: &mut A) -> Result<T, A::Error> {
    fields.next_element()?.ok_or_else(|| A::Error::custom("the routing table ends early"))
}
