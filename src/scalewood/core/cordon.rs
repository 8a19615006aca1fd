//! Cordons: availability zones whose endpoints get no new work, by order of an operator.
//!
//! The cordoned zones are part of the agreed document. So an order is an entry in the log like a
//! configuration, and boxes learn of it in the same way and within the same time. Stored beside the
//! document are only the answers needed for resent orders and the changes needed for differences.

use std::{
    collections::{BTreeSet, VecDeque},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::core::{change, name, unit};

/// The number of first answers that are remembered for resent orders: five weeks at one order an
/// hour.
const MAX_ANSWERS: usize = 1000;
/// The number of effective orders that are remembered for differences; it is also how many a box
/// may lag behind and still get differences.
const MAX_RECENT_CHANGES: usize = 256;
/// The most zones that may be cordoned at once. It is many times the number in any deployment, and
/// keeps misspelt names from growing the document without bound.
pub const MAX_ZONES: usize = 256;

/// What an order does to a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Its endpoints get no new work.
    Cordon,
    /// Its endpoints get new work again.
    Uncordon,
}

impl Action {
    /// Returns the name used in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Action::Cordon => "cordon",
            Action::Uncordon => "uncordon",
        }
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A zone and what is done to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneChange {
    /// The zone.
    pub zone: name::Zone,
    /// What is done to it.
    #[serde(rename = "act")]
    pub action: Action,
}

impl ZoneChange {
    /// Applies the change. Returns false if it has no effect.
    fn apply(&self, cordoned: &mut BTreeSet<name::Zone>) -> bool {
        match self.action {
            Action::Cordon => cordoned.insert(self.zone.clone()),
            Action::Uncordon => cordoned.remove(&self.zone),
        }
    }

    /// Returns the change as a difference.
    fn difference(&self) -> Difference {
        let zone = BTreeSet::from([self.zone.clone()]);
        let (cordoned, uncordoned) = match self.action {
            Action::Cordon => (zone, BTreeSet::new()),
            Action::Uncordon => (BTreeSet::new(), zone),
        };
        Difference {
            cordoned,
            uncordoned,
        }
    }
}

impl fmt::Display for ZoneChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.action, self.zone)
    }
}

/// An operator's order, as stored in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The zone, and what is done to it.
    #[serde(rename = "mark")]
    pub change: ZoneChange,
    /// The operator who gave it.
    pub operator: name::Operator,
    /// The id that the operator chose for it. An order sent again under the same id gets its first
    /// answer and has no effect, even if it has been reversed since.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<change::Id>,
    /// The reason, for the audit trail.
    #[serde(default)]
    pub why: String,
    /// When it was given, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// The difference between two sets of cordoned zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Zones that are cordoned in the new set only.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub cordoned: BTreeSet<name::Zone>,
    /// Zones that are cordoned in the old set only.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub uncordoned: BTreeSet<name::Zone>,
}

impl Difference {
    /// Returns the difference from the old set to the new one.
    pub fn between(old: &BTreeSet<name::Zone>, new: &BTreeSet<name::Zone>) -> Self {
        Self {
            cordoned: new.difference(old).cloned().collect(),
            uncordoned: old.difference(new).cloned().collect(),
        }
    }

    /// Applies the difference to a set.
    pub fn apply(&self, to: &mut BTreeSet<name::Zone>) {
        to.retain(|zone| !self.uncordoned.contains(zone));
        to.extend(self.cordoned.iter().cloned());
    }

    /// Returns the number of zones that differ.
    pub fn len(&self) -> usize {
        self.cordoned.len() + self.uncordoned.len()
    }

    /// Returns whether no zone differs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The first answer to an order with an id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct FirstAnswer {
    id: change::Id,
    operator: name::Operator,
    #[serde(rename = "mark")]
    change: ZoneChange,
    answer: change::Answer,
}

/// The history of orders: the answers by id, and the latest orders that took effect.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    // Shared, since the state is copied for each snapshot and each reader.
    answers: VecDeque<Arc<FirstAnswer>>,
    #[serde(rename = "marks")]
    recent_changes: VecDeque<(unit::Revision, ZoneChange)>,
}

impl History {
    /// Returns the first answer under an order's id, or a refusal if the id was used for another
    /// order. `current` is the revision in force.
    pub fn first_answer(&self, order: &Order, current: unit::Revision) -> Option<change::Answer> {
        let id = order.id.as_ref()?;
        let first = self.answers.iter().rev().find(|first| first.id == *id)?;
        if first.change == order.change && first.operator == order.operator {
            return Some(first.answer.clone());
        }
        let why = format!("id {id} was used for another order; take a new id");
        Some(change::Answer::NotApplied {
            current,
            why: vec![why],
        })
    }

    /// Records the answer to an order, if it has an id.
    pub fn record_answer(&mut self, order: &Order, answer: &change::Answer) {
        let Some(id) = order.id.clone() else { return };
        self.answers.push_back(Arc::new(FirstAnswer {
            id,
            operator: order.operator.clone(),
            change: order.change.clone(),
            answer: answer.clone(),
        }));
        if self.answers.len() > MAX_ANSWERS {
            self.answers.pop_front();
        }
    }

    /// Records an order that took effect.
    pub fn record(&mut self, revision: unit::Revision, change: ZoneChange) {
        self.recent_changes.push_back((revision, change));
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    /// Returns the steps of the remembered orders after a revision.
    pub fn steps_since(&self, from: unit::Revision) -> impl Iterator<Item = change::Step> + '_ {
        let newer = self.recent_changes.iter().filter(move |(at, _)| *at > from);
        newer.map(|(at, change)| change::Step::from_cordon(*at, change.difference()))
    }
}

/// Returns the cordoned zones after an order, or `None` if it changes nothing.
///
/// # Errors
///
/// Fails if too many zones would be cordoned.
pub fn evaluate(
    change: &ZoneChange,
    cordoned: &BTreeSet<name::Zone>,
) -> Result<Option<BTreeSet<name::Zone>>, String> {
    let mut after = cordoned.clone();
    if !change.apply(&mut after) {
        return Ok(None);
    }
    if after.len() > MAX_ZONES {
        return Err(format!(
            "{MAX_ZONES} zones are cordoned, which is the most; uncordon one first"
        ));
    }
    Ok(Some(after))
}
