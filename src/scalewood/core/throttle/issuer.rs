//! Issues permits for requests to endpoints with a rate limit.
//!
//! One voter issues an endpoint's permits, picked by rendezvous hashing among the voters that reach
//! each other. A box asks the voter that it shares its loads with, and that voter requests permits
//! from the issuer in the messages that voters exchange anyway.
//!
//! The votes of all voters decide how much of a limit an issuer may use ([`Ballot`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    ballot::Ballot,
    permit::{Issued, Stock, Wanted, PERMIT_LIFETIME},
    Book, Row,
};
use crate::core::name;

/// How long a client is kept after its last request: boxes ask about every 600 ms or more often.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The most permits of one endpoint that a client can ask for, which bounds the effect of a wrong
/// number.
const MAX_WANTED: u32 = 256;
/// How many permits accumulate while no client asks for any.
const BURST_PERMITS: f64 = 2.0;
/// The permits of this many seconds accumulate beyond [`BURST_PERMITS`]: within this time all
/// clients that want permits have asked.
const ACCUMULATION_SECONDS: f64 = 0.25;

/// A message to a voter that issues permits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Limits that are new, changed or ended.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<Row>,
    /// The permits that are wanted now; replaces the numbers of earlier messages.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub wanted: Vec<Wanted>,
}

impl Message {
    /// Returns whether the message has no content.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The answer of a voter that issues permits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Limits that are new, changed or ended.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<Row>,
    /// The permits issued to the sender of the request.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub issued: Vec<Issued>,
    /// The voters among which the answering voter picks issuers, itself included, if it votes for
    /// the asking voter; empty if it does not.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub voters: Vec<name::Box>,
}

/// A process that asks for permits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Client {
    Box(name::Box),
    Voter(name::Box),
}

impl Client {
    fn is_box(&self) -> bool {
        matches!(self, Self::Box(_))
    }
}

/// What is known of a client.
#[derive(Debug, Default)]
struct ClientState {
    last_heard: Duration,
    /// The book's stamp up to which it was sent limits.
    sent_stamp: u64,
    /// The endpoints whose permits it wants.
    wants: BTreeSet<name::Endpoint>,
}

/// How many permits of an endpoint a client wants.
#[derive(Clone, Copy, Debug, Default)]
struct Want {
    count: u32,
    /// The sum of permits issued over permits wanted; the client with the lowest value is served
    /// first.
    served: f64,
}

/// The permits of one endpoint, as one voter keeps them.
#[derive(Debug, Default)]
struct Account {
    /// Whether this voter is the issuer.
    issues: bool,
    /// The permits that could be issued at `refilled_at`.
    level: f64,
    refilled_at: Duration,
    /// Permits received from the issuer, if that is another voter.
    stock: Stock,
    wants: BTreeMap<Client, Want>,
}

impl Account {
    /// Adds the permits accumulated since the last call, at `rate` per second; `None` if this voter
    /// is not the issuer. A voter that becomes the issuer starts at zero.
    fn refill(&mut self, rate: Option<f64>, now: Duration) {
        let takes_over = rate.is_some() && !self.issues;
        self.issues = rate.is_some();
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.level = match rate {
            Some(rate) if !takes_over => {
                (self.level + elapsed * rate).min(BURST_PERMITS + ACCUMULATION_SECONDS * rate)
            }
            _ => 0.0,
        };
    }

    fn set_want(&mut self, client: &Client, count: u32) {
        if count == 0 {
            self.wants.remove(client);
            return;
        }
        let least = self.wants.values().map(|want| want.served);
        let served = least.reduce(f64::min).unwrap_or_default();
        let want = self.wants.entry(client.clone());
        let want = want.or_insert(Want { count, served });
        want.count = count;
    }

    /// Returns the number of permits at hand: its own, and those received from another voter.
    fn available(&self, now: Duration) -> u32 {
        // The level is small, so the cast is exact.
        self.level as u32 + self.stock.count(now)
    }

