//! What endpoints bear from all boxes together.
//!
//! A box knows exactly what it has granted, and nothing of what the others have. So the
//! boxes tell a hub, several times a second, what each of them has at each endpoint, and
//! hear what the others have there, and where they have placed prompts that share their
//! beginning. Both ways only what has changed is told. The hub forgets a box that has been
//! silent for long.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::{dispatch::Prefix, name};

/// How long a box may be silent before what it told counts no more.
const SILENCE: Duration = Duration::from_millis(1500);

/// By how much a load has to change to be worth telling: about what the smallest prompts
/// make.
const UNREAD_NEWS: u64 = 400;
const HELD_NEWS: u64 = 4000;
const RUNNING_NEWS: u32 = 2;

/// What some boxes have at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Tokens of prompts that wait to be read or are being read.
    pub unread: u64,
    /// Tokens of all prompts that are held in its memory, shared parts counted once.
    pub held: u64,
    /// Requests that hold a slot.
    pub running: u32,
}

impl Load {
    /// Whether it differs so much from what was told that it is worth telling: all of it
    /// is told in the end, since a load that ends is.
    fn is_news(self, told: Self) -> bool {
        self == Self::default()
            || self.unread.abs_diff(told.unread) >= UNREAD_NEWS
            || self.held.abs_diff(told.held) >= HELD_NEWS
            || self.running.abs_diff(told.running) >= RUNNING_NEWS
    }

    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            unread: self.unread + other.unread,
            held: self.held + other.held,
            running: self.running + other.running,
        }
    }

    /// What is left without a part.
    pub fn minus(self, part: Self) -> Self {
        Self {
            unread: self.unread.saturating_sub(part.unread),
            held: self.held.saturating_sub(part.held),
            running: self.running.saturating_sub(part.running),
        }
    }
}

/// An endpoint with its load; written as a row, since there are many of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadedRow", into = "LoadedRow")]
pub struct Loaded {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Its load.
    pub load: Load,
}

/// Endpoint, unread, held, running.
type LoadedRow = (name::Endpoint, u64, u64, u32);

impl From<LoadedRow> for Loaded {
    fn from((endpoint, unread, held, running): LoadedRow) -> Self {
        let load = Load {
            unread,
            held,
            running,
        };
        Self { endpoint, load }
    }
}

impl From<Loaded> for LoadedRow {
    fn from(Loaded { endpoint, load }: Loaded) -> Self {
        (endpoint, load.unread, load.held, load.running)
    }
}

/// A shared beginning of prompts that an endpoint has read of late; written as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PlacementRow", into = "PlacementRow")]
pub struct Placement {
    /// The beginning.
    pub prefix: Prefix,
    /// The endpoint.
    pub endpoint: name::Endpoint,
}

/// Beginning, endpoint.
type PlacementRow = (Prefix, name::Endpoint);

impl From<PlacementRow> for Placement {
    fn from((prefix, endpoint): PlacementRow) -> Self {
        Self { prefix, endpoint }
    }
}

impl From<Placement> for PlacementRow {
    fn from(Placement { prefix, endpoint }: Placement) -> Self {
        (prefix, endpoint)
    }
}

/// What is told in an exchange, either way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Loads that have changed.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Loaded>,
    /// Shared beginnings that were placed.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub placements: Vec<Placement>,
}

/// Loads by endpoint; those without any are left out.
pub type Loads = BTreeMap<name::Endpoint, Load>;

/// Sets the loads that a message holds.
pub fn merge(loads: &mut Loads, changed: Vec<Loaded>) {
    for Loaded { endpoint, load } in changed {
        if load == Load::default() {
            loads.remove(&endpoint);
        } else {
            loads.insert(endpoint, load);
        }
    }
}

/// What is to be told to one who knows `told` so that it knows `loads`.
pub fn difference(told: &Loads, loads: &Loads) -> Vec<Loaded> {
    let changed = loads
        .iter()
        .filter(|(name, load)| told.get(*name) != Some(*load));
    let changed = changed.map(|(name, load)| Loaded {
        endpoint: name.clone(),
        load: *load,
    });
    let ended = told.keys().filter(|name| !loads.contains_key(*name));
    let ended = ended.map(|name| Loaded {
        endpoint: name.clone(),
        load: Load::default(),
    });
    changed.chain(ended).collect()
}

