//! A route gets homes, and all processes are killed shortly after that was acknowledged.

use crate::{
    client::Traffic,
    deploy::{Deployment, CONTACT_MS, ZONES},
    engine::Engine,
    record::{sleep, Record},
    Verdict,
};

/// `config_apply_ms` of the site.
const APPLY_MS: u64 = 3000;
const REGIONS: [&str; 3] = ["erie", "superior", "ontario"];

/// Returns a version of the configuration; from the third on the route may be served in one region only.
fn config(version: u32) -> String {
    let homes = if version > 2 {
        r#","allowed_regions":["erie"]"#
    } else {
        ""
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-fetch","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":2,"public":false{homes}}}],"services":[{{"name":"wuno96b","health_path":"/healthz","max_connections":560,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
    )
}

pub fn home(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(2, record);
    deployment.regions = REGIONS;
    deployment.start_all();
    deployment.watch_readiness();
    if !deployment.publish(&config(1)) {
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
    let traffic = Traffic::start(&deployment, 16, 20);
    sleep(CONTACT_MS + 4000);
    // A change that alters nothing is noted beside the journal within two seconds.
    let before = deployment.written(0, "hints.json");
    if !deployment.publish(&config(2)) {
        return Verdict::NotRun;
    }
    let patience = record.now() + 5000;
    while deployment.written(0, "hints.json") == before && record.now() < patience {
        sleep(5);
    }
    let noted = record.note("the core has noted version 2");
    sleep(150);
    if !deployment.publish(&config(3)) {
        return Verdict::NotRun;
    }
    let acked = record.say("version 3, by which the route has a home, is acknowledged");
    if trouble {
        sleep((noted + 1800).saturating_sub(record.now()));
        deployment.kill_all();
        let killed = record.now();
        sleep(150);
        deployment.start("core", 0);
        deployment.start("edge", 0);
        deployment.start("edge", 1);
        sleep((killed + 950).saturating_sub(record.now()));
        deployment.start("core", 1);
        deployment.start("core", 2);
        record.say("all processes were killed and have started again");
    }
    sleep((acked + APPLY_MS + 3000).saturating_sub(record.now()));
    traffic.stop();
    sleep(500);
    let verdict = judge(record, &traffic, &engines, acked);
    engines.iter().for_each(Engine::end);
    verdict
}

/// Judges HOME for requests that were sent more than config_apply_ms after the acknowledgement.
fn judge(record: &Record, traffic: &Traffic, engines: &[Engine], acked: u64) -> Verdict {
    let sent = traffic.sent.lock().unwrap();
    let late = |engine: &Engine| {
        let arrivals = engine.arrivals().into_iter();
        let arrivals = arrivals.filter_map(|arrival| Some((sent.get(&arrival.id)?.at, arrival)));
        let late = arrivals.filter(|(at, _)| *at > acked + APPLY_MS);
        late.collect::<Vec<_>>()
    };
    let home = late(&engines[0]).len();
    let mut away: Vec<_> = engines[1..].iter().flat_map(late).collect();
    away.sort_by_key(|(at, _)| *at);
    record.say(&format!(
        "of the requests sent over {APPLY_MS} ms after it, {home} reached the engine of the home, {} engines of \
         other regions; answers: {}",
        away.len(),
        traffic.summary()
    ));
    if let Some(((first, arrival), (last, _))) = away.first().zip(away.last()) {
        record.say(&format!(
            "HOME broken: sent from {first} ({}) to {last}",
            arrival.id
        ));
        return Verdict::Broken;
    }
    record.say("HOME held");
    if home == 0 {
        return Verdict::NotRun;
    }
    Verdict::Held
}
