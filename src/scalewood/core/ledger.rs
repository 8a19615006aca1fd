//! The ledger: the configuration's revisions, the answers given, the audit trail.
//!
//! It is the state that the voters agree on: a deterministic machine over
//! [`Command`]s. Whoever applies the same commands in the same order has the same
//! ledger, and gives the same answers.
//!
//! An answer is remembered where a resend could otherwise get another one: an
//! acceptance, and a refusal whose base lies ahead. The other refusals stay refusals,
//! since the revision only rises.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::core::{
    agree, audit, change, config, cordon, name, route, scaling, tenure, unit, usage,
};

/// How many answers are remembered for resends: 20 days at 500 changes a day.
pub const MAX_ANSWERS: usize = 10_000;

/// How many audit records are kept.
pub const MAX_RECORDS: usize = 10_000;

/// How many revisions back a box may be and still get the differences.
pub const MAX_DIFFERENCES: usize = 256;

/// What the log holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// A change against a revision.
    Change(Proposal),
    /// A whole routing under the operator's own version.
    Publish(Publication),
    /// A voter takes over what only one process may do.
    Hold(agree::Node),
    /// The counts of a window of usage.
    Usage(usage::Closed),
    /// An order of endpoints.
    Scale(Scale),
    /// A zone is cordoned or uncordoned.
    Cordon(cordon::Order),
}

/// A whole routing under the operator's own version. The highest version wins; one that
/// is not above the version held is accepted and changes nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Publication {
    /// The routing.
    pub routing: Arc<route::Routing>,
    /// The text that the operator sent, to be given back as it was.
    pub source: Arc<str>,
    /// Who published it.
    pub operator: name::Operator,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// An order of endpoints that is about to be given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scale {
    /// The service.
    pub service: name::Service,
    /// The order.
    pub order: scaling::Order,
    /// What it rests on, in words.
    pub why: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// A change as the log holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The change.
    pub change: change::Change,
    /// Who made it.
    pub operator: name::Operator,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// An answer that was given, with what it answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Given {
    change: change::Change,
    operator: name::Operator,
    answer: change::Answer,
}

/// The configuration's revisions, the answers given, the audit trail.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    revision: unit::Revision,
    document: Arc<config::Document>,
    /// The text of the routing in force.
    source: Option<Arc<str>>,
    // Shared, since the state is copied for each snapshot and for each reader.
    answers: VecDeque<Arc<Given>>,
    records: VecDeque<Arc<audit::Record>>,
    /// Who does what only one process may do.
    #[serde(default)]
    holder: Option<tenure::Holder>,
    /// The windows of usage that were agreed on.
    #[serde(default)]
    usage: usage::Log,
    /// The endpoints that were ordered last.
    #[serde(default)]
    ordered: BTreeMap<String, u32>,
    /// What is remembered of cordons.
    #[serde(default)]
    cordons: cordon::Memory,
}

impl Ledger {
    /// The revision in force.
    pub fn revision(&self) -> unit::Revision {
        self.revision
    }

    /// The document in force.
    pub fn document(&self) -> &Arc<config::Document> {
        &self.document
    }

    /// Who does what only one process may do, if anybody has.
    pub fn holder(&self) -> Option<&tenure::Holder> {
        self.holder.as_ref()
    }

    /// The windows of usage that were agreed on.
    pub fn usage(&self) -> &usage::Log {
        &self.usage
    }

