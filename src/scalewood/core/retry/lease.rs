//! Capacity of retry budgets, lent by voters to boxes.
//!
//! Each voter lends an equal part of what all may lend, so voters need not agree, and each side of a
//! cut lends no more than the parts of its voters. A box counts a lease from when it asked, the voter
//! from when it answered, which is later. So capacity that is free again at the voter has expired at
//! the box too, however long messages took.
//!
//! A voter that has just started does not know what it lent before. It extends the leases that boxes still
//! hold, and lends nothing new until all others have expired. It does the same after a change of the
//! number of voters, since the other voters may not know the new number yet.
//!
//! Capacity comes empty, as the box that had it before may have used it just now. Only a voter whose data is
//! new has lent none before; what it lends first is full, so that a new system can retry from the start.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::{name, rendezvous};

/// How long a lease is valid, counted by the box from when it asked: long enough to outlast the restart of
/// a voter, and short enough that other boxes soon get the capacity of one that has ended.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);
/// How much longer the voter counts a lease as valid, since clocks run at different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(20);

/// How long a new voter waits for other boxes to ask, so that each gets its share of the capacity
/// that is full.
const GATHERING: Duration = Duration::from_millis(150);

/// A number of retries that a budget may hold, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Capacity(u32);

impl Capacity {
    /// One whole retry; a budget that holds less can never retry.
    const ONE: Self = Self(1000);

    /// Returns the number of retries.
    pub fn get(self) -> f64 {
        f64::from(self.0) / f64::from(Self::ONE.0)
    }

    /// Returns an equal part among `parts`.
    fn part(self, parts: usize) -> Self {
        let parts = u32::try_from(parts.max(1)).unwrap_or(u32::MAX);
        Self(self.0 / parts)
    }

    fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<f64> for Capacity {
    /// Rounds down; what is not in range becomes the nearest number that is.
    fn from(retries: f64) -> Self {
        Self((retries * f64::from(Self::ONE.0)) as u32)
    }
}

/// Capacity that a box holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    pub(super) number: u64,
    pub(super) amount: Capacity,
    pub(super) until: Duration,
}

impl Lease {
    pub(super) fn is_valid(&self, now: Duration) -> bool {
        now < self.until
    }
}

/// What a box tells a voter about a service that it dispatches. Serialized as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WantRow", into = "WantRow")]
pub struct Want {
    /// The service.
    pub service: name::Service,
    /// The capacity that all voters together may lend, by the box's settings.
    pub lendable: Capacity,
    /// The number of the last lease that the box received from this voter, 0 if it holds none.
    pub number: u64,
    /// The capacity of that lease.
    pub held: Capacity,
    /// How much longer it is valid.
    pub remaining: Duration,
}

/// Service, lendable, number, held, remaining validity in milliseconds.
type WantRow = (name::Service, Capacity, u64, Capacity, u64);

impl From<WantRow> for Want {
    fn from((service, lendable, number, held, remaining_ms): WantRow) -> Self {
        Self {
            service,
            lendable,
            number,
            held,
            remaining: Duration::from_millis(remaining_ms),
        }
    }
}

impl From<Want> for WantRow {
    fn from(want: Want) -> Self {
        let remaining_ms = u64::try_from(want.remaining.as_millis()).unwrap_or(u64::MAX);
        (
            want.service,
            want.lendable,
            want.number,
            want.held,
            remaining_ms,
        )
    }
}

/// Capacity that a voter lends for [`LEASE_DURATION`]. Serialized as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LentRow", into = "LentRow")]
pub struct Lent {
    /// The service.
    pub service: name::Service,
    /// The number of the lease; it replaces those with lower numbers.
    pub number: u64,
    /// The capacity.
    pub amount: Capacity,
    /// The part of it that is full; the box adds these retries to its budget.
    pub filled: Capacity,
}

/// Service, number, amount, filled.
type LentRow = (name::Service, u64, Capacity, Capacity);

impl From<LentRow> for Lent {
    fn from((service, number, amount, filled): LentRow) -> Self {
        Self {
            service,
            number,
            amount,
            filled,
        }
    }
}

impl From<Lent> for LentRow {
    fn from(lent: Lent) -> Self {
        (lent.service, lent.number, lent.amount, lent.filled)
    }
}

/// The leases of one box for one service.
#[derive(Debug, Default)]
struct Account {
    /// The lease that the box holds, as far as it has said so, and all later ones: it may hold any.
    leases: VecDeque<Lease>,
    last_number: u64,
    asked_at: Duration,
}

impl Account {
    /// Records what the box holds.
    fn record(&mut self, want: &Want, now: Duration) {
        self.asked_at = now;
        self.leases.retain(|lease| lease.is_valid(now));
        if want.number > self.last_number {
            // Lent before this voter's process started.
            self.last_number = want.number;
            self.leases.push_back(Lease {
                number: want.number,
                amount: want.held,
                until: now + want.remaining.min(LEASE_DURATION) + CLOCK_MARGIN,
            });
        }
        self.leases.retain(|lease| lease.number >= want.number);
    }

    /// Returns the most that the box may hold.
    fn held(&self, now: Duration) -> Capacity {
        let valid = self.leases.iter().filter(|lease| lease.is_valid(now));
        valid.map(|lease| lease.amount).max().unwrap_or_default()
    }

    /// Returns whether the box wants capacity.
    fn is_used(&self, now: Duration) -> bool {
        now < self.asked_at + LEASE_DURATION
    }

    fn lend(&mut self, amount: Capacity, now: Duration) -> u64 {
        self.last_number += 1;
        self.leases.push_back(Lease {
            number: self.last_number,
            amount,
            until: now + LEASE_DURATION + CLOCK_MARGIN,
        });
        self.last_number
    }
}

