//! The configuration as it is followed: whatever the sources say, the revision at a box
//! only rises, and differences lead to the same document as the whole.

use std::sync::Arc;

use scalewood::{
    board::feed::Feed,
    core::{
        change::{Edit, Item},
        config, unit,
    },
};

fn edit(name: &str) -> Edit {
    Edit::Set(Item::Service(
        name.parse().unwrap(),
        config::Service::default(),
    ))
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
    assert!(!feed.publish_edits(unit::Revision(5), vec![edit("again")]));
    assert!(!feed.publish_edits(
        unit::Revision(7),
        vec![edit("with a gap".split(' ').next().unwrap())]
    ));
    assert_eq!(feed.current().revision, unit::Revision(5));
    assert_eq!(feed.current().document, document(&["a"]));
}

#[test]
fn differences_lead_to_the_same_document() {
    let feed = Feed::default();
    feed.publish_whole(unit::Revision(1), document(&["a"]));
    for (revision, name) in [(2, "b"), (3, "c"), (4, "d")] {
        assert!(feed.publish_edits(unit::Revision(revision), vec![edit(name)]));
    }
    let state = feed.current();
    assert_eq!(state.document, document(&["a", "b", "c", "d"]));
    let since: Vec<_> = state
        .since(unit::Revision(2))
        .unwrap()
        .iter()
        .map(|s| s.0 .0)
        .collect();
    assert_eq!(since, [3, 4]);
    // What came whole has no differences before it.
    assert!(state.since(unit::Revision(0)).is_none());
}
