//! Starts of endpoints: what is known of one says nothing of the next.
//!
//! Each start of an endpoint has an index of its own, and the name stands for the latest. So
//! what was counted, measured and believed of an earlier start ends with it: slots, prompts that
//! it reads or keeps, risk, pace, ejection. Its runs stay with it until they end.

use super::{Index, Set};
use crate::core::{dispatch::Settings, name, registry};

impl Set {
    /// The index of a start of an endpoint.
    pub(super) fn index_of_start(
        &mut self,
        name: &name::Endpoint,
        start: registry::Start,
        settings: &Settings,
    ) -> Index {
        let mut index = self.index_or_add(name, settings);
        if self.endpoints[index.0]
            .start
            .is_some_and(|known| known < start)
        {
            self.end(index);
            index = self.index_or_add(name, settings);
        }
        self.endpoints[index.0].start = Some(start);
        index
    }

    /// Ends what is believed of a start. Runs that it still has are counted until they end.
    fn end(&mut self, index: Index) {
        self.names.remove(&self.endpoints[index.0].name);
        self.ring.remove(self.endpoints[index.0].hash);
        let configured = &mut self.endpoints[index.0].configured;
        self.unconfigured += usize::from(std::mem::take(configured));
        self.rescore(index);
        self.kept.reindex(|at| (at != index).then_some(at));
        self.hints.retain(|_, hint| hint.index != index);
    }

    /// Whether a name stands for this index: else a later start took its place.
    pub(super) fn is_latest(&self, index: Index) -> bool {
        let endpoint = &self.endpoints[index.0];
        self.names.get(&endpoint.name) == Some(&index)
    }
}
