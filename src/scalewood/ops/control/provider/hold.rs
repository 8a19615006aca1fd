//! Whether this voter holds what only one process may do.

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
    wire::control::Passed,
};

/// How often it is looked whether this voter holds.
const PERIOD: Duration = Duration::from_millis(100);

/// Whether this voter holds, kept up to date by `keep`.
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
        rest: Duration,
        clock: clock::System,
        log: slog::Logger,
    ) -> Self {
        Self {
            handle,
            clock,
            tenure: Arc::new(Mutex::new(fencing::Tenure::new(rest, clock.now()))),
            log,
        }
    }

    /// Takes over when this voter comes to lead, for ever.
    pub(in crate::ops::control) async fn keep(self) {
        let mut acts = None;
        loop {
            tokio::time::sleep(PERIOD).await;
            let step = self.step();
            let token = match step {
                fencing::Step::Act(token) => Some(token),
                fencing::Step::Wait | fencing::Step::Acquire => None,
            };
            if acts != token {
                event!(self.log, HolderChanged, "acts" => token.is_some(),
                    "token" => token.map(|token| token.0));
                acts = token;
            }
            if step == fencing::Step::Acquire {
                let node = self.handle.published().status.node;
                let taken = self.handle.propose(ledger::Command::Hold(node)).await;
                event!(self.log, HolderTakes, "agreed" => matches!(taken, Passed::Answer(_)));
            }
        }
    }

    fn step(&self) -> fencing::Step {
        let published = self.handle.published();
        let now = self.clock.now();
        let leads = published.lease.is_some_and(|until| until > now);
        let holder = published.ledger.holder();
        lock(&self.tenure).step(&published.status.node, leads, holder, now)
    }

    /// Whether this voter leads under its lease.
    pub(in crate::ops::control) fn leads(&self) -> bool {
        let lease = self.handle.published().lease;
        lease.is_some_and(|until| until > self.clock.now())
    }

    /// The token under which this voter may act now.
    pub(in crate::ops::control) fn token(&self) -> Option<fencing::Token> {
        match self.step() {
            fencing::Step::Act(token) => Some(token),
            fencing::Step::Wait | fencing::Step::Acquire => None,
        }
    }

    /// Whether it may act under a token for some time to come.
    pub(super) fn lasts(&self, token: fencing::Token, long: Duration) -> bool {
        let published = self.handle.published();
        let until = self.clock.now() + long;
        published.lease.is_some_and(|lease| lease > until) && self.token() == Some(token)
    }
}
