//! What one process knows of requests under which endpoints ended.
//!
//! Books are brought together by merging rows, in any order and any number of times: the ends are
//! joined, less those that anybody knows to be void. Each change gets a stamp, so that who was told
//! up to a stamp is told the rest.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{in_turn, End, Id, Row, MOST_ENDS, TOLD_ALL};
use crate::core::fingerprint::{Fingerprint, HeadHash};

/// How long a request is remembered after it last came or an endpoint last ended under it. One
/// that comes again later may end three endpoints more.
pub const REMEMBERED: Duration = Duration::from_secs(600);
/// How often it is told at most that a request keeps coming.
const HEARD: Duration = Duration::from_secs(30);
/// The most requests that are remembered and not held back: those that were at hand as some
/// seventy full endpoints ended. Some 200 bytes each.
const MOST_OPEN: usize = 4096;
/// The most that are held back. Each has ended three endpoints.
const MOST_HELD_BACK: usize = 1024;
/// The most ends that are remembered of a request.
const MOST_KEPT: usize = 2 * MOST_ENDS;
/// The most ends that are remembered as void.
const MOST_VOID: usize = 2 * MOST_KEPT;
/// How often what is old is looked for.
const SWEEP: Duration = Duration::from_secs(1);
/// The most rows that are told at once, some 150 bytes each.
const MOST_TOLD: usize = 256;

/// What is known of a request.
#[derive(Clone, Debug)]
struct Case {
    ends: Vec<End>,
    /// Ends that count no more, the oldest first.
    void: VecDeque<Id>,
    heard: u32,
    heard_at: Duration,
    /// When it last came, changed or was told of.
    touched: Duration,
    /// When it last changed.
    changed: u64,
    /// When it last changed by what was seen here or told by those who tell this book alone.
    changed_here: u64,
    /// Whether it was ever one that all have to know of.
    is_wide: bool,
    /// One of the suspects that outdoes it, if any does.
    outdone_by: Option<Fingerprint>,
}

impl Case {
    fn new(now: Duration) -> Self {
        Self {
            ends: Vec::new(),
            void: VecDeque::new(),
            heard: 0,
            heard_at: Duration::ZERO,
            touched: now,
            changed: 0,
            changed_here: 0,
            is_wide: false,
            outdone_by: None,
        }
    }

    /// Whether enough endpoints ended under it.
    fn is_suspect(&self) -> bool {
        in_turn(&self.ends) >= MOST_ENDS
    }

    /// Whether it is sent to no endpoint.
    ///
    /// One that ends endpoints is there each time. One that callers send alike and often may be
    /// beside it three times by chance: it was then there at no other end, and is let through while
    /// the other is held back. Should it end one by itself, it is held back after all.
    fn is_held_back(&self) -> bool {
        self.is_suspect() && self.outdone_by.is_none()
    }

    /// Whether it was there at each end of another one, and at more.
    fn outdoes(&self, other: &Self) -> bool {
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
        if self.ends.len() > MOST_KEPT {
            self.drop_one();
        }
        self.is_wide |= in_turn(&self.ends) >= TOLD_ALL;
        true
    }

    /// Drops an end without which as many have ended in turn, or else the first.
    fn drop_one(&mut self) {
        let count = in_turn(&self.ends);
        let without = |at: &usize| {
            let mut rest = self.ends.clone();
            rest.remove(*at);
            in_turn(&rest) == count
        };
        let spare = (0..self.ends.len()).find(without);
        self.ends.remove(spare.unwrap_or(0));
    }

    fn make_void(&mut self, id: Id) -> bool {
        if self.void.contains(&id) {
            return false;
        }
        self.ends.retain(|end| end.id != id);
        self.void.push_back(id);
        if self.void.len() > MOST_VOID {
            self.void.pop_front();
        }
        true
    }

    fn clear(&mut self) {
        for end in std::mem::take(&mut self.ends) {
            self.make_void(end.id);
        }
    }

    /// Takes what a row says beyond what is known.
    fn merge(&mut self, row: Row) -> bool {
        let mut is_news = false;
        for id in row.void {
            is_news |= self.make_void(id);
        }
        for end in row.ends {
            is_news |= self.add(end);
        }
        if row.heard > self.heard {
            self.heard = row.heard;
            is_news = true;
        }
        is_news
    }
}

/// Which changes are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// What was seen here or told by those who tell this book alone; all that is known to one
    /// who starts anew.
    Own,
    /// What all have to know, whoever told it.
    Wide,
}

