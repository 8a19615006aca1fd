//! Cordons: availability zones whose endpoints get no new work, by order of an operator.
//!
//! The cordoned zones are a part of the agreed document, so an order has its place in the log
//! beside configurations, and boxes learn of it by the same way and within the same time.
//! What is kept beside the document is what resends and differences need.

use std::{
    collections::{BTreeSet, VecDeque},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::core::{change, name, unit};

/// How many first answers are remembered for resends: five weeks at one order an hour.
const MAX_ANSWERS: usize = 1000;
/// How many orders that took effect are remembered for differences, as many as a box may be
/// behind by and still get differences.
const MAX_MARKS: usize = 256;
/// The most zones that are cordoned at once: many times those of any deployment, so that
/// misspelt names can't make the document grow for ever.
pub const MAX_ZONES: usize = 256;

/// What an order does to a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    /// Its endpoints get no new work from now on.
    Cordon,
    /// They get new work again.
    Uncordon,
}

impl Act {
    /// The act's name in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Act::Cordon => "cordon",
            Act::Uncordon => "uncordon",
        }
    }
}

impl fmt::Display for Act {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A zone with what is done to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The zone.
    pub zone: name::Zone,
    /// What is done.
    pub act: Act,
}

impl Mark {
    /// Makes it so; false if it was so before.
    fn apply(&self, cordoned: &mut BTreeSet<name::Zone>) -> bool {
        match self.act {
            Act::Cordon => cordoned.insert(self.zone.clone()),
            Act::Uncordon => cordoned.remove(&self.zone),
        }
    }

    /// The difference that it makes.
    fn difference(&self) -> Difference {
        let zone = BTreeSet::from([self.zone.clone()]);
        let (cordoned, uncordoned) = match self.act {
            Act::Cordon => (zone, BTreeSet::new()),
            Act::Uncordon => (BTreeSet::new(), zone),
        };
        Difference {
            cordoned,
            uncordoned,
        }
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.act, self.zone)
    }
}

/// An operator's order as the log holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The zone, and what is done to it.
    pub mark: Mark,
    /// Who gave it.
    pub operator: name::Operator,
    /// The operator's own identity for it. Sent again under the same one, it gets its first
    /// answer and does nothing, also where it was taken back since.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<change::Id>,
    /// Why it is given; goes into the audit trail.
    #[serde(default)]
    pub why: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// What makes one set of cordoned zones out of another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Zones that are cordoned now.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub cordoned: BTreeSet<name::Zone>,
    /// Zones that are not any more.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub uncordoned: BTreeSet<name::Zone>,
}

impl Difference {
    /// What makes the new set out of the old one.
    pub fn between(old: &BTreeSet<name::Zone>, new: &BTreeSet<name::Zone>) -> Self {
        Self {
            cordoned: new.difference(old).cloned().collect(),
            uncordoned: old.difference(new).cloned().collect(),
        }
    }

    /// Makes it so.
    pub fn apply(&self, to: &mut BTreeSet<name::Zone>) {
        to.retain(|zone| !self.uncordoned.contains(zone));
        to.extend(self.cordoned.iter().cloned());
    }

    /// How many zones it touches.
    pub fn len(&self) -> usize {
        self.cordoned.len() + self.uncordoned.len()
    }

    /// Whether it touches none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A first answer that was given under an id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Given {
    id: change::Id,
    operator: name::Operator,
    mark: Mark,
    answer: change::Answer,
}

/// What is remembered of orders: the answers under an id, and what took effect last.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Memory {
    // Shared, since the state is copied for each snapshot and for each reader.
    answers: VecDeque<Arc<Given>>,
    marks: VecDeque<(unit::Revision, Mark)>,
}

impl Memory {
    /// The answer that an order's id got before, if it did; the one in force is `current`.
    pub fn answered(&self, order: &Order, current: unit::Revision) -> Option<change::Answer> {
        let id = order.id.as_ref()?;
        let given = self.answers.iter().rev().find(|given| given.id == *id)?;
        if given.mark == order.mark && given.operator == order.operator {
            return Some(given.answer.clone());
        }
        let why = format!("id {id} was used for another order; take a new id");
        Some(change::Answer::NotApplied {
            current,
            why: vec![why],
        })
    }

    /// Remembers the answer to an order, if it has an id.
    pub fn remember(&mut self, order: &Order, answer: &change::Answer) {
        let Some(id) = order.id.clone() else { return };
        self.answers.push_back(Arc::new(Given {
            id,
            operator: order.operator.clone(),
            mark: order.mark.clone(),
            answer: answer.clone(),
        }));
        if self.answers.len() > MAX_ANSWERS {
            self.answers.pop_front();
        }
    }

    /// Notes an order that took effect.
    pub fn note(&mut self, revision: unit::Revision, mark: Mark) {
        self.marks.push_back((revision, mark));
        if self.marks.len() > MAX_MARKS {
            self.marks.pop_front();
        }
    }

    /// The steps that orders after a revision made, as far as they are remembered.
    pub fn steps_since(&self, from: unit::Revision) -> impl Iterator<Item = change::Step> + '_ {
        let newer = self.marks.iter().filter(move |(at, _)| *at > from);
        newer.map(|(at, mark)| change::Step::of_cordon(*at, mark.difference()))
    }
}

/// The cordoned zones after an order: none if it changes nothing, or why it can't stand.
///
/// # Errors
///
/// Fails if too many zones would be cordoned.
pub fn weigh(
    mark: &Mark,
    cordoned: &BTreeSet<name::Zone>,
) -> Result<Option<BTreeSet<name::Zone>>, String> {
    let mut after = cordoned.clone();
    if !mark.apply(&mut after) {
        return Ok(None);
    }
    if after.len() > MAX_ZONES {
        return Err(format!(
            "{MAX_ZONES} zones are cordoned, which is the most; uncordon one first"
        ));
    }
    Ok(Some(after))
}
