//! The requests under which endpoints ended, as known to one process.
//!
//! Books are synchronised by merging rows, in any order and any number of times: the result holds
//! the ends of both, except those that either marks as void. Each change gets a stamp, so that a
//! reader who was sent all changes up to a stamp is sent only the later ones.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{
    max_successive, trial, End, Id, Row, Trials, ENDS_TO_HOLD_BACK, MAX_TRIALS,
    MAX_TRIALS_BESIDE_SUSPECT, MIN_ENDS_FOR_GLOBAL, RECENT,
};
use crate::core::fingerprint::{Fingerprint, HeadHash};

/// How long a request is remembered after it last arrived or an endpoint last ended under it. If it
/// arrives after that, it may take down three more endpoints.
pub const RETENTION: Duration = Duration::from_secs(600);
/// The shortest interval between two reports that a request still arrives.
const ARRIVAL_REPORT_INTERVAL: Duration = Duration::from_secs(30);
/// The most requests that are remembered without being held back: those that run when some seventy
/// full endpoints end, at some 200 bytes each.
const MAX_NOT_HELD_BACK: usize = 4096;
/// The most requests that are held back. Each has taken down three endpoints.
const MAX_HELD_BACK: usize = 1024;
/// The most ends that are remembered per request.
const MAX_ENDS_PER_REQUEST: usize = 2 * ENDS_TO_HOLD_BACK;
/// The most void ends that are remembered per request.
const MAX_VOID_PER_REQUEST: usize = 2 * MAX_ENDS_PER_REQUEST;
/// How long a trial may run before others that wait for its result go on without it.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(10);
/// The interval between two searches for expired requests.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The most rows that are sent at once, some 150 bytes each.
const MAX_ROWS_PER_MESSAGE: usize = 256;

/// What is known about a request.
#[derive(Clone, Debug)]
struct Case {
    ends: Vec<End>,
    /// Ends that no longer count, the oldest first.
    void: VecDeque<Id>,
    /// See [`Row::tried`].
    tried: BTreeSet<Id>,
    /// When the last trial became known here.
    tried_at: Duration,
    /// How often it was refused here.
    refusals: u32,
    /// When the last end became known here.
    last_end_at: Duration,
    /// See [`Row::arrivals`].
    arrivals: u32,
    arrival_reported_at: Duration,
    /// See [`Row::completions`].
    completions: u32,
    /// When the last completion became known here.
    completed_at: Option<Duration>,
    /// When it last arrived or changed, by the clock here.
    last_seen: Duration,
    /// The stamp of its last change.
    changed: u64,
    /// The stamp of its last change that was seen here or reported by a process that reports to
    /// this book only.
    changed_locally: u64,
    /// Whether it ever had enough successive ends to be reported to all processes.
    is_global: bool,
    /// One of the suspects that explain this one, if there are any.
    explained_by: Option<Fingerprint>,
}

impl Case {
    fn new(now: Duration) -> Self {
        Self {
            ends: Vec::new(),
            void: VecDeque::new(),
            tried: BTreeSet::new(),
            tried_at: now,
            refusals: 0,
            last_end_at: now,
            arrivals: 0,
            arrival_reported_at: Duration::ZERO,
            completions: 0,
            completed_at: None,
            last_seen: now,
            changed: 0,
            changed_locally: 0,
            is_global: false,
            explained_by: None,
        }
    }

    /// Returns whether enough endpoints ended under it.
    fn is_suspect(&self) -> bool {
        max_successive(&self.ends) >= ENDS_TO_HOLD_BACK
    }

    /// Returns whether it is held back, that is sent to no endpoint.
    ///
    /// A request that crashes endpoints is present at each end. A harmless one that callers send
    /// often may be present beside it at three ends by chance. The harmless one was present at no
    /// other end, so it is let through while the other is held back. If it then ends an endpoint
    /// without the other, it is held back too.
    fn is_held_back(&self) -> bool {
        self.is_suspect() && self.explained_by.is_none()
    }

    /// Returns whether it explains another request: it was present at each end of that one, and at
    /// others in addition.
    fn explains(&self, other: &Self) -> bool {
        let was_at = |case: &Self, end: &End| case.ends.iter().any(|own| own.is_same(end));
        let is_alone_at = |end: &End| !was_at(other, end);
        other.ends.iter().all(|end| was_at(self, end)) && self.ends.iter().any(is_alone_at)
    }

