//! Sound endpoints of scalewood's own API that pause for longer than `limits.silence` and then go on, with
//! real processes: what callers get of the answers that were due meanwhile.

use std::time::{Duration, Instant};

use scalewood::core::{
    change::{Answer, Edit, Item},
    config,
};
use serde_json::json;

use crate::{
    path::expected,
    support::{
        client::{self, ask, bearer, chat, Streamed},
        deploy::{self, Deployment, Plan},
    },
};

/// How long endpoints pause: longer than `limits.silence`, and shorter than the deadline of any class.
const PAUSE: Duration = Duration::from_millis(2000);
/// How long one endpoint pauses beside another one that does not answer.
const OTHER_PAUSE: Duration = Duration::from_millis(1600);
/// How long requests run before the pause begins.
const BEFORE: Duration = Duration::from_millis(250);
/// The tokens of an answer that takes longer than [`BEFORE`].
const TOKENS: usize = 400;

/// Returns the plan of one box that leaves endpoints for their silence after half a second.
fn plan() -> Plan {
    Plan {
        boxes: vec![1],
        engines: 2,
        limits: r#""silence": "500ms", "arrival": "1s", "body": "1MiB""#,
        ..Plan::default()
    }
}

/// Stops all endpoints after a time, and lets them go on after a pause. Their kernel keeps all
/// connections.
async fn pause(deployment: &Deployment, after: Duration, pause: Duration) {
    let signal = |signal| {
        let processes = deployment
            .standins
            .iter()
            .filter_map(|s| s.process.as_ref());
        processes.for_each(|process| process.signal(signal));
    };
    tokio::time::sleep(after).await;
    signal("STOP");
    tokio::time::sleep(pause).await;
    signal("CONT");
}

/// Sets the class `lm/report` to one whose requests may not run twice.
async fn forbid_repetition(deployment: &Deployment, deadline: Duration) {
    let class = config::Class {
        repeatable: false,
        deadline,
        ..config::Class::default()
    };
    let edit = Edit::Set(Item::Class("lm/report".parse().unwrap(), class));
    let answer = deployment.apply(vec![edit], "once").await;
    assert!(matches!(answer, Answer::Accepted { .. }), "{answer:?}");
    // Longer than boxes take to use a configuration.
    tokio::time::sleep(Duration::from_secs(1)).await;
}

async fn stream(deployment: &Deployment, class: &str, prompt: &str) -> Streamed {
    let callers = deployment.entries[0].callers;
    let mut connection = client::Connection::open(callers).await.unwrap();
    let body = chat(deploy::MODEL, prompt, true);
    client::stream(&mut connection, deploy::TEAM, class, body)
        .await
        .unwrap()
}

/// Makes requests fail until one is not tried again, and then lets engines answer correctly.
async fn empty_budget(deployment: &Deployment) {
    const MAX_REQUESTS: usize = 60;
    let engines = deployment.standins_of(true);
    for engine in &engines {
        let faults = json!({ "breaks": 10_000, "break_after": 0 });
        deployment.faults(*engine, faults).await;
    }
    let runs = || -> usize { engines.iter().map(|i| deployment.runs(*i).len()).sum() };
    let mut is_empty = false;
    for i in 0..MAX_REQUESTS {
        let before = runs();
        let answer = stream(deployment, "counter", &format!("fails {i} len=5")).await;
        assert!(!answer.is_complete);
        is_empty = runs() == before + 1 && answer.status == 502;
        if is_empty {
            break;
        }
    }
    assert!(is_empty, "failed requests are tried again without an end");
    for engine in &engines {
        deployment.faults(*engine, json!({})).await;
    }
    deployment.wait_ready().await;
}

