//! The books of requests under which endpoints end, merged between boxes and voters without a
//! network.

use std::time::Duration;

use scalewood::core::{
    crash::{Book, Cursor, End, Id, Row, Scope, Trials, ENDS_TO_HOLD_BACK, RECENT, RETENTION},
    fingerprint::{Fingerprint, Head, HeadHash},
    load::{Hub, Update},
    name,
};

const NOW: Duration = Duration::from_secs(1000);

fn fingerprint(team: &str, body: &str) -> Fingerprint {
    let head = Head {
        team,
        method: "POST",
        target: "/p/",
    };
    Fingerprint::of(HeadHash::of(&head, body.len()), body.as_bytes())
}

/// Returns the end of an endpoint, at a time derived from its name.
fn end(endpoint: &str) -> End {
    let bytes = endpoint.bytes().map(u64::from);
    end_at(
        endpoint,
        100 * bytes.fold(0, |sum, byte| 31 * sum % 100_000 + byte),
    )
}

fn end_at(endpoint: &str, at_unix_ms: u64) -> End {
    let endpoint: name::Endpoint = endpoint.parse().unwrap();
    End {
        id: Id::new(&endpoint, None, at_unix_ms),
        endpoint,
        at_unix_ms,
        ran_ms: 50,
    }
}

/// Returns a book with `ends` ends under a request.
fn book(fingerprint: Fingerprint, ends: usize) -> Book {
    let mut book = Book::default();
    for i in 0..ends {
        book.record_end(fingerprint, end(&format!("i-{i}")), NOW);
    }
    book
}

fn rows(book: &Book) -> Vec<Row> {
    book.updates(&mut Cursor::default(), Scope::Local)
}

#[test]
fn a_request_is_the_same_by_path_caller_and_body_alone() {
    let one = fingerprint("shop", "body");
    assert_eq!(one, fingerprint("shop", "body"));
    assert_ne!(one, fingerprint("other", "body"));
    assert_ne!(one, fingerprint("shop", "bodY"));
    assert_eq!(one.to_string().parse(), Ok(one));
    for wrong in ["", "0-0", "+000000000000000-0000000000000000"] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
    // The parts of a head are delimited: moving a byte from one to the next changes the hash.
    let head = |team, method| Head {
        team,
        method,
        target: "",
    };
    assert_ne!(
        HeadHash::of(&head("ab", "c"), 0),
        HeadHash::of(&head("a", "bc"), 0)
    );
}

#[test]
fn the_third_end_holds_a_request_back() {
    let one = fingerprint("shop", "body");
    for ends in 0..=ENDS_TO_HOLD_BACK + 1 {
        let is_held_back = book(one, ends).is_held_back(&one);
        assert_eq!(is_held_back, ends >= ENDS_TO_HOLD_BACK, "{ends}");
    }
    // The same end, reported twice, counts once.
    let mut twice = book(one, 2);
    twice.record_end(one, end("i-1"), NOW);
    assert!(!twice.is_held_back(&one));
}

#[test]
fn books_agree_in_whatever_order_and_however_often_rows_are_merged() {
    let one = fingerprint("shop", "body");
    let mut left = book(one, 2);
    let mut right = Book::default();
    right.record_end(one, end("i-7"), NOW);
    for _ in 0..2 {
        for row in rows(&left) {
            right.merge(row, true, NOW);
        }
        for row in rows(&right) {
            left.merge(row, true, NOW);
        }
    }
    assert!(left.is_held_back(&one));
    assert!(right.is_held_back(&one));
    // Rows that are merged again change nothing.
    for row in rows(&left) {
        assert!(!right.merge(row, true, NOW));
    }
}

