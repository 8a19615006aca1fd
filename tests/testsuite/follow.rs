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
    catchup::Catchup,
    change::{Edit, Item},
    config, unit,
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

#[tokio::test(flavor = "multi_thread")]
async fn a_box_that_hears_voters_gets_each_configuration_once() {
    let dir = tempfile::tempdir().unwrap();
    let scene = Scene::start(2, dir.path()).await;
    // A follower that has begun before the voters were heard ends within a second.
    deploy::wait("no voter is followed as a source", || async {
        scene.voters.iter().all(|voter| voter.followed() == 0)
    })
    .await;
    let before: u32 = scene.voters.iter().map(Voter::asked).sum();
    for voter in &scene.voters {
        voter.publish(2, &document(2));
    }
    scene.in_force(2.0).await;
    tokio::time::sleep(IN_FORCE).await;
    let after: u32 = scene.voters.iter().map(Voter::asked).sum();
    assert_eq!(after - before, 1);
    assert!(scene.voters.iter().all(|voter| voter.followed() == 0));
}

fn at(i: u16) -> SocketAddr {
    SocketAddr::new([10, 0, 0, 1].into(), i)
}

const START: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(10);

/// A box at revision 1 whose voters have all told of it; the first is in its zone.
fn at_rest(voters: u16) -> Catchup {
    let mut catchup = Catchup::default();
    for i in 1..=voters {
        catchup.record_announced(at(i), unit::Revision(1), i == 1, START);
    }
    assert!(catchup.record_applied(unit::Revision(1)));
    catchup
}

/// Whom it asks until a time, and when after the start.
fn asks(catchup: &mut Catchup, until: Duration) -> Vec<(u16, u128)> {
    let mut asked = Vec::new();
    let mut now = START;
    while now < START + until {
        while let Some(voter) = catchup.next(now) {
            asked.push((voter.port(), (now - START).as_millis()));
        }
        now += STEP;
    }
    asked
}

#[test]
fn voters_are_asked_beside_those_that_do_not_answer() {
    let mut catchup = at_rest(5);
    for i in 1..=5 {
        catchup.record_announced(at(i), unit::Revision(2), i == 1, START);
    }
    let asked = asks(&mut catchup, Duration::from_secs(3));
    assert_eq!(
        asked,
        [(1, 0), (2, 400), (3, 800)],
        "three at a time at most"
    );
}

#[test]
fn a_voter_of_another_zone_waits_for_the_one_of_this_zone() {
    let mut catchup = at_rest(3);
    catchup.record_announced(at(2), unit::Revision(2), false, START);
    assert_eq!(catchup.next(START), None);
    assert_eq!(catchup.due(START), Some(START + Duration::from_millis(250)));
    catchup.record_announced(at(1), unit::Revision(2), true, START + STEP);
    assert_eq!(catchup.next(START + STEP), Some(at(1)));
}

#[test]
fn a_voter_that_fails_is_left_alone_and_the_next_one_asked_at_once() {
    let mut catchup = at_rest(3);
    for i in 1..=3 {
        catchup.record_announced(at(i), unit::Revision(2), false, START);
    }
    let now = START + Duration::from_millis(250);
    for i in 1..=3 {
        // None of this zone has it; the others are asked after a moment.
        assert_eq!(catchup.next(now), Some(at(i)));
        assert_eq!(catchup.next(now), None, "one at first");
        catchup.record_answer(at(i), false, now);
    }
    assert_eq!(catchup.next(now), None);
    let again = now + Duration::from_millis(500);
    assert_eq!(catchup.due(now), Some(again));
    assert_eq!(catchup.next(again), Some(at(1)));
}

#[test]
fn a_box_is_behind_since_a_voter_told_of_what_it_has_not() {
    let mut catchup = at_rest(2);
    assert_eq!(catchup.lag(START + STEP), Duration::ZERO);
    catchup.record_announced(at(1), unit::Revision(2), true, START);
    catchup.record_announced(at(2), unit::Revision(3), false, START + STEP);
    assert_eq!(catchup.lag(START + 3 * STEP), 3 * STEP);
    assert!(!catchup.record_applied(unit::Revision(2)));
    assert_eq!(catchup.lag(START + 3 * STEP), 2 * STEP, "for the third");
    catchup.remove_voter(at(2));
    assert_eq!(catchup.lag(START + 3 * STEP), Duration::ZERO);
}
