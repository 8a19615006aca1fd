//! The administration API: tokens, concurrent changes, resends and the audit trail.

use scalewood::{
    core::{
        change::{Answer, Change, Edit, Item, Key},
        config, raft, unit,
    },
    ops::operate,
};

use crate::support::{client, deploy};

fn without_boxes() -> deploy::Plan {
    deploy::Plan {
        boxes: vec![],
        ..deploy::Plan::default()
    }
}

fn set_service(name: &str) -> Edit {
    let item = config::Service {
        kind: config::Kind::Plain,
        ..config::Service::default()
    };
    Edit::Set(Item::Service(name.parse().unwrap(), item))
}

fn change(id: &str, base: u64, edit: Edit) -> Change {
    Change {
        id: id.parse().unwrap(),
        base: unit::Revision(base),
        why: "a test".into(),
        edits: vec![edit],
    }
}

fn accepted(revision: u64) -> Answer {
    Answer::Accepted {
        revision: unit::Revision(revision),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_or_missing_token_changes_nothing_and_is_logged() {
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = deploy::Deployment::start(without_boxes(), dir.path()).await;
    let admin = deployment.voters[0].admin;
    let body = serde_json::to_string(&change("evil", 1, set_service("evil"))).unwrap();
    for headers in [
        &[][..],
        &[("authorization", "Bearer guess")],
        &[("authorization", "operator-token")],
    ] {
        let answer = client::ask(admin, "POST", "/admin/v1/changes", headers, body.clone())
            .await
            .unwrap();
        assert_eq!(answer.status, 401);
        assert_eq!(answer.json()["verdict"], "not-run");
        let answer = client::ask(admin, "GET", "/admin/v1/config", headers, "")
            .await
            .unwrap();
        assert_eq!(answer.status, 401);
    }
    let config = deployment.operator().config().await.unwrap();
    assert_eq!(config.revision, unit::Revision(1));
    assert!(deployment
        .stop(std::time::Duration::from_secs(10))
        .is_empty());
    let log = std::fs::read_to_string(dir.path().join("c0.log")).unwrap();
    assert!(log.contains("\"event\":2103"), "{log}");
    for secret in [deploy::OPERATOR, deploy::TEAM, "guess"] {
        assert!(
            !log.contains(secret),
            "the log contains the secret {secret}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_under_one_number_one_is_accepted() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = deploy::Deployment::start(without_boxes(), dir.path()).await;
    let client = deployment.operator();
    for round in 1..=10 {
        let one = change(
            &format!("one-{round}"),
            round,
            set_service(&format!("one-{round}")),
        );
        let two = change(
            &format!("two-{round}"),
            round,
            set_service(&format!("two-{round}")),
        );
        let (one, two) = tokio::join!(client.change(&one), client.change(&two));
        let answers = [one.unwrap(), two.unwrap()];
        let wins = answers
            .iter()
            .filter(|answer| **answer == accepted(round + 1))
            .count();
        assert_eq!(wins, 1, "{answers:?}");
    }
    let history = client.history().await.unwrap().records;
    let revisions: Vec<_> = history.iter().map(|record| record.revision.0).collect();
    assert_eq!(revisions, (1..=11).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_gets_the_first_answer_also_after_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = deploy::Deployment::start(without_boxes(), dir.path()).await;
    let first = change("first", 1, set_service("a"));
    let ahead = change("ahead", 3, set_service("b"));
    let client = deployment.operator();
    assert_eq!(client.change(&first).await.unwrap(), accepted(2));
    let refused = client.change(&ahead).await.unwrap();
    assert!(matches!(refused, Answer::NotApplied { .. }), "{refused:?}");
    deployment.voters[0].process.take().unwrap().kill();
    deployment.start_voter(0);
    deployment.wait_admin(0).await;
    deploy::wait("the voter is the leader", || async {
        client
            .status()
            .await
            .is_ok_and(|status| status.voter.leader.is_some())
    })
    .await;
    assert_eq!(client.change(&first).await.unwrap(), accepted(2));
    // The answer `NotApplied` is kept for the id, also once the base revision is in force.
    assert_eq!(
        client
            .change(&change("second", 2, set_service("c")))
            .await
            .unwrap(),
        accepted(3)
    );
    assert_eq!(client.change(&ahead).await.unwrap(), refused);
    // The same id with other edits is refused.
    let other = client
        .change(&change("first", 3, set_service("z")))
        .await
        .unwrap();
    assert!(matches!(other, Answer::NotApplied { .. }), "{other:?}");
}

/// The most deployments that are tried until one leader commits a change late: in about one of
/// four, another leader is elected instead.
const MAX_DEPLOYMENTS: u32 = 8;

/// A change may be committed after the operator's call has timed out, when the followers are
/// stopped for longer. A resend under another id against the same base is refused; a resend under
/// the same id gets the answer that the change was accepted.
///
/// The followers may instead elect another leader that never received the change, which is allowed.
/// The change is then not in force, and a resend under its id is accepted, once.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_was_decided_late_is_learnt_under_its_id() {
    for _ in 0..MAX_DEPLOYMENTS {
        if is_committed_late().await {
            return;
        }
    }
    panic!("none of {MAX_DEPLOYMENTS} leaders stayed the leader");
}

/// Stops the followers of a leader while it has a change. Returns whether that leader committed the
/// change after they were resumed.
async fn is_committed_late() -> bool {
    let dir = tempfile::tempdir().unwrap();
    let plan = deploy::Plan {
        voters: 3,
        ..without_boxes()
    };
    let deployment = deploy::Deployment::start(plan, dir.path()).await;
    let client = deployment.operator();
    let leader = client.status().await.unwrap().voter.leader.unwrap();
    let followers = || {
        let all = deployment.voters.iter();
        all.filter(|voter| voter.name != leader.name.as_str())
    };
    for voter in followers() {
        voter.process.as_ref().unwrap().signal("STOP");
    }
    let first = change("late", 1, set_service("a"));
    let asked = client.change(&first).await;
    for voter in followers() {
        voter.process.as_ref().unwrap().signal("CONT");
    }
    let unknown = asked.unwrap_err();
    assert_eq!(*unknown.current_context(), operate::Error::Unknown);
    deploy::wait("the change is in force or another voter leads", || async {
        is_in_force(&client).await || is_led_by_another(&client, &leader).await
    })
    .await;
    // A new leader commits the entries of its log before it answers operators.
    let late = is_in_force(&client).await;
    if !late {
        assert_eq!(client.change(&first).await.unwrap(), accepted(2));
    }
    let anew = change("anew", 1, set_service("a"));
    let Answer::NotApplied { why, .. } = client.change(&anew).await.unwrap() else {
        panic!("the change was accepted twice");
    };
    let why = why.join("; ");
    assert!(
        why.contains("made against revision 1, and 2 is in force"),
        "{why}"
    );
    assert_eq!(client.change(&first).await.unwrap(), accepted(2));
    late
}

async fn is_in_force(client: &operate::Client) -> bool {
    let config = client.config().await;
    config.is_ok_and(|config| config.revision == unit::Revision(2))
}

async fn is_led_by_another(client: &operate::Client, leader: &raft::Node) -> bool {
    let status = client.status().await;
    let leads = status.ok().and_then(|status| status.voter.leader);
    leads.is_some_and(|now| now != *leader)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_can_not_stand_is_refused_whole_with_all_reasons() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = deploy::Deployment::start(without_boxes(), dir.path()).await;
    let client = deployment.operator();
    let class = config::Class {
        tier: unit::Tier(99),
        ..config::Class::default()
    };
    let policy = config::Policy {
        service: "lm".parse().unwrap(),
        program: "#{ class: \"nobody\" }".into(),
    };
    let edits = vec![
        Edit::Set(Item::Class("nothing/x".parse().unwrap(), class)),
        Edit::Remove(Key::Endpoint("ghost".parse().unwrap())),
        Edit::Set(Item::Policy("p".parse().unwrap(), policy)),
        set_service("fine"),
    ];
    let change = operate::new_change(unit::Revision(1), "a test".into(), edits);
    let Answer::NotApplied { why, .. } = client.change(&change).await.unwrap() else {
        panic!("the change was accepted");
    };
    insta::assert_snapshot!("refused_change", why.join("\n"));
    assert_eq!(client.config().await.unwrap().revision, unit::Revision(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_audit_trail_tells_who_when_what_and_why_without_secrets() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = deploy::Deployment::start(without_boxes(), dir.path()).await;
    let answer = deployment
        .apply(vec![set_service("parts")], "parts come in")
        .await;
    assert_eq!(answer, accepted(2));
    let history = deployment.operator().history().await.unwrap().records;
    let record = history.last().unwrap();
    assert_eq!(record.operator.as_str(), "nara");
    assert_eq!(record.why, "parts come in");
    assert_eq!(record.base, unit::Revision(1));
    assert!(record.at_unix_ms > 0);
    assert_eq!(record.differences.len(), 1);
    assert_eq!(record.differences[0].item, "service parts");
    assert!(record.differences[0].before.is_none());
    let whole = serde_json::to_string(&history).unwrap();
    let hash = scalewood::core::secret::Hash::of(deploy::TEAM).to_string();
    assert!(
        !whole.contains(&hash),
        "the audit trail contains a token's hash"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_bodies_get_clear_errors() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = deploy::Deployment::start(without_boxes(), dir.path()).await;
    let admin = deployment.voters[0].admin;
    let bearer = client::bearer(deploy::OPERATOR);
    let headers = [("authorization", bearer.as_str())];
    for (method, path, body, status) in [
        ("POST", "/admin/v1/changes", "{", 400),
        (
            "POST",
            "/admin/v1/changes",
            "{\"id\":\"x\",\"base\":1}",
            400,
        ),
        ("POST", "/admin/v1/voters", "{\"remove\":1}", 400),
        ("GET", "/admin/v1/nothing", "", 404),
        ("DELETE", "/admin/v1/config", "", 405),
    ] {
        let answer = client::ask(admin, method, path, &headers, body)
            .await
            .unwrap();
        assert_eq!(answer.status, status, "{method} {path}");
        assert!(
            answer.json()["error"]
                .as_str()
                .is_some_and(|why| why.contains("; ")),
            "{method} {path}"
        );
    }
}
