//! Requests of routes, with real processes: what callers get when endpoints misbehave, and what
//! stays in force when voters fail.

use std::time::Duration;

use scalewood::{
    core::{
        registry::{Record, State},
        retry, unit,
    },
    ops::entry::dialect::{Dialect as _, Native},
};

use crate::support::{
    client, deploy,
    routed::{routing, seen, serving, text, Act, Endpoint, System, EVENTS, HOST},
};

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_gets_the_callers_request_with_the_instruction() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(1, dir.path()).await;
    let answer = system.call("POST", "/unsafe/x?y=z", "one").await.unwrap();
    assert_eq!((answer.status, &answer.body[..]), (200, &b"well"[..]));
    let seen = endpoints[0].seen().pop().unwrap();
    assert_eq!(
        (seen.path.as_str(), &seen.body[..]),
        ("/unsafe/x", &b"a body"[..])
    );
    assert_eq!(seen.header("scalewood-endpoint"), Some("i-0"));
    assert_eq!(seen.header("scalewood-team"), Some("t1"));
    assert_eq!(seen.header("scalewood-id"), Some("one"));
    assert_eq!(seen.header("x-other"), Some("kept"));
    assert_eq!(
        seen.header("authorization"),
        None,
        "the key is for this system only"
    );
    let left: u64 = seen
        .header("scalewood-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        (1..=4000).contains(&left),
        "the timeout of the route is 4 s: {left}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn no_reserved_header_reaches_an_endpoint_as_a_caller_sent_it() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(1, dir.path()).await;
    let reserved = Native::RESERVED_HEADERS;
    let reserved = reserved.iter().filter(|name| **name != "authorization");
    let mut headers: Vec<_> = reserved.map(|name| (*name, "4000")).collect();
    headers.push(("authorization", "Bearer key-1"));
    let mut connection = client::Connection::open(system.callers()).await.unwrap();
    let sent = connection.send_to(HOST, "GET", "/safe/x", &headers, "");
    assert_eq!(sent.await.unwrap().status().as_u16(), 200);
    let seen = endpoints[0].seen().pop().unwrap();
    assert_eq!(seen.header("scalewood-endpoint"), Some("i-0"));
    assert_eq!(seen.header("scalewood-team"), Some("t1"));
    assert_eq!(seen.header("scalewood-verdict"), None);
    assert_eq!(seen.header("authorization"), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_bounded_as_the_routing_says_without_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let (system, _endpoints) = serving(1, dir.path()).await;
    let large = "x".repeat(10 * 1024);
    let send = || async {
        let mut connection = client::Connection::open(system.callers()).await.unwrap();
        let headers = [("authorization", "Bearer key-1"), ("x-large", &large)];
        let sent = connection.send_to("routes.example", "GET", "/safe/x", &headers, "");
        sent.await.unwrap().status().as_u16()
    };
    assert_eq!(send().await, 200, "16 KiB are allowed by default");
    let mut narrow = routing(8);
    narrow.limits.head_bytes = 8 * 1024;
    assert_eq!(system.publish(&text(&narrow)).await, 200);
    deploy::wait("the narrower limit is in force", || async {
        send().await == 431
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_box_that_is_stopped_right_after_its_start_serves_what_it_has_taken() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(1, dir.path()).await;
    system.entry.as_ref().unwrap().signal("TERM");
    // Callers still connect for a moment after the signal. By now, every part of the box knows of
    // the stop.
    tokio::time::sleep(Duration::from_millis(120)).await;
    endpoints[0].next(Act::Refuse);
    let answer = system.call("POST", "/unsafe/late", "l").await.unwrap();
    assert_eq!(answer.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unsafe_call_is_sent_once_and_a_safe_one_is_repeated() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(2, dir.path()).await;
    for endpoint in &endpoints {
        endpoint.next(Act::Foreign);
    }
    let answer = system.call("POST", "/unsafe/once", "u").await.unwrap();
    assert_eq!(
        answer.status, 502,
        "an answer to another request is not delivered"
    );
    assert_eq!(answer.verdict(), Some("may-have-run"));
    assert_eq!(seen(&endpoints, "/unsafe/once"), 1);
    // The other endpoint still answers its next request with a foreign id.
    let answer = system.call("GET", "/safe/again", "s").await.unwrap();
    assert_eq!(answer.status, 200);
    assert!(seen(&endpoints, "/safe/again") <= 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_an_endpoint_did_not_run_is_refused_truly_or_served_elsewhere() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(1, dir.path()).await;
    for _ in 0..3 {
        endpoints[0].next(Act::Refuse);
    }
    let answer = system.call("POST", "/unsafe/full", "f").await.unwrap();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.verdict(), Some("not-run"));
    assert!(
        answer.header("retry-after").is_some(),
        "the caller is told when to come back"
    );
    let answer = system.call("POST", "/unsafe/fail", "g").await.unwrap();
    assert_eq!(answer.status, 200);
    endpoints[0].next(Act::Fail);
    let answer = system.call("POST", "/unsafe/fail", "h").await.unwrap();
    assert_eq!((answer.status, &answer.body[..]), (500, &b"failed"[..]));
}

#[tokio::test(flavor = "multi_thread")]
async fn addresses_that_passed_to_other_endpoints_cost_a_request_no_try() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(6, dir.path()).await;
    for endpoint in &endpoints[1..] {
        endpoint.next(Act::Mistaken);
        endpoint.next(Act::Mistaken);
    }
    let answer = system.call("POST", "/unsafe/moved", "m").await.unwrap();
    assert_eq!(
        answer.status, 200,
        "one of six endpoints is the one expected"
    );
    let sent = seen(&endpoints, "/unsafe/moved");
    // An endpoint that was found to be another one gets no further requests.
    for n in 0..6 {
        let answer = system.call("POST", "/unsafe/more", &format!("n{n}")).await;
        assert_eq!(answer.unwrap().status, 200);
    }
    let mistaken = sent - 1 + seen(&endpoints, "/unsafe/more") - 6;
    assert!(
        mistaken <= 5,
        "each of five endpoints is sent one request at most: {mistaken}"
    );
}

/// Guards against resends beyond the retry budget while many endpoints of a service are replaced at
/// once. A request that is turned away goes on to the next endpoint at once, up to seven times. If
/// only attempts that reached the expected endpoint were charged to the budget, a service would
/// receive a quarter more requests than boxes may send again. The attempts left to a request and
/// the resends left to a service are therefore counted separately.
#[tokio::test(flavor = "multi_thread")]
async fn what_endpoints_turn_away_is_paid_for_as_what_is_sent_again() {
    const REQUESTS: usize = 12;
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(60, dir.path()).await;
    for endpoint in &endpoints {
        endpoint.next(Act::Mistaken);
    }
    let mut served = 0;
    for i in 0..REQUESTS {
        let path = format!("/safe/{i}");
        let answer = system.call("GET", &path, "moved").await.unwrap();
        assert!(matches!(answer.status, 200 | 503), "{}", answer.status);
        served += usize::from(answer.status == 200);
    }
    let arrivals: usize = (0..REQUESTS)
        .map(|i| seen(&endpoints, &format!("/safe/{i}")))
        .sum();
    let retry::Allowance { ratio, slack, .. } = retry::Allowance::default();
    let allowed = ratio * REQUESTS as f64 + slack;
    assert!(arrivals > REQUESTS, "no request was sent again");
    assert!(
        ((arrivals - REQUESTS) as f64) <= allowed,
        "{arrivals} for {REQUESTS}"
    );
    // Once the replaced endpoints are known, or the budget has recovered, all requests are served.
    endpoints.iter().for_each(Endpoint::answer_correctly);
    system.wait_served().await;
    assert!(
        served < REQUESTS,
        "the budget was not used up before the end"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_whole_or_visibly_cut_and_goes_on_elsewhere_where_it_may() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(2, dir.path()).await;
    let whole: String = (0..EVENTS)
        .map(|number| format!("id: {number}\ndata: piece {number}\n\n"))
        .collect();
    let answer = system.call("POST", "/stream/whole", "w").await.unwrap();
    assert_eq!(String::from_utf8_lossy(&answer.body), whole);
    for endpoint in &endpoints {
        endpoint.next(Act::BreakAfter(3));
    }
    let cut = system.call("POST", "/stream/cut", "c").await;
    assert!(cut.is_err(), "a stream that broke off looks whole: {cut:?}");
    assert_eq!(seen(&endpoints, "/stream/cut"), 1);
    let answer = system.call("POST", "/sresume/on", "r").await.unwrap();
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        whole,
        "a piece is lost or repeated"
    );
    let resumed = endpoints.iter().flat_map(Endpoint::seen);
    let resumed = resumed.filter(|seen| seen.path == "/sresume/on");
    let after: Vec<_> = resumed
        .map(|seen| seen.header("last-event-id").map(str::to_owned))
        .collect();
    assert!(
        after.contains(&None) && after.contains(&Some("2".to_owned())),
        "{after:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_elsewhere_where_its_endpoint_falls_silent() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(2, dir.path()).await;
    for endpoint in &endpoints {
        endpoint.next(Act::StallAfter(2));
    }
    let answer = system.call("POST", "/sresume/silent", "s").await;
    // The other endpoint falls silent too, and no third attempt may follow.
    assert!(answer.is_err(), "no end was sent: {answer:?}");
    let sent = endpoints.iter().flat_map(Endpoint::seen);
    let sent = sent.filter(|seen| seen.path == "/sresume/silent");
    let after: Vec<_> = sent
        .map(|seen| seen.header("last-event-id").map(str::to_owned))
        .collect();
    assert!(after.contains(&Some("1".to_owned())), "{after:?}");
    let answer = system.call("POST", "/sresume/well", "w").await.unwrap();
    assert_eq!(answer.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn who_is_unknown_or_asks_for_nothing_is_told_so() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(1, dir.path()).await;
    let answer = system.call("GET", "/nowhere/", "n").await.unwrap();
    assert_eq!((answer.status, answer.verdict()), (404, Some("not-run")));
    let mut connection = client::Connection::open(system.callers()).await.unwrap();
    let headers = [("authorization", "Bearer wrong")];
    let sent = connection.send_to("routes.example", "GET", "/safe/key", &headers, "");
    assert_eq!(sent.await.unwrap().status().as_u16(), 401);
    assert_eq!(seen(&endpoints, "/safe/key"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_leaves_gets_no_new_work() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(2, dir.path()).await;
    system
        .announce(0, &endpoints[0].record(5, State::Leaving))
        .await;
    // A late heartbeat does not make the endpoint ready again.
    system
        .announce(0, &endpoints[0].record(4, State::Ready))
        .await;
    deploy::wait("the box knows that the endpoint leaves", || async {
        let before = endpoints[0].seen().len();
        for i in 0..8 {
            let _ = system.call("GET", "/safe/leaving", &format!("l{i}")).await;
        }
        endpoints[0].seen().len() == before
    })
    .await;
    let before = endpoints[0].seen().len();
    for i in 0..20 {
        let answer = system
            .call("GET", "/safe/left", &format!("m{i}"))
            .await
            .unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(endpoints[0].seen().len(), before);
}

/// Returns the record of an incarnation of an endpoint.
fn record_of(endpoint: &Endpoint, start: u64, sequence: u64) -> Record {
    Record {
        incarnation: Some(unit::Incarnation(start)),
        ..endpoint.record(sequence, State::Ready)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_starts_again_under_its_name_is_used_and_nothing_of_before() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(1, dir.path()).await;
    let old = &endpoints[0];
    system.announce(0, &record_of(old, 5, 40)).await;
    // The old process keeps listening, and a connection to it stays open. Any request that reaches
    // it from now on is misrouted.
    system.wait_served().await;
    let address = (system.host, 9100).into();
    let new = Endpoint::start(&old.name, address).await;
    system.announce(0, &record_of(&new, 9, 1)).await;
    deploy::wait("the later start is used", || async {
        let _ = system.call("GET", "/safe/again", "a").await;
        !new.seen().is_empty()
    })
    .await;
    let before = old.seen().len();
    // A late heartbeat of the earlier incarnation arrives at the same voter.
    system.announce(0, &record_of(old, 5, 41)).await;
    for i in 0..20 {
        let call = system.call("POST", "/unsafe/more", &format!("m{i}")).await;
        assert_eq!(call.unwrap().status, 200);
    }
    assert_eq!(old.seen().len(), before);
    // The endpoint leaves, and then starts once more.
    let path = format!("/v1/endpoints/{}", new.name);
    let leave = client::ask(system.publish_address(0), "DELETE", &path, &[], "");
    assert_eq!(leave.await.unwrap().status, 200);
    system.announce(0, &record_of(&new, 9, 7)).await;
    deploy::wait("the endpoint that has left gets no requests", || async {
        let before = new.seen().len();
        let _ = system.call("GET", "/safe/gone", "g").await;
        new.seen().len() == before
    })
    .await;
    system.announce(0, &record_of(&new, 10, 1)).await;
    system.wait_served().await;
    assert_eq!(old.seen().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_heartbeat_that_another_writer_sent_harms_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(1, dir.path()).await;
    system.announce(0, &record_of(&endpoints[0], 5, 40)).await;
    let good = serde_json::to_value(record_of(&endpoints[0], 6, 1)).unwrap();
    let with = |field: &str, value: serde_json::Value| {
        let mut bad = good.clone();
        bad[field] = value;
        bad.to_string()
    };
    let bodies = [
        (400, String::new()),
        (400, "{".to_owned()),
        (400, "[]".to_owned()),
        (400, with("slots", "many".into())),
        (400, with("slots", 0.into())),
        (400, with("incarnation", (-1).into())),
        (400, with("state", "resting".into())),
        (400, with("name", "i-1".into())),
        (413, with("service", "x".repeat(70_000).into())),
        (422, with("service", "unheard-of".into())),
    ];
    let path = format!("/v1/endpoints/{}", endpoints[0].name);
    for (status, body) in bodies {
        let answer = client::ask(system.publish_address(0), "PUT", &path, &[], body.clone());
        let short: String = body.chars().take(200).collect();
        assert_eq!(answer.await.unwrap().status, status, "{short}");
    }
    let metrics = client::ask(system.admin_address(0), "GET", "/metrics", &[], "").await;
    let metrics = String::from_utf8(metrics.unwrap().body.to_vec()).unwrap();
    for (reason, count) in [
        ("unreadable", 2),
        ("mistyped", 4),
        ("out-of-range", 2),
        ("too-long", 1),
        ("unknown", 1),
    ] {
        let line = format!("scalewood_refused_heartbeats_total{{reason=\"{reason}\"}} {count}");
        assert!(metrics.lines().any(|l| l == line), "{line}: {metrics}");
    }
    // There is one log line for each of five reasons, however many heartbeats are refused.
    let lines = || {
        let log = std::fs::read_to_string(dir.path().join("c0.log")).unwrap();
        log.matches("\"event\":2323").count()
    };
    deploy::wait("the lines are written", || async { lines() >= 5 }).await;
    assert_eq!(lines(), 5);
    for i in 0..10 {
        let call = system.call("POST", "/unsafe/on", &format!("o{i}")).await;
        assert_eq!(call.unwrap().status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_highest_version_wins_and_what_is_invalid_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    let (system, _endpoints) = serving(1, dir.path()).await;
    let newer = text(&routing(9));
    assert_eq!(system.publish(&newer).await, 200);
    assert_eq!(
        system.publish(&newer).await,
        200,
        "a resend is answered again"
    );
    let mut other = routing(9);
    other.routes.clear();
    assert_eq!(system.publish(&text(&other)).await, 200);
    assert_eq!(system.publish(&text(&routing(8))).await, 200);
    assert_eq!(
        system.read().await,
        newer,
        "the routing is read back as it was sent"
    );
    let mut broken = routing(10);
    broken.services.clear();
    assert_eq!(system.publish(&text(&broken)).await, 400);
    assert_eq!(system.publish(&newer[..newer.len() / 2]).await, 400);
    assert_eq!(system.read().await, newer);
    let mut revoked = routing(11);
    let team = revoked.teams.values_mut().next().unwrap();
    team.keys.clear();
    assert_eq!(system.publish(&text(&revoked)).await, 200);
    deploy::wait("the key is taken away", || async {
        let answer = system.call("GET", "/safe/revoked", "k").await;
        answer.is_ok_and(|answer| answer.status == 401)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn voters_form_by_themselves_and_keep_what_they_acknowledged() {
    let dir = tempfile::tempdir().unwrap();
    let mut system = System::start(3, dir.path());
    assert_eq!(system.publish(&text(&routing(1))).await, 200);
    // All voters are killed at once and started again.
    for voter in &mut system.voters {
        voter.take().unwrap().kill();
    }
    for i in 0..3 {
        system.start_voter(i, false);
    }
    assert_eq!(system.read().await, text(&routing(1)));
    // Each voter in turn loses its disk, right after an acknowledgement.
    for (i, version) in (0..3).zip(2..) {
        let newer = text(&routing(version));
        assert_eq!(system.publish(&newer).await, 200);
        system.voters[i].take().unwrap().kill();
        std::fs::remove_dir_all(system.data(i)).unwrap();
        system.start_voter(i, false);
        assert_eq!(system.read().await, newer);
        wait_settled(&system, i).await;
    }
}

/// Waits until a voter that came back votes again and there are no members but the three. Only then
/// may the next voter be lost.
async fn wait_settled(system: &System, i: usize) {
    let address = system.admin_address(i);
    deploy::wait("the membership is whole", || async move {
        let answer = client::ask(address, "GET", "/metrics", &[], "").await;
        let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        let text = text.unwrap_or_default();
        let holds = |line: &str| text.lines().any(|l| l == line);
        holds("scalewood_voter_votes 1") && holds("scalewood_voter_members 3")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_are_read_again_and_nothing_ends() {
    let dir = tempfile::tempdir().unwrap();
    let (mut system, _endpoints) = serving(1, dir.path()).await;
    system.entry.as_ref().unwrap().signal("HUP");
    system.voters[0].as_ref().unwrap().signal("HUP");
    for name in ["e1", "c0"] {
        let log = dir.path().join(format!("{name}.log"));
        deploy::wait("the settings were read again", || async {
            std::fs::read_to_string(&log)
                .unwrap()
                .contains("\"event\":1007")
        })
        .await;
    }
    std::fs::write(dir.path().join("e1.json"), "{ \"box\": 5 }").unwrap();
    system.entry.as_ref().unwrap().signal("HUP");
    deploy::wait("bad settings were refused", || async {
        std::fs::read_to_string(dir.path().join("e1.log"))
            .unwrap()
            .contains("\"event\":1008")
    })
    .await;
    assert_eq!(
        system.call("GET", "/safe/on", "o").await.unwrap().status,
        200
    );
    assert!(system.entry.as_mut().unwrap().is_running());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_stream_and_ends_in_time() {
    let dir = tempfile::tempdir().unwrap();
    let (mut system, _endpoints) = serving(1, dir.path()).await;
    let stream = system.call("POST", "/stream/stop", "p");
    let stop = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        system.entry.as_ref().unwrap().signal("TERM");
    };
    let (answer, ()) = tokio::join!(stream, stop);
    assert_eq!(answer.unwrap().status, 200);
    assert!(system.entry.take().unwrap().stop(Duration::from_secs(4)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_that_was_removed_while_it_was_silent_comes_back_by_itself() {
    let dir = tempfile::tempdir().unwrap();
    let mut system = System::start(4, dir.path());
    assert_eq!(system.publish(&text(&routing(1))).await, 200);
    wait_members(&system, &[0, 1, 2, 3], 4).await;
    system.voters[3].as_ref().unwrap().signal("STOP");
    wait_members(&system, &[0, 1, 2], 3).await;
    system.voters[3].as_ref().unwrap().signal("CONT");
    // The voter does not know that it was removed, since no other one sends it anything.
    wait_members(&system, &[0, 1, 2, 3], 4).await;
    // So the loss of two disks is tolerated again: two of four voters still have what was
    // acknowledged.
    let newer = text(&routing(2));
    assert_eq!(system.publish(&newer).await, 200);
    for i in [1, 2] {
        system.voters[i].take().unwrap().kill();
    }
    for i in [1, 2] {
        system.start_voter(i, false);
    }
    assert_eq!(system.read().await, newer);
}

/// Waits until each of these voters has a vote in a membership of a given size.
async fn wait_members(system: &System, voters: &[usize], count: usize) {
    for voter in voters {
        let address = system.admin_address(*voter);
        deploy::wait("the membership is as expected", || async move {
            let asked = client::ask(address, "GET", "/metrics", &[], "").await;
            let text = asked.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
            let text = text.unwrap_or_default();
            let members = format!("scalewood_voter_members {count}");
            let holds = |line: &str| text.lines().any(|l| l == line);
            holds("scalewood_voter_votes 1") && holds(&members)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn voters_and_boxes_tell_their_figures() {
    let dir = tempfile::tempdir().unwrap();
    let (system, _endpoints) = serving(2, dir.path()).await;
    assert_eq!(system.publish("{").await, 400);
    let metrics = |address| async move {
        let answer = client::ask(address, "GET", "/metrics", &[], "")
            .await
            .unwrap();
        String::from_utf8(answer.body.to_vec()).unwrap()
    };
    let voter = metrics(system.admin_address(0)).await;
    for line in [
        "scalewood_publications_total{outcome=\"accepted\"} 1",
        "scalewood_publications_total{outcome=\"refused\"} 1",
        "scalewood_voter_leads 1",
        "scalewood_config_version 7",
        "scalewood_endpoints 2",
        "scalewood_followers 1",
    ] {
        assert!(
            voter.lines().any(|l| l == line),
            "{line} is missing in:\n{voter}"
        );
    }
    let entry = metrics(system.health()).await;
    let offered = "scalewood_requests_offered_total{service=\"lm\",class=\"safe\"}";
    assert!(entry.contains(offered), "{offered} is missing in:\n{entry}");
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoints_that_can_not_be_reached_cost_no_call_that_another_could_serve() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(1, dir.path()).await;
    // The endpoint that works is in another zone, so that the others are tried first.
    let mut far = endpoints[0].record(2, State::Ready);
    far.zone = "z1".parse().unwrap();
    system.announce(0, &far).await;
    // Nothing listens at these addresses, so no part of a request can have arrived.
    for i in 0..4 {
        let mut record = endpoints[0].record(1, State::Ready);
        record.name = format!("i-dead-{i}").parse().unwrap();
        record.address = (system.host, 9500 + i).into();
        system.announce(0, &record).await;
    }
    deploy::wait("the box knows the endpoints", || async {
        let log = std::fs::read_to_string(dir.path().join("e1.log")).unwrap();
        log.contains("i-dead-3")
    })
    .await;
    for i in 0..4 {
        let answer = system.call("POST", "/unsafe/reach", &format!("d{i}")).await;
        assert_eq!(answer.unwrap().status, 200, "call {i}");
    }
}

/// One voter alone can't know that nothing newer was acknowledged, so its box serves nothing. With a
/// second one the box serves at once, though the endpoint has announced itself to none since.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_loss_of_power_the_known_endpoints_are_used_once_a_leader_is_elected() {
    let dir = tempfile::tempdir().unwrap();
    let mut system = System::start(3, dir.path());
    assert_eq!(system.publish(&text(&routing(7))).await, 200);
    let endpoint = Endpoint::start("i-0", (system.host, 9000).into()).await;
    system.announce(0, &endpoint.record(1, State::Ready)).await;
    system.wait_served().await;
    system.announce(0, &endpoint.record(2, State::Ready)).await;
    let hints = system.data(0).join("hints.json");
    deploy::wait("the hints are kept", || async {
        let text = std::fs::read_to_string(&hints).unwrap_or_default();
        text.contains("i-0")
    })
    .await;
    for voter in &mut system.voters {
        voter.take().unwrap().kill();
    }
    system.entry.take().unwrap().kill();
    system.start_voter(0, false);
    system.start_entry();
    deploy::wait("the box listens and refuses", || async {
        let answer = system.call("POST", "/unsafe/alone", "a").await;
        answer.is_ok_and(|answer| answer.status == 503 && answer.verdict() == Some("not-run"))
    })
    .await;
    let newer = text(&routing(8));
    let asked = client::ask(system.publish_address(0), "PUT", "/v1/routing", &[], newer);
    assert_eq!(
        asked.await.unwrap().status,
        503,
        "one voter alone commits nothing"
    );
    let answer = system.call("POST", "/unsafe/alone", "b").await.unwrap();
    assert_eq!(answer.status, 503, "one voter alone gives out nothing");
    system.start_voter(1, false);
    system.wait_served().await;
    let answer = system.call("POST", "/unsafe/after", "c").await.unwrap();
    assert_eq!(answer.status, 200);
}

/// A voter loses its disk, and all other voters and the boxes lose power at the same moment, right
/// after a routing was acknowledged. Two of three voters have the routing on their disks by then,
/// whichever of them acknowledged it. So one of the remaining voters has it, and there is no
/// majority without that one.
#[tokio::test(flavor = "multi_thread")]
async fn a_routing_outlives_a_disk_that_is_lost_as_all_others_lose_power() {
    let dir = tempfile::tempdir().unwrap();
    let mut system = System::start(3, dir.path());
    for lost in 0..3 {
        let newest = text(&routing(7 + u64::try_from(lost).unwrap()));
        assert_eq!(system.publish(&newest).await, 200);
        let name = system.voter_listen(lost).ip().to_string();
        let identity = || async {
            let status = system.operator().status().await.ok()?;
            let members = status.voter.members;
            let node = members.voters().find(|node| node.name.as_str() == name);
            node.cloned()
        };
        let before = identity().await.unwrap();
        system.entry.take().unwrap().kill();
        (0..3).for_each(|i| system.voters[i].take().unwrap().kill());
        std::fs::remove_dir_all(system.data(lost)).unwrap();
        (0..3).for_each(|i| system.start_voter(i, false));
        system.start_entry();
        assert_eq!(system.read().await, newest);
        let port = 9000 + u16::try_from(lost).unwrap();
        let endpoint = Endpoint::start(&format!("i-{lost}"), (system.host, port).into()).await;
        for voter in 0..3 {
            let record = endpoint.record(1, State::Ready);
            let path = format!("/v1/endpoints/{}", record.name);
            let body = serde_json::to_string(&record).unwrap();
            // The voter that has lost its disk may not be a member yet.
            let at = system.publish_address(voter);
            let _ = client::ask(at, "PUT", &path, &[], body).await;
        }
        system.wait_served().await;
        // The voter that lost its disk votes again before the next disk is lost.
        deploy::wait("the voter votes under a new identity", || async {
            let status = system.operator().status().await;
            status.is_ok_and(|status| {
                let members = &status.voter.members;
                let mut voters = members.voters();
                voters.any(|node| node.name.as_str() == name && *node != before)
                    && members.voters().count() == 3
            })
        })
        .await;
    }
}