#[test]
fn a_finished_run_clears_a_request_everywhere_also_against_rows_that_come_late() {
    let one = fingerprint("shop", "body");
    let late = rows(&book(one, 2));
    let mut book = book(one, 2);
    assert!(book.clear(&one, NOW));
    assert!(!book.clear(&one, NOW), "a request without ends was cleared");
    let mut other = Book::default();
    for row in late.iter().chain(&rows(&book)).chain(&late) {
        other.merge(row.clone(), true, NOW);
    }
    assert!(!other.is_held_back(&one));
    // Ends soon after the completion count at no box.
    for name in ["i-4", "i-5", "i-6"] {
        other.record_end(one, end(name), NOW + RECENT);
    }
    assert!(!other.is_held_back(&one));
    // Later ones count again from zero.
    let later = NOW + RECENT + Duration::from_millis(1);
    for name in ["i-7", "i-8"] {
        other.record_end(one, end(name), later);
    }
    assert!(!other.is_held_back(&one));
    other.record_end(one, end("i-9"), later);
    assert!(other.is_held_back(&one));
}

/// Guards against an operator's release that lets a request which ends endpoints end any number of them
/// for a while: unlike a completion, it says nothing of later ends.
#[test]
fn ends_right_after_a_release_count() {
    let one = fingerprint("shop", "body");
    let mut book = book(one, 3);
    assert!(book.release(&one, NOW));
    assert!(!book.is_held_back(&one));
    for name in ["i-7", "i-8", "i-9"] {
        book.record_end(one, end(name), NOW);
    }
    assert!(book.is_held_back(&one));
}

/// Guards against trials at each box, every one of which a crashing request may use to end another
/// endpoint.
#[test]
fn a_request_that_is_held_back_is_tried_by_one_box_that_refused_it_often() {
    let one = fingerprint("shop", "body");
    let trials = |name: &str| Trials::new(name.parse().unwrap(), 2);
    let late = NOW + Duration::from_secs(60);
    let mut left = book(one, 3);
    let mut right = Book::default();
    rows(&left).into_iter().for_each(|row| {
        right.merge(row, true, NOW);
    });
    assert!(
        !left.begin_trial(&one, &trials("e1"), late),
        "never refused"
    );
    for _ in 0..20 {
        left.record_arrival(&one, NOW);
        right.record_arrival(&one, NOW);
    }
    assert!(
        !left.may_try(&one, &trials("e1"), NOW),
        "right after an end"
    );
    assert!(left.may_try(&one, &trials("e1"), late));
    assert!(right.may_try(&one, &trials("e2"), late));
    let without = serde_json::to_string(&rows(&left)).unwrap();
    assert!(
        !without.contains("\"y\""),
        "an earlier build's row: {without}"
    );
    assert!(left.begin_trial(&one, &trials("e1"), late));
    assert!(
        !left.begin_trial(&one, &trials("e1"), late),
        "a second trial"
    );
    for row in rows(&left) {
        assert!(right.merge(row.clone(), true, late));
        assert!(!right.merge(row, true, late), "no news");
    }
    assert!(!right.may_try(&one, &trials("e2"), late));
    assert!(left.is_held_back(&one) && right.is_held_back(&one));
    // A trial whose endpoint ended was the only one.
    let much_later = late + Duration::from_secs(60);
    left.record_end(one, end("i-7"), late);
    assert!(!left.may_try(&one, &trials("e1"), much_later));
    assert!(!left.has_trial_left(&one));
    // A trial that completed clears the request; later ends and trials count anew.
    assert!(left.clear(&one, late));
    rows(&left).into_iter().for_each(|row| {
        right.merge(row, true, late);
    });
    assert!(!right.is_held_back(&one));
    assert!(right.has_trial_left(&one));
}

