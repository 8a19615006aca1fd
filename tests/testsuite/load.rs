//! What endpoints bear from all boxes: told in differences, brought together, forgotten.

use std::time::Duration;

use scalewood::core::{
    load::{difference, merge, Hub, Load, Loaded, Loads},
    name,
};

const START: Duration = Duration::from_secs(100);

fn load(unread: u64, running: u32) -> Load {
    Load {
        unread,
        held: unread,
        running,
    }
}

fn loaded(endpoint: &str, load: Load) -> Loaded {
    Loaded {
        endpoint: endpoint.parse().unwrap(),
        load,
    }
}

fn box_name(text: &str) -> name::Box {
    text.parse().unwrap()
}

#[test]
fn a_difference_brings_another_to_the_same_loads() {
    let mut told = Loads::new();
    merge(
        &mut told,
        vec![loaded("a", load(10, 1)), loaded("b", load(20, 2))],
    );
    let mut loads = Loads::new();
    merge(
        &mut loads,
        vec![loaded("b", load(25, 2)), loaded("c", load(1, 1))],
    );
    let changed = difference(&told, &loads);
    assert_eq!(changed.len(), 3, "one changed, one new, one ended");
    merge(&mut told, changed);
    assert_eq!(told, loads);
    assert!(difference(&told, &loads).is_empty());
}

#[test]
fn a_box_hears_what_the_others_have_and_not_its_own() {
    let mut hub = Hub::default();
    let (one, other) = (box_name("e1"), box_name("e2"));
    let heard = hub.exchange(&one, true, vec![loaded("a", load(10, 1))], START);
    assert!(heard.is_empty(), "{heard:?}");
    let heard = hub.exchange(&other, true, vec![loaded("a", load(5, 1))], START);
    assert_eq!(heard, [loaded("a", load(10, 1))]);
    let heard = hub.exchange(&one, false, Vec::new(), START);
    assert_eq!(heard, [loaded("a", load(5, 1))]);
    let heard = hub.exchange(&one, false, vec![loaded("a", load(90, 9))], START);
    assert!(heard.is_empty(), "what the other has did not change");
    // A run that ends is told as an end.
    hub.exchange(&one, false, vec![loaded("a", Load::default())], START);
    let heard = hub.exchange(&other, false, Vec::new(), START);
    assert_eq!(heard, [loaded("a", Load::default())]);
}

#[test]
fn a_box_that_falls_silent_or_starts_anew_leaves_nothing_behind() {
    let mut hub = Hub::default();
    let (one, other) = (box_name("e1"), box_name("e2"));
    hub.exchange(&one, true, vec![loaded("a", load(10, 1))], START);
    hub.exchange(&other, true, Vec::new(), START);
    hub.exchange(&one, true, vec![loaded("b", load(7, 1))], START);
    let heard = hub.exchange(&other, false, Vec::new(), START);
    let ended = [loaded("b", load(7, 1)), loaded("a", Load::default())];
    assert_eq!(heard, ended, "it started anew");
    let later = START + Duration::from_secs(2);
    hub.exchange(&other, true, Vec::new(), later);
    assert!(!hub.knows(&one), "it is silent for two seconds");
    assert!(hub.exchange(&other, false, Vec::new(), later).is_empty());
}
