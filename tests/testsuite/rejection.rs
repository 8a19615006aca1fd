//! Endpoints that fail if they have to reject too many requests.

use std::time::{Duration, Instant};

use scalewood::core::rejection::{Book, Limit};

use crate::support::routed::{self, Act, Endpoint, Room};
use crate::throttle::{served, Site};

const START: Duration = Duration::from_secs(100);

fn limit(text: &str) -> Limit {
    text.parse().unwrap()
}

#[test]
fn limits_are_whole_numbers_that_are_not_negative() {
    assert_eq!(limit("3"), limit(" 3.9 "));
    assert_eq!(limit("1e30").to_string(), u32::MAX.to_string());
    for text in ["", "-1", "nan", "inf", "many", "3,4"] {
        assert!(text.parse::<Limit>().is_err(), "{text}");
    }
}

/// Guards against a limit that ends with an answer to a request from before it was said, or that
/// goes round between processes and never ends.
#[test]
fn a_limit_ends_with_a_later_answer_or_some_seconds_after_it_was_heard() {
    let lm = "lm".parse().unwrap();
    let second = Duration::from_secs(1);
    let mut book = Book::default();
    book.record(&lm, limit("3"), START);
    book.record_absent(&lm, START - second);
    assert_eq!(book.limit(&lm, START), Some(limit("3")));
    let mut hub = Book::default();
    hub.merge(book.own(START + second), true, START + second);
    let mut other = Book::default();
    other.merge(hub.all(START + 3 * second), false, START + 3 * second);
    assert_eq!(other.limit(&lm, START + 4 * second), Some(limit("3")));
    assert!(other.own(START + 4 * second).is_empty());
    assert_eq!(other.limit(&lm, START + 5 * second), None);
    book.record_absent(&lm, START + second);
    assert_eq!(book.limit(&lm, START + second), None);
}

#[test]
fn the_lowest_known_limit_applies() {
    let lm = "lm".parse().unwrap();
    let mut book = Book::default();
    book.record(&lm, limit("3"), START);
    let mut hub = Book::default();
    hub.record(&lm, limit("2"), START);
    book.merge(hub.own(START), false, START);
    assert_eq!(book.limit(&lm, START), Some(limit("2")));
}

/// Guards against boxes that together send endpoints more than these have room for, so that the
/// endpoints reject more requests than they withstand and fail one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_reject_few_requests_while_they_limit_their_rejections() {
    const REJECTIONS: usize = 3;
    const PROPAGATION: Duration = Duration::from_secs(3);
    const LENGTH: Duration = Duration::from_secs(10);
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(4, dir.path()).await;
    for endpoint in &site.endpoints {
        endpoint.set_work_time(Duration::from_millis(300));
        endpoint.set_room(Some(Room {
            requests: 8,
            rejections: Some("3"),
        }));
    }
    let since = Instant::now() + PROPAGATION;
    // Twice what the endpoints can do.
    let (outcomes, ()) = tokio::join!(site.send_all(200, LENGTH), site.beat(LENGTH));
    let rejections = |endpoint: &Endpoint| {
        let seen = endpoint.seen().into_iter();
        let refused = seen.filter(|seen| seen.act == Some(Act::Refuse) && seen.at > since);
        let times: Vec<_> = refused.map(|seen| seen.at).collect();
        routed::max_in_window(&times, Duration::from_secs(1))
    };
    let most: Vec<_> = site.endpoints.iter().map(rejections).collect();
    let ran = |endpoint: &Endpoint| {
        let seen = endpoint.seen().into_iter();
        seen.filter(|seen| seen.ran && seen.at > since).count()
    };
    let ran: usize = site.endpoints.iter().map(ran).sum();
    let (served, sent) = (served(&outcomes), outcomes.len());
    println!("{most:?} rejections within a second, {ran} ran, {served} of {sent} served");
    assert!(most.iter().all(|most| *most <= REJECTIONS), "{most:?}");
    // Six boxes use six of eight slots: 80 requests a second, for seven seconds.
    assert!(ran > 400, "{ran}");
}
