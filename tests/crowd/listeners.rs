//! Crowds at the listeners that are not for callers.

use std::{future::Future, net::SocketAddr};

use scalewood::core::registry::State;

use crate::{
    alone,
    crowd::{Crowd, Shape, SMALL_CHUNKS},
    observer::Observer,
    routes::{restart_limited, Site},
    support::{client, deploy, routed::HOST},
    CONNECTIONS, CROWD, DESCRIPTORS, FREE_DESCRIPTORS, MEMORY,
};

/// The number of very small chunks of a routing, which may have 8 MiB.
const ROUTING_CHUNKS: usize = 2 << 20;

/// The sequence number of a heartbeat that is later than all others.
const SEQUENCE: u64 = 1 << 20;

/// Checks that a process has stayed within its memory.
fn check_memory(observer: &Observer, process: &mut deploy::Process, what: &str) {
    let memory = observer.memory(process);
    println!("{what}: {} MiB", memory >> 20);
    assert!(process.is_running(), "{what}: the process has ended");
    assert!(memory <= MEMORY, "{what}: {} MiB", memory >> 20);
}

/// Lets a crowd open connections to a listener, and checks that the process keeps descriptors.
async fn check_idle(
    process: &deploy::Process,
    address: SocketAddr,
    what: &str,
    served: impl Future<Output = ()>,
) {
    let observer = Observer::start(process, address);
    let crowd = Crowd::gather(address, "", Shape::Idle, CONNECTIONS).await;
    served.await;
    let most = observer.descriptors();
    println!("{what}: {most} descriptors");
    assert!(
        most <= DESCRIPTORS - FREE_DESCRIPTORS,
        "{what}: {most} descriptors"
    );
    drop(crowd);
}

/// Returns the address at which a site's box takes requests of other boxes, by its log.
fn forwards(site: &Site) -> SocketAddr {
    let log = std::fs::read_to_string(site.system.dir.join("e1.log")).unwrap();
    let line = log.lines().rfind(|line| line.contains("\"forwards\""));
    let line: serde_json::Value = serde_json::from_str(line.unwrap()).unwrap();
    line["address"].as_str().unwrap().parse().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies_at_the_port_for_forwards() {
    let _alone = alone().await;
    let mut site = Site::start().await;
    let address = forwards(&site);
    let head = format!(
        "POST /safe/crowd HTTP/1.1\r\nhost: {HOST}\r\n\
         scalewood-forwarded: {{\"by\":\"e9\",\"revision\":1,\"age_ms\":0,\"runs\":0}}\r\n\
         authorization: Bearer {}\r\n",
        crate::support::routed::KEY
    );
    for shape in [Shape::LargeChunks, Shape::SmallChunks(SMALL_CHUNKS)] {
        let observer = Observer::start(site.entry(), address);
        let crowd = Crowd::gather(address, &head, shape, CROWD).await;
        site.assert_served("a body").await;
        check_memory(&observer, site.entry(), &format!("forwards, {shape:?}"));
        drop(crowd);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_the_port_for_forwards() {
    let _alone = alone().await;
    let mut site = Site::start().await;
    site.limit_descriptors().await;
    let address = forwards(&site);
    let entry = site.system.entry.as_ref().unwrap();
    check_idle(entry, address, "forwards", site.assert_served("a body")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_the_health_port() {
    let _alone = alone().await;
    let mut site = Site::start().await;
    site.limit_descriptors().await;
    let health = site.system.health();
    let entry = site.system.entry.as_ref().unwrap();
    check_idle(entry, health, "health", site.assert_served("a body")).await;
    let answer = client::ask(health, "GET", "/readyz", &[], "").await;
    assert_eq!(answer.unwrap().status, 200);
}

/// Lets a crowd send a shape to the publishing API of a voter, and checks the voter.
async fn check_publish(call: &str, shape: Shape) {
    let _alone = alone().await;
    let mut site = Site::start().await;
    let publish = site.system.publish_address(0);
    let head = format!("{call} HTTP/1.1\r\nhost: voter\r\n");
    let observer = Observer::start(site.system.voters[0].as_ref().unwrap(), publish);
    let crowd = Crowd::gather(publish, &head, shape, CROWD).await;
    let record = site.endpoint.record(SEQUENCE, State::Ready);
    site.system.announce(0, &record).await;
    let voter = site.system.voters[0].as_mut().unwrap();
    check_memory(&observer, voter, &format!("{call}, {shape:?}"));
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn routings_in_very_small_chunks() {
    check_publish("PUT /v1/routing", Shape::SmallChunks(ROUTING_CHUNKS)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn routings_in_large_chunks() {
    check_publish("PUT /v1/routing", Shape::LargeChunks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_in_very_small_chunks() {
    check_publish("PUT /v1/endpoints/i-9", Shape::SmallChunks(SMALL_CHUNKS)).await;
}

/// Lets a crowd open connections to a listener of a voter with few descriptors.
async fn check_idle_voter(address: impl Fn(&Site) -> SocketAddr, what: &str) {
    let _alone = alone().await;
    let mut site = Site::start().await;
    drop(site.system.voters[0].take());
    let voter = restart_limited("c0", "scalewood-control", &["run"], &site.system.dir);
    site.system.voters[0] = Some(voter);
    site.system.read().await;
    let voter = site.system.voters[0].as_ref().unwrap();
    let record = site.endpoint.record(SEQUENCE, State::Ready);
    let served = site.system.announce(0, &record);
    check_idle(voter, address(&site), what, served).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_the_publishing_api() {
    check_idle_voter(|site| site.system.publish_address(0), "publish").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_the_administration_api() {
    check_idle_voter(|site| site.system.admin_address(0), "admin").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_the_port_for_processes() {
    check_idle_voter(|site| site.system.voter_listen(0), "processes").await;
}

/// Guards against bodies of operators that are read before their token is checked.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies_at_the_administration_api() {
    let _alone = alone().await;
    let mut site = Site::start().await;
    let admin = site.system.admin_address(0);
    let head =
        "POST /admin/v1/changes HTTP/1.1\r\nhost: voter\r\ncontent-type: application/json\r\n";
    let observer = Observer::start(site.system.voters[0].as_ref().unwrap(), admin);
    let crowd = Crowd::gather(admin, head, Shape::WholeShort, CROWD).await;
    site.system.read().await;
    let voter = site.system.voters[0].as_mut().unwrap();
    check_memory(&observer, voter, "administration");
    drop(crowd);
}
