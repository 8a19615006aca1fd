//! Membership: which boxes of the availability zone are alive (a SWIM-style protocol).
//!
//! Each period a box probes a few peers, in shuffled rounds in which each peer is probed once,
//! and exchanges membership updates with them. A peer that does not answer is suspected.
//! The suspicion spreads as an update, and a peer that does not refute it in time, by raising its
//! incarnation, counts as dead. Both the number of times that an update is sent and the number of
//! updates in a message are bounded, so a box's cost does not grow with the number of boxes.
//!
//! The peers to probe are those in the configuration, which lags behind and does not decide which
//! of them are alive.

use std::{collections::BTreeMap, time::Duration};

use rand::{rngs::SmallRng, seq::SliceRandom as _, SeedableRng as _};
use serde::{Deserialize, Serialize};

use crate::core::{name, unit};

/// Settings of the membership protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The time after which the next peers are probed.
    pub period: Duration,
    /// The number of peers that are probed each period.
    pub probes: usize,
    /// How long a suspected peer has to refute the suspicion.
    pub suspicion: Duration,
    /// The most updates in one message.
    pub max_updates: usize,
    /// How many times a box sends one update.
    pub repeats: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(300),
            probes: 1,
            suspicion: Duration::from_millis(1200),
            max_updates: 8,
            repeats: 6,
        }
    }
}

/// The status of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// It answers probes.
    Alive,
    /// It did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time, or announced that it leaves.
    Dead,
}

/// A membership update about a box, or about the sender itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The box that it is about.
    pub about: name::Box,
    /// The incarnation of that box.
    pub incarnation: unit::Incarnation,
    /// The status of that box.
    pub status: Status,
}

/// A probe, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: name::Box,
    /// The sender's incarnation.
    pub incarnation: unit::Incarnation,
    /// Updates, the least often sent first.
    #[serde(rename = "news")]
    pub updates: Vec<Update>,
}

#[derive(Clone, Debug)]
struct Peer {
    incarnation: unit::Incarnation,
    status: Status,
    /// When its status last changed.
    since: Duration,
    /// How many more times an update with its status is to be sent.
    repeats: u32,
    /// Whether it was ever heard of, rather than only configured.
    known: bool,
}

/// The membership as one box sees it.
#[derive(Debug)]
pub struct Members {
    settings: Settings,
    own: name::Box,
    incarnation: unit::Incarnation,
    leaving: bool,
    /// How many more times this box announces that it leaves.
    own_repeats: u32,
    peers: BTreeMap<name::Box, Peer>,
    /// The peers that are still to be probed in this round.
    round: Vec<name::Box>,
    random: SmallRng,
    next_probe_at: Duration,
}

impl Members {
    /// Creates a membership that knows only its own box. The incarnation may be any number: if
    /// peers know a higher one of this box, it raises its own above that.
    pub fn new(
        settings: Settings,
        own: name::Box,
        incarnation: unit::Incarnation,
        seed: u64,
    ) -> Self {
        Self {
            own_repeats: settings.repeats,
            settings,
            own,
            incarnation,
            leaving: false,
            peers: BTreeMap::new(),
            round: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            next_probe_at: Duration::ZERO,
        }
    }

    /// Sets the peers that are configured in this zone.
    pub fn configure(&mut self, peers: impl IntoIterator<Item = name::Box>, now: Duration) {
        let peers: Vec<_> = peers.into_iter().filter(|name| *name != self.own).collect();
        self.peers.retain(|name, _| peers.contains(name));
        for name in peers {
            // A new peer begins as suspected: it gets no share of the load before it answers.
            self.peers.entry(name).or_insert(Peer {
                incarnation: unit::Incarnation(0),
                status: Status::Suspect,
                since: now,
                repeats: 0,
                known: false,
            });
        }
    }

    /// Returns the boxes that are alive and not leaving, this one included.
    ///
    /// A suspected peer that was heard of counts as alive until its time to refute is over.
    pub fn alive(&self) -> Vec<name::Box> {
        let is_alive = |peer: &Peer| match peer.status {
            Status::Alive => true,
            Status::Suspect => peer.known,
            Status::Dead => false,
        };
        let alive = self.peers.iter().filter(|(_, peer)| is_alive(peer));
        let mut names: Vec<_> = alive.map(|(name, _)| name.clone()).collect();
        if !self.leaving {
            names.push(self.own.clone());
        }
        names.sort();
        names
    }