/// Guards against streams that end with an error since their sound endpoint paused for longer than
/// `limits.silence` while the budget held no retry with which to go on elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn no_stream_ends_for_a_pause_without_a_retry() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(plan(), dir.path()).await;
    empty_budget(&deployment).await;
    let prompts: Vec<_> = (0..4).map(|i| format!("paused {i} len={TOKENS}")).collect();
    let streams = prompts
        .iter()
        .map(|prompt| stream(&deployment, "counter", prompt));
    let streams = futures_util::future::join_all(streams);
    let (answers, ()) = tokio::join!(streams, pause(&deployment, BEFORE, PAUSE));
    for (prompt, answer) in prompts.iter().zip(answers) {
        assert!(answer.is_complete, "{prompt}: {:?}", answer.error);
        assert_eq!(answer.text, expected(prompt));
    }
}

/// Guards against answers that end since their sound endpoint paused for longer than `limits.silence`,
/// though no other endpoint may get the request: before the head, between events and in a body.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_that_may_not_run_twice_ends_for_a_pause() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(plan(), dir.path()).await;
    forbid_repetition(&deployment, Duration::from_secs(10)).await;
    let callers = deployment.entries[0].callers;
    let token = bearer(deploy::TEAM);
    let headers = |class| {
        [
            ("authorization", token.as_str()),
            ("scalewood-class", class),
        ]
    };
    let (report, record) = (headers("report"), headers("record"));

    let prompt = format!("paused len={TOKENS}");
    let body = chat(deploy::MODEL, &prompt, false);
    let whole = ask(callers, "POST", "/v1/chat/completions", &report, body);
    let streamed = stream(&deployment, "report", &prompt);
    let (whole, streamed, ()) = tokio::join!(whole, streamed, pause(&deployment, BEFORE, PAUSE));
    let whole = whole.unwrap();
    assert!(streamed.is_complete, "{:?}", streamed.error);
    assert_eq!(streamed.text, expected(&prompt));
    assert_eq!(whole.status, 200, "{:?}", whole.json());

    let begun = async {
        tokio::time::sleep(BEFORE).await;
        ask(callers, "POST", "/services/stock/x", &record, "a call").await
    };
    let (answer, ()) = tokio::join!(begun, pause(&deployment, Duration::ZERO, PAUSE));
    let answer = answer.unwrap();
    assert_eq!(answer.status, 200, "{:?}", answer.json());
}

/// Guards against requests without another attempt whose silent endpoint is given up before their
/// deadline, or awaited for longer than that.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_another_attempt_ends_at_its_deadline() {
    const DEADLINE: Duration = Duration::from_secs(2);
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(plan(), dir.path()).await;
    forbid_repetition(&deployment, DEADLINE).await;
    for engine in deployment.standins_of(true) {
        deployment.faults(engine, json!({ "hang": true })).await;
    }
    let since = Instant::now();
    let answer = stream(&deployment, "report", "hung len=5").await;
    let took = since.elapsed();
    assert_eq!(answer.status, 504);
    assert_eq!(answer.verdict.as_deref(), Some("may-have-run"));
    assert!(took >= DEADLINE, "{took:?}");
    assert!(took < DEADLINE + Duration::from_secs(1), "{took:?}");
}

/// Guards against slots that stay taken by a request whose caller has left, while its silent endpoint is
/// awaited beyond `limits.silence`.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_the_wait_for_a_silent_endpoint() {
    const LEAVE_AFTER: Duration = Duration::from_secs(1);
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan {
        engines: 1,
        slots: 1,
        ..plan()
    };
    let deployment = Deployment::start(plan, dir.path()).await;
    forbid_repetition(&deployment, Duration::from_secs(10)).await;
    let engine = deployment.standins_of(true)[0];
    for streamed in [true, false] {
        deployment.faults(engine, json!({ "hang": true })).await;
        let token = bearer(deploy::TEAM);
        let headers = [
            ("authorization", token.as_str()),
            ("scalewood-class", "report"),
        ];
        let callers = deployment.entries[0].callers;
        let body = chat(deploy::MODEL, "left len=5", streamed);
        let hung = ask(callers, "POST", "/v1/chat/completions", &headers, body);
        let hung = tokio::time::timeout(LEAVE_AFTER, hung).await;
        assert!(hung.is_err(), "{hung:?}");
        deployment.faults(engine, json!({})).await;
        let since = Instant::now();
        let answer = stream(&deployment, "report", "next len=5").await;
        assert!(answer.is_complete, "{:?}", answer.error);
        assert!(since.elapsed() < Duration::from_millis(500));
    }
}

