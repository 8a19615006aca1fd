//! What boxes know of a large fleet: which voters they track, and how long a silent endpoint stays
//! known.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use scalewood::core::{
    follow::{self, Candidate, State as Stand},
    name,
    registry::{Record, Registry, State, Timing, Voucher},
    unit,
};

const NOW: Duration = Duration::from_secs(1000);

/// Returns a number of voters in each of six zones, all of them in touch.
fn voters(per_zone: u8) -> BTreeMap<SocketAddr, Candidate> {
    let mut voters = BTreeMap::new();
    for zone in 0..6u8 {
        for number in 0..per_zone {
            let candidate = Candidate {
                zone: Some(format!("z{zone}").parse().unwrap()),
                state: Stand::InTouch,
            };
            let address = SocketAddr::from(([10, zone, 0, number + 1], 7340));
            voters.insert(address, candidate);
        }
    }
    voters
}

fn chosen(number: usize, voters: &BTreeMap<SocketAddr, Candidate>) -> Vec<SocketAddr> {
    let own: name::Box = format!("e{number}").parse().unwrap();
    follow::choose(&own, &"z1".parse().unwrap(), voters, NOW)
}

/// If every box followed every voter, a fleet of 985 boxes and 24 voters would have 23,640
/// subscriptions. The choice is spread over the voters of a zone; otherwise all its boxes would
/// exchange their loads with the one of the lowest address.
#[test]
fn a_box_tracks_two_voters_of_its_zone_however_many_there_are() {
    for per_zone in [4, 8] {
        let voters = voters(per_zone);
        let mut first = BTreeMap::new();
        for number in 0..200 {
            let tracked = chosen(number, &voters);
            assert_eq!(tracked.len(), follow::TRACKED_VOTERS, "{per_zone}");
            let zone = "z1".parse().unwrap();
            assert!(tracked
                .iter()
                .all(|at| voters[at].zone.as_ref() == Some(&zone)));
            *first.entry(tracked[0]).or_insert(0) += 1;
        }
        let even = 200 / usize::from(per_zone);
        assert_eq!(first.len(), usize::from(per_zone), "each has its boxes");
        assert!(first.values().all(|boxes| *boxes <= even * 2), "{first:?}");
    }
}

#[test]
fn a_voter_that_is_cut_off_is_tracked_beside_one_that_is_not() {
    let mut voters = voters(2);
    assert!(voters.len() > follow::TRACK_ALL_UP_TO);
    let tracked = chosen(7, &voters);
    voters.get_mut(&tracked[0]).unwrap().state = Stand::CutOff;
    let beside = chosen(7, &voters);
    assert_eq!(beside.len(), 3);
    assert_eq!(beside[..2], tracked[..]);
    // The zone has no other voters, so the third one is in another zone.
    assert_ne!(voters[&beside[2]].zone, voters[&tracked[0]].zone);
    // A voter that was just asked has some time to answer.
    voters.get_mut(&tracked[0]).unwrap().state = Stand::Asked(NOW);
    assert_eq!(chosen(7, &voters), tracked);
    voters.get_mut(&tracked[0]).unwrap().state = Stand::Asked(NOW - Duration::from_secs(1));
    assert_eq!(chosen(7, &voters).len(), 3);
    // If no voter answers, all are tracked.
    for voter in voters.values_mut() {
        voter.state = Stand::Unknown;
    }
    let all: BTreeSet<_> = chosen(7, &voters).into_iter().collect();
    assert_eq!(all.len(), voters.len());
}

/// Boxes that track only two of eight voters may use an old configuration for nine seconds, so all
/// are tracked if there are few.
#[test]
fn of_few_voters_all_are_tracked() {
    let voters = voters(1);
    assert!(voters.len() <= follow::TRACK_ALL_UP_TO);
    assert_eq!(chosen(7, &voters).len(), voters.len());
}

/// Voters of a zone that is cut off still tell its boxes what they know, so two of them stay
/// tracked.
#[test]
fn of_a_zone_whose_voters_are_cut_off_two_are_tracked() {
    let mut voters = voters(8);
    let zone = "z1".parse().unwrap();
    for voter in voters.values_mut() {
        if voter.zone.as_ref() == Some(&zone) {
            voter.state = Stand::CutOff;
        }
    }
    let tracked = chosen(7, &voters);
    let near = tracked
        .iter()
        .filter(|at| voters[at].zone.as_ref() == Some(&zone));
    assert_eq!((near.count(), tracked.len()), (2, 4));
}

fn record(sequence: u64) -> Record {
    Record {
        name: "i".parse().unwrap(),
        service: "lm".parse().unwrap(),
        zone: "z0".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: unit::Slots(4),
        state: State::Ready,
        sequence,
        interruptible: false,
        build: Default::default(),
        incarnation: Some(unit::Incarnation(1)),
        warm_up: None,
    }
}

