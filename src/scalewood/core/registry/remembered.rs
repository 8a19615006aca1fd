//! Endpoints that served before a voter started, for a moment after that.

use std::{collections::BTreeSet, time::Duration};

use super::Record;
use crate::core::name;

/// What a voter remembers itself, and what other voters that started with it do.
#[derive(Clone, Debug, Default)]
pub struct Remembered {
    until: Duration,
    /// What this voter remembers itself comes first.
    records: Vec<Record>,
    own: usize,
    names: BTreeSet<name::Endpoint>,
}

impl Remembered {
    /// What a voter remembers of itself, until a time.
    pub fn new(records: Vec<Record>, until: Duration) -> Self {
        Self {
            until,
            own: records.len(),
            names: records.iter().map(|record| record.name.clone()).collect(),
            records,
        }
    }

    /// Takes what another voter remembers; whether any of it is new.
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

    /// What a box has not been told, after the `told` first ones.
    pub fn for_box(&self, told: &mut usize, now: Duration) -> Vec<Record> {
        self.after(told, self.records.len(), now)
    }

    /// The same for another voter, which is told what this one remembers itself: what all pass on to all
    /// would go round for ever.
    pub fn for_voter(&self, told: &mut usize, now: Duration) -> Vec<Record> {
        self.after(told, self.own, now)
    }

    fn after(&self, told: &mut usize, to: usize, now: Duration) -> Vec<Record> {
        if now >= self.until {
            return Vec::new();
        }
        let from = std::mem::replace(told, to).min(to);
        self.records[from..to].to_vec()
    }
}