/// Why the endpoint that is asked beside a silent one does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Why {
    /// All its slots are taken.
    Full,
    /// It refuses each request.
    Refuses,
    /// It breaks off each answer.
    Breaks,
}

/// Returns the stand-in that runs a request whose record contains a text, and the other one of its service.
async fn runner(deployment: &Deployment, model: bool, text: &str) -> (usize, usize) {
    let all = deployment.standins_of(model);
    for _ in 0..300 {
        for (i, standin) in all.iter().enumerate() {
            if count_runs(deployment, *standin, text) > 0 {
                return (*standin, all[1 - i]);
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no endpoint runs {text}");
}

/// Returns how often a stand-in began a request whose record contains a text.
fn count_runs(deployment: &Deployment, standin: usize, text: &str) -> usize {
    let runs = deployment.runs(standin);
    runs.iter()
        .filter(|run| run.to_string().contains(text))
        .count()
}

/// Pauses the endpoint that runs a request, beside which the other one does not answer. Returns the paused one.
async fn pause_beside(deployment: &Deployment, model: bool, text: &str, why: Why) -> usize {
    let (paused, other) = runner(deployment, model, text).await;
    let faults = match why {
        Why::Full => json!({}),
        Why::Refuses => json!({ "rest_ms": 200 }),
        Why::Breaks => json!({ "breaks": 10_000, "break_after": 0, "cut_after_run": true }),
    };
    deployment.faults(other, faults).await;
    tokio::time::sleep(BEFORE).await;
    let process = deployment.standins[paused].process.as_ref().unwrap();
    process.signal("STOP");
    tokio::time::sleep(OTHER_PAUSE).await;
    process.signal("CONT");
    paused
}

/// Returns what is wrong with an answer that is due from a paused endpoint, if anything is.
fn check(
    deployment: &Deployment,
    paused: usize,
    why: Why,
    is_whole: bool,
    got: &str,
) -> Option<String> {
    let runs = count_runs(deployment, paused, "paused");
    let is_sound = is_whole && runs == 1;
    (!is_sound)
        .then(|| format!("{why:?}: whole: {is_whole}, {runs} runs at the paused endpoint, {got}"))
}

/// Returns the plan of [`plan`] with two endpoints of each service that have one slot each.
fn plan_of_two(first_us: u64) -> Plan {
    Plan {
        replicas: 2,
        slots: 1,
        first_us,
        ..plan()
    }
}

/// Takes the slot of an endpoint of a service until the returned task is aborted or the answer ends.
async fn occupy(deployment: &Deployment, model: bool) -> tokio::task::JoinHandle<()> {
    let callers = deployment.entries[0].callers;
    let task = tokio::spawn(async move {
        let token = bearer(deploy::TEAM);
        let headers = [
            ("authorization", token.as_str()),
            ("scalewood-class", if model { "counter" } else { "record" }),
        ];
        let body = chat(deploy::MODEL, "occupies len=4000", false);
        let path = if model {
            "/v1/chat/completions"
        } else {
            "/services/stock/occupies"
        };
        let _ = ask(callers, "POST", path, &headers, body).await;
    });
    runner(deployment, model, "occupies").await;
    task
}

/// Guards against streams of models that are cut since the endpoint that was asked beside a paused one has no
/// slot, refuses the request or breaks off.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_outlasts_a_pause_where_the_other_endpoint_fails() {
    let mut lost = Vec::new();
    for why in [Why::Full, Why::Refuses, Why::Breaks] {
        let dir = tempfile::tempdir().unwrap();
        let deployment = Deployment::start(plan_of_two(5000), dir.path()).await;
        let occupant = match why {
            Why::Full => Some(occupy(&deployment, true).await),
            Why::Refuses | Why::Breaks => None,
        };
        let prompt = format!("paused len={TOKENS}");
        let streamed = stream(&deployment, "counter", &prompt);
        let paused = pause_beside(&deployment, true, "paused", why);
        let (streamed, paused) = tokio::join!(streamed, paused);
        let is_whole = streamed.is_complete && streamed.text == expected(&prompt);
        let got = format!("{:?}", streamed.error);
        lost.extend(check(&deployment, paused, why, is_whole, &got));
        occupant.inspect(|task| task.abort());
    }
    assert_eq!(lost, Vec::<String>::new());
}

/// Guards against whole answers of models that are lost for the same reasons.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_outlasts_a_pause_where_the_other_endpoint_fails() {
    let mut lost = Vec::new();
    for why in [Why::Full, Why::Refuses, Why::Breaks] {
        let dir = tempfile::tempdir().unwrap();
        let deployment = Deployment::start(plan_of_two(5000), dir.path()).await;
        let occupant = match why {
            Why::Full => Some(occupy(&deployment, true).await),
            Why::Refuses | Why::Breaks => None,
        };
        let token = bearer(deploy::TEAM);
        let headers = [
            ("authorization", token.as_str()),
            ("scalewood-class", "counter"),
        ];
        let prompt = format!("paused len={TOKENS}");
        let body = chat(deploy::MODEL, &prompt, false);
        let callers = deployment.entries[0].callers;
        let call = ask(callers, "POST", "/v1/chat/completions", &headers, body);
        let paused = pause_beside(&deployment, true, "paused", why);
        let (answer, paused) = tokio::join!(call, paused);
        let answer = answer.unwrap();
        let (is_whole, got) = (answer.status == 200, answer.json().to_string());
        lost.extend(check(&deployment, paused, why, is_whole, &got));
        occupant.inspect(|task| task.abort());
    }
    assert_eq!(lost, Vec::<String>::new());
}

/// Guards against calls of plain services that are lost for the same reasons.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_outlasts_a_pause_where_the_other_endpoint_fails() {
    let mut lost = Vec::new();
    // Longer than the pause begins after, and for the one that is busy longer than the pause.
    for (why, first_us) in [
        (Why::Full, 3_000_000),
        (Why::Refuses, 400_000),
        (Why::Breaks, 400_000),
    ] {
        let dir = tempfile::tempdir().unwrap();
        let plan = Plan {
            first_us,
            ..plan_of_two(5000)
        };
        let deployment = Deployment::start(plan, dir.path()).await;
        let occupant = match why {
            Why::Full => Some(occupy(&deployment, false).await),
            Why::Refuses | Why::Breaks => None,
        };
        let token = bearer(deploy::TEAM);
        let headers = [
            ("authorization", token.as_str()),
            ("scalewood-class", "lookup"),
        ];
        let callers = deployment.entries[0].callers;
        let call = ask(
            callers,
            "POST",
            "/services/stock/paused",
            &headers,
            "a call",
        );
        let paused = pause_beside(&deployment, false, "paused", why);
        let (answer, paused) = tokio::join!(call, paused);
        let answer = answer.unwrap();
        let (is_whole, got) = (answer.status == 200, answer.json().to_string());
        lost.extend(check(&deployment, paused, why, is_whole, &got));
        occupant.inspect(|task| task.abort());
    }
    assert_eq!(lost, Vec::<String>::new());
}

