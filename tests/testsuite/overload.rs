//! Who is refused when there is too much for all.
//!
//! Seen: for five seconds of an overload a fifth of a class's requests got nothing, refused within
//! milliseconds, while larger and less urgent ones began at the same service. How it comes about:
//! each request is measured by its own patience alone, and the less urgent class is the more
//! patient one; what it has begun is what the more urgent one is refused for. Shown by the test
//! below, on one dispatcher.

use std::time::Duration;

use scalewood::core::{
    dispatch::{Ask, Dispatcher, Input, Order, Reason, Report},
    load::Load,
    unit,
};

use crate::placement::{ask, dispatcher, ENDPOINTS, READ_PER_MS, START};

/// Whether a request is begun; it is refused for overload else.
fn is_begun(dispatcher: &mut Dispatcher, ask: Ask, now: Duration) -> bool {
    let report = Input::Report("e1".parse().unwrap(), Report::Ask(ask));
    match dispatcher.step(report, now).as_slice() {
        [(_, Order::Grant(..))] => true,
        [(_, Order::Shed(_, Reason::Overload, _))] => false,
        other => panic!("neither begun nor refused: {other:?}"),
    }
}

#[test]
fn nothing_larger_and_less_urgent_is_begun_while_the_more_urgent_are_refused() {
    let mut dispatcher = dispatcher();
    // Everywhere stands what takes two seconds to read.
    let busy = Load {
        unread: 2_000 * READ_PER_MS,
        ..Load::default()
    };
    let everywhere = (0..ENDPOINTS).map(|place| (format!("i-{place}").parse().unwrap(), busy));
    dispatcher.step(Input::Others(Some(everywhere.collect())), START);
    let urgent = |request| Ask {
        patience: Some(Duration::from_secs(1)),
        ..ask(request, "short", request)
    };
    let large = |request| Ask {
        tier: unit::Tier(2),
        target: Duration::from_secs(2),
        patience: Some(Duration::from_secs(8)),
        ..ask(request, "long", request)
    };
    let mut begun = 0;
    for request in 0..20 {
        let now = START + Duration::from_millis(50 * request);
        assert!(
            !is_begun(&mut dispatcher, urgent(2 * request), now),
            "it can't be in time"
        );
        begun += u32::from(is_begun(&mut dispatcher, large(2 * request + 1), now));
    }
    assert!(
        begun <= 1,
        "{begun} larger ones began while each urgent one was refused"
    );
}