    /// Returns how many of the available permits a client gets, given what all clients want.
    fn share_of(&self, client: &Client, now: Duration) -> u32 {
        let available = self.available(now);
        let wanted: u32 = self.wants.values().map(|want| want.count).sum();
        let Some(own) = self.wants.get(client) else {
            return 0;
        };
        if wanted <= available {
            return own.count;
        }
        let mut wants: Vec<_> = self
            .wants
            .iter()
            .map(|(name, want)| (name, *want))
            .collect();
        let mut share = 0;
        for _ in 0..available {
            let open = wants.iter_mut().filter(|(_, want)| want.count > 0);
            let least = open.min_by(|a, b| a.1.served.total_cmp(&b.1.served));
            let Some((name, want)) = least else { break };
            want.served += 1.0 / f64::from(want.count);
            want.count -= 1;
            share += u32::from(*name == client);
        }
        share
    }

    /// Issues a client its share. Returns pairs of an expiry time and a number of permits.
    fn issue(&mut self, client: &Client, now: Duration) -> Vec<(Duration, u32)> {
        let share = self.share_of(client, now);
        if share == 0 {
            return Vec::new();
        }
        if let Some(want) = self.wants.get_mut(client) {
            want.served += f64::from(share) / f64::from(want.count);
            want.count -= share;
        }
        let mut issued = self.stock.take(share, now);
        let taken: u32 = issued.iter().map(|(_, count)| count).sum();
        let own = share - taken;
        if own > 0 {
            self.level -= f64::from(own);
            issued.push((now + PERMIT_LIFETIME, own));
        }
        issued
    }
}

/// The permits that one voter issues or passes on, and the limits that it knows.
#[derive(Debug)]
pub struct Issuer {
    ballot: Ballot,
    book: Book,
    clients: BTreeMap<Client, ClientState>,
    /// The book's stamp up to which each other voter was sent limits.
    peer_stamps: BTreeMap<name::Box, u64>,
    accounts: BTreeMap<name::Endpoint, Account>,
}

impl Issuer {
    /// Returns the issuer of a voter that knows no limits yet.
    pub fn new(own: name::Box) -> Self {
        Self {
            ballot: Ballot::new(own),
            book: Book::default(),
            clients: BTreeMap::new(),
            peer_stamps: BTreeMap::new(),
            accounts: BTreeMap::new(),
        }
    }

    /// Sets the number of voters.
    pub fn set_voters(&mut self, voters: usize) {
        self.ballot.set_voters(voters);
    }

    /// Handles a message from a box. `anew` means that the box has just started: it is sent all
    /// limits.
    pub fn handle_box(
        &mut self,
        from: &name::Box,
        anew: bool,
        message: Message,
        now: Duration,
    ) -> Answer {
        let client = Client::Box(from.clone());
        self.record_message(&client, message, now);
        let state = self.clients.entry(client.clone()).or_default();
        if anew {
            state.sent_stamp = 0;
        }
        let limits = self.book.updates(&mut state.sent_stamp, now);
        Answer {
            limits,
            issued: self.issue(&client, now),
            voters: Vec::new(),
        }
    }

    /// Handles a message from another voter, which asks on behalf of its boxes.
    pub fn handle_voter(&mut self, from: &name::Box, message: Message, now: Duration) -> Answer {
        let client = Client::Voter(from.clone());
        self.record_message(&client, message, now);
        let is_limited = self.book.all().next().is_some();
        let voters = is_limited.then(|| self.ballot.grant_vote(from, now));
        Answer {
            limits: Vec::new(),
            issued: self.issue(&client, now),
            voters: voters.unwrap_or_default(),
        }
    }

