//! An end-to-end demonstration with separate processes on loopback: a voter, two entry boxes in two
//! availability zones, and stand-ins for engines and plain services.
//!
//! It sends real requests and prints the streamed answer, a plain service's answer, the audit trail
//! and the status. Then it stops all processes cleanly.

// Nothing here runs on after a suspension of the machine, so clocks that stand still meanwhile do
// no harm.
#![allow(clippy::disallowed_methods)]

#[path = "../../tests/testsuite/support/mod.rs"]
#[expect(
    dead_code,
    reason = "the demonstration uses only a part of the test support"
)]
mod support;

use std::{process::Command, time::Duration};

use support::{client, deploy};

#[tokio::main]
async fn main() {
    let dir = std::env::temp_dir().join(format!("scalewood-demo-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder can be made");
    println!("# starting 1 voter, 2 entry boxes in 2 zones, 4 stand-in endpoints");
    let mut deployment = deploy::Deployment::start(deploy::Plan::default(), &dir).await;
    stream(&deployment).await;
    call(&deployment).await;
    operate(&deployment);
    println!("# stopping");
    let failed = deployment.stop(Duration::from_secs(20));
    drop(deployment);
    let _ = std::fs::remove_dir_all(&dir);
    assert!(failed.is_empty(), "these did not stop cleanly: {failed:?}");
    println!("# all processes have stopped cleanly");
}

async fn stream(deployment: &deploy::Deployment) {
    for entry in &deployment.entries {
        println!("# a streamed question to {} in {}", entry.name, entry.zone);
        let mut connection = client::Connection::open(entry.callers)
            .await
            .expect("the box takes callers");
        let body = client::chat(deploy::MODEL, "which filter fits the hauler? len=8", true);
        let answer = client::stream(&mut connection, deploy::TEAM, "counter", body).await;
        let answer = answer.expect("an answer comes");
        println!("{}", answer.text);
        println!(
            "  whole: {}, first token after {:?}",
            answer.is_complete, answer.first
        );
    }
}

async fn call(deployment: &deploy::Deployment) {
    println!("# a call of a plain service that may not be repeated, sent twice under one key");
    let bearer = client::bearer(deploy::TEAM);
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-class", "record"),
        ("idempotency-key", "lookup-1"),
    ];
    for entry in &deployment.entries {
        let path = "/services/stock/lookups/17";
        let answer = loop {
            let answer = client::ask(entry.callers, "POST", path, &headers, "{\"part\":17}").await;
            let answer = answer.expect("an answer comes");
            // Right after all boxes have started, the holders of keys do not vote yet.
            if answer.json()["error"]["code"] != "key-undecided" {
                break answer;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        };
        let verdict = answer.verdict().unwrap_or("none").to_owned();
        println!("{} {} (verdict {verdict})", answer.status, answer.json());
    }
}

/// Runs commands of the operators' tool as an operator would.
fn operate(deployment: &deploy::Deployment) {
    for args in [&["status"][..], &["config", "history"], &["class", "list"]] {
        println!("# scalewood {}", args.join(" "));
        let status = Command::new(deploy::programs().join("scalewood"))
            .args(args)
            .args(["--admin", &deployment.voters[0].admin.to_string()])
            .env("SCALEWOOD_TOKEN", deploy::OPERATOR)
            .status()
            .expect("scalewood can be run");
        assert!(status.success(), "scalewood {} fails", args.join(" "));
    }
}