/// Guards against runs that go on at the paused endpoint, or at the one beside it, after the caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_the_attempts_at_silent_endpoints() {
    /// When both endpoints have been silent for longer than `limits.silence`.
    const LEAVE_AFTER: Duration = Duration::from_millis(1500);
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(plan_of_two(5000), dir.path()).await;
    let engines = deployment.standins_of(true);
    for (streamed, prompt) in [(true, "left stream len=5"), (false, "left whole len=5")] {
        for engine in &engines {
            deployment.faults(*engine, json!({ "hang": true })).await;
        }
        let token = bearer(deploy::TEAM);
        let headers = [
            ("authorization", token.as_str()),
            ("scalewood-class", "counter"),
        ];
        let callers = deployment.entries[0].callers;
        let body = chat(deploy::MODEL, prompt, streamed);
        let hung = ask(callers, "POST", "/v1/chat/completions", &headers, body);
        let hung = tokio::time::timeout(LEAVE_AFTER, hung).await;
        assert!(hung.is_err(), "{hung:?}");
        for engine in &engines {
            let runs = count_runs(&deployment, *engine, prompt);
            assert_eq!(runs, 1, "{prompt} at {engine}");
            deployment.faults(*engine, json!({})).await;
        }
        // Both slots are free.
        let since = Instant::now();
        let next = ["next a len=5", "next b len=5"].map(|p| stream(&deployment, "counter", p));
        for answer in futures_util::future::join_all(next).await {
            assert!(answer.is_complete, "{:?}", answer.error);
        }
        let took = since.elapsed();
        assert!(took < Duration::from_millis(500), "{took:?}");
    }
}