    fn add(&mut self, end: End) -> bool {
        let is_known = self.ends.iter().any(|known| known.id == end.id);
        if is_known || self.void.contains(&end.id) {
            return false;
        }
        self.ends.push(end);
        if self.ends.len() > MAX_ENDS_PER_REQUEST {
            self.drop_one();
        }
        self.is_global |= max_successive(&self.ends) >= MIN_ENDS_FOR_GLOBAL;
        true
    }

    /// Drops an end that does not change the number of successive ends, or else the first one.
    fn drop_one(&mut self) {
        let count = max_successive(&self.ends);
        let without = |at: &usize| {
            let mut rest = self.ends.clone();
            rest.remove(*at);
            max_successive(&rest) == count
        };
        let redundant = (0..self.ends.len()).find(without);
        self.ends.remove(redundant.unwrap_or(0));
    }

    fn make_void(&mut self, id: Id) -> bool {
        if self.void.contains(&id) {
            return false;
        }
        self.ends.retain(|end| end.id != id);
        self.tried.remove(&id);
        self.void.push_back(id);
        if self.void.len() > MAX_VOID_PER_REQUEST {
            self.void.pop_front();
        }
        true
    }

    /// Records a trial that was begun when this was the last known end. Returns whether it is new.
    fn add_trial(&mut self, last_end: Id, now: Duration) -> bool {
        let is_new = !self.void.contains(&last_end) && self.tried.insert(last_end);
        if is_new {
            self.tried_at = now;
        }
        is_new
    }

    /// Returns whether a trial was begun after the last end, so that its result is not known.
    fn is_on_trial(&self) -> bool {
        let is_tried = |last: &End| self.tried.contains(&last.id);
        self.last_end().is_some_and(is_tried)
    }

    /// Returns whether an endpoint ended under both.
    fn shares_end(&self, other: &Self) -> bool {
        let is_shared = |end: &End| other.ends.iter().any(|of_other| of_other.is_same(end));
        self.ends.iter().any(is_shared)
    }

    /// Returns the last end, if there is one.
    fn last_end(&self) -> Option<&End> {
        self.ends.iter().max_by_key(|end| end.at_unix_ms)
    }

    fn standing(&self) -> trial::Standing {
        trial::Standing {
            begun: self.tried.len(),
            is_under_way: self.is_on_trial(),
            refusals: self.refusals,
            last_end_at: self.last_end_at,
        }
    }

    fn clear(&mut self) {
        self.refusals = 0;
        for end in std::mem::take(&mut self.ends) {
            self.make_void(end.id);
        }
    }

    fn record_completion(&mut self, now: Duration) {
        self.clear();
        self.completions = self.completions.saturating_add(1);
        self.completed_at = Some(now);
    }

    /// Returns whether it was reported as completed within [`RECENT`].
    fn has_completed_recently(&self, now: Duration) -> bool {
        self.completed_at.is_some_and(|at| now <= at + RECENT)
    }

    /// Merges a row. Returns whether it had anything new.
    fn merge(&mut self, row: Row, now: Duration) -> bool {
        let mut is_news = false;
        for id in row.void {
            is_news |= self.make_void(id);
        }
        for end in row.ends {
            is_news |= self.add(end);
        }
        for last_end in row.tried {
            is_news |= self.add_trial(last_end, now);
        }
        if row.arrivals > self.arrivals {
            self.arrivals = row.arrivals;
            is_news = true;
        }
        if row.completions > self.completions {
            self.completions = row.completions;
            self.completed_at = Some(now);
            is_news = true;
        }
        is_news
    }
}

/// Selects which changes to report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// What was seen here or reported by processes that report to this book only; for a new reader,
    /// everything.
    Local,
    /// What all processes must know, whoever reported it.
    Global,
}

/// How far a reader has been sent the changes; the default is the beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    stamp: u64,
    /// Whether everything that was known at the beginning has been sent.
    is_begun: bool,
}

