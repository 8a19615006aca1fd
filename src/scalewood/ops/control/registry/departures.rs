//! Applies the committed departures of endpoints to a voter's soft state.

use std::{sync::Arc, time::Duration};

use super::{server::Follower, SoftState};
use crate::{
    core::{departure, name, registry, warm_up},
    util::{clock::Clock as _, lock::lock},
};

/// The steps to which the remaining warm-up of endpoints is rounded up in the hints, so that they
/// are not written for each heartbeat.
const WARM_UP_STEP_MS: u64 = 5000;

impl SoftState {
    /// Returns the departures that this voter knows to be committed.
    pub(super) fn departures(&self) -> Arc<departure::Departures> {
        self.published.borrow().ledger.departures().clone()
    }

    /// Sets a record to the state in which its endpoint has departed: a heartbeat from before that
    /// may arrive late.
    pub(super) fn apply_departure(&self, record: &mut registry::Record) {
        let departures = self.departures();
        if let Some(state) = departures.state_of(&record.name, record.incarnation) {
            record.state = record.state.max(state);
        }
    }

    /// Applies the departures as they are committed, for ever.
    pub(in crate::ops::control) async fn follow_departures(self) {
        let mut published = self.published.clone();
        let mut applied = 0;
        loop {
            let departures = published.borrow_and_update().ledger.departures().clone();
            for departure in departures.after(applied) {
                self.apply_committed(departure);
            }
            applied = departures.count();
            if published.changed().await.is_err() {
                return;
            }
        }
    }

    /// Applies a departure that this voter or another one has acknowledged.
    fn apply_committed(&self, departure: &departure::Departure) {
        let mut is_new = false;
        for registry in [&self.own, &self.registry] {
            let mut registry = lock(registry);
            let merged = match (departure.state, departure.start) {
                (registry::State::Gone, None) => registry.leave(&departure.name),
                (registry::State::Gone, start) => registry.end(&departure.name, start),
                (_, start) => registry.record_leaving(&departure.name, start),
            };
            is_new |= merged.must_propagate();
        }
        if is_new {
            self.notify();
        }
    }

    /// Returns the restored endpoints that a follower has not received, and advances `sent`. There
    /// are none until this voter knows which of them have departed.
    pub(super) fn restored_for(
        &self,
        follower: Follower,
        sent: &mut usize,
        now: Duration,
    ) -> Vec<registry::Record> {
        let published = self.published.borrow().clone();
        let departures = published.ledger.departures();
        let records = lock(&self.restored);
        if !published.is_caught_up || !departures.covers(records.departures()) {
            return Vec::new();
        }
        let mut restored = if follower.is_voter() {
            records.for_voter(sent, now)
        } else {
            records.for_box(sent, now)
        };
        restored.retain(|record| !departures.may_include(&record.name, record.incarnation));
        restored
    }

    /// Returns the remaining warm-up of an endpoint for the hints, if it is not over.
    pub(super) fn stored_warm_up(
        &self,
        registry: &registry::Registry,
        name: &name::Endpoint,
    ) -> Option<warm_up::Remaining> {
        let remaining = registry.warm_up(name)?.remaining(self.clock.now())?;
        let stored = remaining.0.next_multiple_of(WARM_UP_STEP_MS);
        (stored > 0).then_some(warm_up::Remaining(stored))
    }
}
