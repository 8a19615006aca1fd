//! Engines that leave, and processes that end after they have acknowledged it.

use crate::{
    client::Traffic,
    deploy::{Deployment, CONTACT_MS, DRAIN_MS, ZONES},
    engine::Engine,
    record::{sleep, Record},
    Verdict,
};

const SERVICE: &str = "wuno96b";
/// How long an engine serves on after the acknowledgement of its DELETE: "at times many seconds".
const SERVES_ON_MS: u64 = 10_000;
/// How long a request of these engines takes.
const WORK_MS: u64 = 20;

const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"r-fetch","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe","timeout_ms":2000,
"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":2,"public":false}],
"services":[{"name":"wuno96b","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// Starts three core machines, two edge machines, engines and clients, and waits until all are calm.
fn begin(record: &Record, engines: u8) -> Option<(Deployment, Vec<Engine>, Traffic)> {
    let mut deployment = Deployment::new(2, record);
    deployment.start_all();
    deployment.watch_readiness();
    if !deployment.publish(CONFIG) {
        record.say("the configuration was not taken");
        return None;
    }
    let control = deployment.control();
    let engines = (0..engines).map(|i| {
        let id = format!("i-7f3a91c{i}");
        let zone = ZONES[usize::from(i) % ZONES.len()];
        let address = deployment.engine_address(i);
        Engine::start(
            (&id, SERVICE, zone),
            address,
            &control,
            (64, WORK_MS),
            record,
        )
    });
    let engines: Vec<_> = engines.collect();
    if !deployment.wait_ready() {
        record.say("the edge machines did not get ready");
        return None;
    }
    let traffic = Traffic::start(&deployment, 8, 20);
    // Longer than contact_ms, and long enough that all is as on any minute of a day.
    sleep(CONTACT_MS + 5000);
    Some((deployment, engines, traffic))
}

/// Judges DRAIN: a request that machines in touch took and sent on reaches the engine later than drain_ms after the
/// acknowledgement. `calm_since` is the last disruption of any process.
fn judge(
    record: &Record,
    traffic: &Traffic,
    engine: &Engine,
    acked: u64,
    calm_since: u64,
) -> Verdict {
    let sent = traffic.sent.lock().unwrap();
    let arrivals = engine.arrivals();
    let before = arrivals
        .iter()
        .filter(|arrival| arrival.at <= acked)
        .count();
    let after: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > acked)
        .collect();
    let late: Vec<_> = after
        .iter()
        .filter(|arrival| arrival.at > acked + DRAIN_MS)
        .filter(|arrival| {
            let taken = sent.get(&arrival.id).map_or(0, |sent| sent.at);
            taken >= calm_since + CONTACT_MS
        })
        .collect();
    record.say(&format!(
        "{} got {before} requests before its DELETE was acknowledged at {acked} and {} after it; \
         answers: {}",
        engine.id(),
        after.len(),
        traffic.summary()
    ));
    let Some((first, last)) = late.first().zip(late.last()) else {
        record.say("DRAIN held");
        return if before == 0 {
            Verdict::NotRun
        } else {
            Verdict::Held
        };
    };
    record.say(&format!(
        "DRAIN broken: {} requests that machines in touch took and sent on (all processes calm since \
         {calm_since}) reached it more than {DRAIN_MS} ms after the acknowledgement, from {} ({}) to {} ({})",
        late.len(),
        first.at,
        first.id,
        last.at,
        last.id
    ));
    Verdict::Broken
}

/// An engine leaves, and shortly after the acknowledgement all processes are killed at the same moment and
/// start again half a second later.
pub fn kill_all(record: &Record, trouble: bool) -> Verdict {
    let Some((mut deployment, engines, traffic)) = begin(record, 3) else {
        return Verdict::NotRun;
    };
    let engine = &engines[0];
    let control = deployment.control();
    if !engine.delete(control[0]) {
        record.say("the DELETE was not acknowledged");
        return Verdict::NotRun;
    }
    let acked = record.say(&format!("DELETE of {} is acknowledged", engine.id()));
    let mut calm_since = 0;
    if trouble {
        sleep(300);
        deployment.kill_all();
        sleep(500);
        deployment.start_all();
        let machines = deployment.cores.iter().chain(&deployment.edges);
        calm_since = machines
            .map(|machine| machine.started)
            .max()
            .unwrap_or_default();
        record.say("all processes were killed and have started again");
    }
    sleep((acked + SERVES_ON_MS).saturating_sub(record.now()));
    engine.end();
    sleep(1000);
    traffic.stop();
    let verdict = judge(record, &traffic, engine, acked, calm_since);
    engines.iter().for_each(Engine::end);
    verdict
}
