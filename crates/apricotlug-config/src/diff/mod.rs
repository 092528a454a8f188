//! Comparison of two bundles, entry by entry, for operators.

mod rows;

use std::{cmp::Ordering, collections::BTreeSet, fmt};

use apricotlug_model::{Block, Bundle};
use serde::Serialize;

use rows::{Row, Rows};

/// Kind of entry in a bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The bundle itself.
    Bundle,
    /// Region.
    Region,
    /// Data centre.
    DataCentre,
    /// Site.
    Site,
    /// Link between regions.
    Link,
    /// Client account.
    Account,
    /// API key of a client account.
    Key,
    /// Operator.
    Operator,
    /// Service.
    Service,
    /// Version of a service.
    ServiceVersion,
    /// Backend server endpoint.
    Endpoint,
    /// Route.
    Route,
    /// Block of client addresses.
    Block,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Bundle => "bundle",
            Self::Region => "region",
            Self::DataCentre => "data centre",
            Self::Site => "site",
            Self::Link => "link",
            Self::Account => "client account",
            Self::Key => "key",
            Self::Operator => "operator",
            Self::Service => "service",
            Self::ServiceVersion => "service version",
            Self::Endpoint => "endpoint",
            Self::Route => "route",
            Self::Block => "block",
        })
    }
}

/// What happened to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Only the newer bundle has it.
    Added,
    /// Only the older bundle has it.
    Removed,
    /// Both have it, with different values.
    Changed,
}

/// Value of a field in the older and the newer bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Name of the field, as the bundle writes it.
    pub name: &'static str,
    /// Value in the older bundle; `None` for an added entry.
    pub before: Option<String>,
    /// Value in the newer bundle; `None` for a removed entry.
    pub after: Option<String>,
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "{} {before} -> {after}", self.name),
            (Some(value), None) | (None, Some(value)) => write!(f, "{} {value}", self.name),
            (None, None) => f.write_str(self.name),
        }
    }
}

/// One difference between two bundles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// What happened.
    pub action: Action,
    /// Kind of the entry.
    pub kind: Kind,
    /// Id of the entry.
    pub id: String,
    /// Fields that differ; all fields of an added or removed entry.
    pub fields: Vec<FieldChange>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            Action::Added => '+',
            Action::Removed => '-',
            Action::Changed => '~',
        };
        write!(f, "{sign} {}", self.kind)?;
        if !self.id.is_empty() {
            write!(f, " {}", self.id)?;
        }
        for (i, field) in self.fields.iter().enumerate() {
            let separator = if i == 0 { ":" } else { "," };
            write!(f, "{separator} {field}")?;
        }
        Ok(())
    }
}

/// Returns the differences from an older to a newer bundle, by kind and id.
#[must_use]
pub fn diff(before: &Bundle, after: &Bundle) -> Vec<Change> {
    let mut changes = diff_rows(&rows::rows(before), &rows::rows(after));
    diff_blocks(before, after, &mut changes);
    changes
}

fn diff_rows(before: &Rows, after: &Rows) -> Vec<Change> {
    let keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter_map(|key| change(key.0, &key.1, before.get(key), after.get(key)))
        .collect()
}

fn change(kind: Kind, id: &str, before: Option<&Row>, after: Option<&Row>) -> Option<Change> {
    let (action, fields) = match (before, after) {
        (Some(before), Some(after)) => (Action::Changed, changed_fields(before, after)),
        (Some(before), None) => (Action::Removed, before.iter().map(removed_field).collect()),
        (None, Some(after)) => (Action::Added, after.iter().map(added_field).collect()),
        (None, None) => return None,
    };
    if action == Action::Changed && fields.is_empty() {
        return None;
    }
    let id = id.to_owned();
    Some(Change {
        action,
        kind,
        id,
        fields,
    })
}

fn changed_fields(before: &Row, after: &Row) -> Vec<FieldChange> {
    before
        .iter()
        .zip(after)
        .filter(|(before, after)| before.1 != after.1)
        .map(|(before, after)| FieldChange {
            name: before.0,
            before: Some(before.1.clone()),
            after: Some(after.1.clone()),
        })
        .collect()
}

fn removed_field((name, value): &(&'static str, String)) -> FieldChange {
    FieldChange {
        name,
        before: Some(value.clone()),
        after: None,
    }
}

fn added_field((name, value): &(&'static str, String)) -> FieldChange {
    FieldChange {
        name,
        before: None,
        after: Some(value.clone()),
    }
}

/// Merges the sorted blocks of both bundles, without a copy of either table.
fn diff_blocks(before: &Bundle, after: &Bundle, changes: &mut Vec<Change>) {
    let mut old = before.blocks.iter().peekable();
    let mut new = after.blocks.iter().peekable();
    loop {
        let order = match (old.peek(), new.peek()) {
            (Some(a), Some(b)) => order(a, b),
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (None, None) => return,
        };
        let a = order.is_le().then(|| old.next()).flatten();
        let b = order.is_ge().then(|| new.next()).flatten();
        let row =
            |bundle: &Bundle, block: &Block| vec![("site", bundle.sites[block.home].id.clone())];
        if let (Some(a), Some(b)) = (&a, &b)
            && before.sites[a.home].id == after.sites[b.home].id
        {
            continue;
        }
        let Some(block) = a.or(b) else { return };
        let id = format!("{}/{}", block.network, block.prefix);
        let a = a.map(|block| row(before, &block));
        let b = b.map(|block| row(after, &block));
        changes.extend(change(Kind::Block, &id, a.as_ref(), b.as_ref()));
    }
}

fn order(a: &Block, b: &Block) -> Ordering {
    (a.network, a.prefix).cmp(&(b.network, b.prefix))
}
