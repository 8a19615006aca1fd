//! Configuration changes: an operator's request, the answer, and the steps between revisions.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::core::{config, cordon, difference, name, unit};

/// The maximum length of a change id, in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// The id that an operator gives to a change, as an idempotency key: a change that is sent again
/// under the same id gets the first answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Id(String);

impl Id {
    /// Returns the audit trail's id for a published routing version.
    pub(crate) fn for_version(version: u64) -> Self {
        Self(format!("version-{version}"))
    }

    /// Returns the audit trail's id for a cordon that was ordered without an id.
    pub(crate) fn for_cordon(revision: unit::Revision) -> Self {
        Self(format!("cordon-{revision}"))
    }

    /// Returns the audit trail's id for an order of endpoints from the provider.
    pub(crate) fn for_scaling(at_unix_ms: u64) -> Self {
        Self(format!("scaling-{at_unix_ms}"))
    }
}

impl FromStr for Id {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        if text.is_empty() || text.len() > MAX_ID_BYTES || !text.bytes().all(allowed) {
            return Err(format!(
                "a change id has 1 to {MAX_ID_BYTES} letters, digits, `-`, `_` and `.`"
            ));
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for Id {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<Id> for String {
    fn from(id: Id) -> String {
        id.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A configuration item with its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// An entry box.
    Box(name::Box, config::Box),
    /// A service.
    Service(name::Service, config::Service),
    /// A class.
    Class(config::ClassKey, config::Class),
    /// A team.
    Team(name::Team, config::Team),
    /// An endpoint.
    Endpoint(name::Endpoint, config::Endpoint),
    /// A policy.
    Policy(name::Policy, config::Policy),
}

/// The kind and name of an item, without its value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Key {
    /// An entry box.
    Box(name::Box),
    /// A service.
    Service(name::Service),
    /// A class.
    Class(config::ClassKey),
    /// A team.
    Team(name::Team),
    /// An endpoint.
    Endpoint(name::Endpoint),
    /// A policy.
    Policy(name::Policy),
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Key::Box(name) => write!(f, "box {name}"),
            Key::Service(name) => write!(f, "service {name}"),
            Key::Class(name) => write!(f, "class {name}"),
            Key::Team(name) => write!(f, "team {name}"),
            Key::Endpoint(name) => write!(f, "endpoint {name}"),
            Key::Policy(name) => write!(f, "policy {name}"),
        }
    }
}

impl Item {
    /// Returns the item's key.
    pub fn key(&self) -> Key {
        match self {
            Item::Box(name, _) => Key::Box(name.clone()),
            Item::Service(name, _) => Key::Service(name.clone()),
            Item::Class(name, _) => Key::Class(name.clone()),
            Item::Team(name, _) => Key::Team(name.clone()),
            Item::Endpoint(name, _) => Key::Endpoint(name.clone()),
            Item::Policy(name, _) => Key::Policy(name.clone()),
        }
    }
}

/// One edit of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Adds an item, or replaces the one of that name.
    Set(Item),
    /// Removes an item.
    Remove(Key),
}

impl Edit {
    /// Returns the key of the item that the edit sets or removes.
    pub fn key(&self) -> Key {
        match self {
            Edit::Set(item) => item.key(),
            Edit::Remove(key) => key.clone(),
        }
    }

    /// Applies the edit; returns false if there was nothing to remove.
    pub fn apply(&self, to: &mut config::Document) -> bool {
        match self {
            Edit::Set(item) => {
                set(to, item.clone());
                true
            }
            Edit::Remove(key) => remove(to, key),
        }
    }
}

fn set(to: &mut config::Document, item: Item) {
    match item {
        Item::Box(name, value) => drop(to.boxes.insert(name, value)),
        Item::Service(name, value) => drop(to.services.insert(name, value)),
        Item::Class(name, value) => drop(to.classes.insert(name, value)),
        Item::Team(name, value) => drop(to.teams.insert(name, value)),
        Item::Endpoint(name, value) => drop(to.endpoints.insert(name, value)),
        Item::Policy(name, value) => drop(to.policies.insert(name, value)),
    }
}

