//! The retries that one box may send to a service.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use super::{lease::Lease, Allowance, Capacity, Lent, Want, LEASE_DURATION};
use crate::core::name;

/// The time for which a budget without lent capacity holds what requests have earned.
const EARNED_KEPT: Duration = Duration::from_secs(1);

/// How old a lease is when a new one is asked for.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// The place of a request among those that wait for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place(u64);

/// The retries that a service has left at one box.
///
/// A retry is reserved when it is decided, and counts against the capacity until it has been sent: a
/// request may wait for a slot in between, and what is sent after the wait must not exceed what the
/// budget could have held.
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    available: f64,
    reserved: u32,
    /// Until when the lent capacity has filled the budget.
    filled_at: Duration,
    /// When the requests of the last [`EARNED_KEPT`] arrived.
    recent: VecDeque<Duration>,
    /// The capacity lent by each voter.
    leases: BTreeMap<SocketAddr, Lease>,
    /// The requests that wait for a retry.
    waiting: BTreeSet<Place>,
    next_place: Place,
}

impl Budget {
    /// Creates an empty budget.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            available: 0.0,
            reserved: 0,
            filled_at: Duration::ZERO,
            recent: VecDeque::new(),
            leases: BTreeMap::new(),
            waiting: BTreeSet::new(),
            next_place: Place(0),
        }
    }

    /// Returns the most retries that the budget holds now, those reserved included.
    pub fn capacity(&mut self, now: Duration) -> f64 {
        self.update(now);
        self.held_capacity()
    }

    /// Returns the capacity, which was last updated by [`Budget::update`].
    fn held_capacity(&self) -> f64 {
        let lent: f64 = self.leases.values().map(|lease| lease.amount.get()).sum();
        // A box gets far fewer than 2^52 requests in a second, so the cast is exact.
        let recent = self.recent.len() as f64 * self.allowance.earned_per_request();
        lent.max(recent)
    }

    /// Returns the retries left.
    pub fn available(&mut self, now: Duration) -> f64 {
        self.update(now);
        self.available
    }

    /// Returns whether a retry is left.
    pub fn has_any(&mut self, now: Duration) -> bool {
        self.available(now) >= 1.0
    }

    /// Records a request that arrived from its caller.
    pub fn earn(&mut self, now: Duration) {
        self.update(now);
        self.recent.push_back(now);
        self.available += self.allowance.earned_per_request();
        self.trim();
    }

    /// Reserves a retry; returns false if none is left. Each one is followed by
    /// [`Budget::spend`] or [`Budget::give_back`].
    #[must_use]
    pub fn reserve(&mut self, now: Duration) -> bool {
        if !self.has_any(now) {
            return false;
        }
        self.available -= 1.0;
        self.reserved += 1;
        true
    }

    /// Lets a request wait for a retry, behind all that wait already. Followed by [`Budget::leave`].
    #[must_use]
    pub fn join(&mut self) -> Place {
        let place = self.next_place;
        self.next_place = Place(place.0 + 1);
        self.waiting.insert(place);
        place
    }

    /// Ends the wait of a request.
    pub fn leave(&mut self, place: Place) {
        self.waiting.remove(&place);
    }

    /// Returns whether no other request has waited longer than the one at a place, or waits at all if it has none.
    pub fn is_next(&self, place: Option<Place>) -> bool {
        self.waiting.first().copied().or(place) == place
    }

    /// Records that a reserved retry was sent.
    pub fn spend(&mut self) {
        self.reserved -= 1;
    }

    /// Returns a reserved retry that was not sent.
    pub fn give_back(&mut self, now: Duration) {
        self.update(now);
        self.reserved -= 1;
        self.available += 1.0;
        self.trim();
    }

    /// Returns whether it is time to ask a voter for capacity: it has lent none, or some time ago.
    pub fn needs_lease(&self, voter: SocketAddr, now: Duration) -> bool {
        let lease = self.leases.get(&voter);
        lease.is_none_or(|lease| now + LEASE_DURATION >= lease.until + RENEWAL_INTERVAL)
    }

    /// Returns what this box tells a voter to get or keep capacity.
    pub fn want(&self, service: &name::Service, voter: SocketAddr, now: Duration) -> Want {
        let lease = self.leases.get(&voter);
        let lease = lease.filter(|lease| lease.is_valid(now));
        Want {
            service: service.clone(),
            lendable: Capacity::from(self.allowance.lendable()),
            number: lease.map_or(0, |lease| lease.number),
            held: lease.map_or(Capacity::default(), |lease| lease.amount),
            remaining: lease.map_or(Duration::ZERO, |lease| lease.until.saturating_sub(now)),
        }
    }

    /// Takes over the capacity that a voter lends since this box asked at `asked_at`, in place of what it
    /// lent before.
    pub fn lend(&mut self, voter: SocketAddr, lent: &Lent, asked_at: Duration, now: Duration) {
        self.update(now);
        let held = self.leases.get(&voter);
        let held = held.filter(|lease| lease.is_valid(asked_at));
        if held.is_none_or(|lease| lease.number < lent.number) {
            let lease = Lease {
                number: lent.number,
                amount: lent.amount,
                until: asked_at + LEASE_DURATION,
            };
            self.leases.insert(voter, lease);
            self.available += lent.filled.get();
            self.trim();
        }
    }

    /// Fills the budget from the leases, drops those that have expired, and what exceeds the capacity.
    fn update(&mut self, now: Duration) {
        for lease in self.leases.values() {
            let valid = now.min(lease.until).saturating_sub(self.filled_at);
            self.available += lease.amount.get() * self.allowance.filled(valid);
        }
        self.filled_at = now;
        self.leases.retain(|_, lease| lease.is_valid(now));
        while self
            .recent
            .front()
            .is_some_and(|at| now >= *at + EARNED_KEPT)
        {
            self.recent.pop_front();
        }
        self.trim();
    }

    /// Drops what exceeds the capacity.
    fn trim(&mut self) {
        let room = self.held_capacity() - f64::from(self.reserved);
        self.available = self.available.min(room.max(0.0));
    }
}