/// Guards against attempts of own calls whose failure, silence and return the log does not state with the
/// call's id.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_of_own_calls_are_logged_as_those_of_routes() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(plan_of_two(5000), dir.path()).await;
    let streamed = stream(&deployment, "counter", "paused len=400");
    let paused = pause_beside(&deployment, true, "paused", Why::Breaks);
    let (streamed, paused) = tokio::join!(streamed, paused);
    assert!(streamed.is_complete, "{:?}", streamed.error);
    let log = dir
        .path()
        .join(format!("{}.log", deployment.entries[0].name));
    let log = std::fs::read_to_string(log).unwrap();
    let lines = |number: u32| -> Vec<serde_json::Value> {
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        let is_asked = |line: &serde_json::Value| line["event"] == number;
        lines.filter(is_asked).collect()
    };
    let (failed, silent, back) = (lines(3312), lines(3318), lines(3319));
    assert!(!failed.is_empty(), "{log}");
    assert_eq!(silent.len(), 1, "{silent:?}");
    assert_eq!(back.len(), 1, "{back:?}");
    let name = &deployment.standins[paused].name;
    assert_eq!(back[0]["endpoint"], **name);
    assert_eq!(silent[0]["endpoint"], **name);
    assert_eq!(silent[0]["again"], true);
    for line in &failed {
        assert_eq!(line["how"], "Broken", "{line}");
        assert_ne!(line["endpoint"], **name, "{line}");
        assert_eq!(line["id"], silent[0]["id"]);
    }
    assert_eq!(back[0]["id"], silent[0]["id"]);
}

/// Guards against calls that are lost since their paused endpoint reads none of a long body for some
/// seconds.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_call_outlasts_an_endpoint_that_reads_nothing_for_seconds() {
    const LONG_PAUSE: Duration = Duration::from_millis(3000);
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan {
        limits: r#""silence": "15s", "arrival": "1s", "body": "1MiB""#,
        ..plan()
    };
    let deployment = Deployment::start(plan, dir.path()).await;
    let token = bearer(deploy::TEAM);
    let headers = [
        ("authorization", token.as_str()),
        ("scalewood-class", "record"),
    ];
    let body = "x".repeat(900 << 10);
    let callers = deployment.entries[0].callers;
    let call = async {
        tokio::time::sleep(BEFORE).await;
        ask(callers, "POST", "/services/stock/x", &headers, body).await
    };
    let (answer, ()) = tokio::join!(call, pause(&deployment, Duration::ZERO, LONG_PAUSE));
    assert_eq!(answer.unwrap().status, 200);
}
