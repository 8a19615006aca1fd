//! The replicated state machine of the voters: the configuration and its revisions, the answers
//! given, and the audit trail.
//!
//! The state machine is deterministic over [`Command`]s: all replicas that apply the same commands
//! in the same order hold the same state and give the same answers.
//!
//! An answer is remembered if a resent change could otherwise get a different one: that holds for
//! acceptances, and for refusals of a change whose base is ahead of the revision in force. Other
//! refusals are repeated anyway, because the revision only rises.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::core::{
    audit, change, config, cordon, departure, fencing, json, name, raft, recent, route, scaling,
    unit, usage,
};

/// The number of answers remembered for resends: 20 days at 500 changes a day.
pub const MAX_ANSWERS: usize = 10_000;
/// The size of the remembered answers with their changes as JSON, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The number of audit records kept.
pub const MAX_RECORDS: usize = 10_000;
/// The size of the audit records as JSON, in bytes.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

/// The size of a command beside the texts that it holds, in bytes; roughly.
const COMMAND_BYTES: usize = 256;

/// The number of revisions that a box may be behind and still get differences instead of the whole
/// document.
pub const MAX_DIFFERENCES: usize = 256;

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// A change of the configuration, made against a revision.
    Change(Proposal),
    /// A new routing, under the operator's own version.
    Publish(Publication),
    /// A voter becomes the holder of the tasks that only one process may do at a time.
    Hold(raft::Node),
    /// The counts of a closed usage window.
    Usage(usage::Closed),
    /// An order that scales endpoints.
    Scale(Scale),
    /// An order that cordons or uncordons a zone.
    Cordon(cordon::Order),
    /// An endpoint announced that it is leaving or gone.
    Depart(departure::Departure),
}

/// A whole routing under the operator's own version. The highest version wins: once a routing was
/// published, one that is not above the version in force is accepted without effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Publication {
    /// The routing, which is parsed when it is applied.
    pub routing: json::Text<route::Routing>,
    /// The operator's text, which is returned verbatim on request.
    pub source: Arc<str>,
    /// Who published it.
    pub operator: name::Operator,
    /// The time of publication, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// A scaling order that is about to be sent to the provider.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scale {
    /// The service.
    pub service: name::Service,
    /// The order.
    pub order: scaling::Order,
    /// The reason for the order, for the audit trail.
    pub why: String,
    /// The time of the order, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// A proposed change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The change.
    pub change: change::Change,
    /// Who made it.
    pub operator: name::Operator,
    /// The time of the proposal, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// A change with the answer that it got.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Decision {
    change: change::Change,
    operator: name::Operator,
    answer: change::Answer,
}

/// The replicated state: the configuration and its revisions, the answers given, and the audit
/// trail.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    revision: unit::Revision,
    document: Arc<config::Document>,
    /// The operator's text of the routing in force.
    source: Option<Arc<str>>,
    answers: recent::Recent<Decision, MAX_ANSWERS, MAX_ANSWER_BYTES>,
    // As text, since a record's differences as values take some ten times as much memory.
    records: recent::Recent<json::Text<audit::Record>, MAX_RECORDS, MAX_RECORD_BYTES>,
    /// The holder of the tasks that only one process may do at a time.
    #[serde(default)]
    holder: Option<fencing::Holder>,
    /// The closed usage windows.
    #[serde(default)]
    usage: usage::Log,
    /// The count in the last scaling order for each service, zone and kind.
    #[serde(rename = "ordered", default)]
    last_scaling_counts: BTreeMap<String, u32>,
    /// The state of cordons that is kept outside the document.
    #[serde(default)]
    cordons: cordon::History,
    /// The departures of endpoints.
    #[serde(default)]
    departures: Arc<departure::Departures>,
}

impl Ledger {
    /// Returns the revision in force.
    pub fn revision(&self) -> unit::Revision {
        self.revision
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Arc<config::Document> {
        &self.document
    }

    /// Returns the holder of the tasks that only one process may do at a time, if there has been
    /// any.
    pub fn holder(&self) -> Option<&fencing::Holder> {
        self.holder.as_ref()
    }

    /// Returns the departures of endpoints.
    pub fn departures(&self) -> &Arc<departure::Departures> {
        &self.departures
    }

    /// Returns the closed usage windows.
    pub fn usage(&self) -> &usage::Log {
        &self.usage
    }

    /// Returns the audit trail, the oldest record first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = audit::Record> + '_ {
        self.records.iter().filter_map(|record| record.parse().ok())
    }