    /// Returns whether each of some peers was heard of or counts as dead.
    pub fn has_heard_all<'a>(&self, mut of: impl Iterator<Item = &'a name::Box>) -> bool {
        of.all(|name| {
            self.peers
                .get(name)
                .is_some_and(|p| p.known || p.status == Status::Dead)
        })
    }

    /// Returns the status of a peer.
    pub fn status(&self, of: &name::Box) -> Option<Status> {
        self.peers.get(of).map(|peer| peer.status)
    }

    /// Returns this box's incarnation.
    pub fn incarnation(&self) -> unit::Incarnation {
        self.incarnation
    }

    /// Suspects all peers, as after a start: this box was frozen, and its knowledge is outdated.
    pub fn rejoin(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            peer.status = Status::Suspect;
            peer.since = now;
            peer.known = false;
            peer.repeats = 0;
        }
    }

    /// Announces that this box leaves.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.own_repeats = self.settings.repeats;
    }

    /// Advances to `now`; returns the peers to probe.
    pub fn tick(&mut self, now: Duration) -> Vec<name::Box> {
        self.declare_dead(now);
        if now < self.next_probe_at {
            return Vec::new();
        }
        self.next_probe_at = now + self.settings.period;
        (0..self.settings.probes.min(self.peers.len()))
            .filter_map(|_| self.next_probe())
            .collect()
    }

    /// Declares suspected peers dead that did not refute in time.
    fn declare_dead(&mut self, now: Duration) {
        let Settings {
            suspicion, repeats, ..
        } = self.settings;
        for peer in self.peers.values_mut() {
            if peer.status == Status::Suspect && now.saturating_sub(peer.since) >= suspicion {
                peer.status = Status::Dead;
                peer.since = now;
                peer.repeats = if peer.known { repeats } else { 0 };
            }
        }
    }

    fn next_probe(&mut self) -> Option<name::Box> {
        if self.round.is_empty() {
            self.round = self.peers.keys().cloned().collect();
            self.round.shuffle(&mut self.random);
        }
        let name = self.round.pop()?;
        self.peers.contains_key(&name).then_some(name)
    }

    /// Returns the message for a probe or for the answer to one.
    pub fn message(&mut self) -> Message {
        let mut updates = Vec::new();
        if self.leaving && self.own_repeats > 0 {
            self.own_repeats -= 1;
            updates.push(self.own_update());
        }
        let mut unsent: Vec<_> = self
            .peers
            .iter_mut()
            .filter(|(_, p)| p.repeats > 0)
            .collect();
        unsent.sort_by_key(|(_, peer)| std::cmp::Reverse(peer.repeats));
        for (name, peer) in unsent.into_iter().take(self.settings.max_updates) {
            peer.repeats -= 1;
            updates.push(Update {
                about: name.clone(),
                incarnation: peer.incarnation,
                status: peer.status,
            });
        }
        Message {
            from: self.own.clone(),
            incarnation: self.incarnation,
            updates,
        }
    }

    fn own_update(&self) -> Update {
        let status = if self.leaving {
            Status::Dead
        } else {
            Status::Alive
        };
        Update {
            about: self.own.clone(),
            incarnation: self.incarnation,
            status,
        }
    }

    /// Applies a probe, or the answer to one.
    pub fn receive(&mut self, message: Message, now: Duration) {
        let Message {
            from,
            incarnation,
            updates,
        } = message;
        self.apply(
            Update {
                about: from,
                incarnation,
                status: Status::Alive,
            },
            true,
            now,
        );
        for update in updates {
            self.apply(update, false, now);
        }
    }

    /// Records that a peer did not answer a probe.
    pub fn record_unanswered(&mut self, who: &name::Box, now: Duration) {
        let Some(peer) = self.peers.get_mut(who) else {
            return;
        };
        if peer.status == Status::Alive {
            peer.status = Status::Suspect;
            peer.since = now;
            peer.repeats = self.settings.repeats;
        }
    }

    fn apply(&mut self, update: Update, direct: bool, now: Duration) {
        if update.about == self.own {
            self.refute(&update);
            return;
        }
        let repeats = self.settings.repeats;
        let Some(peer) = self.peers.get_mut(&update.about) else {
            return;
        };
        // A message from the peer itself refutes a suspicion of the same incarnation, but not the
        // peer's own announcement that it leaves.
        let revived = direct
            && update.incarnation == peer.incarnation
            && (peer.status == Status::Suspect || !peer.known);
        let newer = (update.incarnation, update.status) > (peer.incarnation, peer.status);
        if direct && !newer && peer.status == Status::Dead {
            // The peer doesn't know that it counts as dead. It refutes that once it receives this
            // update.
            peer.repeats = repeats;
        }
        if !newer && !revived && (peer.known || !direct) {
            return;
        }
        if (peer.incarnation, peer.status, peer.known) != (update.incarnation, update.status, true)
        {
            peer.since = now;
            peer.repeats = repeats;
        }
        peer.incarnation = update.incarnation;
        peer.status = update.status;
        peer.known = true;
    }

    /// Raises this box's incarnation above that of a claim that it is not alive, or above a
    /// higher one that peers know.
    fn refute(&mut self, update: &Update) {
        let wrong = update.status != Status::Alive && !self.leaving;
        if wrong && update.incarnation >= self.incarnation {
            self.incarnation = unit::Incarnation(update.incarnation.0 + 1);
            self.own_repeats = self.settings.repeats;
        }
        if update.incarnation > self.incarnation {
            self.incarnation = unit::Incarnation(update.incarnation.0 + 1);
        }
    }
}
