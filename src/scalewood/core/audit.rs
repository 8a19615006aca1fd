//! The audit trail: who changed what, when, from which revision, and why.

use serde::{Deserialize, Serialize};

use crate::core::{change, config, cordon, name, route, unit};

/// The record of one accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The revision that the change produced.
    pub revision: unit::Revision,
    /// The revision that the change was based on.
    pub base: unit::Revision,
    /// The id of the change.
    pub id: change::Id,
    /// The operator who made it.
    pub operator: name::Operator,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The reason, as the operator gave it.
    pub why: String,
    /// The differences, one for each changed item.
    pub differences: Vec<Difference>,
}

/// The change of one item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The item, as `kind name`.
    pub item: String,
    /// Its value before the change, if it existed. Token hashes are cut to their first digits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<serde_json::Value>,
    /// Its value after the change, if it exists. Token hashes are cut to their first digits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<serde_json::Value>,
}

/// Returns the differences between two documents in the items that the edits name.
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
        before: item_as_json(before, &key),
        after: item_as_json(after, &key),
    };
    keys.into_iter()
        .map(describe)
        .filter(|d| d.before != d.after)
        .collect()
}

/// Returns the difference that cordoning or uncordoning a zone makes.
pub fn cordon_difference(change: &cordon::ZoneChange) -> Difference {
    let (before, after) = match change.action {
        cordon::Action::Cordon => (None, Some(true.into())),
        cordon::Action::Uncordon => (Some(true.into()), None),
    };
    Difference {
        item: format!("cordon {}", change.zone),
        before,
        after,
    }
}

/// The most differences that are recorded for one published routing.
const MAX_ROUTE_DIFFERENCES: usize = 64;

/// Returns the differences between two routings, one for each changed route, limited to the
/// first `MAX_ROUTE_DIFFERENCES` by name.
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
        before: before.routes.get(name).and_then(redacted_json),
        after: after.routes.get(name).and_then(redacted_json),
    };
    changed.take(MAX_ROUTE_DIFFERENCES).map(describe).collect()
}

/// Returns an item of a document as JSON, if it exists, with its token hash cut as in
/// [`redacted_json`].
fn item_as_json(document: &config::Document, key: &change::Key) -> Option<serde_json::Value> {
    match key {
        change::Key::Box(name) => redacted_json(document.boxes.get(name)?),
        change::Key::Service(name) => redacted_json(document.services.get(name)?),
        change::Key::Class(name) => redacted_json(document.classes.get(name)?),
        change::Key::Team(name) => redacted_json(document.teams.get(name)?),
        change::Key::Endpoint(name) => redacted_json(document.endpoints.get(name)?),
        change::Key::Policy(name) => redacted_json(document.policies.get(name)?),
    }
}

/// Returns an item as JSON, with its token hash cut to the first digits, so that a changed token
/// still shows as a difference.
pub fn redacted_json<T: Serialize>(item: &T) -> Option<serde_json::Value> {
    /// The number of hex digits of a token hash that are shown, enough to see a change.
    const SHOWN_HASH_DIGITS: usize = 8;
    let mut value = serde_json::to_value(item).ok()?;
    if let Some(hash) = value.get_mut("token_hash") {
        let digits: String = hash
            .as_str()
            .unwrap_or_default()
            .chars()
            .take(SHOWN_HASH_DIGITS)
            .collect();
        *hash = format!("{digits}...").into();
    }
    Some(value)
}