#[derive(Debug)]
struct Member {
    heard: Duration,
    /// What it has at each endpoint.
    own: Loads,
    /// What it was told that the others have.
    told: Loads,
    /// The serial number of the next placement that it has to hear of.
    next: u64,
}

/// The placements that are remembered for boxes that have not heard of them yet.
const MAX_PLACEMENTS: usize = 4096;

/// Brings together what boxes have at endpoints.
#[derive(Debug, Default)]
pub struct Hub {
    members: BTreeMap<name::Box, Member>,
    total: Loads,
    /// The last placements with the boxes that told them, and the number of those before.
    placements: VecDeque<(name::Box, Placement)>,
    dropped: u64,
}

impl Hub {
    /// Takes what has changed at a box since it last told, or all of it if it starts
    /// `anew`; returns what has changed for it at the others.
    pub fn exchange(&mut self, from: &name::Box, anew: bool, told: News, now: Duration) -> News {
        self.forget_silent(now);
        if anew {
            self.forget(from);
        }
        let loads = self.exchange_loads(from, told.loads, now);
        let placements = self.exchange_placements(from, told.placements);
        News { loads, placements }
    }

    fn exchange_placements(
        &mut self,
        from: &name::Box,
        placements: Vec<Placement>,
    ) -> Vec<Placement> {
        let own = placements.into_iter().map(|p| (from.clone(), p));
        self.placements.extend(own);
        while self.placements.len() > MAX_PLACEMENTS {
            self.placements.pop_front();
            self.dropped += 1;
        }
        let Some(member) = self.members.get_mut(from) else {
            return Vec::new();
        };
        let heard = member.next.saturating_sub(self.dropped);
        member.next = self.dropped + self.placements.len() as u64;
        let heard = usize::try_from(heard).unwrap_or(usize::MAX);
        let unheard = self.placements.iter().skip(heard);
        let others = unheard.filter(|(teller, _)| teller != from);
        others.map(|(_, placement)| placement.clone()).collect()
    }

    fn exchange_loads(
        &mut self,
        from: &name::Box,
        changed: Vec<Loaded>,
        now: Duration,
    ) -> Vec<Loaded> {
        let member = self.members.entry(from.clone()).or_insert_with(|| Member {
            heard: now,
            own: Loads::new(),
            told: Loads::new(),
            next: 0,
        });
        member.heard = now;
        for loaded in &changed {
            let before = member.own.get(&loaded.endpoint).copied();
            let total = self
                .total
                .get(&loaded.endpoint)
                .copied()
                .unwrap_or_default();
            let total = total.minus(before.unwrap_or_default()).plus(loaded.load);
            set(&mut self.total, &loaded.endpoint, total);
        }
        merge(&mut member.own, changed);
        let mut others = Loads::new();
        for (name, total) in &self.total {
            let own = member.own.get(name).copied().unwrap_or_default();
            set(&mut others, name, total.minus(own));
        }
        let mut news = difference(&member.told, &others);
        news.retain(|loaded| {
            let told = member.told.get(&loaded.endpoint).copied();
            loaded.load.is_news(told.unwrap_or_default())
        });
        merge(&mut member.told, news.clone());
        news
    }

    /// Whether a box is known, so that it may tell differences.
    pub fn knows(&self, name: &name::Box) -> bool {
        self.members.contains_key(name)
    }

    fn forget_silent(&mut self, now: Duration) {
        let silent = self.members.iter().filter(|(_, m)| m.heard + SILENCE < now);
        let silent: Vec<_> = silent.map(|(name, _)| name.clone()).collect();
        for name in silent {
            self.forget(&name);
        }
    }

    fn forget(&mut self, name: &name::Box) {
        let Some(member) = self.members.remove(name) else {
            return;
        };
        for (endpoint, own) in member.own {
            let total = self.total.get(&endpoint).copied().unwrap_or_default();
            set(&mut self.total, &endpoint, total.minus(own));
        }
    }
}

fn set(loads: &mut Loads, name: &name::Endpoint, load: Load) {
    if load == Load::default() {
        loads.remove(name);
    } else {
        loads.insert(name.clone(), load);
    }
}