    /// The audit trail, the oldest record first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &audit::Record> {
        self.records.iter().map(Arc::as_ref)
    }

    /// The steps of each revision after `from`, if they are all remembered; a routing that
    /// was published is none.
    pub fn since(&self, from: unit::Revision) -> Option<Vec<change::Step>> {
        let missing = usize::try_from(self.revision.0.checked_sub(from.0)?).ok()?;
        if missing > MAX_DIFFERENCES {
            return None;
        }
        let newer = self
            .answers
            .iter()
            .rev()
            .filter_map(|given| match given.answer {
                change::Answer::Accepted { revision } if revision > from => {
                    let edits = given.change.edits.clone();
                    Some(change::Step::of_edits(revision, edits))
                }
                change::Answer::Accepted { .. } | change::Answer::NotApplied { .. } => None,
            });
        let mut steps: Vec<_> = newer.take(missing).collect();
        steps.extend(self.cordons.steps_since(from));
        steps.sort_by_key(|step| step.revision);
        (steps.len() == missing).then_some(steps)
    }

    /// The answer that a change got before, if it did.
    pub fn answered(
        &self,
        change: &change::Change,
        operator: &name::Operator,
    ) -> Option<change::Answer> {
        let given = self
            .answers
            .iter()
            .rev()
            .find(|given| given.change.id == change.id)?;
        if given.change == *change && given.operator == *operator {
            return Some(given.answer.clone());
        }
        let why = format!(
            "change id {} was used for another change; take a new id",
            change.id
        );
        Some(self.refuse(vec![why]))
    }

    fn refuse(&self, why: Vec<String>) -> change::Answer {
        change::Answer::NotApplied {
            current: self.revision,
            why,
        }
    }

    /// The answer to a new change, and the document if it is accepted.
    fn weigh(&self, change: &change::Change) -> Result<config::Document, change::Answer> {
        if change.base != self.revision {
            let why = format!(
                "it was made against revision {}, and {} is in force; look at what changed and try again",
                change.base, self.revision
            );
            return Err(self.refuse(vec![why]));
        }
        self.edited(change).map_err(|why| self.refuse(why))
    }

    /// The document after a change, or all that is wrong with it.
    fn edited(&self, change: &change::Change) -> Result<config::Document, Vec<String>> {
        if change.edits.is_empty() {
            return Err(vec!["it has no edits; name at least one".into()]);
        }
        let mut document = config::Document::clone(&self.document);
        let mut wrong = Vec::new();
        for edit in &change.edits {
            if !edit.apply(&mut document) {
                wrong.push(format!(
                    "{} does not exist, so it can't be removed",
                    edit.key()
                ));
            }
        }
        let removed = self
            .document
            .boxes
            .keys()
            .filter(|b| !document.boxes.contains_key(*b));
        if removed.count() > 1 {
            // Each key's claims stand at two boxes at least; see `claim`.
            wrong.push("it removes more than one box; remove them one change at a time".into());
        }
        wrong.extend(document.check().iter().map(ToString::to_string));
        if wrong.is_empty() {
            Ok(document)
        } else {
            Err(wrong)
        }
    }

    fn remember(&mut self, command: &Proposal, answer: change::Answer) {
        self.answers.push_back(Arc::new(Given {
            change: command.change.clone(),
            operator: command.operator.clone(),
            answer,
        }));
        if self.answers.len() > MAX_ANSWERS {
            self.answers.pop_front();
        }
    }

    fn accept(&mut self, command: &Proposal, document: config::Document) -> change::Answer {
        let change = &command.change;
        self.revision = self.revision.next();
        self.keep_record(audit::Record {
            revision: self.revision,
            base: change.base,
            id: change.id.clone(),
            operator: command.operator.clone(),
            at_unix_ms: command.at_unix_ms,
            why: change.why.clone(),
            differences: audit::differences(&self.document, &document, &change.edits),
        });
        self.document = Arc::new(document);
        change::Answer::Accepted {
            revision: self.revision,
        }
    }
}

/// Who is named in the audit trail for orders of endpoints.
fn scaler() -> name::Operator {
    "scaling".parse().expect("the name is valid")
}

impl agree::State for Ledger {
    type Command = Command;
    type Answer = change::Answer;

    fn apply(&mut self, command: &Command) -> change::Answer {
        match command {
            Command::Change(proposal) => self.change(proposal),
            Command::Publish(publication) => self.publish(publication),
            Command::Hold(node) => {
                self.holder = Some(tenure::Holder::next(self.holder.as_ref(), node.clone()));
                self.done()
            }
            Command::Scale(scale) => {
                self.scale(scale);
                self.done()
            }
            Command::Cordon(order) => self.cordon(order),
            Command::Usage(closed) => {
                self.usage.close(closed);
                self.done()
            }
        }
    }
}

impl Ledger {
    /// The text of the routing in force, as its operator sent it.
    pub fn source(&self) -> Option<&Arc<str>> {
        self.source.as_ref()
    }