    /// Returns the steps of all revisions after `from`, or `None` if not all of them can be given:
    /// they may be too old, a published routing has no step, or `from` is ahead.
    pub fn steps_since(&self, from: unit::Revision) -> Option<Vec<change::Step>> {
        let missing = usize::try_from(self.revision.0.checked_sub(from.0)?).ok()?;
        if missing > MAX_DIFFERENCES {
            return None;
        }
        let newer = self
            .answers
            .iter()
            .rev()
            .filter_map(|decision| match decision.answer {
                change::Answer::Accepted { revision } if revision > from => {
                    let edits = decision.change.edits.clone();
                    Some(change::Step::from_edits(revision, edits))
                }
                change::Answer::Accepted { .. } | change::Answer::NotApplied { .. } => None,
            });
        let mut steps: Vec<_> = newer.take(missing).collect();
        steps.extend(self.cordons.steps_since(from));
        steps.sort_by_key(|step| step.revision);
        (steps.len() == missing).then_some(steps)
    }

    /// Returns the earlier answer to a change, if it is a resend. A known id with other contents or
    /// from another operator is refused.
    pub fn previous_answer(
        &self,
        change: &change::Change,
        operator: &name::Operator,
    ) -> Option<change::Answer> {
        let decision = self
            .answers
            .iter()
            .rev()
            .find(|decision| decision.change.id == change.id)?;
        if decision.change == *change && decision.operator == *operator {
            return Some(decision.answer.clone());
        }
        let why = format!(
            "change id {} was already used for a different change; use a new id",
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

    /// Returns the document that a new change results in, or the answer that refuses it.
    fn evaluate(&self, change: &change::Change) -> Result<config::Document, change::Answer> {
        if change.base != self.revision {
            let why = format!(
                "the change was made against revision {}, and {} is in force; review the changes since then and retry",
                change.base, self.revision
            );
            return Err(self.refuse(vec![why]));
        }
        self.apply_edits(change).map_err(|why| self.refuse(why))
    }

    /// Returns the document with the edits applied, or all problems with it.
    fn apply_edits(&self, change: &change::Change) -> Result<config::Document, Vec<String>> {
        if change.edits.is_empty() {
            return Err(vec!["the change has no edits; give at least one".into()]);
        }
        let mut document = config::Document::clone(&self.document);
        let mut problems = Vec::new();
        for edit in &change.edits {
            if !edit.apply(&mut document) {
                problems.push(format!(
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
            // Each claim is held by at least two boxes, so removing one box at a time loses none;
            // see `claim`.
            problems.push("the change removes more than one box; remove one box per change".into());
        }
        problems.extend(document.check().iter().map(ToString::to_string));
        if problems.is_empty() {
            Ok(document)
        } else {
            Err(problems)
        }
    }

    fn remember(&mut self, proposal: &Proposal, answer: change::Answer) {
        self.answers.push(Decision {
            change: proposal.change.clone(),
            operator: proposal.operator.clone(),
            answer,
        });
    }

    fn accept(&mut self, proposal: &Proposal, document: config::Document) -> change::Answer {
        let change = &proposal.change;
        self.revision = self.revision.next();
        self.push_record(audit::Record {
            revision: self.revision,
            base: change.base,
            id: change.id.clone(),
            operator: proposal.operator.clone(),
            at_unix_ms: proposal.at_unix_ms,
            why: change.why.clone(),
            differences: audit::differences(&self.document, &document, &change.edits),
        });
        self.document = Arc::new(document);
        change::Answer::Accepted {
            revision: self.revision,
        }
    }
}

/// The operator named in the audit trail for scaling orders.
fn scaling_operator() -> name::Operator {
    "scaling".parse().expect("the name is valid")
}

impl raft::State for Ledger {
    type Command = Command;
    type Answer = change::Answer;

    fn apply(&mut self, command: &Command) -> change::Answer {
        match command {
            Command::Change(proposal) => self.change(proposal),
            Command::Publish(publication) => self.publish(publication),
            Command::Hold(node) => {
                self.holder = Some(fencing::Holder::next(self.holder.as_ref(), node.clone()));
                self.accepted()
            }
            Command::Scale(scale) => {
                self.scale(scale);
                self.accepted()
            }
            Command::Cordon(order) => self.cordon(order),
            Command::Depart(departure) => {
                Arc::make_mut(&mut self.departures).record(departure);
                self.accepted()
            }
            Command::Usage(closed) => {
                self.usage.close(closed);
                self.accepted()
            }
        }
    }

    fn command_bytes(command: &Command) -> usize {
        let texts = match command {
            Command::Publish(publication) => publication.routing.len() + publication.source.len(),
            Command::Change(proposal) => json::size(proposal),
            Command::Hold(_)
            | Command::Usage(_)
            | Command::Scale(_)
            | Command::Cordon(_)
            | Command::Depart(_) => json::size(command),
        };
        COMMAND_BYTES + texts
    }

    fn bytes(&self) -> usize {
        // A published document takes about as much as the operator's text.
        let source = self.source.as_ref().map_or(0, |source| source.len());
        2 * source + self.answers.bytes() + self.records.bytes() + self.departures.bytes()
    }
}

impl Ledger {
    /// Returns the operator's text of the routing in force.
    pub fn routing_source(&self) -> Option<&Arc<str>> {
        self.source.as_ref()
    }

    /// Returns the operator's version of the routing in force, or 0 if there is none.
    pub fn routing_version(&self) -> u64 {
        self.document.routing.as_ref().map_or(0, |r| r.version)
    }

    fn publish(&mut self, publication: &Publication) -> change::Answer {
        let routing = match publication.routing.parse() {
            Ok(routing) => routing,
            Err(why) => return self.refuse(vec![format!("the routing can't be read: {why}")]),
        };
        if self.source.is_some() && routing.version <= self.routing_version() {
            return change::Answer::Accepted {
                revision: self.revision,
            };
        }
        let mut document = config::Document::clone(&self.document);
        let routing = Arc::new(routing);
        document.replace_routing(routing.clone());
        let problems = document.check();
        if !problems.is_empty() {
            return self.refuse(problems.iter().map(ToString::to_string).collect());
        }
        let base = self.revision;
        self.revision = self.revision.next();
        self.push_record(audit::Record {
            revision: self.revision,
            base,
            id: change::Id::for_version(routing.version),
            operator: publication.operator.clone(),
            at_unix_ms: publication.at_unix_ms,
            why: format!("version {} was published", routing.version),
            differences: audit::routing_differences(self.document.routing.as_deref(), &routing),
        });
        self.source = Some(publication.source.clone());
        self.document = Arc::new(document);
        change::Answer::Accepted {
            revision: self.revision,
        }
    }

    /// Returns the earlier answer to an order to cordon or uncordon with the same id, if there is
    /// one.
    pub fn previous_cordon_answer(&self, order: &cordon::Order) -> Option<change::Answer> {
        self.cordons.first_answer(order, self.revision)
    }

    fn cordon(&mut self, order: &cordon::Order) -> change::Answer {
        if let Some(answer) = self.previous_cordon_answer(order) {
            return answer;
        }
        let answer = match cordon::evaluate(&order.change, &self.document.cordoned) {
            Ok(Some(cordoned)) => self.accept_cordon(order, cordoned),
            Ok(None) => self.accepted(),
            Err(why) => self.refuse(vec![why]),
        };
        self.cordons.record_answer(order, &answer);
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
        self.push_record(audit::Record {
            revision: self.revision,
            base,
            id: id.unwrap_or_else(|| change::Id::for_cordon(self.revision)),
            operator: order.operator.clone(),
            at_unix_ms: order.at_unix_ms,
            why: order.why.clone(),
            differences: vec![audit::cordon_difference(&order.change)],
        });
        let mut document = config::Document::clone(&self.document);
        document.cordoned = cordoned;
        self.document = Arc::new(document);
        self.cordons.record(self.revision, order.change.clone());
        self.accepted()
    }

    /// Records a scaling order, with an audit record if its count differs from the last one.
    fn scale(&mut self, scale: &Scale) {
        let scaling::Order { zone, kind, count } = &scale.order;
        let item = format!("endpoints of {} in {zone}, {kind}", scale.service);
        let before = self.last_scaling_counts.insert(item.clone(), *count);
        if before == Some(*count) {
            return;
        }
        self.push_record(audit::Record {
            revision: self.revision,
            base: self.revision,
            id: change::Id::for_scaling(scale.at_unix_ms),
            operator: scaling_operator(),
            at_unix_ms: scale.at_unix_ms,
            why: scale.why.clone(),
            differences: vec![audit::Difference {
                item,
                before: before.map(Into::into),
                after: Some((*count).into()),
            }],
        });
    }

    /// Returns the counts in the last scaling orders, by service, zone and kind.
    pub fn last_scaling_counts(&self) -> &BTreeMap<String, u32> {
        &self.last_scaling_counts
    }

    /// Returns an acceptance at the revision in force.
    fn accepted(&self) -> change::Answer {
        change::Answer::Accepted {
            revision: self.revision,
        }
    }

    fn push_record(&mut self, record: audit::Record) {
        // A record is plain data, so it has a text.
        if let Ok(text) = json::Text::new(&record) {
            self.records.push(text);
        }
    }

    fn change(&mut self, proposal: &Proposal) -> change::Answer {
        if let Some(answer) = self.previous_answer(&proposal.change, &proposal.operator) {
            return answer;
        }
        let is_base_ahead = proposal.change.base > self.revision;
        let (answer, must_remember) = match self.evaluate(&proposal.change) {
            Ok(document) => (self.accept(proposal, document), true),
            Err(answer) => (answer, is_base_ahead),
        };
        if must_remember {
            self.remember(proposal, answer.clone());
        }
        answer
    }
}
