//! The cost of the configuration by its number of teams: memory, bytes, and the time for a change.

use std::{sync::Arc, time::Instant};

use scalewood::{
    board::view::View,
    core::{
        change::{Edit, Item},
        config, secret, unit,
    },
};

use crate::{fit, process};

fn document(teams: usize) -> config::Document {
    let mut document = config::Document::default();
    for service in 0..14 {
        let models = [format!("model-{service}").parse().expect("a model")].into();
        let item = config::Service {
            kind: config::Kind::Model,
            models,
        };
        document
            .services
            .insert(format!("s{service}").parse().expect("a service"), item);
        for class in 0..5u8 {
            let key = format!("s{service}/c{class}").parse().expect("a class");
            let item = config::Class {
                tier: unit::Tier(class),
                ..config::Class::default()
            };
            document.classes.insert(key, item);
        }
    }
    for endpoint in 0..600u16 {
        let item = config::Endpoint {
            service: format!("s{}", endpoint % 14).parse().expect("a service"),
            zone: format!("z{}", endpoint % 11).parse().expect("a zone"),
            address: ([127, 0, 0, 1], 10_000 + endpoint).into(),
            slots: unit::Slots(64),
            leaving: false,
            load: None,
            build: Default::default(),
        };
        document
            .endpoints
            .insert(format!("m{endpoint}").parse().expect("a name"), item);
    }
    for entry in 0..390u16 {
        let zone = format!("z{}", entry % 11).parse().expect("a zone");
        let item = config::Box {
            zone,
            address: ([127, 0, 0, 1], 20_000 + entry).into(),
        };
        document
            .boxes
            .insert(format!("e{entry}").parse().expect("a name"), item);
    }
    for team in 0..teams {
        let item = config::Team {
            token_hash: secret::Hash::of(&format!("token {team}")),
            classes: vec![format!("s{}/c{}", team % 14, team % 5)
                .parse()
                .expect("a class")],
            requests: None,
            tokens: None,
            allowed: Default::default(),
        };
        document
            .teams
            .insert(format!("team-{team}").parse().expect("a team"), item);
    }
    document
}

/// Measures and prints the slopes.
pub(crate) fn measure() {
    println!("configuration: 14 services, 70 classes, 600 endpoints, 390 boxes, by teams");
    let sizes = [3000, 9000, 18_000, 27_000];
    let own = std::process::id();
    let (mut memory, mut bytes, mut change, mut index) = (vec![], vec![], vec![], vec![]);
    let mut kept = Vec::new();
    for teams in sizes {
        let before = process::memory(own);
        let whole = Arc::new(document(teams));
        let view = View::new(unit::Revision(1), whole.clone());
        memory.push((teams as f64, process::memory(own) - before));
        let text = serde_json::to_string(&*whole).expect("a text");
        bytes.push((teams as f64, text.len() as f64 / 1048576.0));
        let begin = Instant::now();
        let mut next = config::Document::clone(&whole);
        let class = config::Class::default();
        let edit = Edit::Set(Item::Class("s0/c9".parse().expect("a class"), class));
        edit.apply(&mut next);
        assert!(next.check().is_empty());
        change.push((teams as f64, begin.elapsed().as_secs_f64() * 1e3));
        let begin = Instant::now();
        let again = View::new(unit::Revision(2), Arc::new(next));
        index.push((teams as f64, begin.elapsed().as_secs_f64() * 1e3));
        kept.push((view, again));
    }
    fit::print("memory of document and indexes", "MiB a team", &memory);
    fit::print("bytes of the whole document", "MiB a team", &bytes);
    fit::print("time to apply and check a change", "ms a team", &change);
    fit::print("time to index a revision", "ms a team", &index);
}
