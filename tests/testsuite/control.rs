//! The configuration while voters fail, with real processes: an accepted change is never lost or
//! reverted, and changes are accepted while a majority is up.

use std::{
    fs,
    time::{Duration, Instant},
};

use scalewood::{
    core::{
        change::{Answer, Change, Edit, Item},
        config,
        raft::{MembersRequest, Node},
        unit,
    },
    ops::operate,
    wire::admin,
};

use crate::support::{
    client,
    deploy::{self, Deployment, Plan},
    forwarder::Forwarder,
};

fn voters(count: usize) -> Plan {
    Plan {
        voters: count,
        boxes: vec![],
        ..Plan::default()
    }
}

fn set_service(name: &str) -> Edit {
    let item = config::Service {
        kind: config::Kind::Plain,
        ..config::Service::default()
    };
    Edit::Set(Item::Service(name.parse().unwrap(), item))
}

/// Makes a change and returns its revision.
async fn accept(deployment: &Deployment, name: &str) -> unit::Revision {
    match deployment.apply(vec![set_service(name)], "a test").await {
        Answer::Accepted { revision } => revision,
        answer => panic!("{name}: {answer:?}"),
    }
}

async fn assert_contains(deployment: &Deployment, names: &[String]) {
    let config = in_force(deployment).await;
    for name in names {
        let known = config
            .document
            .services
            .keys()
            .any(|service| service.as_str() == name);
        assert!(known, "the accepted change {name} is lost");
    }
}