    /// Returns the message to another voter; `anew` if it is to have all limits.
    pub fn message_for(&mut self, peer: &name::Box, anew: bool, now: Duration) -> Message {
        self.ballot.update_candidates(now);
        let wanted = self.wanted_from(peer, now);
        let stamp = self.peer_stamps.entry(peer.clone()).or_default();
        if anew {
            *stamp = 0;
        }
        Message {
            limits: self.book.updates(stamp, now),
            wanted,
        }
    }

    /// Handles another voter's answer to such a message, or `None` if that voter issues no permits.
    pub fn handle_answer(
        &mut self,
        from: &name::Box,
        answer: Option<Answer>,
        asked: Duration,
        now: Duration,
    ) {
        let Some(answer) = answer else { return };
        self.ballot.record_votes(from, answer.voters, asked, now);
        for issued in answer.issued {
            let account = self.accounts.entry(issued.endpoint).or_default();
            account.stock.add(issued.count, asked + issued.remaining);
        }
    }

    /// Returns the known limits.
    pub fn book(&self) -> &Book {
        &self.book
    }

    fn record_message(&mut self, client: &Client, message: Message, now: Duration) {
        self.ballot.update_candidates(now);
        self.remove_silent(now);
        for row in &message.limits {
            self.book.merge(row, now);
        }
        let wants = message.wanted.iter().map(|wanted| wanted.endpoint.clone());
        let state = self.clients.entry(client.clone()).or_default();
        state.last_heard = now;
        let before = std::mem::replace(&mut state.wants, wants.collect());
        for endpoint in before.difference(&state.wants) {
            if let Some(account) = self.accounts.get_mut(endpoint) {
                account.set_want(client, 0);
            }
        }
        for wanted in message.wanted {
            let account = self.accounts.entry(wanted.endpoint).or_default();
            account.set_want(client, wanted.count.min(MAX_WANTED));
        }
    }

    fn issue(&mut self, client: &Client, now: Duration) -> Vec<Issued> {
        let wants = self.clients.get(client).map(|state| state.wants.clone());
        let mut all = Vec::new();
        for endpoint in wants.unwrap_or_default() {
            let Some(limit) = self.book.latest(&endpoint) else {
                continue;
            };
            let rate = self.ballot.rate(&endpoint, limit, now);
            let Some(account) = self.accounts.get_mut(&endpoint) else {
                continue;
            };
            account.refill(rate, now);
            let issued = account.issue(client, now).into_iter();
            all.extend(issued.map(|(until, count)| Issued {
                endpoint: endpoint.clone(),
                count,
                remaining: until.saturating_sub(now),
            }));
        }
        all
    }

    /// Returns the permits to request from `peer`: what the boxes here want of the endpoints whose
    /// issuer it is, less what is in stock.
    fn wanted_from(&self, peer: &name::Box, now: Duration) -> Vec<Wanted> {
        let mut all = Vec::new();
        for (endpoint, account) in &self.accounts {
            let wants = account.wants.iter().filter(|(client, _)| client.is_box());
            let wanted: u32 = wants.map(|(_, want)| want.count).sum();
            let count = wanted.saturating_sub(account.stock.count(now));
            if count == 0 || self.ballot.issuer_of(endpoint) != peer {
                continue;
            }
            all.push(Wanted {
                endpoint: endpoint.clone(),
                count,
            });
        }
        all
    }

    fn remove_silent(&mut self, now: Duration) {
        let silent = self.clients.iter();
        let silent = silent.filter(|(_, state)| state.last_heard + CLIENT_TIMEOUT < now);
        let silent: Vec<_> = silent.map(|(client, _)| client.clone()).collect();
        for client in silent {
            let wants = self.clients.remove(&client).map(|state| state.wants);
            for endpoint in wants.into_iter().flatten() {
                if let Some(account) = self.accounts.get_mut(&endpoint) {
                    account.set_want(&client, 0);
                }
            }
        }
        let book = &self.book;
        self.accounts
            .retain(|endpoint, _| book.latest(endpoint).is_some());
    }
}