/// Up to where someone has been told; the default is the beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    stamp: u64,
    /// Whether all that was known at the beginning has been told.
    is_begun: bool,
}

/// What one process knows of requests under which endpoints ended.
#[derive(Debug, Default)]
pub struct Book {
    cases: BTreeMap<Fingerprint, Case>,
    /// The requests under which enough endpoints ended.
    suspects: BTreeSet<Fingerprint>,
    held_back: usize,
    stamp: u64,
    swept: Duration,
}

impl Book {
    /// Whether nothing is known at all.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Whether anything is known of requests with a head, so that the body matters.
    pub fn knows(&self, head: HeadHash) -> bool {
        self.cases.range(Fingerprint::all_of(head)).next().is_some()
    }

    /// Whether a request is sent to no endpoint.
    pub fn is_held_back(&self, fingerprint: &Fingerprint) -> bool {
        let case = self.cases.get(fingerprint);
        case.is_some_and(Case::is_held_back)
    }

    /// How many requests are known, and how many of them are held back.
    pub fn counts(&self) -> (usize, usize) {
        (self.cases.len(), self.held_back)
    }

    /// The requests that are held back, with the endpoints that ended under them.
    pub fn held_back(&self) -> impl Iterator<Item = (&Fingerprint, &[End])> {
        let cases = self.cases.iter();
        let cases = cases.filter(|(_, case)| case.is_held_back());
        cases.map(|(fingerprint, case)| (fingerprint, &case.ends[..]))
    }

    /// The same as rows, to be kept over a restart.
    pub fn held_back_rows(&self) -> Vec<Row> {
        let cases = self.cases.iter();
        let cases = cases.filter(|(_, case)| case.is_held_back());
        cases
            .map(|(fingerprint, case)| row(fingerprint, case))
            .collect()
    }

    /// Notes that an endpoint ended under a request.
    pub fn ended(&mut self, fingerprint: Fingerprint, end: End, now: Duration) {
        self.sweep(now);
        self.change(fingerprint, now, |case| case.add(end));
    }