    /// The operator's version of the routing in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.document.routing.as_ref().map_or(0, |r| r.version)
    }

    fn publish(&mut self, publication: &Publication) -> change::Answer {
        let routing = &publication.routing;
        if self.source.is_some() && routing.version <= self.version() {
            return change::Answer::Accepted {
                revision: self.revision,
            };
        }
        let mut document = config::Document::clone(&self.document);
        document.replace_routing(routing.clone());
        let problems = document.check();
        if !problems.is_empty() {
            return self.refuse(problems.iter().map(ToString::to_string).collect());
        }
        let base = self.revision;
        self.revision = self.revision.next();
        self.keep_record(audit::Record {
            revision: self.revision,
            base,
            id: change::Id::of_version(routing.version),
            operator: publication.operator.clone(),
            at_unix_ms: publication.at_unix_ms,
            why: format!("version {} was published", routing.version),
            differences: audit::routing_differences(self.document.routing.as_deref(), routing),
        });
        self.source = Some(publication.source.clone());
        self.document = Arc::new(document);
        change::Answer::Accepted {
            revision: self.revision,
        }
    }

    /// The answer that an order to cordon or uncordon got before under its id, if it did.
    pub fn cordon_answered(&self, order: &cordon::Order) -> Option<change::Answer> {
        self.cordons.answered(order, self.revision)
    }

    fn cordon(&mut self, order: &cordon::Order) -> change::Answer {
        if let Some(answer) = self.cordon_answered(order) {
            return answer;
        }
        let answer = match cordon::weigh(&order.mark, &self.document.cordoned) {
            Ok(Some(cordoned)) => self.accept_cordon(order, cordoned),
            Ok(None) => self.done(),
            Err(why) => self.refuse(vec![why]),
        };
        self.cordons.remember(order, &answer);
        answer
    }

    fn accept_cordon(
        &mut self,
        order: &cordon::Order,
        cordoned: BTreeSet<name::Zone>,
    ) -> change::Answer {
        let base = self.revision;
        self.revision = self.revision.next();
        let id = order.id.clone();
        self.keep_record(audit::Record {
            revision: self.revision,
            base,
            id: id.unwrap_or_else(|| change::Id::of_cordon(self.revision)),
            operator: order.operator.clone(),
            at_unix_ms: order.at_unix_ms,
            why: order.why.clone(),
            differences: vec![audit::cordon_difference(&order.mark)],
        });
        let mut document = config::Document::clone(&self.document);
        document.cordoned = cordoned;
        self.document = Arc::new(document);
        self.cordons.note(self.revision, order.mark.clone());
        self.done()
    }

    /// Notes an order of endpoints, with a record if it is another than the last one.
    fn scale(&mut self, scale: &Scale) {
        let scaling::Order { zone, kind, count } = &scale.order;
        let item = format!("endpoints of {} in {zone}, {kind}", scale.service);
        let before = self.ordered.insert(item.clone(), *count);
        if before == Some(*count) {
            return;
        }
        self.keep_record(audit::Record {
            revision: self.revision,
            base: self.revision,
            id: change::Id::of_scaling(scale.at_unix_ms),
            operator: scaler(),
            at_unix_ms: scale.at_unix_ms,
            why: scale.why.clone(),
            differences: vec![audit::Difference {
                item,
                before: before.map(Into::into),
                after: Some((*count).into()),
            }],
        });
    }

    /// The endpoints that were ordered last, by service, zone and kind.
    pub fn ordered(&self) -> &BTreeMap<String, u32> {
        &self.ordered
    }

    /// The answer to a command that leaves the configuration as it is.
    fn done(&self) -> change::Answer {
        change::Answer::Accepted {
            revision: self.revision,
        }
    }

    fn keep_record(&mut self, record: audit::Record) {
        self.records.push_back(Arc::new(record));
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    fn change(&mut self, command: &Proposal) -> change::Answer {
        if let Some(answer) = self.answered(&command.change, &command.operator) {
            return answer;
        }
        let ahead = command.change.base > self.revision;
        let (answer, lasting) = match self.weigh(&command.change) {
            Ok(document) => (self.accept(command, document), true),
            Err(answer) => (answer, ahead),
        };
        if lasting {
            self.remember(command, answer.clone());
        }
        answer
    }
}
