//! Orders to endpoints: only the leader sends them, and only under its lease, whether endpoints
//! check the term or not, and while leaders are killed or stopped.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use scalewood::core::{
    change::{Answer, Edit, Item, Key},
    config, unit,
};

use crate::support::{
    client,
    deploy::{self, Deployment, Plan, Process, Standin},
};

/// Adds two stand-ins to a deployment of voters: one that rejects orders of an older term, and one
/// that does not check the term.
fn add_standins(deployment: &mut Deployment) {
    for (i, fencing) in [true, false].into_iter().enumerate() {
        let name = format!("ordered{i}");
        let address = deployment.address(9900 + i as u16);
        let mut args = vec![format!("--listen={address}")];
        args.extend(fencing.then(|| "--fencing".to_owned()));
        let process = Process::start(&name, "scalewood-standin", &args, &deployment.dir);
        deployment.standins.push(Standin {
            record: PathBuf::new(),
            name,
            zone: "zone0".into(),
            model: true,
            address,
            process: Some(process),
        });
    }
}

fn services() -> Vec<Edit> {
    let models = ["a", "b", "c"].map(|model| model.parse().unwrap()).into();
    let item = config::Service {
        kind: config::Kind::Model,
        models,
    };
    vec![Edit::Set(Item::Service("ordered".parse().unwrap(), item))]
}

fn loads(deployment: &Deployment, model: &str) -> Vec<Edit> {
    let set = |standin: &Standin| {
        let item = config::Endpoint {
            service: "ordered".parse().unwrap(),
            zone: standin.zone.parse().unwrap(),
            address: standin.address,
            slots: unit::Slots(1),
            leaving: false,
            load: Some(model.parse().unwrap()),
            build: Default::default(),
        };
        Edit::Set(Item::Endpoint(standin.name.parse().unwrap(), item))
    };
    deployment.standins.iter().map(set).collect()
}

/// Returns the orders that a stand-in has accepted: term, number and model.
async fn taken(standin: &Standin) -> Vec<(u64, u64, String)> {
    let answer = client::ask(standin.address, "GET", "/standin/orders", &[], "")
        .await
        .unwrap();
    let orders = answer.json()["orders"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let read = |order: &serde_json::Value| {
        let number = |key: &str| order[key].as_u64().unwrap();
        (
            number("term"),
            number("number"),
            order["load"].as_str().unwrap().to_owned(),
        )
    };
    orders.iter().map(read).collect()
}

/// Waits until the stand-ins listen. On a busy machine they may otherwise start only after the
/// first changes.
async fn wait_started(deployment: &Deployment) {
    for standin in &deployment.standins {
        deploy::wait("the stand-in listens", || async {
            let asked = client::ask(standin.address, "GET", "/standin/orders", &[], "");
            asked.await.is_ok()
        })
        .await;
    }
}

async fn wait_loaded(deployment: &Deployment, model: &str) {
    let until = Instant::now() + Duration::from_secs(20);
    for standin in &deployment.standins {
        while taken(standin).await.last().map(|order| order.2.as_str()) != Some(model) {
            assert!(
                Instant::now() < until,
                "{} is not ordered to load {model}",
                standin.name
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Checks that no endpoint accepted an order of an older term after one of a newer term.
async fn check_order(deployment: &Deployment) {
    for standin in &deployment.standins {
        let orders = taken(standin).await;
        let sorted = orders
            .windows(2)
            .all(|two| (two[0].0, two[0].1) < (two[1].0, two[1].1));
        assert!(sorted, "{}: {orders:?}", standin.name);
    }
}

async fn leader(deployment: &Deployment) -> usize {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        let status = deployment.operator().status().await;
        let leader = status.ok().and_then(|status| status.voter.leader);
        let found = leader.and_then(|leader| {
            deployment
                .voters
                .iter()
                .position(|voter| voter.name == leader.name.as_str())
        });
        if let Some(found) = found {
            return found;
        }
        assert!(Instant::now() < until, "no voter is the leader");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn accept(deployment: &Deployment, edits: Vec<Edit>) {
    let answer = deployment.apply(edits, "orders").await;
    assert!(matches!(answer, Answer::Accepted { .. }), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_follow_the_configuration_and_the_leader() {
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan {
        voters: 3,
        boxes: vec![],
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, dir.path()).await;
    add_standins(&mut deployment);
    wait_started(&deployment).await;
    accept(&deployment, services()).await;
    accept(&deployment, loads(&deployment, "a")).await;
    wait_loaded(&deployment, "a").await;
    // The leader is stopped right after a change. It resumes after its lease has expired, and must
    // send no more orders.
    let frozen = leader(&deployment).await;
    accept(&deployment, loads(&deployment, "b")).await;
    let process = deployment.voters[frozen].process.take().unwrap();
    process.signal("STOP");
    accept(&deployment, loads(&deployment, "c")).await;
    wait_loaded(&deployment, "c").await;
    process.signal("CONT");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    check_order(&deployment).await;
    wait_loaded(&deployment, "c").await;
    deployment.voters[frozen].process = Some(process);
    // The leader is killed, and the next one sends the orders that are still due.
    let killed = leader(&deployment).await;
    deployment.voters[killed].process.take().unwrap().kill();
    accept(&deployment, loads(&deployment, "a")).await;
    wait_loaded(&deployment, "a").await;
    check_order(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_is_not_ordered_to_load_what_its_service_does_not_serve() {
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan {
        boxes: vec![],
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, dir.path()).await;
    add_standins(&mut deployment);
    accept(&deployment, services()).await;
    let answer = deployment
        .apply(loads(&deployment, "z"), "a wrong model")
        .await;
    let Answer::NotApplied { why, .. } = answer else {
        panic!("{answer:?}")
    };
    assert!(why[0].contains("does not serve model z"), "{why:?}");
    // A service can't be removed while endpoints refer to it.
    accept(&deployment, loads(&deployment, "a")).await;
    let remove = Edit::Remove(Key::Service("ordered".parse().unwrap()));
    let answer = deployment.apply(vec![remove], "too early").await;
    assert!(matches!(answer, Answer::NotApplied { .. }), "{answer:?}");
}

/// An endpoint that refuses an order may ask for a backoff, in a header of its answer. A leader
/// that reads only the status and ignores the headers would repeat the order ten times a second.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_asks_for_rest_gets_no_orders_meanwhile() {
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan {
        boxes: vec![],
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, dir.path()).await;
    add_standins(&mut deployment);
    wait_started(&deployment).await;
    for i in 0..deployment.standins.len() {
        let faults = serde_json::json!({ "rest_ms": 2000 });
        deployment.faults(i, faults).await;
    }
    accept(&deployment, services()).await;
    accept(&deployment, loads(&deployment, "a")).await;
    tokio::time::sleep(Duration::from_millis(2500)).await;
    for (i, standin) in deployment.standins.iter().enumerate() {
        let (rests, most) = deploy::rests(standin, |_, _| String::new()).await;
        assert!(rests > 0, "{}: no order was sent", standin.name);
        assert!(most <= 2, "{}: {most} orders within a rest", standin.name);
        deployment.faults(i, serde_json::json!({})).await;
    }
    wait_loaded(&deployment, "a").await;
}
