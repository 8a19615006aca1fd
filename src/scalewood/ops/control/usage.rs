//! Reports the usage of teams to the provider.
//!
//! The holder sums up what the voters were told by their boxes (`collect`), has the voters agree
//! on the counts of each window that is over, and reports what was agreed until the provider
//! has taken it. Whoever holds next goes on with the same counts.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use crate::{
    core::{ledger, usage},
    event,
    ops::control::{collect, provider, registry::Endpoints, Handle},
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::control::Passed,
};

/// How often it is looked whether a window is over.
const PERIOD: Duration = Duration::from_millis(500);
/// How much later than a window's end a box must have been heard, so that the way from the
/// agreed time to its own does not matter.
const BEYOND: Duration = Duration::from_millis(100);
/// The part of the time until a report is due in which boxes are waited for that were not
/// heard after the window's end: longer than most cuts, with time left to report.
const WAIT_PART: f64 = 0.7;
/// The windows that are remembered beside those that are agreed on.
const KEPT_WINDOWS: u64 = 12;

/// Reports usage.
pub(super) struct Reporter {
    pub(super) handle: Handle,
    pub(super) endpoints: Endpoints,
    pub(super) gathering: collect::Gathering,
    pub(super) clock: clock::System,
    pub(super) settings: provider::Settings,
    pub(super) hold: provider::Hold,
    pub(super) log: slog::Logger,
}

impl Reporter {
    /// Closes windows, for ever.
    pub(super) async fn close(self) {
        loop {
            tokio::time::sleep(PERIOD).await;
            if self.hold.token().is_none() {
                continue;
            }
            for window in self.over() {
                self.close_window(window).await;
            }
        }
    }

    fn unix_ms(&self) -> u64 {
        self.endpoints.unix_ms(self.handle.voter_count())
    }

    /// The windows that are over and not agreed on yet.
    fn over(&self) -> Vec<usage::Window> {
        let published = self.handle.published();
        let now = self.unix_ms();
        let is_over = |window: &usage::Window| window.end_ms(self.settings.window) < now;
        let book = lock(self.endpoints.book());
        let windows = book.windows().into_iter().filter(is_over);
        let is_open = |window: &usage::Window| !published.ledger.usage().is_closed(*window);
        windows.filter(is_open).collect()
    }

    /// Has the voters agree on a window's counts, if they are whole or can't wait longer.
    async fn close_window(&self, window: usage::Window) {
        let end = window.end_ms(self.settings.window);
        let now = self.unix_ms();
        let after = |long: Duration| end + millis(long);
        let running = end.saturating_sub(2 * millis(self.settings.window));
        let (missing, counts) = {
            let mut book = lock(self.endpoints.book());
            let missing = book.lagging(running, after(BEYOND));
            let counts = book.totals(window);
            book.forget(
                usage::Window(window.0.saturating_sub(KEPT_WINDOWS)),
                running,
            );
            (missing, counts)
        };
        let wait = self.settings.due.mul_f64(WAIT_PART);
        let ago = Duration::from_millis(now.saturating_sub(after(BEYOND)));
        let since = self.clock.now().saturating_sub(ago);
        let Some(unheard) = lock(self.gathering.voters()).unanswered_since(since) else {
            return;
        };
        let is_whole = missing.is_empty() && unheard.is_empty();
        if now < after(BEYOND) || (!is_whole && now < after(wait)) {
            return;
        }
        for voter in &unheard {
            event!(self.log, UsageUnheard, "window" => window.0, "voter" => %voter);
        }
        for (source, heard_ms) in &missing {
            event!(self.log, UsageIncomplete, "window" => window.0, "source" => %source,
                "behind_ms" => after(BEYOND).saturating_sub(*heard_ms));
        }
        let requests: u64 = counts.values().sum();
        let teams = counts.len();
        let closed = usage::Closed {
            window,
            counts: Arc::new(counts),
            reported: self.reported(),
        };
        let agreed = self.handle.propose(ledger::Command::Usage(closed)).await;
        event!(self.log, UsageClosed, "window" => window.0, "requests" => requests,
            "teams" => teams, "missing" => missing.len(), "after_ms" => now.saturating_sub(end),
            "agreed" => matches!(agreed, Passed::Answer(_)));
    }

    /// The windows that are known to be reported and not noted so in the log.
    fn reported(&self) -> BTreeSet<usage::Window> {
        let published = self.handle.published();
        let windows = published.ledger.usage().windows();
        let taken = lock(self.endpoints.reported());
        let news = taken
            .iter()
            .filter(|w| windows.get(w).is_some_and(|agreed| !agreed.reported));
        news.copied().collect()
    }

    /// Reports what was agreed on, the oldest window first, for ever.
    pub(super) async fn report<D: provider::Dialect>(self, mut client: provider::Client) {
        let mut published = self.handle.watch();
        loop {
            let next = client
                .authority()
                .and_then(|authority| Some((authority, self.next()?)));
            let Some((authority, (window, agreed))) = next else {
                // The tenure may begin without a change of the ledger.
                let _ = tokio::time::timeout(PERIOD, published.changed()).await;
                continue;
            };
            let request = D::usage(&authority, window, &agreed.counts);
            let what = format!("usage {window}");
            let said = client.call(&authority, request, D::reported, &what).await;
            if said == provider::Said::Taken {
                lock(self.endpoints.reported()).insert(window);
            }
        }
    }

    /// The oldest window that is agreed on and not reported. Those without requests are not
    /// reported at all.
    fn next(&self) -> Option<(usage::Window, usage::Agreed)> {
        let published = self.handle.published();
        let windows = published.ledger.usage().windows();
        let mut taken = lock(self.endpoints.reported());
        taken.retain(|window| windows.contains_key(window));
        let is_due = |window: &usage::Window, agreed: &usage::Agreed| {
            !agreed.reported && !agreed.counts.is_empty() && !taken.contains(window)
        };
        let due = windows
            .iter()
            .find(|(window, agreed)| is_due(window, agreed));
        due.map(|(window, agreed)| (*window, agreed.clone()))
    }
}

fn millis(long: Duration) -> u64 {
    u64::try_from(long.as_millis()).unwrap_or(u64::MAX)
}
