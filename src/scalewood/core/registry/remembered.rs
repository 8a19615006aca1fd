//! Endpoints that served before a voter started, kept for a short time after its start.

use std::{collections::BTreeSet, time::Duration};

use super::{Record, Start};
use crate::core::name;

/// The records that a voter stored itself, and those of other voters that started with it.
#[derive(Clone, Debug, Default)]
pub struct RestoredRecords {
    until: Duration,
    /// The records of this voter come first, then those of others.
    records: Vec<Record>,
    /// The number of this voter's own records.
    own: usize,
    names: BTreeSet<name::Endpoint>,
    /// The number of departures that were known when this voter's own records were stored.
    departures: u64,
}

impl RestoredRecords {
    /// Creates the set from a voter's own stored records, which expire at `until`.
    pub fn new(records: Vec<Record>, until: Duration) -> Self {
        Self {
            until,
            own: records.len(),
            names: records.iter().map(|record| record.name.clone()).collect(),
            records,
            departures: 0,
        }
    }

    /// States how many departures were known when the records were stored.
    #[must_use]
    pub fn recorded_after(self, departures: u64) -> Self {
        Self { departures, ..self }
    }

    /// Returns the number of departures that were known when the records were stored.
    pub fn departures(&self) -> u64 {
        self.departures
    }

    /// Returns the start of a restored endpoint, or `None` if it reports none or is not restored.
    pub fn start_of(&self, name: &name::Endpoint) -> Start {
        let record = self.records.iter().find(|record| record.name == *name);
        record.and_then(|record| record.incarnation)
    }

    /// Adds the records of another voter; returns whether any of them is new.
    pub fn take(&mut self, records: Vec<Record>, now: Duration) -> bool {
        if now >= self.until {
            return false;
        }
        let before = self.records.len();
        for record in records {
            if self.names.insert(record.name.clone()) {
                self.records.push(record);
            }
        }
        self.records.len() > before
    }

    /// Returns the records that a box has not received, which are all but the `sent` first ones,
    /// and advances `sent`.
    pub fn for_box(&self, sent: &mut usize, now: Duration) -> Vec<Record> {
        self.after(sent, self.records.len(), now)
    }

    /// Returns the same for another voter, but only this voter's own records: if every voter
    /// passed on all records, they would circulate for ever.
    pub fn for_voter(&self, sent: &mut usize, now: Duration) -> Vec<Record> {
        self.after(sent, self.own, now)
    }

    fn after(&self, sent: &mut usize, to: usize, now: Duration) -> Vec<Record> {
        if now >= self.until {
            return Vec::new();
        }
        let from = std::mem::replace(sent, to).min(to);
        self.records[from..to].to_vec()
    }
}