/// The requests under which endpoints ended, as known to one process.
#[derive(Debug, Default)]
pub struct Book {
    cases: BTreeMap<Fingerprint, Case>,
    /// The requests under which enough endpoints ended.
    suspects: BTreeSet<Fingerprint>,
    held_back: usize,
    stamp: u64,
    swept_at: Duration,
}

impl Book {
    /// Returns whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Returns whether any request with this head is known, in which case the body has to be hashed
    /// too.
    pub fn knows_head(&self, head: HeadHash) -> bool {
        self.cases
            .range(Fingerprint::range_of(head))
            .next()
            .is_some()
    }

    /// Returns whether a request is held back, that is sent to no endpoint.
    pub fn is_held_back(&self, fingerprint: &Fingerprint) -> bool {
        let case = self.cases.get(fingerprint);
        case.is_some_and(Case::is_held_back)
    }

    /// Returns how many requests are known, and how many of them are held back.
    pub fn counts(&self) -> (usize, usize) {
        (self.cases.len(), self.held_back)
    }

    /// Iterates over the requests that are held back, with the endpoints that ended under them.
    pub fn held_back(&self) -> impl Iterator<Item = (&Fingerprint, &[End])> {
        let cases = self.cases.iter();
        let cases = cases.filter(|(_, case)| case.is_held_back());
        cases.map(|(fingerprint, case)| (fingerprint, &case.ends[..]))
    }

    /// Returns all requests as rows, to be stored across a restart: those that are held back, and
    /// the others.
    pub fn rows(&self) -> (Vec<Row>, Vec<Row>) {
        let cases = self.cases.iter();
        let (held_back, others): (Vec<_>, Vec<_>) =
            cases.partition(|(_, case)| case.is_held_back());
        let rows = |cases: Vec<(&Fingerprint, &Case)>| {
            let cases = cases.into_iter();
            cases
                .map(|(fingerprint, case)| row(fingerprint, case))
                .collect()
        };
        (rows(held_back), rows(others))
    }

    /// Records that an endpoint ended under a request, unless the request has completed recently.
    pub fn record_end(&mut self, fingerprint: Fingerprint, end: End, now: Duration) {
        self.sweep(now);
        self.change(fingerprint, now, |case| {
            !case.has_completed_recently(now) && case.add(end)
        });
    }

