//! Reports the usage of teams to the provider.
//!
//! The holder sums up what boxes have reported to all voters (`collect`), commits the counts of
//! each window that has ended to the voters' log, and sends the committed counts until the provider
//! accepts them. The next holder continues with the same counts.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use crate::{
    core::{ledger, usage},
    event,
    ops::control::{collect, provider, registry::SoftState, Handle},
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::control::Forwarded,
};

/// How often the reporter checks for windows that have ended.
const PERIOD: Duration = Duration::from_millis(500);
/// How long after a window's end a box must have reported for its counts to be complete. It covers
/// the error of the box's estimate of the agreed time of day.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);
/// The fraction of the time until a report is due for which the reporter waits for boxes and voters
/// that have not been heard since the window's end: longer than most network partitions, with time
/// left to report.
const MAX_WAIT_RATIO: f64 = 0.7;
/// The windows before the one being closed whose totals are kept.
const RETAINED_WINDOWS: u64 = 12;

/// Commits and reports the usage of teams.
pub(super) struct Reporter {
    pub(super) handle: Handle,
    pub(super) soft_state: SoftState,
    pub(super) collector: collect::Collector,
    pub(super) clock: clock::System,
    pub(super) settings: provider::Settings,
    pub(super) hold: provider::Hold,
    pub(super) log: slog::Logger,
}

impl Reporter {
    /// Closes windows that have ended, for ever, while this voter is the holder.
    pub(super) async fn close(self) {
        loop {
            tokio::time::sleep(PERIOD).await;
            if self.hold.token().is_none() {
                continue;
            }
            for window in self.ended_windows() {
                self.close_window(window).await;
            }
        }
    }

    /// Returns the time of day that the voters agree on, in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64 {
        self.soft_state.unix_ms(self.handle.voter_count())
    }

    /// Returns the windows that have ended and are not committed yet.
    fn ended_windows(&self) -> Vec<usage::Window> {
        let published = self.handle.published();
        let now = self.unix_ms();
        let has_ended = |window: &usage::Window| window.end_ms(self.settings.window) < now;
        let book = lock(self.soft_state.usage());
        let windows = book.windows().into_iter().filter(has_ended);
        let is_open = |window: &usage::Window| !published.ledger.usage().is_closed(*window);
        windows.filter(is_open).collect()
    }

    /// Commits a window's counts, once they are complete or can't wait any longer.
    async fn close_window(&self, window: usage::Window) {
        let end = window.end_ms(self.settings.window);
        let now = self.unix_ms();
        let after = |duration: Duration| end + millis(duration);
        let running_since = end.saturating_sub(2 * millis(self.settings.window));
        let (missing, counts) = {
            let mut book = lock(self.soft_state.usage());
            let missing = book.lagging(running_since, after(CLOCK_MARGIN));
            let counts = book.totals(window);
            book.forget(
                usage::Window(window.0.saturating_sub(RETAINED_WINDOWS)),
                running_since,
            );
            (missing, counts)
        };
        let wait = self.settings.due.mul_f64(MAX_WAIT_RATIO);
        let ago = Duration::from_millis(now.saturating_sub(after(CLOCK_MARGIN)));
        let since = self.clock.now().saturating_sub(ago);
        let Some(unheard) = lock(self.collector.voters()).unanswered_since(since) else {
            return;
        };
        let is_complete = missing.is_empty() && unheard.is_empty();
        if now < after(CLOCK_MARGIN) || (!is_complete && now < after(wait)) {
            return;
        }
        for voter in &unheard {
            event!(self.log, UsageVoterMissing, "window" => window.0, "voter" => %voter);
        }
        for (source, heard_ms) in &missing {
            event!(self.log, UsageIncomplete, "window" => window.0, "source" => %source,
                "behind_ms" => after(CLOCK_MARGIN).saturating_sub(*heard_ms));
        }
        let requests: u64 = counts.values().sum();
        let teams = counts.len();
        let closed = usage::Closed {
            window,
            counts: Arc::new(counts),
            reported: self.reported(),
        };
        let committed = self.handle.propose(ledger::Command::Usage(closed)).await;
        event!(self.log, UsageClosed, "window" => window.0, "requests" => requests,
            "teams" => teams, "missing" => missing.len(), "after_ms" => now.saturating_sub(end),
            "agreed" => matches!(committed, Forwarded::Answer(_)));
    }

    /// Returns the windows that the provider has accepted but that the ledger does not yet show as
    /// reported.
    fn reported(&self) -> BTreeSet<usage::Window> {
        let published = self.handle.published();
        let windows = published.ledger.usage().windows();
        let accepted = lock(self.soft_state.reported_windows());
        let unrecorded = accepted
            .iter()
            .filter(|w| windows.get(w).is_some_and(|agreed| !agreed.reported));
        unrecorded.copied().collect()
    }

    /// Reports committed counts to the provider, the oldest window first, for ever.
    pub(super) async fn report<D: provider::Dialect>(self, mut client: provider::Client) {
        let mut published = self.handle.watch();
        loop {
            let next = client
                .authority()
                .and_then(|authority| Some((authority, self.next_due()?)));
            let Some((authority, (window, agreed))) = next else {
                // This voter may become allowed to act without a change of the ledger.
                let _ = tokio::time::timeout(PERIOD, published.changed()).await;
                continue;
            };
            let request = D::usage_request(&authority, window, &agreed.counts);
            let what = format!("usage {window}");
            let outcome = client
                .call(&authority, request, D::classify_report, &what)
                .await;
            if outcome == provider::Outcome::Taken {
                lock(self.soft_state.reported_windows()).insert(window);
            }
        }
    }

    /// Returns the oldest window that is committed and not reported. Windows without requests are
    /// never reported.
    fn next_due(&self) -> Option<(usage::Window, usage::Agreed)> {
        let published = self.handle.published();
        let windows = published.ledger.usage().windows();
        let mut accepted = lock(self.soft_state.reported_windows());
        accepted.retain(|window| windows.contains_key(window));
        let is_due = |window: &usage::Window, agreed: &usage::Agreed| {
            !agreed.reported && !agreed.counts.is_empty() && !accepted.contains(window)
        };
        let due = windows
            .iter()
            .find(|(window, agreed)| is_due(window, agreed));
        due.map(|(window, agreed)| (*window, agreed.clone()))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