    /// Notes that a request was run to its end, or is taken back into service by an operator;
    /// whether anything was known of it.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: Duration) -> bool {
        let is_open = |case: &Case| !case.ends.is_empty();
        if !self.cases.get(fingerprint).is_some_and(is_open) {
            return false;
        }
        self.change(*fingerprint, now, |case| {
            case.clear();
            true
        });
        true
    }

    /// Notes that a request came though it is held back.
    pub fn came(&mut self, fingerprint: &Fingerprint, now: Duration) {
        let Some(case) = self.cases.get_mut(fingerprint) else {
            return;
        };
        case.touched = now;
        if now < case.heard_at + HEARD {
            return;
        }
        case.heard_at = now;
        self.change(*fingerprint, now, |case| {
            case.heard += 1;
            true
        });
    }

    /// Takes a row that was told; `own` if its teller tells this book alone, so that others have
    /// to hear of it from here. Tells whether it was news.
    pub fn merge(&mut self, row: Row, own: bool, now: Duration) -> bool {
        self.sweep(now);
        let fingerprint = row.fingerprint;
        let before = self.stamp;
        let here = self.cases.get(&fingerprint).map(|case| case.changed_here);
        self.change(fingerprint, now, |case| case.merge(row));
        let is_news = self.stamp > before;
        if is_news && !own {
            if let Some(case) = self.cases.get_mut(&fingerprint) {
                case.changed_here = here.unwrap_or(0);
            }
        }
        is_news
    }

    /// What one has to hear who was told so far, the oldest first; notes that it was told.
    pub fn news(&self, told: &mut Told, part: Part) -> Vec<Row> {
        let stamp = |case: &Case| match part {
            Part::Own if told.is_begun => case.changed_here,
            Part::Own | Part::Wide => case.changed,
        };
        let is_meant = |case: &Case| part == Part::Own || case.is_wide;
        let cases = self.cases.iter();
        let cases = cases.filter(|(_, case)| stamp(case) > told.stamp && is_meant(case));
        let mut cases: Vec<_> = cases.collect();
        cases.sort_unstable_by_key(|(_, case)| stamp(case));
        let is_whole = cases.len() <= MOST_TOLD;
        cases.truncate(MOST_TOLD);
        let last = cases.last().map_or(told.stamp, |(_, case)| stamp(case));
        *told = Told {
            stamp: if is_whole { self.stamp } else { last },
            is_begun: told.is_begun || is_whole,
        };
        let rows = cases.into_iter();
        rows.map(|(fingerprint, case)| row(fingerprint, case))
            .collect()
    }

    /// Changes a case, and notes when if it says that it did.
    fn change(
        &mut self,
        fingerprint: Fingerprint,
        now: Duration,
        act: impl FnOnce(&mut Case) -> bool,
    ) {
        let known = self.cases.get(&fingerprint).cloned();
        let was_suspect = known.as_ref().is_some_and(Case::is_suspect);
        let mut case = known.unwrap_or_else(|| Case::new(now));
        if !act(&mut case) {
            return;
        }
        self.stamp += 1;
        case.touched = now;
        case.changed = self.stamp;
        case.changed_here = self.stamp;
        let is_suspect = case.is_suspect();
        self.cases.insert(fingerprint, case);
        if was_suspect || is_suspect {
            self.settle(fingerprint);
        }
        self.shrink();
    }

    /// Forgets what was not heard of for long.
    fn sweep(&mut self, now: Duration) {
        if now < self.swept + SWEEP {
            return;
        }
        self.swept = now;
        let is_old = |case: &Case| now >= case.touched + REMEMBERED;
        let old = self.cases.iter().filter(|(_, case)| is_old(case));
        let old: Vec<_> = old.map(|(fingerprint, _)| *fingerprint).collect();
        self.forget(&old);
    }

    /// Keeps the book within its bounds. What is not held back makes no room for what is, nor
    /// the other way round, so that no flood of either has a request forgotten that keeps coming.
    fn shrink(&mut self) {
        if self.cases.len() - self.held_back > MOST_OPEN {
            self.forget_least(false, MOST_OPEN);
        }
        if self.held_back > MOST_HELD_BACK {
            self.forget_least(true, MOST_HELD_BACK);
        }
    }

    /// Forgets an eighth of those of a kind: the ones with the fewest ends, and of these the ones
    /// that have not come for longest.
    fn forget_least(&mut self, held_back: bool, most: usize) {
        let cases = self.cases.iter();
        let cases = cases.filter(|(_, case)| case.is_held_back() == held_back);
        let rank = |(fingerprint, case): (&Fingerprint, &Case)| {
            (case.ends.len(), case.touched, *fingerprint)
        };
        let mut ranked: Vec<_> = cases.map(rank).collect();
        ranked.sort_unstable();
        let least = ranked.into_iter().take(most / 8);
        let least: Vec<_> = least.map(|(.., fingerprint)| fingerprint).collect();
        self.forget(&least);
    }

    fn forget(&mut self, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            self.cases.remove(fingerprint);
            if self.suspects.contains(fingerprint) {
                self.settle(*fingerprint);
            }
        }
    }

    /// Brings up to date which suspects are outdone, after a case has changed or gone.
    fn settle(&mut self, changed: Fingerprint) {
        let case = self.cases.get(&changed).filter(|case| case.is_suspect());
        let concerns = |other: &Case| {
            let by_it = other.outdone_by == Some(changed);
            by_it || case.is_some_and(|case| case.outdoes(other))
        };
        let others = self.suspects.iter().filter(|other| **other != changed);
        let concerned = others.filter(|other| self.cases.get(other).is_some_and(concerns));
        let mut concerned: Vec<_> = concerned.copied().collect();
        if case.is_some() {
            self.suspects.insert(changed);
            concerned.push(changed);
        } else {
            self.suspects.remove(&changed);
        }
        for fingerprint in concerned {
            let by = self.outdone_by(&fingerprint);
            if let Some(case) = self.cases.get_mut(&fingerprint) {
                case.outdone_by = by;
            }
        }
        let suspects = self.suspects.iter().filter_map(|one| self.cases.get(one));
        self.held_back = suspects.filter(|case| case.is_held_back()).count();
    }

    fn outdone_by(&self, fingerprint: &Fingerprint) -> Option<Fingerprint> {
        let case = self.cases.get(fingerprint)?;
        let outdoes = |other: &&Fingerprint| {
            let other = self.cases.get(*other);
            other.is_some_and(|other| other.outdoes(case))
        };
        self.suspects.iter().find(outdoes).copied()
    }
}

fn row(fingerprint: &Fingerprint, case: &Case) -> Row {
    Row {
        fingerprint: *fingerprint,
        ends: case.ends.clone(),
        void: case.void.iter().copied().collect(),
        heard: case.heard,
    }
}
