//! Restarts of endpoints: nothing learnt about one start applies to the next.
//!
//! Each start of an endpoint has an index of its own, and the name maps to the latest. So all state
//! of an earlier start is dropped with it: slots, prompts in prefill or in its cache, risk, speed
//! and ejection. Its runs are counted under the old index until they end.

use super::{Index, Set};
use crate::core::{dispatch::Settings, name, registry};

impl Set {
    /// Returns the index of a start of an endpoint, and adds it if it is new.
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
            self.retire(index);
            index = self.index_or_add(name, settings);
        }
        self.endpoints[index.0].start = Some(start);
        index
    }

    /// Retires a start. Its remaining runs are counted until they end.
    fn retire(&mut self, index: Index) {
        self.names.remove(&self.endpoints[index.0].name);
        self.ring.remove(self.endpoints[index.0].hash);
        let configured = &mut self.endpoints[index.0].configured;
        self.unconfigured += usize::from(std::mem::take(configured));
        self.rescore(index);
        self.cached.reindex(|at| (at != index).then_some(at));
        self.hints.retain(|_, hint| hint.index != index);
    }

    /// Returns whether an index belongs to the latest start of its endpoint.
    pub(super) fn is_latest(&self, index: Index) -> bool {
        let endpoint = &self.endpoints[index.0];
        self.names.get(&endpoint.name) == Some(&index)
    }
}