    /// Clears a request that completed. Returns whether it had any ends.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: Duration) -> bool {
        self.edit_open(fingerprint, now, |case| case.record_completion(now))
    }

    /// Clears a request that an operator released, which says nothing of later ends. Returns whether it
    /// had any ends.
    pub fn release(&mut self, fingerprint: &Fingerprint, now: Duration) -> bool {
        self.edit_open(fingerprint, now, Case::clear)
    }

    /// Changes a request that has ends. Returns whether it has any.
    fn edit_open(
        &mut self,
        fingerprint: &Fingerprint,
        now: Duration,
        edit: impl FnOnce(&mut Case),
    ) -> bool {
        let is_open = |case: &Case| !case.ends.is_empty();
        if !self.cases.get(fingerprint).is_some_and(is_open) {
            return false;
        }
        self.change(*fingerprint, now, |case| {
            edit(case);
            true
        });
        true
    }

    /// Returns whether this box may try a request that is held back now.
    pub fn may_try(&self, fingerprint: &Fingerprint, trials: &Trials, now: Duration) -> bool {
        let case = self.cases.get(fingerprint);
        let Some(case) = case.filter(|case| case.is_held_back()) else {
            return false;
        };
        trials.is_due(fingerprint, case.standing(), now)
            && case.tried.len() < self.max_trials(fingerprint, case)
            && !self.is_another_on_trial(fingerprint, case, now)
    }

    /// Returns whether a suspect with an end in common with this one is on trial. Two trials at one
    /// endpoint would tell nothing of the one that does not end it.
    fn is_another_on_trial(&self, fingerprint: &Fingerprint, case: &Case, now: Duration) -> bool {
        let others = self.suspects.iter().filter(|other| *other != fingerprint);
        let mut others = others.filter_map(|other| self.cases.get(other));
        others.any(|other| {
            let is_recent = now < other.tried_at + MAX_TRIAL_TIME;
            is_recent && other.is_on_trial() && other.shares_end(case)
        })
    }

    /// Returns how often a request that is held back may be tried.
    fn max_trials(&self, fingerprint: &Fingerprint, case: &Case) -> usize {
        let last = case.last_end();
        let was_there = |other: &Case| {
            let mut ends = other.ends.iter();
            ends.any(|end| last.is_some_and(|last| end.is_same(last)))
        };
        let others = self.suspects.iter().filter(|other| *other != fingerprint);
        let mut others = others.filter_map(|other| self.cases.get(other));
        if others.any(was_there) {
            MAX_TRIALS_BESIDE_SUSPECT
        } else {
            MAX_TRIALS
        }
    }

    /// Begins a trial of a request that is held back, if this box may try it now. Returns whether it
    /// may; the request may then be sent to one endpoint.
    pub fn begin_trial(
        &mut self,
        fingerprint: &Fingerprint,
        trials: &Trials,
        now: Duration,
    ) -> bool {
        if !self.may_try(fingerprint, trials, now) {
            return false;
        }
        self.change(*fingerprint, now, |case| {
            let last_end = case.last_end().map(|end| end.id);
            last_end.is_some_and(|last_end| case.add_trial(last_end, now))
        });
        true
    }

    /// Returns whether a trial of a request that is held back is still to come.
    pub fn has_trial_left(&self, fingerprint: &Fingerprint) -> bool {
        let case = self.cases.get(fingerprint);
        case.is_some_and(|case| case.tried.len() < self.max_trials(fingerprint, case))
    }

    /// Records the arrival of a request that is held back.
    pub fn record_arrival(&mut self, fingerprint: &Fingerprint, now: Duration) {
        let Some(case) = self.cases.get_mut(fingerprint) else {
            return;
        };
        case.last_seen = now;
        case.refusals = case.refusals.saturating_add(1);
        if now < case.arrival_reported_at + ARRIVAL_REPORT_INTERVAL {
            return;
        }
        case.arrival_reported_at = now;
        self.change(*fingerprint, now, |case| {
            case.arrivals += 1;
            true
        });
    }

    /// Merges a row from another process; `own` if that process reports to this book only, so that
    /// the row has to be passed on from here. Returns whether it had anything new.
    pub fn merge(&mut self, row: Row, own: bool, now: Duration) -> bool {
        self.sweep(now);
        let fingerprint = row.fingerprint;
        let before = self.stamp;
        let changed_locally = self
            .cases
            .get(&fingerprint)
            .map(|case| case.changed_locally);
        self.change(fingerprint, now, |case| case.merge(row, now));
        let is_news = self.stamp > before;
        if is_news && !own {
            if let Some(case) = self.cases.get_mut(&fingerprint) {
                case.changed_locally = changed_locally.unwrap_or(0);
            }
        }
        is_news
    }

    /// Returns the changes that a reader has not been sent yet, the oldest first, and advances
    /// `cursor`.
    pub fn updates(&self, cursor: &mut Cursor, scope: Scope) -> Vec<Row> {
        let stamp = |case: &Case| match scope {
            Scope::Local if cursor.is_begun => case.changed_locally,
            Scope::Local | Scope::Global => case.changed,
        };
        let is_selected = |case: &Case| scope == Scope::Local || case.is_global;
        let cases = self.cases.iter();
        let cases = cases.filter(|(_, case)| stamp(case) > cursor.stamp && is_selected(case));
        let mut cases: Vec<_> = cases.collect();
        cases.sort_unstable_by_key(|(_, case)| stamp(case));
        let is_complete = cases.len() <= MAX_ROWS_PER_MESSAGE;
        cases.truncate(MAX_ROWS_PER_MESSAGE);
        let last = cases.last().map_or(cursor.stamp, |(_, case)| stamp(case));
        *cursor = Cursor {
            stamp: if is_complete { self.stamp } else { last },
            is_begun: cursor.is_begun || is_complete,
        };
        let rows = cases.into_iter();
        rows.map(|(fingerprint, case)| row(fingerprint, case))
            .collect()
    }

    /// Applies `edit` to a case, and stamps the case if `edit` returns that it changed.
    fn change(
        &mut self,
        fingerprint: Fingerprint,
        now: Duration,
        edit: impl FnOnce(&mut Case) -> bool,
    ) {
        let known = self.cases.get(&fingerprint).cloned();
        let was_suspect = known.as_ref().is_some_and(Case::is_suspect);
        let known_ends = known.as_ref().map_or(0, |case| case.ends.len());
        let mut case = known.unwrap_or_else(|| Case::new(now));
        if !edit(&mut case) {
            return;
        }
        let has_new_end = case.ends.len() > known_ends;
        if has_new_end {
            case.last_end_at = now;
        }
        self.stamp += 1;
        case.last_seen = now;
        case.changed = self.stamp;
        case.changed_locally = self.stamp;
        let is_suspect = case.is_suspect();
        self.cases.insert(fingerprint, case);
        if was_suspect || is_suspect {
            self.update_explained(fingerprint);
        }
        self.shrink();
    }

    /// Removes the requests that were not seen for [`RETENTION`].
    fn sweep(&mut self, now: Duration) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        let is_old = |case: &Case| now >= case.last_seen + RETENTION;
        let old = self.cases.iter().filter(|(_, case)| is_old(case));
        let old: Vec<_> = old.map(|(fingerprint, _)| *fingerprint).collect();
        self.forget(&old);
    }

    /// Keeps the book within its bounds. Requests that are held back and others are bounded
    /// separately, so that a flood of one kind can't push out requests of the other kind that still
    /// arrive.
    fn shrink(&mut self) {
        if self.cases.len() - self.held_back > MAX_NOT_HELD_BACK {
            self.forget_least(false, MAX_NOT_HELD_BACK);
        }
        if self.held_back > MAX_HELD_BACK {
            self.forget_least(true, MAX_HELD_BACK);
        }
    }

    /// Removes an eighth of one kind of requests: those with the fewest ends, and among these the
    /// ones not seen for the longest time.
    fn forget_least(&mut self, held_back: bool, max: usize) {
        let cases = self.cases.iter();
        let cases = cases.filter(|(_, case)| case.is_held_back() == held_back);
        let rank = |(fingerprint, case): (&Fingerprint, &Case)| {
            (case.ends.len(), case.last_seen, *fingerprint)
        };
        let mut ranked: Vec<_> = cases.map(rank).collect();
        ranked.sort_unstable();
        let least = ranked.into_iter().take(max / 8);
        let least: Vec<_> = least.map(|(.., fingerprint)| fingerprint).collect();
        self.forget(&least);
    }

    fn forget(&mut self, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            self.cases.remove(fingerprint);
            if self.suspects.contains(fingerprint) {
                self.update_explained(*fingerprint);
            }
        }
    }

    /// Updates which suspects are explained by others, after a case was changed or removed.
    fn update_explained(&mut self, changed: Fingerprint) {
        let case = self.cases.get(&changed).filter(|case| case.is_suspect());
        let is_affected = |other: &Case| {
            let was_explained = other.explained_by == Some(changed);
            was_explained || case.is_some_and(|case| case.explains(other))
        };
        let others = self.suspects.iter().filter(|other| **other != changed);
        let affected = others.filter(|other| self.cases.get(other).is_some_and(is_affected));
        let mut affected: Vec<_> = affected.copied().collect();
        if case.is_some() {
            self.suspects.insert(changed);
            affected.push(changed);
        } else {
            self.suspects.remove(&changed);
        }
        for fingerprint in affected {
            let by = self.explained_by(&fingerprint);
            if let Some(case) = self.cases.get_mut(&fingerprint) {
                case.explained_by = by;
            }
        }
        let suspects = self.suspects.iter().filter_map(|one| self.cases.get(one));
        self.held_back = suspects.filter(|case| case.is_held_back()).count();
    }

    fn explained_by(&self, fingerprint: &Fingerprint) -> Option<Fingerprint> {
        let case = self.cases.get(fingerprint)?;
        let explains = |other: &&Fingerprint| {
            let other = self.cases.get(*other);
            other.is_some_and(|other| other.explains(case))
        };
        self.suspects.iter().find(explains).copied()
    }
}

fn row(fingerprint: &Fingerprint, case: &Case) -> Row {
    Row {
        fingerprint: *fingerprint,
        ends: case.ends.clone(),
        void: case.void.iter().copied().collect(),
        tried: case.tried.iter().copied().collect(),
        arrivals: case.arrivals,
        completions: case.completions,
    }
}
