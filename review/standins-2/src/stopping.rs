//! An edge machine is stopped while requests wait in it for a place at an engine.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
};

use crate::{
    client::{self, Ended},
    deploy::{Deployment, CONTACT_MS, GRACE_MS, LOSS_SLACK_MS, ZONES},
    engine::Engine,
    record::{sleep, Record},
    Verdict,
};

const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"r-post","host":"ficu95.example","path_prefix":"/puxa403/","kind":"unsafe","timeout_ms":15000,
"target_latency_ms":4000,"priority":2,"service":"wuno96b","max_attempts":1,"public":false}],
"services":[{"name":"wuno96b","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// How many requests each of the two engines works on at once, and for how long each.
const ENGINE: (usize, u64) = (4, 3000);
/// The clients' deadline, which is also the route's timeout.
const DEADLINE_MS: u64 = 15_000;
/// The pause between two requests: some more come than the engines can take, so requests wait.
const PAUSE_MS: u64 = 160;
/// How long that has lasted when the machine is stopped.
const BEFORE_MS: u64 = 9_000;

pub fn stop(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(2, record);
    deployment.start_all();
    deployment.watch_readiness();
    if !deployment.publish(CONFIG) {
        record.say("the configuration was not taken");
        return Verdict::NotRun;
    }
    let control = deployment.control();
    let engines = (0..2u8).map(|i| {
        let address = deployment.engine_address(i);
        let id = format!("i-7f3a91c{i}");
        let zone = ZONES[usize::from(i)];
        Engine::start((&id, "wuno96b", zone), address, &control, ENGINE, record)
    });
    let engines: Vec<_> = engines.collect();
    if !deployment.wait_ready() {
        record.say("the edge machines did not get ready");
        return Verdict::NotRun;
    }
    sleep(CONTACT_MS + 2000);
    let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let mut clients = Vec::new();
    let begun = record.now();
    let mut stopped = None;
    let mut turn = 0;
    // After the stop requests come for as long as the machine may take to end.
    while record.now() < begun + BEFORE_MS + GRACE_MS {
        if stopped.is_none() && record.now() >= begun + BEFORE_MS {
            stopped = Some(if trouble {
                deployment.terminate("edge", 0)
            } else {
                record.note("no process is stopped")
            });
        }
        let ready = deployment.ready();
        let ready = ready.lock().unwrap().clone();
        turn += 1;
        let edge = if ready[turn % 2] {
            turn % 2
        } else {
            (turn + 1) % 2
        };
        let (to, record, ended) = (deployment.frontend(edge), record.clone(), ended.clone());
        clients.push(std::thread::spawn(move || {
            let one = client::post(edge, to, DEADLINE_MS, &record);
            ended.lock().unwrap().extend(one);
        }));
        sleep(PAUSE_MS);
    }
    let stopped = stopped.unwrap_or_default();
    if trouble {
        deployment.wait_end("edge", 0, stopped + GRACE_MS);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let arrived = engines
        .iter()
        .flat_map(Engine::arrivals)
        .map(|arrival| arrival.id);
    let arrived: HashSet<_> = arrived.collect();
    let verdict = judge(record, &ended.lock().unwrap(), &arrived, stopped);
    engines.iter().for_each(Engine::end);
    verdict
}

/// Judges LOST around a SIGTERM, for requests that the machine took until 3 s after it.
fn judge(record: &Record, ended: &[Ended], arrived: &HashSet<String>, stopped: u64) -> Verdict {
    let count = |status| ended.iter().filter(|e| e.status == status).count();
    record.say(&format!(
        "{} requests: {} got 200, {} got 503, {} got no answer",
        ended.len(),
        count(Some(200)),
        count(Some(503)),
        count(None)
    ));
    let of_machine = ended.iter().filter(|e| e.edge == 0);
    // Sent at most a second before, so that no deadline is near when the machine ends.
    let of_machine = of_machine.filter(|e| e.sent + 1000 >= stopped && e.sent <= stopped + 3000);
    let taken: Vec<_> = of_machine.collect();
    let is_lost = |e: &&&Ended| {
        e.status.is_none()
            && !e.is_late
            && e.at <= stopped + GRACE_MS + 1000
            && e.at > e.sent + LOSS_SLACK_MS
            && e.at < e.sent + DEADLINE_MS
            && !arrived.contains(&e.id)
    };
    let lost: Vec<_> = taken.iter().filter(is_lost).collect();
    record.say(&format!(
        "{} requests were sent to edge 0 around {stopped}",
        taken.len()
    ));
    for e in &lost {
        record.say(&format!(
            "{} was sent at {}, reached no engine, and its connection was closed without an answer at {}",
            e.id, e.sent, e.at
        ));
    }
    if lost.is_empty() {
        record.say("LOST held");
        return if taken.is_empty() {
            Verdict::NotRun
        } else {
            Verdict::Held
        };
    }
    record.say(&format!("LOST broken: {} requests", lost.len()));
    Verdict::Broken
}