fn remove(from: &mut config::Document, key: &Key) -> bool {
    match key {
        Key::Box(name) => from.boxes.remove(name).is_some(),
        Key::Service(name) => from.services.remove(name).is_some(),
        Key::Class(name) => from.classes.remove(name).is_some(),
        Key::Team(name) => from.teams.remove(name).is_some(),
        Key::Endpoint(name) => from.endpoints.remove(name).is_some(),
        Key::Policy(name) => from.policies.remove(name).is_some(),
    }
}

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The id that the operator gives to the change.
    pub id: Id,
    /// The revision that the change is based on.
    pub base: unit::Revision,
    /// The reason for the change, kept in the audit trail.
    pub why: String,
    /// The edits, applied in this order, either all or none.
    pub edits: Vec<Edit>,
}

/// The answer to a change, the same each time that the change is sent again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Answer {
    /// The change is accepted and durable.
    Accepted {
        /// The revision that the change produced.
        revision: unit::Revision,
    },
    /// The change was rejected, and will never be applied under this id.
    NotApplied {
        /// The revision that was in force when the change was rejected.
        current: unit::Revision,
        /// Why the change was rejected, and how to correct it.
        why: Vec<String>,
    },
}

/// The difference between two revisions, which a box applies to go from one to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The revision that it applies to.
    pub base: unit::Revision,
    /// The revision that results.
    pub revision: unit::Revision,
    /// The content of the difference.
    pub what: Delta,
}

/// The content of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Delta {
    /// Edits of single items.
    Edits(Vec<Edit>),
    /// A difference of the routing.
    Routing(difference::Routing),
    /// A difference of the set of cordoned zones.
    Cordons(cordon::Difference),
    /// Several of these, applied in order; none if nothing differs.
    Several(Vec<Delta>),
}

impl Delta {
    fn apply(&self, to: &mut config::Document) {
        match self {
            Delta::Edits(edits) => {
                for edit in edits {
                    edit.apply(to);
                }
            }
            Delta::Routing(difference) => {
                let old = to.routing.clone().unwrap_or_default();
                to.replace_routing(Arc::new(difference.apply(&old)));
            }
            Delta::Cordons(difference) => difference.apply(&mut to.cordoned),
            Delta::Several(parts) => {
                for part in parts {
                    part.apply(to);
                }
            }
        }
    }

    /// Returns how many items it changes.
    fn len(&self) -> usize {
        match self {
            Delta::Edits(edits) => edits.len(),
            Delta::Routing(difference) => difference.len(),
            Delta::Cordons(difference) => difference.len(),
            Delta::Several(parts) => parts.iter().map(Delta::len).sum(),
        }
    }
}

impl Step {
    /// Returns the step of an operator's change, from the revision before.
    pub fn from_edits(revision: unit::Revision, edits: Vec<Edit>) -> Self {
        Self {
            base: unit::Revision(revision.0.saturating_sub(1)),
            revision,
            what: Delta::Edits(edits),
        }
    }

    /// Returns the step of an order to cordon or uncordon zones, from the revision before.
    pub fn from_cordon(revision: unit::Revision, difference: cordon::Difference) -> Self {
        Self {
            base: unit::Revision(revision.0.saturating_sub(1)),
            revision,
            what: Delta::Cordons(difference),
        }
    }

    /// Returns the step between two documents; none if more than the routing and the cordoned
    /// zones differs, or if only one of them has a routing.
    pub fn between(
        (base, old): (unit::Revision, &config::Document),
        (revision, new): (unit::Revision, &config::Document),
    ) -> Option<Self> {
        let mut parts = Vec::new();
        match (old.routing.as_deref(), new.routing.as_deref()) {
            (Some(old), Some(new)) if old != new => {
                parts.push(Delta::Routing(difference::Routing::between(old, new)));
            }
            (Some(_), Some(_)) | (None, None) => {}
            _ => return None,
        }
        if old.cordoned != new.cordoned {
            let difference = cordon::Difference::between(&old.cordoned, &new.cordoned);
            parts.push(Delta::Cordons(difference));
        }
        let what = match parts.len() {
            1 => parts.remove(0),
            _ => Delta::Several(parts),
        };
        let step = Self {
            base,
            revision,
            what,
        };
        let mut result = config::Document::clone(old);
        step.apply(&mut result);
        (result == *new).then_some(step)
    }

    /// Applies the step to a document of its base revision.
    pub fn apply(&self, to: &mut config::Document) {
        self.what.apply(to);
    }

    /// Returns how many items the step changes.
    pub fn len(&self) -> usize {
        self.what.len()
    }

    /// Returns whether the step changes no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