/// Guards against a harmless request that stays refused because it was tried at the same endpoint as the
/// crashing request that was held back with it. The crashing one may not be tried without end either.
#[test]
fn a_trial_that_another_suspect_was_at_is_repeated_once() {
    let (one, other) = (fingerprint("shop", "body"), fingerprint("shop", "other"));
    let trials = Trials::new("e1".parse().unwrap(), 1);
    let mut book = book(one, 3);
    for i in 1..4 {
        book.record_end(other, end(&format!("i-{i}")), NOW);
    }
    let mut now = NOW;
    for name in ["i-7", "i-8"] {
        now += Duration::from_secs(60);
        for request in [one, other] {
            (0..20).for_each(|_| book.record_arrival(&request, now));
        }
        assert!(book.begin_trial(&one, &trials, now), "{name}");
        assert!(!book.begin_trial(&one, &trials, now), "twice, {name}");
        // The other one waits for the result, but not for long.
        assert!(!book.may_try(&other, &trials, now), "{name}");
        now += Duration::from_secs(10);
        assert!(book.begin_trial(&other, &trials, now), "{name}");
        for request in [one, other] {
            book.record_end(request, end_at(name, now.as_millis() as u64 * 100), now);
        }
    }
    now += Duration::from_secs(60);
    assert!(!book.may_try(&one, &trials, now) && !book.may_try(&other, &trials, now));
}

#[test]
fn a_request_that_keeps_coming_stays_held_back_everywhere_and_one_that_does_not_is_forgotten() {
    let one = fingerprint("shop", "body");
    let mut here = book(one, 3);
    let mut there = Book::default();
    let mut told = Cursor::default();
    let mut now = NOW;
    for _ in 0..100 {
        now += Duration::from_secs(20);
        here.record_arrival(&one, now);
        for row in here.updates(&mut told, Scope::Local) {
            there.merge(row, false, now);
        }
        // The end under another request triggers the search for expired ones.
        there.record_end(fingerprint("shop", "other"), end("i-1"), now);
        assert!(there.is_held_back(&one));
    }
    now += RETENTION;
    there.record_end(fingerprint("shop", "other"), end("i-2"), now);
    assert!(!there.is_held_back(&one));
}

#[test]
fn a_flood_of_either_kind_neither_fills_memory_nor_has_one_forgotten_that_keeps_coming() {
    let one = fingerprint("shop", "body");
    let mut book = book(one, 3);
    for i in 0..6000 {
        let now = NOW + Duration::from_millis(i);
        let flood = fingerprint("attacker", &i.to_string());
        for n in 0..=(i % 3) {
            book.record_end(flood, end(&format!("f-{i}-{n}")), now);
        }
        book.record_arrival(&one, now);
    }
    let (known, held_back) = book.counts();
    assert!(known <= 4096 + 1024, "{known}");
    assert!(held_back <= 1024, "{held_back}");
    assert!(book.is_held_back(&one));
}

/// Three zones, each with a hub and one box.
struct Zones {
    hubs: Vec<Hub>,
    boxes: Vec<(Book, Cursor, bool)>,
    now: Duration,
}

impl Zones {
    fn new() -> Self {
        Self {
            hubs: (0..3).map(|_| Hub::default()).collect(),
            boxes: (0..3)
                .map(|_| (Book::default(), Cursor::default(), true))
                .collect(),
            now: NOW,
        }
    }

    fn hub_name(i: usize) -> name::Box {
        format!("c{i}").parse().unwrap()
    }

    /// Runs one round of exchanges: boxes with their hubs, then hubs with each other over the links
    /// that are up.
    fn round(&mut self, up: impl Fn(usize, usize) -> bool) {
        self.now += Duration::from_millis(100);
        let now = self.now;
        for (i, (book, told, anew)) in self.boxes.iter_mut().enumerate() {
            let name = format!("e{i}").parse().unwrap();
            let news = Update {
                crashes: book.updates(told, Scope::Local),
                ..Update::default()
            };
            let answer = self.hubs[i].exchange(&name, *anew, news, now);
            *anew = false;
            for row in answer.update.crashes {
                book.merge(row, false, now);
            }
        }
        for from in 0..3 {
            for to in (0..3).filter(|to| *to != from) {
                let (a, b) = (Self::hub_name(from), Self::hub_name(to));
                if !up(from, to) {
                    self.hubs[from].forget_sent(&b);
                    continue;
                }
                let mut news = self.hubs[from].update_for(&b, false, now);
                if !self.hubs[to].apply_peer_update(&a, false, news, now) {
                    news = self.hubs[from].update_for(&b, true, now);
                    self.hubs[to].apply_peer_update(&a, true, news, now);
                }
            }
        }
    }

