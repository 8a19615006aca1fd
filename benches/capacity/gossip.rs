//! The messages and bytes of membership and loads, by the number of boxes in a zone.

use std::time::Duration;

use scalewood::{
    core::{
        dispatch,
        member::{Members, Settings},
        name, unit,
    },
    wire::peer::{Load, Probe},
};

use crate::fit;

fn box_name(i: usize) -> name::Box {
    format!("entry-box-{i}").parse().expect("a box")
}

/// Returns the loads of a full message: three dispatchers with five tiers each.
fn loads() -> Vec<(name::Service, Load)> {
    let load = |i: u32| {
        let waits = (0..5).map(|tier| (unit::Tier(tier), Duration::from_millis(1234)));
        let summary = dispatch::Summary {
            slots: 3520,
            running: 3500,
            waiting: 1234,
            waits: waits.collect(),
        };
        let zone = format!("zone-{i}").parse().expect("a zone");
        let load = Load::new(zone, box_name(100), &summary);
        (format!("service-{i}").parse().expect("a service"), load)
    };
    (0..3).map(load).collect()
}

/// The approximate number of bytes that JSON-RPC and the frames add to a message.
const ENVELOPE_BYTES: usize = 80;

/// Returns the bytes and messages a second that a box of a zone sends while there is always news of
/// other boxes.
fn rate(boxes: usize) -> (f64, f64) {
    let mut now = Duration::from_secs(10);
    let mut members: Vec<_> = (0..boxes)
        .map(|i| {
            let incarnation = unit::Incarnation(1);
            let mut own = Members::new(Settings::default(), box_name(i), incarnation, i as u64);
            own.configure((0..boxes).map(box_name), now);
            own
        })
        .collect();
    let (mut bytes, mut messages) = (0, 0);
    let span_s = 60;
    let zone: name::Zone = "zone-0".parse().expect("a zone");
    let loads = loads();
    for _ in 0..span_s * 20 {
        now += Duration::from_millis(50);
        for i in 0..boxes {
            // The last eighth of the boxes is dead, so there is always news to send.
            if i >= boxes - boxes / 8 {
                continue;
            }
            for peer in members[i].tick(now) {
                let p: usize = peer.as_str()[10..].parse().expect("a number");
                let question = members[i].message();
                let mut send = |message| {
                    let probe = Probe {
                        zone: zone.clone(),
                        members: message,
                        loads: loads.clone(),
                    };
                    bytes += serde_json::to_string(&probe).expect("a text").len() + ENVELOPE_BYTES;
                    messages += 1;
                    probe.members
                };
                let question = send(question);
                if p >= boxes - boxes / 8 {
                    members[i].record_unanswered(&peer, now);
                    continue;
                }
                members[p].receive(question, now);
                let answer = send(members[p].message());
                members[i].receive(answer, now);
            }
        }
    }
    let per = (boxes * span_s) as f64;
    (bytes as f64 / per, f64::from(messages) / per)
}

/// Measures and prints the slopes.
pub(crate) fn measure() {
    println!("gossip: what a box sends, by the boxes of its zone, each message full of loads");
    let sizes = [8, 16, 36, 72];
    let rates: Vec<_> = sizes.iter().map(|n| (*n as f64, rate(*n))).collect();
    let pick = |get: fn(&(f64, f64)) -> f64| -> Vec<(f64, f64)> {
        rates.iter().map(|(n, rate)| (*n, get(rate))).collect()
    };
    fit::print("bytes a second", "B/s a box", &pick(|rate| rate.0));
    fit::print("messages a second", "1/s a box", &pick(|rate| rate.1));
}
