//! Usage by team: each request counts once, whatever is lost, repeated or told to another voter,
//! and what was agreed on for a window does not change.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::core::{
    name,
    usage::{difference, Book, BoxStart, Closed, Counts, Log, Page, Tally, Voters, Window},
};

const WINDOW_LENGTH: Duration = Duration::from_secs(5);
const START_MS: u64 = 1_790_000_000_000;

fn team(i: usize) -> name::Team {
    format!("t{i}").parse().unwrap()
}

fn counts(pairs: &[(usize, u64)]) -> Counts {
    pairs.iter().map(|(i, count)| (team(*i), *count)).collect()
}

/// A box that counts requests, tells the counts to one of several voters, and is sometimes killed.
struct CountingBox {
    source: BoxStart,
    tally: Tally,
    voter: usize,
    told: BTreeMap<Window, Counts>,
}

impl CountingBox {
    fn new(i: usize, start: u64) -> Self {
        Self {
            source: BoxStart {
                name: format!("e{i}").parse().unwrap(),
                start,
            },
            tally: Tally::new(WINDOW_LENGTH),
            voter: i % 3,
            told: BTreeMap::new(),
        }
    }

    fn page(&self, heard_ms: u64) -> Page {
        Page {
            source: self.source.clone(),
            heard_ms,
            rows: difference(&self.told, self.tally.windows()),
        }
    }
}

/// Boxes tell their counts to one of three voters at a time, over links that lose messages and
/// answers. The sums of what was told are exact, and only what a killed box had not told is
/// missing.
#[test]
fn each_request_counts_once_through_losses_moves_and_kills() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut books: Vec<_> = (0..3).map(|_| Book::default()).collect();
        let mut boxes: Vec<_> = (0..12).map(|i| CountingBox::new(i, 0)).collect();
        let mut truth: BTreeMap<Window, Counts> = BTreeMap::new();
        for step in 0..300_u64 {
            let now_ms = START_MS + 100 * step;
            for i in 0..boxes.len() {
                for _ in 0..random.random_range(0..3) {
                    boxes[i]
                        .tally
                        .count(&team(random.random_range(0..5)), now_ms);
                }
                let told = random.random_bool(0.7) || step == 299;
                if told {
                    let page = boxes[i].page(now_ms);
                    books[boxes[i].voter].merge(page);
                    // If the answer is lost, the box tells the same once more.
                    if random.random_bool(0.8) {
                        boxes[i].told = boxes[i].tally.windows().clone();
                    }
                }
                if random.random_bool(0.01) {
                    // The box moves to another voter and tells everything again.
                    boxes[i].voter = random.random_range(0..3);
                    boxes[i].told.clear();
                } else if told && random.random_bool(0.005) && step < 250 {
                    add(&mut truth, boxes[i].tally.windows());
                    boxes[i] = CountingBox::new(i, step + 1);
                }
            }
        }
        for counting_box in &boxes {
            add(&mut truth, counting_box.tally.windows());
        }
        // The holder merges the books of all voters, twice.
        let mut all = Book::default();
        for _ in 0..2 {
            for book in &books {
                for page in book.changed_since(0).pages {
                    all.merge(page);
                }
            }
        }
        for (window, expected) in &truth {
            assert_eq!(
                all.totals(*window),
                *expected,
                "seed {seed}, window {window}"
            );
        }
    }
}

fn add(truth: &mut BTreeMap<Window, Counts>, windows: &BTreeMap<Window, Counts>) {
    for (window, counts) in windows {
        let sums = truth.entry(*window).or_default();
        for (team, count) in counts {
            *sums.entry(team.clone()).or_default() += count;
        }
    }
}

#[test]
fn a_box_that_was_not_heard_after_the_end_is_waited_for_until_it_starts_again() {
    let window = Window::at(START_MS, WINDOW_LENGTH).unwrap();
    let end = window.end_ms(WINDOW_LENGTH);
    let mut book = Book::default();
    let page = |name: &str, start, heard_ms| Page {
        source: BoxStart {
            name: name.parse().unwrap(),
            start,
        },
        heard_ms,
        rows: Vec::new(),
    };
    book.merge(page("e1", 1, end + 10));
    book.merge(page("e2", 1, end - 200));
    book.merge(page("e3", 1, end - 60_000));
    let behind = |book: &Book| -> Vec<_> {
        let behind = book.lagging(end - 10_000, end);
        behind
            .into_iter()
            .map(|(source, _)| source.name.to_string())
            .collect()
    };
    assert_eq!(behind(&book), ["e2"], "e3 was last heard long ago");
    book.merge(page("e2", 2, end + 500));
    assert_eq!(behind(&book), Vec::<String>::new());
}

