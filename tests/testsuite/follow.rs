//! How a configuration reaches a box while voters are silent, slow or failing.
//!
//! Seen: boxes went on with an old configuration for more than two and a half seconds after a
//! newer one had been acknowledged, while they served requests in milliseconds. How it came
//! about: a box fetched from one voter at a time and waited for each answer for two seconds,
//! whoever else had told of the newer configuration meanwhile; what failed left no line. Cause:
//! the age of what a box decides by depended on the slowest voter that told first. Proved by
//! the tests below, with voters that tell and then do not give.

use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use jsonrpsee::server::ServerHandle;
use scalewood::core::{
    change::{Edit, Item},
    config,
};

use crate::support::{
    client, deploy,
    voter::{Gives, Voter},
};

/// How soon a box has what any voter gives: well below the two seconds within which an
/// acknowledged configuration has to be in force.
const IN_FORCE: Duration = Duration::from_millis(1500);

/// A box that follows stand-ins.
struct Scene {
    voters: Vec<Voter>,
    health: SocketAddr,
    log: std::path::PathBuf,
    _entry: deploy::Process,
    _serving: Vec<ServerHandle>,
}

impl Scene {
    /// Starts it with a first configuration, which all voters give.
    async fn start(voters: usize, dir: &Path) -> Self {
        let host = deploy::own_host();
        let address = |port: usize| SocketAddr::new(host, u16::try_from(port).unwrap());
        let mut standins = Vec::new();
        let mut serving = Vec::new();
        let mut named = Vec::new();
        for i in 0..voters {
            let (voter, handle) = Voter::start(address(7000 + i)).await;
            voter.publish(1, &document(1));
            standins.push(voter);
            serving.push(handle);
            named.push(format!("{{ \"address\": \"{}\" }}", address(7000 + i)));
        }
        let settings = dir.join("e1.json");
        let health = address(8002);
        let text = format!(
            "{{ \"box\": \"e1\", \"zone\": \"z0\", \"callers\": \"{}\", \"listen\": \"{}\",\n  \
             \"health\": \"{health}\", \"voters\": [{}] }}",
            address(8000),
            address(8001),
            named.join(", "),
        );
        std::fs::write(&settings, text).unwrap();
        let args = ["--settings".to_owned(), settings.display().to_string()];
        let scene = Self {
            voters: standins,
            health,
            log: dir.join("e1.log"),
            _entry: deploy::Process::start("e1", "scalewood-entry", &args, dir),
            _serving: serving,
        };
        deploy::wait("the first configuration is in force", || async {
            scene.metric("scalewood_config_revision").await == Some(1.0)
        })
        .await;
        scene
    }

    async fn metric(&self, name: &str) -> Option<f64> {
        let answer = client::ask(self.health, "GET", "/metrics", &[], "")
            .await
            .ok()?;
        let text = String::from_utf8(answer.body.to_vec()).ok()?;
        let line = text
            .lines()
            .find(|line| line.starts_with(&format!("{name} ")))?;
        line.rsplit_once(' ')?.1.parse().ok()
    }

    /// How long it takes until a revision is in force.
    async fn in_force(&self, revision: f64) -> Duration {
        let since = Instant::now();
        deploy::wait("a newer configuration is in force", || async {
            self.metric("scalewood_config_revision").await == Some(revision)
        })
        .await;
        since.elapsed()
    }

    fn logged(&self, event: &str) -> bool {
        let log = std::fs::read_to_string(&self.log).unwrap();
        log.contains(&format!("\"event\":{event}"))
    }
}

/// A configuration with so many services.
fn document(services: u64) -> config::Document {
    let mut document = config::Document::default();
    for i in 0..services {
        let name = format!("s{i}").parse().unwrap();
        Edit::Set(Item::Service(name, config::Service::default())).apply(&mut document);
    }
    document
}

#[tokio::test(flavor = "multi_thread")]
async fn voters_that_tell_and_do_not_give_hold_up_no_other() {
    let dir = tempfile::tempdir().unwrap();
    let scene = Scene::start(3, dir.path()).await;
    let [first, second, good] = &scene.voters[..] else {
        panic!("three voters")
    };
    for mute in [first, second] {
        mute.set(Gives::Nothing);
        mute.publish(2, &document(2));
    }
    deploy::wait("a mute voter is asked", || async {
        first.asked() + second.asked() > 0
    })
    .await;
    good.publish(2, &document(2));
    let took = scene.in_force(2.0).await;
    assert!(took < IN_FORCE, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fetch_that_fails_is_logged_and_another_voter_is_asked_at_once() {
    let dir = tempfile::tempdir().unwrap();
    let scene = Scene::start(2, dir.path()).await;
    scene.voters[0].set(Gives::Errors);
    for voter in &scene.voters {
        voter.publish(2, &document(2));
    }
    let took = scene.in_force(2.0).await;
    assert!(took < IN_FORCE, "{took:?}");
    // Whichever is asked first, the one that fails is seen as soon as it alone has more.
    scene.voters[0].publish(3, &document(3));
    deploy::wait("the failure has a line", || async { scene.logged("2005") }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_box_tells_for_how_long_voters_have_had_a_newer_configuration() {
    let dir = tempfile::tempdir().unwrap();
    let scene = Scene::start(1, dir.path()).await;
    let behind = "scalewood_config_behind_seconds";
    assert_eq!(scene.metric(behind).await, Some(0.0));
    scene.voters[0].set(Gives::Nothing);
    scene.voters[0].publish(2, &document(2));
    deploy::wait("the box knows that it is behind", || async {
        scene
            .metric(behind)
            .await
            .is_some_and(|behind| behind > 1.0)
    })
    .await;
    assert!(scene.logged("2006"), "a box that is behind says so");
    scene.voters[0].set(Gives::Well);
    scene.in_force(2.0).await;
    assert_eq!(scene.metric(behind).await, Some(0.0));
}
