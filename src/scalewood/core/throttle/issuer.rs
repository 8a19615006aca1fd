//! Issues permits for requests to endpoints that limit them.
//!
//! One voter issues an endpoint's permits, chosen by rendezvous among those that answer each
//! other. Boxes ask the voter that they share their loads with; it asks the issuing one with what
//! it tells it anyway.
//!
//! How much of a limit an issuer goes by, it is told by the votes of all voters ([`Ballot`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    ballot::Ballot,
    permit::{Issued, Stock, Wanted, LIFE},
    Book, Row,
};
use crate::core::name;

/// How long who wants permits may be silent: boxes ask twice a second at least.
const SILENCE: Duration = Duration::from_millis(1500);
/// Permits of one endpoint that one asks for at most, so that a wrong number costs little.
const MOST_WANTED: u32 = 256;
/// Permits that come together while nobody wants any.
const BURST: f64 = 2.0;
/// For how long, in seconds, they come together beyond that: as long as it takes until all that
/// want some have asked.
const GATHERING: f64 = 0.25;

/// What is told to one that issues permits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Limits that are new, changed or over.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<Row>,
    /// The permits that are wanted now, in place of what was wanted before.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub wanted: Vec<Wanted>,
}

impl News {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What one that issues permits answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Limits that are new, changed or over.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<Row>,
    /// The permits that are issued.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub issued: Vec<Issued>,
    /// The voters among which the one that answers chooses issuers, itself included, if it votes
    /// for the one that asks where that is the choice; empty if it does not.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub voters: Vec<name::Box>,
}

/// Who asks for permits.
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

/// What is known of who asks.
#[derive(Debug, Default)]
struct Asker {
    heard: Duration,
    /// Up to where it was told of limits.
    told: u64,
    /// The endpoints that it wants permits of.
    wants: BTreeSet<name::Endpoint>,
}

/// What one that asks wants of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Want {
    count: u32,
    /// What it got, by what it wanted: who has the least goes first.
    served: f64,
}

/// The permits of one endpoint at one voter.
#[derive(Debug, Default)]
struct Account {
    /// Whether this voter issues them.
    issues: bool,
    /// What has come together at a time that may be issued.
    level: f64,
    at: Duration,
    /// Permits of the voter that issues them.
    stock: Stock,
    wants: BTreeMap<Client, Want>,
}