    fn held_back(&self, one: &Fingerprint) -> Vec<bool> {
        let boxes = self.boxes.iter();
        boxes.map(|(book, ..)| book.is_held_back(one)).collect()
    }
}

#[test]
fn ends_that_three_boxes_saw_one_each_hold_a_request_back_at_all_of_them() {
    let one = fingerprint("shop", "body");
    let mut zones = Zones::new();
    zones.round(|_, _| true);
    for i in 0..3 {
        let now = zones.now;
        zones.boxes[i]
            .0
            .record_end(one, end(&format!("i-{i}")), now);
    }
    // One round each to report, to pass on between hubs and to inform the boxes, 100 ms per round.
    for _ in 0..3 {
        zones.round(|_, _| true);
    }
    assert_eq!(zones.held_back(&one), [true; 3]);
}

#[test]
fn what_was_learnt_during_a_cut_is_known_everywhere_after_it_and_to_a_box_that_starts() {
    let one = fingerprint("shop", "body");
    let mut zones = Zones::new();
    zones.round(|_, _| true);
    let cut = |from: usize, to: usize| from != 2 && to != 2;
    for i in 0..3 {
        let now = zones.now;
        zones.boxes[0]
            .0
            .record_end(one, end(&format!("i-{i}")), now);
    }
    for _ in 0..5 {
        zones.round(cut);
    }
    let held_back = zones.held_back(&one);
    assert_eq!(held_back[..2], [true; 2]);
    assert!(!held_back[2], "the box of a cut off zone was informed");
    zones.boxes[1] = (Book::default(), Cursor::default(), true);
    // In the zone that was cut off, the voter and its box lose their state.
    zones.hubs[2] = Hub::default();
    zones.boxes[2] = (Book::default(), Cursor::default(), true);
    for _ in 0..3 {
        zones.round(|_, _| true);
    }
    assert_eq!(zones.held_back(&one), [true; 3]);
}

#[test]
fn a_voter_that_lost_all_learns_it_again_from_its_boxes() {
    let one = fingerprint("shop", "body");
    let mut zones = Zones::new();
    for i in 0..3 {
        let now = zones.now;
        zones.boxes[0]
            .0
            .record_end(one, end(&format!("i-{i}")), now);
    }
    for _ in 0..3 {
        zones.round(|_, _| true);
    }
    for hub in &mut zones.hubs {
        *hub = Hub::default();
    }
    for (_, told, anew) in &mut zones.boxes {
        (*told, *anew) = (Cursor::default(), true);
    }
    zones.boxes[1].0 = Book::default();
    for _ in 0..3 {
        zones.round(|_, _| true);
    }
    assert_eq!(zones.held_back(&one), [true; 3]);
}

/// The loss of a zone ends many endpoints at once, each under many requests. None of these requests
/// is held back, and boxes are told of none of them.
#[test]
fn a_whole_group_of_endpoints_that_is_lost_convicts_nobody() {
    let mut zones = Zones::new();
    zones.round(|_, _| true);
    for i in 0..900 {
        let now = zones.now;
        let lost = fingerprint("shop", &i.to_string());
        let endpoint = end(&format!("i-{}", i / 30));
        zones.boxes[i % 3].0.record_end(lost, endpoint, now);
    }
    for _ in 0..10 {
        zones.round(|_, _| true);
    }
    for (book, ..) in &zones.boxes {
        assert_eq!(
            book.counts(),
            (300, 0),
            "a book must hold only its own rows, and none held back"
        );
    }
    assert_eq!(zones.hubs[0].crashes().counts(), (900, 0));
}

