//! Who is refused when there is too much for all.
//!
//! Seen: for five seconds of an overload a fifth of a class's requests got nothing, refused within
//! milliseconds, while larger and less urgent ones began at the same service. How it comes about:
//! each request is measured by its own patience alone, and the less urgent class is the more
//! patient one; what it has begun is what the more urgent one is refused for. Shown by the test
//! below, on one dispatcher.

use std::time::Duration;

use scalewood::core::{
    dispatch::{Ask, Dispatcher, End, Input, Order, Reason, Report},
    load::{Bound, Hub, Load, Update},
    name, unit,
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
        pending_prefill: 2_000 * READ_PER_MS,
        ..Load::default()
    };
    let everywhere = (0..ENDPOINTS).map(|place| (format!("i-{place}").parse().unwrap(), busy));
    dispatcher.step(Input::OtherLoads(Some(everywhere.collect())), START);
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

/// Boxes that share endpoints and exchange loads by way of two hubs.
struct Boxes {
    dispatchers: Vec<Dispatcher>,
    hubs: [Hub; 2],
    requests: u64,
}

/// How often boxes tell their hub, and hubs each other.
const PERIOD: Duration = Duration::from_millis(100);
/// How long word takes at most: a box's exchange, the hubs', and the other box's.
const WORD: Duration = Duration::from_millis(300);

fn hub_name(hub: usize) -> name::Box {
    format!("c{hub}").parse().unwrap()
}

impl Boxes {
    fn new(count: usize) -> Self {
        Self {
            dispatchers: (0..count).map(|_| dispatcher()).collect(),
            hubs: [Hub::default(), Hub::default()],
            requests: 0,
        }
    }

    /// Sets how long what stands at all endpoints takes to be read, as a box sees it.
    fn burden(&mut self, place: usize, millis: u64, now: Duration) {
        let busy = Load {
            pending_prefill: millis * READ_PER_MS,
            ..Load::default()
        };
        let everywhere = (0..ENDPOINTS).map(|at| (format!("i-{at}").parse().unwrap(), busy));
        let everywhere = Input::OtherLoads(Some(everywhere.collect()));
        self.dispatchers[place].step(everywhere, now);
    }

    /// Tells of refusals what a box tells in an exchange, and takes what it hears.
    fn exchange(&mut self, place: usize, now: Duration) {
        let dispatcher = &mut self.dispatchers[place];
        let mut told = Update::default();
        for (class, counts) in dispatcher.take_counts() {
            told.add_counts(&service(), &class, counts);
        }
        let name = format!("e{place}").parse().unwrap();
        let heard = self.hubs[place % 2].exchange(&name, false, told, now);
        let bounds = heard.update.bounds;
        assert!(bounds.iter().all(|bound| bound.service == service()));
        dispatcher.step(Input::Bounds(bounds), now);
    }

    fn share(&mut self, now: Duration) {
        for (from, to) in [(0, 1), (1, 0)] {
            let anew = now == START;
            let news = self.hubs[from].update_for(&hub_name(to), anew, now);
            assert!(self.hubs[to].apply(&hub_name(from), anew, news, now));
        }
    }

    /// A more urgent request of 800 tokens; tells whether it begins.
    fn urgent(&mut self, place: usize, now: Duration) -> bool {
        self.requests += 1;
        let ask = Ask {
            patience: Some(Duration::from_secs(1)),
            ..ask(self.requests, "short", self.requests)
        };
        self.is_begun(place, ask, now)
    }

    /// Whether a request is begun; if so, it is over at once.
    fn is_begun(&mut self, place: usize, ask: Ask, now: Duration) -> bool {
        let attempt = ask.attempt;
        let begun = is_begun(&mut self.dispatchers[place], ask, now);
        let end = Report::End(attempt, End::Cancelled, unit::Tokens(0));
        self.dispatchers[place].step(Input::Report("e1".parse().unwrap(), end), now);
        begun
    }

    /// A less urgent request; tells whether it begins.
    fn later(&mut self, place: usize, tokens: u64, now: Duration) -> bool {
        self.requests += 1;
        let ask = Ask {
            tier: unit::Tier(2),
            target: Duration::from_secs(2),
            patience: Some(Duration::from_secs(8)),
            prompt: unit::Tokens(tokens),
            ..ask(self.requests, "long", self.requests)
        };
        self.is_begun(place, ask, now)
    }
}

fn service() -> name::Service {
    "llm".parse().unwrap()
}

/// Seen: a seventh of the boxes stood still and woke, some boxes took the endpoints for busy and
/// refused a fifth of a class, while others began 18 larger and less urgent ones in each
/// quarter of a second: 358 of 437 with a refusal at other boxes only.
#[test]
fn what_is_refused_at_one_box_holds_back_the_larger_and_less_urgent_at_all() {
    let mut boxes = Boxes::new(4);
    // Two boxes see two seconds of reading everywhere, two see nothing.
    boxes.burden(0, 2000, START);
    boxes.burden(1, 2000, START);
    let (mut late, mut small) = (0, 0);
    for step in 0..40 {
        let now = START + Duration::from_millis(50 * step);
        for place in 0..3 {
            // The third box stands for many that have no refusals.
            assert_eq!(boxes.urgent(place, now), place == 2);
        }
        if step.is_multiple_of(2) {
            // The fourth box stands still and tells nothing.
            (0..3).for_each(|place| boxes.exchange(place, now));
            boxes.share(now);
        }
        let began = boxes.later(2, 6800, now);
        late += u32::from(began && now > START + WORD);
        small += u32::from(boxes.later(2, 700, now));
    }
    assert_eq!(late, 0, "larger ones began after word had come");
    assert_eq!(small, 40, "what is no larger is not held back");
    let now = START + Duration::from_secs(2);
    // One that stood still and has heard nothing takes what it can finish, until it hears.
    assert!(boxes.later(3, 6800, now));
    boxes.exchange(3, now);
    assert!(!boxes.later(3, 6800, now), "it began after it had heard");
}

