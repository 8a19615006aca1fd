//! Tracks whether this voter is the holder: the one process that may perform the provider's tasks.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    core::{fencing, ledger},
    event,
    ops::control::Handle,
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::control::Forwarded,
};

/// How often `keep` updates the state.
const PERIOD: Duration = Duration::from_millis(100);

/// This voter's state as a holder or candidate, updated by `keep`.
#[derive(Clone, Debug)]
pub(in crate::ops::control) struct Hold {
    handle: Handle,
    pub(super) clock: clock::System,
    tenure: Arc<Mutex<fencing::Tenure>>,
    pub(super) log: slog::Logger,
}

impl Hold {
    pub(in crate::ops::control) fn new(
        handle: Handle,
        quiet_period: Duration,
        clock: clock::System,
        log: slog::Logger,
    ) -> Self {
        Self {
            handle,
            clock,
            tenure: Arc::new(Mutex::new(fencing::Tenure::new(quiet_period, clock.now()))),
            log,
        }
    }

    /// Becomes the holder whenever this voter is elected leader. Runs for ever.
    pub(in crate::ops::control) async fn keep(self) {
        let mut acting_token = None;
        loop {
            tokio::time::sleep(PERIOD).await;
            let step = self.step();
            let token = match step {
                fencing::Step::Act(token) => Some(token),
                fencing::Step::Wait | fencing::Step::Acquire => None,
            };
            if acting_token != token {
                event!(self.log, HolderChanged, "acts" => token.is_some(),
                    "token" => token.map(|token| token.0));
                acting_token = token;
            }
            if step == fencing::Step::Acquire {
                let node = self.handle.published().status.node;
                let proposed = self.handle.propose(ledger::Command::Hold(node)).await;
                event!(self.log, HolderTakesOver, "agreed" => matches!(proposed, Forwarded::Answer(_)));
            }
        }
    }

    /// Returns what this voter may do at the moment.
    fn step(&self) -> fencing::Step {
        let published = self.handle.published();
        let now = self.clock.now();
        let leads = published.lease.is_some_and(|until| until > now);
        let holder = published.ledger.holder();
        lock(&self.tenure).step(&published.status.node, leads, holder, now)
    }

    /// Returns whether this voter is the leader with a valid lease.
    pub(in crate::ops::control) fn leads(&self) -> bool {
        let lease = self.handle.published().lease;
        lease.is_some_and(|until| until > self.clock.now())
    }

    /// Returns the fencing token under which this voter may act now, if it may.
    pub(in crate::ops::control) fn token(&self) -> Option<fencing::Token> {
        match self.step() {
            fencing::Step::Act(token) => Some(token),
            fencing::Step::Wait | fencing::Step::Acquire => None,
        }
    }

    /// Returns whether this voter may act under a token now and its lease lasts for `duration`
    /// more.
    pub(super) fn is_valid_for(&self, token: fencing::Token, duration: Duration) -> bool {
        let published = self.handle.published();
        let until = self.clock.now() + duration;
        published.lease.is_some_and(|lease| lease > until) && self.token() == Some(token)
    }
}
