//! The catalogue of log events and the page that documents it.

use std::collections::BTreeSet;

use scalewood::util::event::Event;

#[test]
fn the_page_lists_each_event_with_its_number_level_and_text() {
    let page = include_str!("../../docs/EVENTS.md");
    for event in Event::ALL {
        let row = format!(
            "| {} | {} | {} |",
            event.number(),
            event.level().as_short_str(),
            event.text()
        );
        assert!(page.contains(&row), "docs/EVENTS.md lacks the row: {row}");
    }
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit());
    assert_eq!(
        rows.count(),
        Event::ALL.len(),
        "docs/EVENTS.md lists an event that does not exist"
    );
}

#[test]
fn numbers_are_not_used_twice() {
    let numbers: BTreeSet<_> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
}
