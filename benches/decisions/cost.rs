//! The cost of one decision, by the numbers of endpoints and of waiting requests.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use scalewood::core::{
    attempt, config,
    dispatch::{self, Dispatcher, Input, Order, Report},
    name, unit,
};

/// The number of decisions that are timed.
const DECISIONS: u64 = 20_000;
/// The slots of each endpoint.
const SLOTS: u32 = 8;

/// Prints the nanoseconds for each decision, in which a run ends and the next request starts.
pub(crate) fn measure() {
    println!("\nnanoseconds for each decision (a run ends, a request comes, one starts)");
    for endpoints in [10, 100, 600] {
        let figures = [100, 1000, 10_000].map(|waiting| cost(endpoints, waiting));
        println!(
            "  {endpoints:>4} endpoints: {:>7.0} with 100 waiting, {:>7.0} with 1,000, {:>7.0} with 10,000",
            figures[0], figures[1], figures[2]
        );
    }
}

fn ask(number: u64) -> dispatch::Ask {
    let tier = (number % 5) as u8;
    dispatch::Ask {
        attempt: attempt::Attempt::first(attempt::Request(number)),
        class: format!("class{tier}").parse().expect("a class"),
        tier: unit::Tier(tier),
        age: Duration::ZERO,
        target: Duration::from_secs(3600),
        deadline: Duration::from_secs(100_000),
        patience: None,
        is_client_retry: false,
        prompt: unit::Tokens(100),
        delivered: unit::Tokens(0),
        prefix: Some(dispatch::Prefix(number % 50)),
        placement_key: None,
        allowed: Default::default(),
        preemptible: tier > 2,
        preempted: 0,
        is_hedge: false,
        avoid: None,
        build: None,
        backoffs: Vec::new(),
        hold: None,
    }
}

fn cost(endpoints: u32, waiting: u64) -> f64 {
    let mut now = Duration::from_secs(100_000);
    let settings = dispatch::Settings {
        settle_timeout: Duration::ZERO,
        ramp: SLOTS,
        ..Default::default()
    };
    let mut dispatcher = Dispatcher::new(settings, now);
    let specs = (0..endpoints).map(|i| dispatch::Spec {
        name: format!("m{i}").parse().expect("an endpoint"),
        slots: SLOTS,
        leaving: false,
        in_other_zone: false,
        rank: 0,
        zone: "z0".parse().expect("a zone"),
        slow: false,
        memory: None,
        admission: Default::default(),
    });
    let classes: BTreeMap<name::Class, config::Class> = (0..5u8)
        .map(|tier| {
            let class = config::Class {
                tier: unit::Tier(tier),
                ..Default::default()
            };
            (format!("class{tier}").parse().expect("a class"), class)
        })
        .collect();
    dispatcher.step(Input::Configure(specs.collect(), classes), now);
    let origin: name::Box = "e1".parse().expect("a box");
    let mut running = std::collections::VecDeque::new();
    let slots = u64::from(endpoints * SLOTS);
    let send =
        |dispatcher: &mut Dispatcher, running: &mut std::collections::VecDeque<_>, report, now| {
            for (_, order) in dispatcher.step(Input::Report(origin.clone(), report), now) {
                if let Order::Grant(attempt, _) = order {
                    running.push_back(attempt);
                }
            }
        };
    for number in 0..slots + waiting {
        send(&mut dispatcher, &mut running, Report::Ask(ask(number)), now);
    }
    assert_eq!(dispatcher.waiting() as u64, waiting, "requests were shed");
    let begin = Instant::now();
    for number in 0..DECISIONS {
        now += Duration::from_micros(100);
        let Some(ended) = running.pop_front() else {
            break;
        };
        send(&mut dispatcher, &mut running, Report::Started(ended), now);
        let tokens = unit::Tokens(10);
        send(
            &mut dispatcher,
            &mut running,
            Report::End(ended, dispatch::End::Done, tokens),
            now,
        );
        send(
            &mut dispatcher,
            &mut running,
            Report::Ask(ask(slots + waiting + number)),
            now,
        );
    }
    begin.elapsed().as_secs_f64() * 1e9 / DECISIONS as f64
}
