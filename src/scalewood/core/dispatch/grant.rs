//! Granting: which request gets the next free slot, and at which endpoint.

use std::time::Duration;

use crate::core::{
    attempt,
    dispatch::{class, endpoint, message, precedence, queue, run, Cause, Dispatcher},
    invariant, name, unit,
};

impl Dispatcher {
    /// Grants the free slots to waiting requests.
    pub(super) fn grant(&mut self, now: Duration) {
        if !self.is_settled(now) {
            return;
        }
        // The lanes that found no free slot in this step: requests of other lanes don't wait
        // for them.
        let mut full = Vec::new();
        while self.endpoints.has_free(now) {
            let Some(attempt) = self.next(&full, now) else {
                break;
            };
            let Some(waiting) = self.queue.get(attempt) else {
                break;
            };
            let (ask, lane) = (waiting.ask.clone(), waiting.lane());
            if let Some(held) = self.held_back(&ask, now) {
                self.shed_held_back(attempt, held, now);
                continue;
            }
            let choice = match self.choose(&ask, &lane.origin, now) {
                Ok(choice) => choice,
                Err(endpoint::Unplaced::NoSlot) if self.is_unrestricted(&lane) => break,
                Err(endpoint::Unplaced::NoSlot) => {
                    full.push(lane);
                    continue;
                }
                Err(endpoint::Unplaced::Overload(overload)) => {
                    self.shed_overload(attempt, overload, Cause::Itself, now);
                    continue;
                }
            };
            let Some(waiting) = self.queue.remove(attempt) else {
                break;
            };
            self.start(waiting, choice, now);
        }
    }

    /// Chooses an endpoint for a request and takes a slot there.
    fn choose(
        &mut self,
        ask: &message::Ask,
        origin: &name::Box,
        now: Duration,
    ) -> Result<endpoint::Choice, endpoint::Unplaced> {
        let avoid = ask.avoid.as_ref();
        let constraints = endpoint::Constraints {
            allowed: &ask.allowed,
            origin,
            build: ask.build.as_ref(),
        };
        let Some(placement_key) = ask.placement_key else {
            let wanted = endpoint::Wanted {
                constraints,
                prefix: ask.prefix,
                avoid,
            };
            let chosen = self.endpoints.choose(wanted, now, &self.settings);
            return chosen.ok_or(endpoint::Unplaced::NoSlot);
        };
        let is_split = self.placement.is_partitioned(&self.prefill);
        let utilisation = self.endpoints.short_prompt_utilisation();
        let crowded = self.placement.update_crowding(utilisation);
        let long = self.placement.is_long(&ask.class, &self.prefill);
        let class = self.classes.get(&ask.class);
        let hold = class.map_or(class::MIN_HOLD_S, |class| class.mean_hold_s);
        let remaining = |limit: Duration| limit.saturating_sub(ask.age);
        let prompt = endpoint::Prompt {
            constraints,
            placement_key,
            tokens: ask.prompt.0,
            tier: ask.tier,
            target: ask.target,
            patience: remaining(ask.patience.unwrap_or(ask.deadline)),
            client_may_retry: ask.attempt.number == 0 && !ask.is_client_retry,
            deadline: remaining(ask.deadline),
            mean_hold: Duration::from_secs_f64(hold),
            mean_length: class.and_then(|class| class.length.get()),
            long,
            for_long: long || (crowded && !self.is_most_urgent_short(&ask.class)),
            is_split,
        };
        let model = endpoint::Model {
            prefill: &self.prefill,
            pauses: &self.pauses,
        };
        self.endpoints.choose_endpoint(&prompt, &model, avoid, now)
    }

    /// Returns whether a lane may use every endpoint that any other lane may use.
    pub(super) fn is_unrestricted(&self, lane: &queue::Lane) -> bool {
        let goes_anywhere = lane.allowed.is_everywhere() && lane.build.is_none();
        goes_anywhere && !self.endpoints.has_backoffs()
    }

