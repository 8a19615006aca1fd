//! The cost of telling whether a request is held back because endpoints ended while they ran it.

use std::{hint::black_box, time::Duration, time::Instant};

use scalewood::core::{
    crash::{Book, End, Id},
    fingerprint::{Fingerprint, Head, HeadHash},
    name,
};

/// The number of requests that are timed, which is smaller for the largest bodies.
const ROUNDS: usize = 20_000;
const ROUNDS_LARGE: usize = 20;
/// The size in bytes of the largest body that is accepted by default.
const LARGE_BYTES: usize = 4 << 20;

/// Prints the time for each request: with no request known, with only others known, and with the
/// request itself known.
pub(crate) fn measure() {
    println!("\ntime for each request to tell whether it is held back");
    let nothing = Book::default();
    let others = book(b"another");
    for length in [5_000, LARGE_BYTES] {
        let body = vec![b'x'; length];
        let own = book(&body);
        let rounds = if length == LARGE_BYTES {
            ROUNDS_LARGE
        } else {
            ROUNDS
        };
        println!(
            "  {length:>8} B: {:>9.2?} with nothing known, {:>9.2?} with others, {:>9.2?} if it is known",
            time(&nothing, &body, ROUNDS),
            time(&others, &body, ROUNDS),
            time(&own, &body, rounds),
        );
    }
}

fn head(length: usize) -> HeadHash {
    let head = Head {
        team: "a-team-of-ours",
        method: "POST",
        target: "/lohu930/2f",
    };
    HeadHash::of(&head, length)
}

fn book(body: &[u8]) -> Book {
    let endpoint: name::Endpoint = "m1".parse().expect("an endpoint");
    let end = End {
        id: Id::new(&endpoint, None, 0),
        endpoint,
        at_unix_ms: 0,
        ran_ms: 0,
    };
    let mut book = Book::default();
    let fingerprint = Fingerprint::of(head(body.len()), body);
    book.record_end(fingerprint, end, Duration::from_secs(1));
    book
}

/// Does what a box does for each request before it is sent.
fn is_held_back(book: &Book, body: &[u8]) -> bool {
    if book.is_empty() {
        return false;
    }
    let head = head(body.len());
    book.knows_head(head) && book.is_held_back(&Fingerprint::of(head, body))
}

fn time(book: &Book, body: &[u8], rounds: usize) -> Duration {
    let begin = Instant::now();
    for _ in 0..rounds {
        black_box(is_held_back(black_box(book), black_box(body)));
    }
    begin.elapsed() / u32::try_from(rounds).expect("a small number")
}