#[test]
fn what_is_held_back_begins_again_soon_after_the_last_refusal() {
    let mut boxes = Boxes::new(2);
    boxes.burden(0, 2000, START);
    let mut again = None;
    for step in 0..80 {
        let now = START + PERIOD * step;
        if now == START + Duration::from_secs(2) {
            boxes.burden(0, 0, now);
        }
        boxes.urgent(0, now);
        boxes.urgent(1, now);
        boxes.exchange(0, now);
        boxes.share(now);
        boxes.exchange(1, now);
        if boxes.later(1, 6800, now) && now > START + Duration::from_secs(2) {
            again = again.or(Some(now));
        }
    }
    let again = again.expect("it never begins again");
    // Half of what came was refused; that fades below a twelfth in two seconds, and as many
    // new ones begin meanwhile.
    let took = again - START - Duration::from_secs(2);
    assert!(took <= Duration::from_secs(3), "{took:?}");
}

#[test]
fn a_few_refusals_among_many_requests_hold_back_nothing_elsewhere() {
    let mut boxes = Boxes::new(2);
    boxes.burden(0, 2000, START);
    for step in 0..40 {
        let now = START + PERIOD * step;
        if step % 5 == 0 {
            boxes.urgent(0, now);
        }
        (0..10).for_each(|_| assert!(boxes.urgent(1, now)));
        boxes.exchange(0, now);
        boxes.share(now);
        boxes.exchange(1, now);
        assert!(boxes.later(1, 6800, now), "held back at {now:?}");
    }
}

#[test]
fn a_bound_that_is_not_told_again_counts_no_more() {
    let mut boxes = Boxes::new(1);
    let bound = Bound {
        service: service(),
        class: "short".parse().unwrap(),
        tier: unit::Tier(0),
        tokens: unit::Tokens(800),
    };
    boxes.dispatchers[0].step(Input::Bounds(vec![bound]), START);
    let after = |millis| START + Duration::from_millis(millis);
    assert!(!boxes.later(0, 6800, after(1400)));
    assert!(boxes.later(0, 6800, after(1600)));
    assert!(boxes.later(0, 700, after(100)));
}

/// Read out of the code, not seen: a class whose first tokens take as long as its target is
/// late from the start, so its own work counted as work before it; and where the flow of a more
/// urgent class leaves little, that alone passed its deadline. Refused each time, it never
/// ran, so nothing taught the dispatcher better.
#[test]
fn a_request_that_could_begin_at_once_is_not_refused_for_its_own_work() {
    let mut dispatcher = dispatcher();
    let own: name::Box = "e1".parse().unwrap();
    let tell = |dispatcher: &mut Dispatcher, report, now| {
        dispatcher.step(Input::Report(own.clone(), report), now)
    };
    let plain = |request: u64, class: &str, tier| Ask {
        tier: unit::Tier(tier),
        placed: None,
        prompt: unit::Tokens(0),
        returned: false,
        // Ages are told in whole milliseconds.
        age: Duration::from_millis(1),
        deadline: Duration::from_secs(4),
        ..ask(request, class, request)
    };
    // One less urgent request takes long, until its first token and after it.
    let slow = plain(0, "middle", 1);
    let attempt = slow.attempt;
    tell(&mut dispatcher, Report::Ask(slow), START);
    tell(&mut dispatcher, Report::Started(attempt), START);
    let first = START + Duration::from_secs(1);
    tell(&mut dispatcher, Report::First(attempt), first);
    let done = START + Duration::from_secs(200);
    let end = Report::End(attempt, End::Done, unit::Tokens(1));
    tell(&mut dispatcher, end, done);
    // Many more urgent ones come, and all have gone at once.
    for request in 1..2000 {
        let urgent = plain(request, "short", 0);
        let attempt = urgent.attempt;
        let urgent = Ask {
            hold: Some(Duration::from_secs(10)),
            ..urgent
        };
        tell(&mut dispatcher, Report::Ask(urgent), done);
        let end = Report::End(attempt, End::Cancelled, unit::Tokens(0));
        tell(&mut dispatcher, end, done);
    }
    assert_eq!(dispatcher.running(), 0);
    let orders = tell(&mut dispatcher, Report::Ask(plain(2000, "middle", 1)), done);
    assert!(
        matches!(orders.as_slice(), [(_, Order::Grant(..))]),
        "{orders:?}, with each slot free"
    );
}

/// Seen: as all boxes heard of refusals by tier, the requests of less urgent teams were refused for
/// those of the same class of more urgent teams, and the class lost more, not less.
#[test]
fn less_urgent_teams_of_the_class_that_is_refused_are_not_held_back() {
    let mut boxes = Boxes::new(2);
    boxes.burden(0, 2000, START);
    for step in 0..20 {
        let now = START + PERIOD * step;
        boxes.urgent(0, now);
        boxes.exchange(0, now);
        boxes.share(now);
        boxes.exchange(1, now);
        let team = |request| Ask {
            tier: unit::Tier(1),
            prompt: unit::Tokens(1600),
            ..ask(request, "short", request)
        };
        boxes.requests += 1;
        let ask = team(boxes.requests);
        assert!(boxes.is_begun(1, ask, now), "held back at {now:?}");
    }
}
