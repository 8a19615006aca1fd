//! A configuration adds a route whose paths are those of the product's own interface.

use crate::{
    client,
    deploy::{Deployment, CONTACT_MS, ZONES},
    engine::Engine,
    record::{sleep, Record},
    Verdict,
};

/// `config_apply_ms` of the bounds.
const APPLY_MS: u64 = 2000;
const DEADLINE_MS: u64 = 4000;
/// Of each, so many requests are sent to each machine.
const REQUESTS: usize = 20;

/// Returns a version of the configuration; the second one adds the route.
fn config(version: u32) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","host":"ficu95.example","path_prefix":"{prefix}","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":1,"public":false}}"#
        )
    };
    let mut routes = vec![route("r-post", "/puxa403/")];
    if version > 1 {
        routes.push(route("r-added", "/v1/"));
    }
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"wuno96b","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

pub fn paths(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(2, record);
    deployment.start_all();
    deployment.watch_readiness();
    if !deployment.publish(&config(1)) {
        record.say("the configuration was not taken");
        return Verdict::NotRun;
    }
    let control = deployment.control();
    let address = deployment.engine_address(0);
    let names = ("i-7f3a91c0", "wuno96b", ZONES[0]);
    let engine = Engine::start(names, address, &control, (64, 20), record);
    if !deployment.wait_ready() {
        record.say("the edge machines did not get ready");
        return Verdict::NotRun;
    }
    sleep(CONTACT_MS + 1000);
    if trouble && !deployment.publish(&config(2)) {
        record.say("the second version was not taken");
        return Verdict::NotRun;
    }
    record.say(if trouble {
        "version 2 is acknowledged"
    } else {
        "version 1 stays in force"
    });
    sleep(APPLY_MS + 1000);
    let paths: &[&str] = if trouble {
        &[
            client::PATH,
            "/v1/other",
            "/v1/chat/completions",
            "/v1/completions",
            "/v1/models",
        ]
    } else {
        &[client::PATH]
    };
    let mut refused = 0;
    let mut served = 0;
    for path in paths {
        let mut statuses = Vec::new();
        for i in 0..2 * REQUESTS {
            let Some(mut connection) = client::connect(deployment.frontend(i % 2)) else {
                continue;
            };
            let body = (*path, &[b'x'; 600][..]);
            let ended = client::post_over(&mut connection, i % 2, DEADLINE_MS, body, record);
            statuses.extend(ended.and_then(|ended| ended.status));
        }
        refused += statuses
            .iter()
            .filter(|status| matches!(**status, 401 | 403 | 404))
            .count();
        served += statuses.iter().filter(|status| **status == 200).count();
        statuses.sort_unstable();
        statuses.dedup();
        record.say(&format!("POST {path}: {statuses:?}"));
    }
    engine.end();
    if refused > 0 {
        record.say(&format!(
            "CONFIG broken: {refused} requests were refused though their route and key exist"
        ));
        return Verdict::Broken;
    }
    record.say("CONFIG held");
    if served == 0 {
        return Verdict::NotRun;
    }
    Verdict::Held
}
