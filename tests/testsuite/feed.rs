//! Updates of the configuration at a box: whatever the sources send, the revision only rises, and
//! differences lead to the same document as a transfer of the whole one.

use std::sync::Arc;

use scalewood::{
    board::feed::Feed,
    core::{
        change::{Delta, Edit, Item, Step},
        config, route, unit,
    },
};

fn edit(name: &str) -> Edit {
    Edit::Set(Item::Service(
        name.parse().unwrap(),
        config::Service::default(),
    ))
}

fn step(revision: u64, edit: Edit) -> Step {
    Step::from_edits(unit::Revision(revision), vec![edit])
}

fn document(names: &[&str]) -> Arc<config::Document> {
    let mut document = config::Document::default();
    for name in names {
        edit(name).apply(&mut document);
    }
    Arc::new(document)
}

#[test]
fn an_older_or_equal_revision_is_not_taken() {
    let feed = Feed::default();
    assert!(feed.publish_whole(unit::Revision(5), document(&["a"])));
    assert!(!feed.publish_whole(unit::Revision(4), document(&["old"])));
    assert!(!feed.publish_whole(unit::Revision(5), document(&["other"])));
    assert!(!feed.publish_step(step(5, edit("again"))));
    assert!(!feed.publish_step(step(7, edit("gap"))));
    assert_eq!(feed.current().revision, unit::Revision(5));
    assert_eq!(feed.current().document, document(&["a"]));
}

#[test]
fn differences_lead_to_the_same_document() {
    let feed = Feed::default();
    feed.publish_whole(unit::Revision(1), document(&["a"]));
    for (revision, name) in [(2, "b"), (3, "c"), (4, "d")] {
        assert!(feed.publish_step(step(revision, edit(name))));
    }
    let state = feed.current();
    assert_eq!(state.document, document(&["a", "b", "c", "d"]));
    let since: Vec<_> = state
        .steps_since(unit::Revision(2))
        .unwrap()
        .iter()
        .map(|step| step.revision.0)
        .collect();
    assert_eq!(since, [3, 4]);
    // There are no differences up to a document that was received whole.
    assert!(state.steps_since(unit::Revision(0)).is_none());
}

fn routed(version: u64, hosts: &[(&str, &str)]) -> Arc<config::Document> {
    let service: scalewood::core::name::Service = "llm".parse().unwrap();
    let route = |host: &str| route::Route {
        host: host.into(),
        prefix: "/".into(),
        kind: route::Kind::Safe,
        shares: vec![route::Share {
            service: service.clone(),
            weight: 1,
        }],
        timeout_ms: 1000,
        target_ms: 100,
        gap_ms: None,
        patience_ms: None,
        tier: unit::Tier(1),
        attempts: 2,
        public: true,
        allowed: Default::default(),
    };
    let routes = hosts
        .iter()
        .map(|(name, host)| (name.parse().unwrap(), route(host)));
    let routing = route::Routing {
        version,
        routes: routes.collect(),
        services: [(service.clone(), route::Service::default())].into(),
        ..route::Routing::default()
    };
    let mut document = config::Document::clone(&document(&["a"]));
    document.replace_routing(Arc::new(routing));
    Arc::new(document)
}

#[test]
fn a_new_routing_is_given_on_as_what_differs() {
    let feed = Feed::default();
    let old = routed(1, &[("r1", "one"), ("r2", "two"), ("r3", "three")]);
    let new = routed(2, &[("r1", "one"), ("r2", "other"), ("r4", "four")]);
    feed.publish_whole(unit::Revision(4), old.clone());
    feed.publish_whole(unit::Revision(7), new.clone());
    let steps = feed.current().steps_since(unit::Revision(4)).unwrap();
    let [step] = steps.as_slice() else {
        panic!("one step: {steps:?}");
    };
    let Delta::Routing(difference) = &step.what else {
        panic!("the routing differs: {step:?}");
    };
    assert_eq!(
        difference.len(),
        3,
        "r2 was changed, r3 removed and r4 added"
    );
    // A box that applies the steps ends with the same document.
    let follower = Feed::default();
    follower.publish_whole(unit::Revision(4), old);
    assert!(follower.publish_step(Step::clone(step)));
    assert_eq!(follower.current().document, new);
    assert_eq!(follower.current().revision, unit::Revision(7));
    assert!(
        !follower.publish_step(Step::clone(step)),
        "the step was already applied"
    );
}

#[test]
fn what_differs_in_more_than_the_routing_is_given_on_whole() {
    let feed = Feed::default();
    feed.publish_whole(unit::Revision(1), routed(1, &[("r1", "one")]));
    let mut other = config::Document::clone(&routed(2, &[("r1", "one")]));
    edit("b").apply(&mut other);
    feed.publish_whole(unit::Revision(2), Arc::new(other));
    assert!(feed.current().steps_since(unit::Revision(1)).is_none());
}