/// Returns the configuration in force as soon as a running voter answers with it.
async fn in_force(deployment: &Deployment) -> admin::Config {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        match deployment.operator().config().await {
            Ok(config) => return config,
            Err(error) => assert!(Instant::now() < until, "{error:?}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the index of the voter that is the leader.
async fn leader(deployment: &Deployment) -> usize {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        for (i, voter) in deployment.voters.iter().enumerate() {
            if voter.process.is_none() {
                continue;
            }
            let token = client::bearer(deploy::OPERATOR);
            let headers = [("authorization", token.as_str())];
            let asked = client::ask(voter.admin, "GET", "/admin/v1/status", &headers, "");
            let Ok(Ok(answer)) = tokio::time::timeout(Duration::from_secs(1), asked).await else {
                continue;
            };
            if answer.json()["voter"]["leader"]["name"] == voter.name.as_str() {
                return i;
            }
        }
        assert!(Instant::now() < until, "no voter is the leader");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_go_on_through_kills_of_the_leader() {
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = Deployment::start(voters(3), dir.path()).await;
    let mut names = Vec::new();
    for round in 0..3 {
        let i = leader(&deployment).await;
        deployment.voters[i].process.take().unwrap().kill();
        for change in 0..3 {
            let name = format!("kill-{round}-{change}");
            accept(&deployment, &name).await;
            names.push(name);
        }
        deployment.start_voter(i);
        deployment.wait_admin(i).await;
        assert_contains(&deployment, &names).await;
    }
    in_force(&deployment).await;
    let history = deployment.operator().history().await.unwrap().records;
    let revisions: Vec<_> = history.iter().map(|record| record.revision.0).collect();
    assert_eq!(revisions, (1..=revisions.len() as u64).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_frozen_for_long_finds_itself_out() {
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = Deployment::start(voters(3), dir.path()).await;
    let frozen = leader(&deployment).await;
    let process = deployment.voters[frozen].process.take().unwrap();
    process.signal("STOP");
    let mut names = Vec::new();
    for change in 0..3 {
        let name = format!("meanwhile-{change}");
        accept(&deployment, &name).await;
        names.push(name);
    }
    process.signal("CONT");
    deployment.voters[frozen].process = Some(process);
    // A change against the old revision that is sent to the resumed voter is not applied.
    let stale = Change {
        id: "stale".parse().unwrap(),
        base: unit::Revision(1),
        why: "a test".into(),
        edits: vec![set_service("stale")],
    };
    let old = scalewood::ops::operate::Client::new(
        vec![deployment.voters[frozen].admin],
        deploy::OPERATOR.into(),
    );
    let until = Instant::now() + Duration::from_secs(20);
    let answer = loop {
        match old.change(&stale).await {
            Ok(answer) => break answer,
            Err(error) => assert!(Instant::now() < until, "{error:?}"),
        }
    };
    assert!(matches!(answer, Answer::NotApplied { .. }), "{answer:?}");
    assert_contains(&deployment, &names).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_that_lost_its_disk_joins_anew_and_counts_again() {
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = Deployment::start(voters(3), dir.path()).await;
    let before = accept(&deployment, "before").await;
    let old = deployment.operator().status().await.unwrap().voter.members;
    let old: Node = old
        .voters()
        .find(|node| node.name.as_str() == "c2")
        .unwrap()
        .clone();
    deployment.voters[2].process.take().unwrap().kill();
    fs::remove_dir_all(&deployment.voters[2].data).unwrap();
    // With an empty data folder the voter does not start, and the error names the remedy.
    let refused = deployment.control("run", 2).unwrap_err();
    assert!(refused.contains("scalewood-control join"), "{refused}");
    // To repair it, the old identity is removed and a new one joins.
    deployment.remove_voter(&old).await;
    deployment.add_voter(2).await;
    // The new identity has a vote: a majority is left after the loss of another voter.
    deployment.voters[0].process.take().unwrap().kill();
    let after = accept(&deployment, "after").await;
    assert!(after > before);
    assert_contains(&deployment, &["before".into(), "after".into()]).await;
}

/// The outcome of a request to remove a voter is unknown if no other voter answers the leader in
/// time, as on an overloaded machine. The removal is still carried out, and the list of members
/// shows it.
#[tokio::test(flavor = "multi_thread")]
async fn a_removal_with_an_unknown_outcome_shows_in_the_members() {
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = Deployment::start(voters(3), dir.path()).await;
    let status = deployment.operator().status().await.unwrap().voter;
    let leads = leader(&deployment).await;
    let others: Vec<_> = (0..3).filter(|i| *i != leads).collect();
    let gone = deployment.voters[others[0]].name.clone();
    let gone: Node = status
        .members
        .voters()
        .find(|node| node.name.as_str() == gone)
        .unwrap()
        .clone();
    deployment.voters[others[0]].process.take().unwrap().kill();
    let frozen = deployment.voters[others[1]].process.as_ref().unwrap();
    frozen.signal("STOP");
    let request = MembersRequest::Remove(gone.clone());
    let asked = deployment.operator().members(&request).await;
    frozen.signal("CONT");
    assert_eq!(
        *asked.unwrap_err().current_context(),
        operate::Error::Unknown
    );
    deployment.remove_voter(&gone).await;
    accept(&deployment, "after").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn foreign_and_damaged_folders_are_refused_and_a_torn_end_is_mended() {
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = Deployment::start(voters(1), dir.path()).await;
    let names: Vec<_> = (0..5).map(|i| format!("kept-{i}")).collect();
    for name in &names {
        accept(&deployment, name).await;
    }
    deployment.voters[0].process.take().unwrap().kill();
    let initialised = deployment.control("init", 0).unwrap_err();
    assert!(initialised.contains("belongs to c0/"), "{initialised}");
    let journal = deployment.voters[0].data.join("journal");
    let whole = fs::read(&journal).unwrap();
    // A torn record at the end, here the first bytes of the first record, was never acknowledged.
    let mut torn = whole.clone();
    torn.extend(&whole[..20]);
    fs::write(&journal, &torn).unwrap();
    deployment.start_voter(0);
    deployment.wait_admin(0).await;
    assert_contains(&deployment, &names).await;
    deployment.voters[0].process.take().unwrap().kill();
    let log = fs::read_to_string(dir.path().join("c0.log")).unwrap();
    assert!(log.contains("\"event\":2202"), "the repair is not logged");
    // A damaged record that is followed by others is an error.
    let mut damaged = whole.clone();
    damaged[40] ^= 1;
    fs::write(&journal, &damaged).unwrap();
    let refused = deployment.control("run", 0).unwrap_err();
    assert!(
        refused.contains("the journal is damaged at byte 0"),
        "{refused}"
    );
    fs::remove_file(&journal).unwrap();
    let refused = deployment.control("run", 0).unwrap_err();
    assert!(refused.contains("the journal is gone"), "{refused}");
    // The data folder of another box is refused.
    fs::write(&journal, &whole).unwrap();
    let identity = deployment.voters[0].data.join("identity.json");
    let text = fs::read_to_string(&identity)
        .unwrap()
        .replace("\"c0\"", "\"c9\"");
    fs::write(&identity, text).unwrap();
    let refused = deployment.control("run", 0).unwrap_err();
    assert!(refused.contains("belongs to c9/"), "{refused}");
}

#[tokio::test(flavor = "multi_thread")]
async fn after_hundreds_of_changes_a_restart_comes_back_to_the_accepted_state() {
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = Deployment::start(voters(1), dir.path()).await;
    let client = deployment.operator();
    let first = Change {
        id: "first-of-many".parse().unwrap(),
        base: unit::Revision(1),
        why: "a test".into(),
        edits: vec![set_service("s0")],
    };
    let answer = client.change(&first).await.unwrap();
    for i in 1..500u64 {
        let change = Change {
            id: format!("many-{i}").parse().unwrap(),
            base: unit::Revision(1 + i),
            edits: vec![set_service(&format!("s{}", i % 50))],
            ..first.clone()
        };
        let answer = client.change(&change).await.unwrap();
        assert_eq!(
            answer,
            Answer::Accepted {
                revision: unit::Revision(2 + i)
            }
        );
    }
    let document = client.config().await.unwrap().document;
    let bytes = fs::metadata(deployment.voters[0].data.join("journal"))
        .unwrap()
        .len();
    deployment.voters[0].process.take().unwrap().kill();
    deployment.start_voter(0);
    deployment.wait_admin(0).await;
    let again = in_force(&deployment).await;
    assert_eq!(
        (again.revision, again.document),
        (unit::Revision(501), document)
    );
    // A resend of a change from before the compaction still gets the first answer.
    deploy::wait("the voter is the leader", || async {
        client
            .status()
            .await
            .is_ok_and(|status| status.voter.leader.is_some())
    })
    .await;
    assert_eq!(client.change(&first).await.unwrap(), answer);
    assert!(bytes < 2 * 1024 * 1024, "the journal has {bytes} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_box_behind_a_cut_serves_on_and_catches_up_when_it_heals() {
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan {
        boxes: vec![1, 1],
        // Boxes also follow the voters that the list of members names.
        listed_port: Some(6000),
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, dir.path()).await;
    // Box 1 reaches the voter only over a link that can be cut.
    let to_voter = deployment.address(6000);
    let link = Forwarder::start(to_voter, deployment.voters[0].listen).await;
    deployment.entries[1].process.take().unwrap().kill();
    let settings = dir.path().join("e10.json");
    let text = fs::read_to_string(&settings).unwrap();
    let voter = deployment.voters[0].listen.to_string();
    fs::write(&settings, text.replace(&voter, &to_voter.to_string())).unwrap();
    let args = ["--settings".to_owned(), settings.display().to_string()];
    let process = deploy::Process::start("e10", "scalewood-entry", &args, dir.path());
    deployment.entries[1].process = Some(process);
    deployment.wait_ready().await;
    // The other box would forward the configuration, so it is stopped meanwhile.
    link.set_connected(false);
    deployment.entries[0]
        .process
        .as_ref()
        .unwrap()
        .signal("STOP");
    let mut last = unit::Revision(0);
    for i in 0..20 {
        last = accept(&deployment, &format!("cut-{i}")).await;
    }
    let prompt = "from the cut zone";
    let mut connection = client::Connection::open(deployment.entries[1].callers)
        .await
        .unwrap();
    let body = client::chat(deploy::MODEL, prompt, true);
    let answer = client::stream(&mut connection, deploy::TEAM, "counter", body)
        .await
        .unwrap();
    assert_eq!(answer.text, crate::path::expected(prompt));
    assert_eq!(deployment.metric(1, "scalewood_config_revision").await, 1.0);
    link.set_connected(true);
    deployment.entries[0]
        .process
        .as_ref()
        .unwrap()
        .signal("CONT");
    let mut seen = 0.0;
    let until = Instant::now() + Duration::from_secs(20);
    // Revisions are far below 2^52, so the cast is exact.
    while seen < last.0 as f64 {
        let now = deployment.metric(1, "scalewood_config_revision").await;
        assert!(now >= seen, "the revision went back from {seen} to {now}");
        assert!(Instant::now() < until, "the box stays at revision {now}");
        seen = now;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_whose_disk_refuses_writes_lives_on_and_goes_on_once_it_takes_them() {
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = Deployment::start(voters(1), dir.path()).await;
    accept(&deployment, "before").await;
    // After some entries the journal is rewritten into this file. A folder of that name makes the
    // rewrite fail.
    let blocked = deployment.voters[0].data.join("journal.new");
    fs::create_dir(&blocked).unwrap();
    let client = deployment.operator();
    let mut accepted = vec!["before".to_owned()];
    let log = dir.path().join("c0.log");
    let refused = || fs::read_to_string(&log).is_ok_and(|text| text.contains("\"event\":2204"));
    let until = Instant::now() + Duration::from_secs(60);
    for i in 0.. {
        if refused() {
            break;
        }
        assert!(Instant::now() < until, "the disk never refused a write");
        // On a busy machine a call may fail because the leader has no lease. Only a failed write
        // ends the loop.
        let Ok(config) = client.config().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let name = format!("filled-{i}");
        let edits = vec![set_service(&name)];
        let change = operate::new_change(config.revision, "a test".into(), edits);
        if let Ok(Answer::Accepted { .. }) = client.change(&change).await {
            accepted.push(name);
        }
    }
    let process = deployment.voters[0].process.as_mut().unwrap();
    assert!(process.is_running(), "the voter has ended");
    fs::remove_dir(&blocked).unwrap();
    accept(&deployment, "after").await;
    assert_contains(&deployment, &accepted).await;
    let process = deployment.voters[0].process.as_mut().unwrap();
    assert!(process.is_running(), "the voter has ended");
}

/// Guards against a voter that stands still without a line since its journal hangs, as systems of
/// one voter did that elected nobody.
#[tokio::test(flavor = "multi_thread")]
async fn a_voter_whose_journal_hangs_says_so_while_it_hangs_and_goes_on_afterwards() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(voters(1), dir.path()).await;
    accept(&deployment, "before").await;
    // After some entries the journal is rewritten into this file. A pipe that nobody reads makes
    // the rewrite hang.
    let pipe = deployment.voters[0].data.join("journal.new");
    let made = std::process::Command::new("mkfifo").arg(&pipe).status();
    assert!(made.is_ok_and(|status| status.success()));
    let log = dir.path().join("c0.log");
    let has_line = |parts: &[&str]| {
        let text = fs::read_to_string(&log).unwrap_or_default();
        text.lines()
            .any(|line| parts.iter().all(|part| line.contains(part)))
    };
    let hangs = || {
        has_line(&[
            "\"event\":2208",
            "\"operation\":\"replace\"",
            "\"file\":\"journal\"",
            "\"ended\":false",
        ])
    };
    let client = deployment.operator();
    let until = Instant::now() + Duration::from_secs(60);
    for i in 0.. {
        if hangs() {
            break;
        }
        assert!(
            Instant::now() < until,
            "nothing is told of a journal that hangs"
        );
        let Ok(config) = client.config().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let edits = vec![set_service(&format!("filled-{i}"))];
        let change = operate::new_change(config.revision, "a test".into(), edits);
        let _ = client.change(&change).await;
    }
    let admin = deployment.voters[0].admin;
    let answer = client::ask(admin, "GET", "/metrics", &[], "")
        .await
        .unwrap();
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let under_way = text
        .lines()
        .find_map(|line| line.strip_prefix("scalewood_store_under_way_seconds "));
    let under_way: f64 = under_way.expect("the metric").parse().unwrap();
    assert!(under_way >= 1.0, "{under_way}");
    // The pipe takes the bytes but can't be synced, so the rewrite fails and the voter recovers.
    let mut reader = fs::File::open(&pipe).unwrap();
    fs::remove_file(&pipe).unwrap();
    let reader = std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
    accept(&deployment, "after").await;
    assert!(reader.join().unwrap().is_ok());
    deploy::wait("the end is told of", || async {
        has_line(&["\"event\":2208", "\"ended\":true"])
    })
    .await;
    assert_contains(&deployment, &["before".into(), "after".into()]).await;
}
