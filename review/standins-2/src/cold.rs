//! An engine is cold, and all processes are killed right after it has said so.

use crate::{
    client::Traffic,
    deploy::{Deployment, COLD_OVERSHOOT, COLD_SLACK, CONTACT_MS, ZONES},
    engine::Engine,
    record::{sleep, Record},
    Verdict,
};

/// `cold_start_s` and `cold_per_s` of the service.
const COLD_MS: u64 = 3000;
const COLD_PER_S: f64 = 8.4;

/// In a second, "well above" what a cold engine bears: four times `cold_per_s`.
const WELL_ABOVE: u64 = 34;

const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"r-fetch","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe","timeout_ms":2000,
"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":2,"public":false}],
"services":[{"name":"wuno96b","health_path":"/healthz","max_connections":790,"protocol":"h1","tls":false,
"cold_start_s":3.0,"cold_per_s":8.4}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

pub fn cold(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(2, record);
    deployment.has_cold_bounds = true;
    deployment.start_all();
    deployment.watch_readiness();
    if !deployment.publish(CONFIG) {
        record.say("the configuration was not taken");
        return Verdict::NotRun;
    }
    let control = deployment.control();
    let engines = (0..3u8).map(|i| {
        let address = deployment.engine_address(i);
        let id = format!("i-7f3a91c{i}");
        let zone = ZONES[usize::from(i)];
        Engine::start((&id, "wuno96b", zone), address, &control, (64, 20), record)
    });
    let engines: Vec<_> = engines.collect();
    if !deployment.wait_ready() {
        record.say("the edge machines did not get ready");
        return Verdict::NotRun;
    }
    let traffic = Traffic::start(&deployment, 16, 40);
    // Longer than contact_ms and than the engines may have been cold after their start.
    sleep(CONTACT_MS + 5000);
    let engine = &engines[0];
    engine.bear_when_cold(WELL_ABOVE);
    let until = engine.become_cold(COLD_MS);
    let since = until - COLD_MS;
    record.say(&format!(
        "{} is cold from {since} to {until}; a daemon has acknowledged that",
        engine.id()
    ));
    if trouble {
        sleep(100);
        deployment.kill_all();
        sleep(300);
        deployment.start_all();
        record.say("all processes were killed and have started again");
    }
    sleep((until + 3000).saturating_sub(record.now()));
    traffic.stop();
    sleep(500);
    let verdict = judge(record, &traffic, engine, since, until);
    engines.iter().for_each(Engine::end);
    verdict
}

/// Judges FAILBACK: the requests that were both sent and arrived within one second while the engine was cold.
fn judge(record: &Record, traffic: &Traffic, engine: &Engine, since: u64, until: u64) -> Verdict {
    let sent = traffic.sent.lock().unwrap();
    let arrivals = engine.arrivals();
    let before = arrivals.iter().filter(|arrival| arrival.at < since).count();
    // Sent and arrived while it was cold.
    let mut times: Vec<_> = arrivals
        .iter()
        .filter_map(|arrival| Some((sent.get(&arrival.id)?.at, arrival.at)))
        .filter(|(sent, arrived)| *sent >= since && *arrived <= until)
        .collect();
    times.sort_unstable();
    let within = |from: u64| {
        let in_second = times
            .iter()
            .filter(|(sent, arrived)| *sent >= from && *arrived < from + 1000);
        in_second.count()
    };
    let most = times.iter().map(|(sent, _)| (within(*sent), *sent)).max();
    let (most, from) = most.unwrap_or_default();
    let limit = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK;
    record.say(&format!(
        "{} got {before} requests before it was cold and {} while it was; most in one second: {most}, from {from}; \
         allowed: {limit:.1}; requests lost as it fell over: {}; answers: {}",
        engine.id(),
        times.len(),
        engine.lost(),
        traffic.summary()
    ));
    if most as f64 > limit {
        record.say("FAILBACK broken");
        return Verdict::Broken;
    }
    record.say("FAILBACK held");
    if before == 0 {
        return Verdict::NotRun;
    }
    Verdict::Held
}
