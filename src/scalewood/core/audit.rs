//! The audit trail: who changed what, when, from which revision, and why.

use serde::{Deserialize, Serialize};

use crate::core::{change, config, cordon, name, route, unit};

/// One accepted change as the trail keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The revision that the change made.
    pub revision: unit::Revision,
    /// The revision that it was made against.
    pub base: unit::Revision,
    /// The change's id.
    pub id: change::Id,
    /// Who made it.
    pub operator: name::Operator,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Why, in the operator's words.
    pub why: String,
    /// What differed, item by item.
    pub differences: Vec<Difference>,
}

/// What happened to one item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The item.
    pub item: String,
    /// What it was, if it existed. Token hashes are left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<serde_json::Value>,
    /// What it is now, if it exists. Token hashes are left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<serde_json::Value>,
}

/// What differs between two documents in the items that edits touched.
pub fn differences(
    before: &config::Document,
    after: &config::Document,
    edits: &[change::Edit],
) -> Vec<Difference> {
    let mut keys: Vec<_> = edits.iter().map(change::Edit::key).collect();
    keys.sort();
    keys.dedup();
    let describe = |key: change::Key| Difference {
        item: key.to_string(),
        before: lookup(before, &key),
        after: lookup(after, &key),
    };
    keys.into_iter()
        .map(describe)
        .filter(|d| d.before != d.after)
        .collect()
}

/// What an order to cordon or uncordon a zone changes.
pub fn cordon_difference(mark: &cordon::Mark) -> Difference {
    let (before, after) = match mark.act {
        cordon::Act::Cordon => (None, Some(true.into())),
        cordon::Act::Uncordon => (Some(true.into()), None),
    };
    Difference {
        item: format!("cordon {}", mark.zone),
        before,
        after,
    }
}

/// The most differences of one published routing that the trail keeps.
const MAX_DIFFERENCES: usize = 64;

/// What differs between two routings, route by route; the first few.
pub fn routing_differences(
    before: Option<&route::Routing>,
    after: &route::Routing,
) -> Vec<Difference> {
    let empty = route::Routing::default();
    let before = before.unwrap_or(&empty);
    let mut names: Vec<_> = before.routes.keys().chain(after.routes.keys()).collect();
    names.sort();
    names.dedup();
    let changed = names
        .into_iter()
        .filter(|name| before.routes.get(*name) != after.routes.get(*name));
    let describe = |name: &name::Class| Difference {
        item: format!("route {name}"),
        before: before.routes.get(name).and_then(show),
        after: after.routes.get(name).and_then(show),
    };
    changed.take(MAX_DIFFERENCES).map(describe).collect()
}

fn lookup(document: &config::Document, key: &change::Key) -> Option<serde_json::Value> {
    match key {
        change::Key::Box(name) => show(document.boxes.get(name)?),
        change::Key::Service(name) => show(document.services.get(name)?),
        change::Key::Class(name) => show(document.classes.get(name)?),
        change::Key::Team(name) => show(document.teams.get(name)?),
        change::Key::Endpoint(name) => show(document.endpoints.get(name)?),
        change::Key::Policy(name) => show(document.policies.get(name)?),
    }
}

/// An item as JSON, without what is secret. A changed token still shows as a
/// difference, by the hash's first digits.
pub fn show<T: Serialize>(item: &T) -> Option<serde_json::Value> {
    /// Digits of a hash that are shown: enough to see that it changed.
    const SHOWN: usize = 8;
    let mut value = serde_json::to_value(item).ok()?;
    if let Some(hash) = value.get_mut("token_hash") {
        let digits: String = hash
            .as_str()
            .unwrap_or_default()
            .chars()
            .take(SHOWN)
            .collect();
        *hash = format!("{digits}...").into();
    }
    Some(value)
}