/// A process that is told the endpoints that another process knows.
struct Listener {
    registry: Registry,
    voucher: Voucher,
    stamp: u64,
}

impl Listener {
    fn new(timing: Timing) -> Self {
        let mut registry = Registry::new(timing);
        let voucher = registry.register_voucher(&"w".parse().unwrap()).unwrap();
        Self {
            registry,
            voucher,
            stamp: 0,
        }
    }

    /// Applies all news. Returns the number of records and names that it consists of.
    fn hear(&mut self, from: &Registry, now: Duration) -> usize {
        let changed = from.records_since(self.stamp, now);
        let silent = from.silent_since(self.stamp);
        let told = changed.len() + silent.len();
        for record in changed {
            let name = record.name.clone();
            self.registry.merge(record, now);
            self.registry.vouch_for(&name, self.voucher);
        }
        for name in &silent {
            self.registry.withdraw_vouch(name, self.voucher);
        }
        self.registry.record_vouch(self.voucher, now);
        self.registry.expire_silent(now);
        self.stamp = from.stamp();
        told
    }
}

/// The path of a heartbeat: the voter that an endpoint announces itself to, a voter of a box's
/// zone, and the box.
struct Path {
    timing: Timing,
    voter: Registry,
    zone: Listener,
    own: Listener,
}

impl Path {
    fn new(heartbeat_ms: u64) -> Self {
        let timing = Timing {
            heartbeat: Duration::from_millis(heartbeat_ms),
        };
        Self {
            timing,
            voter: Registry::new(timing),
            zone: Listener::new(timing),
            own: Listener::new(timing),
        }
    }

    /// Passes the news of a second along the path. Returns the number of records and names that the
    /// box was told.
    fn forward(&mut self, now: Duration) -> usize {
        self.voter.expire_silent(now);
        self.zone.hear(&self.voter, now);
        self.own.hear(&self.zone.registry, now)
    }

    fn knows(&self) -> bool {
        self.own.registry.get(&"i".parse().unwrap()).is_some()
    }
}

/// The time for which a silent endpoint stays known follows the heartbeat interval of the settings:
/// fixed bounds of 3 to 7 s would only fit heartbeats of 1.2 s. Heartbeats without news are not
/// told to boxes, which spares each box a list of all names every 3 s.
#[test]
fn an_endpoint_that_lives_is_known_at_any_pace_and_one_that_died_is_not() {
    for heartbeat_ms in [500, 1200, 5000] {
        let mut path = Path::new(heartbeat_ms);
        let heartbeat = path.timing.heartbeat;
        let mut next = NOW;
        let mut sequence = 0;
        let mut told = 0;
        for second in 0..120u32 {
            let now = NOW + Duration::from_secs(second.into());
            while next <= now {
                sequence += 1;
                // Every fifth heartbeat is lost.
                if sequence % 5 != 0 {
                    path.voter.merge(record(sequence), next);
                }
                next += heartbeat;
            }
            told += path.forward(now);
            assert!(path.knows(), "{heartbeat_ms} ms, second {second}");
        }
        assert_eq!(
            told, 1,
            "a heartbeat that says nothing new is told to no box"
        );
        let died = NOW + Duration::from_secs(119);
        let bound = path.timing.max_silence() + Duration::from_secs(3);
        let mut now = died;
        while path.knows() {
            now += Duration::from_secs(1);
            path.forward(now);
            assert!(now <= died + bound, "{heartbeat_ms} ms");
        }
    }
}

/// When a voter is lost, its endpoints stay known as long as another voter hears of them. Endpoints
/// that no voter in touch hears of are forgotten.
#[test]
fn an_endpoint_is_known_while_anybody_vouches_for_it() {
    let timing = Timing::default();
    let mut own = Registry::new(timing);
    let first = own.register_voucher(&"a".parse().unwrap()).unwrap();
    let second = own.register_voucher(&"b".parse().unwrap()).unwrap();
    let name = "i".parse().unwrap();
    own.merge(record(1), NOW);
    own.vouch_for(&name, first);
    own.vouch_for(&name, second);
    let mut now = NOW;
    for _ in 0..30 {
        now += Duration::from_secs(1);
        own.record_vouch(second, now);
        assert!(own.expire_silent(now).is_empty());
    }
    // The second voter starts again and has not told of the endpoint yet.
    own.register_voucher(&"b".parse().unwrap()).unwrap();
    now += timing.max_silence() - Duration::from_millis(1);
    own.record_vouch(second, now);
    assert!(
        own.expire_silent(now).is_empty(),
        "the endpoint was vouched for just before"
    );
    assert_eq!(own.expire_silent(now + Duration::from_millis(2)).len(), 1);
}
