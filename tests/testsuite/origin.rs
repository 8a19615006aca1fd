//! What processes remember of where streams began, without processes.

use std::time::Duration;

use scalewood::core::{
    build,
    origin::{combine, Answer, Book, Found, Key, Origin},
};

const KEEP: Duration = Duration::from_secs(20);
const START: Duration = Duration::from_secs(1000);

fn origin(build: &str) -> Origin {
    Origin {
        service: "lm".parse().unwrap(),
        build: build.parse().unwrap(),
    }
}

fn key(id: &str) -> Key {
    Key::new(&"t1".parse().unwrap(), id)
}

#[test]
fn builds_are_visible_ascii_of_bounded_length() {
    for valid in ["v1", "v1.2-RC_3+b", "x"] {
        assert_eq!(valid.parse::<build::Build>().unwrap().to_string(), valid);
    }
    let long = "v".repeat(65);
    for invalid in ["", "v 1", "v\n1", "\u{fc}", long.as_str()] {
        assert!(invalid.parse::<build::Build>().is_err(), "{invalid:?}");
    }
    assert_ne!(build::Build::default(), "v1".parse().unwrap());
}

#[test]
fn keys_of_teams_differ_and_are_read_back() {
    let other = Key::new(&"t2".parse().unwrap(), "a");
    assert_ne!(key("a"), other);
    assert_ne!(key("a"), key("b"));
    assert_eq!(key("a").to_string().parse::<Key>().unwrap(), key("a"));
    for invalid in ["", "12", "+123456789abcdef", "123456789abcdefg"] {
        assert!(invalid.parse::<Key>().is_err(), "{invalid}");
    }
}

/// Guards against a guess where a caller has used one id for two streams: the one that began last
/// must not stand for both.
#[test]
fn an_id_that_began_streams_of_two_builds_is_ambiguous() {
    let mut book = Book::new(100);
    book.record(key("a"), &origin("v1"), START + KEEP, START);
    assert_eq!(book.find(key("a"), START), Found::Began(origin("v1")));
    book.record(key("a"), &origin("v1"), START + KEEP, START);
    assert_eq!(book.find(key("a"), START), Found::Began(origin("v1")));
    book.record(key("a"), &origin("v2"), START + KEEP, START);
    assert_eq!(book.find(key("a"), START), Found::Ambiguous);
    book.record(key("a"), &origin("v1"), START + KEEP, START);
    assert_eq!(book.find(key("a"), START), Found::Ambiguous);
    assert_eq!(book.find(key("b"), START), Found::Unknown);
}

#[test]
fn a_stream_is_forgotten_after_its_time_and_kept_by_another_record() {
    let mut book = Book::new(100);
    book.record(key("a"), &origin("v1"), START + KEEP, START);
    let later = START + KEEP / 2;
    book.record(key("b"), &origin("v1"), later + KEEP, later);
    assert_eq!(book.find(key("a"), START + KEEP), Found::Unknown);
    assert_eq!(
        book.find(key("b"), START + KEEP),
        Found::Began(origin("v1"))
    );
    book.record(key("c"), &origin("v1"), START + 2 * KEEP, START + KEEP);
    assert_eq!(book.len(), 2, "what can't be taken up any more is dropped");
}

/// Guards against books that grow without bound: those that can be taken up the shortest go first.
#[test]
fn a_full_book_drops_the_stream_that_ends_first() {
    let mut book = Book::new(3);
    for (i, id) in ["d", "a", "b", "c"].into_iter().enumerate() {
        let keep = KEEP + Duration::from_secs(i as u64);
        book.record(key(id), &origin("v1"), START + keep, START);
    }
    assert_eq!(book.len(), 3);
    assert_eq!(book.find(key("d"), START), Found::Unknown);
    assert_eq!(book.find(key("c"), START), Found::Began(origin("v1")));
}

/// Guards against streams that a voter is not told of: after a restart of the voter, or when one
/// message does not hold all.
#[test]
fn a_voter_is_told_of_all_streams_in_parts_and_again_from_the_beginning() {
    let mut book = Book::new(100);
    for i in 0..10 {
        let build = ["v1", "v2"][i % 2];
        book.record(key(&i.to_string()), &origin(build), START + KEEP, START);
    }
    for _ in 0..2 {
        let mut voter = Book::new(100);
        let mut stamp = 0;
        loop {
            let (begun, next) = book.recorded_since(stamp, 3, START);
            if next == stamp {
                break;
            }
            assert!(begun.iter().map(|begun| begun.keys.len()).sum::<usize>() <= 3);
            for begun in begun {
                let until = START + Duration::from_millis(begun.keep_ms);
                for key in begun.keys {
                    voter.record(key, &begun.origin, until, START);
                }
            }
            stamp = next;
        }
        for i in 0..10 {
            let known = voter.find(key(&i.to_string()), START + KEEP / 2);
            assert_eq!(known, Found::Began(origin(["v1", "v2"][i % 2])));
        }
    }
    let (begun, _) = book.recorded_since(0, 100, START + KEEP);
    assert!(begun.is_empty(), "what can't be taken up is not told");
}

fn says(found: Found, sole: Option<&str>) -> Option<Answer> {
    Some(Answer {
        found,
        sole_build: sole.map(|build| build.parse().unwrap()),
    })
}

/// Guards against a guess: a stream that no voter knows goes on only if every voter has known no
/// other build. One that does not answer may have told boxes of another build.
#[test]
fn an_unknown_stream_goes_on_only_if_all_voters_have_known_one_build() {
    let service = "lm".parse().unwrap();
    let unknown = |sole| says(Found::Unknown, sole);
    let began = |build| says(Found::Began(origin(build)), Some("v1"));
    for (answers, expected) in [
        (vec![], Found::Unknown),
        (vec![unknown(Some("v1")); 3], Found::Began(origin("v1"))),
        (vec![unknown(Some("v1")), None], Found::Unknown),
        (vec![unknown(Some("v1")), unknown(None)], Found::Unknown),
        (
            vec![unknown(Some("v1")), unknown(Some("v2"))],
            Found::Unknown,
        ),
        (
            vec![None, unknown(None), began("v2")],
            Found::Began(origin("v2")),
        ),
        (
            vec![began("v2"), unknown(Some("v1"))],
            Found::Began(origin("v2")),
        ),
        (vec![began("v1"), began("v2")], Found::Ambiguous),
        (
            vec![says(Found::Ambiguous, None), began("v2")],
            Found::Ambiguous,
        ),
    ] {
        assert_eq!(combine(&service, &answers), expected, "{answers:?}");
    }
}