#[test]
fn changes_tell_only_what_is_new_to_the_one_who_asks() {
    let mut counting_box = CountingBox::new(1, 0);
    let mut book = Book::default();
    counting_box.tally.count(&team(1), START_MS);
    counting_box.tally.count(&team(2), START_MS);
    book.merge(counting_box.page(START_MS));
    let first = book.changed_since(0);
    assert_eq!(first.pages[0].rows[0].counts, counts(&[(1, 1), (2, 1)]));
    assert!(book.changed_since(first.stamp).pages.is_empty());
    counting_box.tally.count(&team(2), START_MS);
    book.merge(counting_box.page(START_MS));
    let second = book.changed_since(first.stamp);
    assert_eq!(second.pages[0].rows[0].counts, counts(&[(2, 2)]));
}

#[test]
fn what_was_agreed_on_for_a_window_stays() {
    let mut log = Log::default();
    let closed = |window, pairs: &[(usize, u64)], reported: &[u64]| Closed {
        window: Window(window),
        counts: Arc::new(counts(pairs)),
        reported: reported
            .iter()
            .map(|window| Window(*window))
            .collect::<BTreeSet<_>>(),
    };
    log.close(&closed(7, &[(1, 5)], &[]));
    log.close(&closed(7, &[(1, 6)], &[]));
    assert_eq!(*log.windows()[&Window(7)].counts, counts(&[(1, 5)]));
    log.close(&closed(8, &[(1, 1)], &[7]));
    assert!(log.windows()[&Window(7)].reported);
    assert!(!log.windows()[&Window(8)].reported);
    // The log is bounded, and a window that was dropped is never agreed on again.
    for window in 9..200 {
        log.close(&closed(window, &[(1, 1)], &[window - 1]));
    }
    assert!(log.windows().len() <= 64, "{}", log.windows().len());
    assert!(log.is_closed(Window(7)));
    log.close(&closed(7, &[(1, 9)], &[]));
    assert!(!log.windows().contains_key(&Window(7)));
}

/// Bounds the bytes that boxes tell and the log keeps for a window of 27,000 teams on 390 boxes.
#[test]
fn a_window_of_many_teams_stays_within_its_bounds() {
    let window = Window::at(START_MS, WINDOW_LENGTH).unwrap();
    let mut book = Book::default();
    let mut told = 0;
    for i in 0..390 {
        let mut counting_box = CountingBox::new(i, 0);
        // 5,800 requests a second are 75 for each box and window.
        for request in 0..75 {
            counting_box
                .tally
                .count(&team((i * 75 + request) % 27_000), START_MS);
        }
        let page = counting_box.page(START_MS);
        told += serde_json::to_vec(&page.rows).unwrap().len();
        book.merge(page);
    }
    let totals = book.totals(window);
    assert_eq!(totals.values().sum::<u64>(), 390 * 75);
    let bytes_per_box_second = told / 390 / 5;
    assert!(
        bytes_per_box_second < 1024,
        "{bytes_per_box_second} bytes per box and second"
    );
    let report = serde_json::to_vec(&totals).unwrap().len();
    assert!(report < 512 * 1024, "{report} bytes a report");
}

/// A voter that has just become the holder has not asked the other voters yet. If it counted them
/// as heard, it would close windows with only what its own boxes had told, a quarter of all.
#[test]
fn nobody_is_heard_before_the_others_were_asked() {
    let names: Vec<name::Box> = ["c1", "c2"].map(|name| name.parse().unwrap()).into();
    let at = Duration::from_secs;
    let mut voters = Voters::default();
    assert_eq!(voters.unanswered_since(at(10)), None);
    voters.record_round([(&names[0], true), (&names[1], false)].into_iter(), at(11));
    assert_eq!(
        voters.unanswered_since(at(10)),
        Some(vec![names[1].clone()])
    );
    // The voter is removed from the members meanwhile, and is still waited for.
    voters.record_round([(&names[0], true)].into_iter(), at(20));
    assert_eq!(
        voters.unanswered_since(at(15)),
        Some(vec![names[1].clone()])
    );
    voters.record_round([(&names[0], true)].into_iter(), at(27));
    assert_eq!(voters.unanswered_since(at(25)), Some(vec![]));
}