/// A whole team may send the same content, so that it runs on each endpoint of a group that is lost
/// at once or within a short time. All of these runs started before the first end, so the ends
/// count as one.
#[test]
fn a_group_that_is_lost_at_once_under_alike_requests_counts_once() {
    let one = fingerprint("shop", "alike");
    let mut book = Book::default();
    let long = |name: &str, at| End {
        ran_ms: 3_000,
        ..end_at(name, at)
    };
    for i in 0..30 {
        book.record_end(one, long(&format!("i-{i}"), 7_000 + 20 * i), NOW);
    }
    assert!(!book.is_held_back(&one));
    book.record_end(one, long("i-40", 11_000), NOW);
    assert!(
        !book.is_held_back(&one),
        "held back after two successive ends"
    );
    book.record_end(one, long("i-41", 15_000), NOW);
    assert!(
        book.is_held_back(&one),
        "not held back after three successive ends"
    );
}

/// Each end counts if its run started after the previous end, however soon the endpoints end.
#[test]
fn ends_in_turn_count_each_however_close_they_are() {
    let one = fingerprint("shop", "fast");
    let mut book = Book::default();
    for i in 0..3 {
        let end = End {
            ran_ms: 2,
            ..end_at(&format!("i-{i}"), 7_000 + 3 * i)
        };
        assert!(!book.is_held_back(&one));
        book.record_end(one, end, NOW);
    }
    assert!(book.is_held_back(&one));
}

/// Measures the bytes exchanged per end in the most expensive case: an endpoint with sixty requests
/// from many boxes ends each second, and a third of them ran at the previous end too.
#[test]
fn what_ends_cost_in_bytes_does_not_grow_with_the_boxes_but_at_voters() {
    const VOTERS: usize = 3;
    const RUNNING: usize = 60;
    const ENDS: usize = 20;
    for boxes in [30, 100, 300] {
        let mut hubs: Vec<_> = (0..VOTERS).map(|_| Hub::default()).collect();
        let mut books: Vec<_> = (0..boxes)
            .map(|_| (Book::default(), Cursor::default()))
            .collect();
        let (mut box_bytes, mut voter_bytes) = (vec![0; boxes], [0; VOTERS]);
        let size = |rows: &Vec<Row>| serde_json::to_string(rows).unwrap().len();
        for round in 0..ENDS {
            let now = NOW + Duration::from_secs(round as u64);
            let at = 10_000 + 1000 * round as u64;
            for i in 0..RUNNING {
                // The first third also ran on the previous endpoint.
                let again = if i < RUNNING / 3 { RUNNING / 3 } else { 0 };
                let number = RUNNING * (round + 1) + i - again;
                let one = fingerprint("shop", &number.to_string());
                let book = &mut books[number % boxes].0;
                book.record_end(one, end_at(&format!("i-{round}"), at), now);
            }
            // Boxes report, voters inform each other, and boxes are informed.
            for step in 0..2 {
                for (i, (book, told)) in books.iter_mut().enumerate() {
                    let crashes = book.updates(told, Scope::Local);
                    box_bytes[i] += size(&crashes);
                    let news = Update {
                        crashes,
                        ..Update::default()
                    };
                    let name = format!("e{i}").parse().unwrap();
                    let anew = round == 0 && step == 0;
                    let hub = i % VOTERS;
                    let answer = hubs[hub].exchange(&name, anew, news, now);
                    voter_bytes[hub] += size(&answer.update.crashes);
                    for row in answer.update.crashes {
                        book.merge(row, false, now);
                    }
                }
                for from in 0..VOTERS {
                    for to in (0..VOTERS).filter(|to| *to != from) {
                        let (a, b) = (Zones::hub_name(from), Zones::hub_name(to));
                        let anew = round == 0 && step == 0;
                        let news = hubs[from].update_for(&b, anew, now);
                        voter_bytes[from] += size(&news.crashes);
                        hubs[to].apply_peer_update(&a, anew, news, now);
                    }
                }
            }
        }
        let most = |bytes: &[usize]| bytes.iter().max().unwrap() / ENDS;
        let (box_most, voter_most) = (most(&box_bytes), most(&voter_bytes));
        println!("{boxes} boxes: a box {box_most} B, a voter {voter_most} B an end");
        assert!(box_most < 2_000, "{boxes} boxes: {box_most} B an end");
        assert!(voter_most < 40_000 + 2_500 * boxes, "{boxes}: {voter_most}");
    }
}