impl Account {
    /// Lets come together what this voter may issue a second, nothing if it is not the one that
    /// does; one that takes over begins with nothing.
    fn refill(&mut self, rate: Option<f64>, now: Duration) {
        let begins = rate.is_some() && !self.issues;
        self.issues = rate.is_some();
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.level = match rate {
            Some(rate) if !begins => (self.level + passed * rate).min(BURST + GATHERING * rate),
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

    /// How many permits there are, of its own and of another voter's.
    fn available(&self, now: Duration) -> u32 {
        // The level is low, so the cast is exact.
        self.level as u32 + self.stock.count(now)
    }

    /// How many of the permits that there are belong to one that asks, by what all want.
    fn part_of(&self, client: &Client, now: Duration) -> u32 {
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
        let mut part = 0;
        for _ in 0..available {
            let open = wants.iter_mut().filter(|(_, want)| want.count > 0);
            let least = open.min_by(|a, b| a.1.served.total_cmp(&b.1.served));
            let Some((name, want)) = least else { break };
            want.served += 1.0 / f64::from(want.count);
            want.count -= 1;
            part += u32::from(*name == client);
        }
        part
    }

    /// Gives one that asks its part; until when how many permits hold.
    fn issue(&mut self, client: &Client, now: Duration) -> Vec<(Duration, u32)> {
        let part = self.part_of(client, now);
        if part == 0 {
            return Vec::new();
        }
        if let Some(want) = self.wants.get_mut(client) {
            want.served += f64::from(part) / f64::from(want.count);
            want.count -= part;
        }
        let mut issued = self.stock.take(part, now);
        let taken: u32 = issued.iter().map(|(_, count)| count).sum();
        let own = part - taken;
        if own > 0 {
            self.level -= f64::from(own);
            issued.push((now + LIFE, own));
        }
        issued
    }
}

/// The permits that one voter issues or passes on, and the limits that it knows of.
#[derive(Debug)]
pub struct Issuer {
    ballot: Ballot,
    book: Book,
    askers: BTreeMap<Client, Asker>,
    /// Up to where other voters were told of limits.
    told: BTreeMap<name::Box, u64>,
    accounts: BTreeMap<name::Endpoint, Account>,
}

impl Issuer {
    /// The issuer of a voter that knows of no limits.
    pub fn new(own: name::Box) -> Self {
        Self {
            ballot: Ballot::new(own),
            book: Book::default(),
            askers: BTreeMap::new(),
            told: BTreeMap::new(),
            accounts: BTreeMap::new(),
        }
    }

    /// Sets how many voters there are.
    pub fn set_voters(&mut self, voters: usize) {
        self.ballot.set_voters(voters);
    }

    /// Takes what a box tells and wants; it is told of all limits if it starts `anew`.
    pub fn ask(&mut self, from: &name::Box, anew: bool, told: News, now: Duration) -> Answer {
        let client = Client::Box(from.clone());
        self.take_news(&client, told, now);
        let asker = self.askers.entry(client.clone()).or_default();
        if anew {
            asker.told = 0;
        }
        let limits = self.book.news(&mut asker.told, now);
        Answer {
            limits,
            issued: self.issue(&client, now),
            voters: Vec::new(),
        }
    }

    /// Takes what another voter tells and wants for its boxes.
    pub fn ask_for(&mut self, from: &name::Box, told: News, now: Duration) -> Answer {
        let client = Client::Voter(from.clone());
        self.take_news(&client, told, now);
        let is_limited = self.book.all().next().is_some();
        let voters = is_limited.then(|| self.ballot.vote_for(from, now));
        Answer {
            limits: Vec::new(),
            issued: self.issue(&client, now),
            voters: voters.unwrap_or_default(),
        }
    }

    /// What another voter is told, all limits if it starts `anew`.
    pub fn news_for(&mut self, peer: &name::Box, anew: bool, now: Duration) -> News {
        self.ballot.choose(now);
        let wanted = self.wanted_of(peer, now);
        let told = self.told.entry(peer.clone()).or_default();
        if anew {
            *told = 0;
        }
        News {
            limits: self.book.news(told, now),
            wanted,
        }
    }

    /// Takes what another voter answers to that; one that issues no permits answers nothing.
    pub fn take(
        &mut self,
        from: &name::Box,
        answer: Option<Answer>,
        asked: Duration,
        now: Duration,
    ) {
        let Some(answer) = answer else { return };
        self.ballot.take(from, answer.voters, asked, now);
        for issued in answer.issued {
            let account = self.accounts.entry(issued.endpoint).or_default();
            account.stock.add(issued.count, asked + issued.left);
        }
    }

    /// The limits that are known.
    pub fn book(&self) -> &Book {
        &self.book
    }

    fn take_news(&mut self, client: &Client, told: News, now: Duration) {
        self.ballot.choose(now);
        self.forget_silent(now);
        for row in &told.limits {
            self.book.merge(row, now);
        }
        let wants = told.wanted.iter().map(|wanted| wanted.endpoint.clone());
        let asker = self.askers.entry(client.clone()).or_default();
        asker.heard = now;
        let before = std::mem::replace(&mut asker.wants, wants.collect());
        for endpoint in before.difference(&asker.wants) {
            if let Some(account) = self.accounts.get_mut(endpoint) {
                account.set_want(client, 0);
            }
        }
        for wanted in told.wanted {
            let account = self.accounts.entry(wanted.endpoint).or_default();
            account.set_want(client, wanted.count.min(MOST_WANTED));
        }
    }

    fn issue(&mut self, client: &Client, now: Duration) -> Vec<Issued> {
        let wants = self.askers.get(client).map(|asker| asker.wants.clone());
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
                left: until.saturating_sub(now),
            }));
        }
        all
    }

    /// What the boxes here want of the endpoints whose permits another voter issues.
    fn wanted_of(&self, peer: &name::Box, now: Duration) -> Vec<Wanted> {
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

    fn forget_silent(&mut self, now: Duration) {
        let silent = self.askers.iter();
        let silent = silent.filter(|(_, asker)| asker.heard + SILENCE < now);
        let silent: Vec<_> = silent.map(|(client, _)| client.clone()).collect();
        for client in silent {
            let wants = self.askers.remove(&client).map(|asker| asker.wants);
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