    /// Returns what holds a request back while more urgent ones are refused. A request that was
    /// sent to an endpoint before is not held back, so that the work done for it is not lost.
    fn held_back(&self, ask: &message::Ask, now: Duration) -> Option<precedence::HeldBack> {
        if ask.attempt.number > 0 {
            return None;
        }
        self.refusals.hold_back(ask, now)
    }

    /// Returns whether no class with short prompts has a more urgent tier than this one.
    fn is_most_urgent_short(&self, class: &name::Class) -> bool {
        let short = self
            .classes
            .iter()
            .filter(|(name, _)| !self.placement.is_long(name, &self.prefill));
        let first = short.map(|(_, class)| class.tier).min();
        self.classes.get(class).map(|class| class.tier) == first
    }

    /// Returns the request that gets the next free slot; the lanes in `full` have none.
    fn next(&self, full: &[queue::Lane], now: Duration) -> Option<attempt::Attempt> {
        let first = self.queue.first_outside(full)?;
        // A slot freed by preemption goes to the request that it was freed for.
        if self.freed > 0 || self.runs.preempting() > 0 {
            return Some(first);
        }
        let waits = |class: &name::Class| self.queue.count(class) > 0;
        let owed = self.shares.owed(waits, |class| self.mean_hold(class));
        let owed = owed.and_then(|class| self.queue.first_of(class));
        let has_room = |attempt: &attempt::Attempt| {
            let waiting = self.queue.get(*attempt);
            waiting.is_some_and(|waiting| !full.contains(&waiting.lane()))
        };
        let owed = owed.filter(has_room);
        if let Some(owed) = owed.filter(|attempt| self.can_overtake(*attempt, now)) {
            return Some(owed);
        }
        let waiting = self.queue.get(first)?;
        (!self.waits_for_reserve(waiting)).then_some(first)
    }

    /// Returns whether a request may overtake those of higher tiers. It may not if one of them
    /// is about to be shed: that one gets the slot.
    fn can_overtake(&self, attempt: attempt::Attempt, now: Duration) -> bool {
        let Some(waiting) = self.queue.get(attempt) else {
            return false;
        };
        let gap = Duration::from_secs_f64(self.slot_gap(now));
        let soonest = self.queue.soonest_give_up_above(waiting.ask.tier);
        soonest.is_none_or(|give_up| give_up > now + 2 * gap)
    }

    fn start(&mut self, waiting: queue::Waiting, choice: endpoint::Choice, now: Duration) {
        self.freed = self.freed.saturating_sub(1);
        let attempt = waiting.ask.attempt;
        let is_held_back = self.refusals.count_precedence(&waiting.ask, true, now);
        let is_new = attempt.number == 0;
        if is_new {
            self.refusals.record_started(&waiting.ask, now);
        }
        invariant::check(
            !(is_held_back && is_new),
            invariant::Rule::Precedence,
            || format!("{attempt} begins while a more urgent class is refused"),
        );
        let class = waiting.ask.class.clone();
        let (queue, classes) = (&self.queue, &self.classes);
        let mean = |name: &name::Class| classes.get(name).map_or(0.0, |class| class.mean_hold_s);
        let waits = |name: &name::Class| queue.count(name) > 0;
        self.shares.granted(&class, waiting.hold, waits, mean);
        let slots = self.endpoints.allowed();
        let late = waiting.due < now;
        self.class(&class, waiting.ask.tier)
            .learn_reserve(late, slots);
        let name = self.endpoints.name(choice.endpoint).clone();
        self.outputs
            .push((waiting.origin.clone(), message::Order::Grant(attempt, name)));
        self.runs.insert(run::Run {
            origin: waiting.origin,
            ask: waiting.ask,
            endpoint: choice.endpoint,
            granted: now,
            prefill_tokens: choice.prefill_tokens,
            ahead: choice.ahead,
            cached: choice.cached,
            place: choice.place,
            paused: false,
            started: false,
            first_token: None,
            tokens: unit::Tokens(0),
            preempting: false,
        });
    }
}
