//! What is known of requests under which endpoints end, over boxes and voters, without a network.

use std::time::Duration;

use scalewood::core::{
    crash::{Book, Cursor, End, Id, Row, Scope, ENDS_TO_HOLD_BACK, RETENTION},
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

/// The end of an endpoint, each with a time of its own.
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

/// A book that knows of so many ends under a request.
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
    // No part of a head runs over into the next.
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
    // The same end, told twice, counts once.
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
    // What comes round again is no news.
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
    assert!(!book.clear(&one, NOW), "nothing is left to be cleared");
    let mut other = Book::default();
    for row in late.iter().chain(&rows(&book)).chain(&late) {
        other.merge(row.clone(), true, NOW);
    }
    assert!(!other.is_held_back(&one));
    // What ends after that counts anew.
    for name in ["i-7", "i-8", "i-9"] {
        other.record_end(one, end(name), NOW);
    }
    assert!(other.is_held_back(&one));
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
        // Another request, so that old ones are looked for.
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

/// Three zones with a hub each, and a box at each hub.
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

    /// One round of exchanges over links that are up: boxes with hubs, then hubs with each other.
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
                if !self.hubs[to].apply(&a, false, news, now) {
                    news = self.hubs[from].update_for(&b, true, now);
                    self.hubs[to].apply(&a, true, news, now);
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
    // Told, passed on and heard: three rounds of a tenth of a second.
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
    assert!(!held_back[2], "it is cut off");
    zones.boxes[1] = (Book::default(), Cursor::default(), true);
    // Behind the cut a voter has lost all that it knew, and its box with it.
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

/// A zone's loss ends many endpoints at once, each under many requests. Nothing of it holds a
/// request back, and boxes hear of none of these.
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
        assert_eq!(book.counts(), (300, 0), "only its own, and none held back");
    }
    assert_eq!(zones.hubs[0].crashes().counts(), (900, 0));
}

/// The same content may be sent by a whole team, so that it is at hand on each endpoint of a group
/// that is lost at once, or within a moment: all of it was sent before the first end.
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
    assert!(!book.is_held_back(&one), "twice");
    book.record_end(one, long("i-41", 15_000), NOW);
    assert!(book.is_held_back(&one), "three times, one after the other");
}

/// However fast endpoints end under it: what counts is that each had it after the one before ended.
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

/// What each end costs the exchange, where it is dearest: an endpoint with sixty requests of many
/// boxes ends each second, and a third of them was at the end before.
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
                // The first third ran at the endpoint before, too.
                let again = if i < RUNNING / 3 { RUNNING / 3 } else { 0 };
                let number = RUNNING * (round + 1) + i - again;
                let one = fingerprint("shop", &number.to_string());
                let book = &mut books[number % boxes].0;
                book.record_end(one, end_at(&format!("i-{round}"), at), now);
            }
            // Boxes tell, voters tell each other, boxes hear.
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
                        hubs[to].apply(&a, anew, news, now);
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

/// Endpoints ended under one request at four moments within a second. A request that many callers
/// send alike was at hand at three of them, the last time two milliseconds before the end, and none
/// of it was served in between, so all boxes refused it from then on: 20 of 20 calls.
///
/// Whatever ends an endpoint is there each time. A request that was only ever there together with
/// one that was there once more is not held back, for as long as that one is.
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
    // An end without the other one tells that it does it by itself.
    book.record_end(harmless, at("i-7", 20_000, 50), NOW);
    assert!(book.is_held_back(&harmless));
    // Two that were always there together can't be told apart, and both are held back.
    let mut both = Book::default();
    for endpoint in ["i-1", "i-2", "i-3"] {
        both.record_end(ends_them, end(endpoint), NOW);
        both.record_end(harmless, end(endpoint), NOW);
    }
    assert!(both.is_held_back(&ends_them) && both.is_held_back(&harmless));
}

/// A request ended two endpoints at each of three arrivals within a second, and a seventh endpoint
/// after it, where six are the most: endpoints that tell no starts were back after a third of a
/// second, and all ends of one within a second counted as one.
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

/// Two boxes see one end on both sides of a moment at which its name changes. It stays one end, and
/// what was beside the request that ends endpoints is told from it all the same.
#[test]
fn an_end_that_two_boxes_name_differently_is_one_end() {
    let (ends, beside) = (fingerprint("shop", "ends"), fingerprint("shop", "beside"));
    let mut book = Book::default();
    for (i, at) in [7_000, 8_000, 9_000].into_iter().enumerate() {
        let endpoint = format!("i-{i}");
        book.record_end(ends, end_at(&endpoint, at), NOW);
        book.record_end(beside, end_at(&endpoint, at - 1), NOW);
        if i == 0 {
            // The other box had sent it there too.
            book.record_end(ends, end_at(&endpoint, at - 1), NOW);
        }
        assert_eq!(book.is_held_back(&ends), i == 2);
    }
    book.record_end(ends, end_at("i-3", 10_000), NOW);
    assert!(book.is_held_back(&ends));
    assert!(!book.is_held_back(&beside));
}