/// The capacity that a voter lends for one service.
#[derive(Debug)]
struct Pool {
    accounts: BTreeMap<name::Box, Account>,
    /// When a box asked first.
    since: Duration,
    /// The retries that capacity holds which was never lent.
    filled: Capacity,
}

/// The capacity that one voter lends.
#[derive(Debug)]
pub struct Lender {
    voters: usize,
    /// This voter's position among all voters.
    position: usize,
    /// Until when leases of an earlier process, or lent while there was another number of voters, may be
    /// valid.
    unknown_until: Duration,
    /// Whether no process of this voter has lent capacity before.
    is_new: bool,
    pools: BTreeMap<name::Service, Pool>,
}

impl Lender {
    /// Returns the state of a voter that starts again now.
    pub fn new(now: Duration) -> Self {
        Self {
            voters: 1,
            position: 0,
            unknown_until: now + LEASE_DURATION + CLOCK_MARGIN,
            is_new: false,
            pools: BTreeMap::new(),
        }
    }

    /// Returns the state of a voter that starts for the first time.
    pub fn with_new_data() -> Self {
        Self {
            unknown_until: Duration::ZERO,
            is_new: true,
            ..Self::new(Duration::ZERO)
        }
    }

    /// Sets the number of voters.
    pub fn set_voters(&mut self, voters: usize, now: Duration) {
        if self.voters == voters {
            return;
        }
        self.voters = voters;
        // Nothing was lent while there was another number.
        if !self.pools.is_empty() {
            self.unknown_until = now + LEASE_DURATION + CLOCK_MARGIN;
        }
    }

    /// Sets this voter's position among all voters, from 0 on. It decides which boxes it serves where there are more
    /// of them than retries.
    pub fn set_position(&mut self, position: usize) {
        self.position = position;
    }

    /// Lends a box capacity for the services that it wants it for. Services for which it neither holds
    /// nor gets any are left out.
    pub fn lend(&mut self, to: &name::Box, wants: &[Want], now: Duration) -> Vec<Lent> {
        let lent = wants.iter().filter_map(|want| self.lend_one(to, want, now));
        let lent = lent.collect();
        self.forget_unused(now);
        lent
    }

    fn lend_one(&mut self, to: &name::Box, want: &Want, now: Duration) -> Option<Lent> {
        let lendable = want.lendable.part(self.voters);
        let filled = if self.is_new {
            lendable
        } else {
            Capacity::default()
        };
        let pool = self.pools.entry(want.service.clone());
        let pool = pool.or_insert_with(|| Pool {
            accounts: BTreeMap::new(),
            since: now,
            filled,
        });
        let account = pool.accounts.entry(to.clone()).or_default();
        account.record(want, now);
        let held = account.held(now);
        let mut amount = pool.amount_for(to, &want.service, (lendable, self.position), now);
        let is_early = self.is_new && now < pool.since + GATHERING;
        if is_early || now < self.unknown_until {
            amount = amount.min(held);
        }
        if amount < Capacity::ONE {
            amount = Capacity::default();
        }
        if amount == held && held == Capacity::default() {
            return None;
        }
        let filled = amount.saturating_sub(held).min(pool.filled);
        pool.filled = pool.filled.saturating_sub(filled);
        Some(Lent {
            service: want.service.clone(),
            number: pool.accounts.get_mut(to)?.lend(amount, now),
            amount,
            filled,
        })
    }

    /// Returns the capacity that is lent for a service at the moment.
    pub fn lent(&self, service: &name::Service, now: Duration) -> Capacity {
        let pool = self.pools.get(service);
        let accounts = pool.into_iter().flat_map(|pool| pool.accounts.values());
        Capacity(accounts.map(|account| account.held(now).0).sum())
    }

    fn forget_unused(&mut self, now: Duration) {
        for pool in self.pools.values_mut() {
            pool.accounts.retain(|_, account| {
                account.is_used(now) || account.held(now) > Capacity::default()
            });
        }
    }
}

impl Pool {
    /// Returns the capacity that a box may have: its share, as far as no other box may hold it.
    fn amount_for(
        &self,
        to: &name::Box,
        service: &name::Service,
        (lendable, position): (Capacity, usize),
        now: Duration,
    ) -> Capacity {
        let others = self.accounts.iter().filter(|(name, _)| *name != to);
        let lent = Capacity(others.map(|(_, account)| account.held(now).0).sum());
        let share = share((lendable, position), to, service, &self.accounts, now);
        share.min(lendable.saturating_sub(lent))
    }
}

/// Returns a box's share of the capacity that the voter at a position lends. Where an equal share is less than one
/// retry, some boxes get a whole one and the others none: each voter goes on with the boxes where the one before it
/// ends.
fn share(
    (pool, position): (Capacity, usize),
    of: &name::Box,
    service: &name::Service,
    accounts: &BTreeMap<name::Box, Account>,
    now: Duration,
) -> Capacity {
    let boxes = accounts.iter().filter(|(_, account)| account.is_used(now));
    let boxes: Vec<_> = boxes.map(|(name, _)| name).collect();
    let equal = pool.part(boxes.len());
    if equal >= Capacity::ONE {
        return equal;
    }
    let rank = |name: &name::Box| rendezvous::hash(&[service.as_str(), name.as_str()]);
    let own = rank(of);
    let before = boxes.iter().filter(|name| rank(name) < own).count();
    let served = (pool.0 / Capacity::ONE.0) as usize;
    let first = position * served % boxes.len();
    if (before + boxes.len() - first) % boxes.len() < served {
        Capacity::ONE
    } else {
        Capacity::default()
    }
}