/// Guards against holding back a harmless request that many callers send. Endpoints end under a
/// crashing request at four moments within a second. The harmless one runs at three of them, the
/// last time since two milliseconds before the end, and completes nowhere in between. If these ends
/// counted against it, all boxes would refuse it from then on (20 of 20 calls).
///
/// The request that crashes endpoints is present at each end. So a request that was present only at
/// ends of another one, which had one more end, is not held back while the other one is.
#[test]
fn a_request_that_was_there_only_beside_one_that_ends_endpoints_is_not_held_back() {
    let (ends_them, harmless) = (fingerprint("shop", "ends"), fingerprint("shop", "body"));
    let at = |endpoint: &str, at_ms: u64, ran_ms: u64| End {
        ran_ms,
        ..end_at(endpoint, at_ms)
    };
    let mut book = Book::default();
    for (endpoint, at_ms, ran_ms) in [
        ("i-2", 10_669, 60),
        ("i-0", 10_719, 50),
        ("i-2", 11_508, 60),
        ("i-0", 11_510, 60),
    ] {
        book.record_end(ends_them, at(endpoint, at_ms, ran_ms), NOW);
    }
    for (endpoint, at_ms, ran_ms) in [("i-0", 10_719, 8), ("i-2", 11_508, 3), ("i-0", 11_510, 2)] {
        book.record_end(harmless, at(endpoint, at_ms, ran_ms), NOW);
    }
    assert!(book.is_held_back(&ends_them));
    assert!(!book.is_held_back(&harmless));
    assert_eq!(book.held_back().count(), 1);
    assert_eq!(book.counts(), (2, 1));
    // An end without the other request shows that this one crashes endpoints too.
    book.record_end(harmless, at("i-7", 20_000, 50), NOW);
    assert!(book.is_held_back(&harmless));
    // Two requests that were present at the same ends can't be told apart: both are held back.
    let mut both = Book::default();
    for endpoint in ["i-1", "i-2", "i-3"] {
        both.record_end(ends_them, end(endpoint), NOW);
        both.record_end(harmless, end(endpoint), NOW);
    }
    assert!(both.is_held_back(&ends_them) && both.is_held_back(&harmless));
}

/// A request arrives three times within a second and ends two endpoints each time. These endpoints
/// report no starts and are back after a third of a second. If all ends of one endpoint within a
/// second counted as one, the request would end a seventh endpoint, where six are the most.
#[test]
fn an_endpoint_that_is_back_and_ends_again_within_a_second_counts_again() {
    let one = fingerprint("shop", "body");
    let mut book = Book::default();
    let mut ended = 0;
    for arrival in 0..3 {
        for (i, endpoint) in ["i-0", "i-1"].into_iter().enumerate() {
            if book.is_held_back(&one) {
                continue;
            }
            let at = 7_000 + 330 * arrival + 100 * i as u64;
            book.record_end(one, end_at(endpoint, at), NOW);
            ended += 1;
        }
    }
    assert_eq!(ended, ENDS_TO_HOLD_BACK);
}

/// Two boxes see the same end in different time slots and so derive different identities of it. It
/// still counts as one end, and the harmless request is still told apart from the crashing one.
#[test]
fn an_end_that_two_boxes_name_differently_is_one_end() {
    let (ends, harmless) = (fingerprint("shop", "ends"), fingerprint("shop", "beside"));
    let mut book = Book::default();
    for (i, at) in [7_000, 8_000, 9_000].into_iter().enumerate() {
        let endpoint = format!("i-{i}");
        book.record_end(ends, end_at(&endpoint, at), NOW);
        book.record_end(harmless, end_at(&endpoint, at - 1), NOW);
        if i == 0 {
            // The other box had sent the crashing request to this endpoint too.
            book.record_end(ends, end_at(&endpoint, at - 1), NOW);
        }
        assert_eq!(book.is_held_back(&ends), i == 2);
    }
    book.record_end(ends, end_at("i-3", 10_000), NOW);
    assert!(book.is_held_back(&ends));
    assert!(!book.is_held_back(&harmless));
}
