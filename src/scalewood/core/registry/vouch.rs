//! The processes that vouch that endpoints are alive.
//!
//! Once a second a voter vouches for all endpoints that it has reported, and it names those that
//! have fallen silent. So liveness costs no message per endpoint.

use std::{collections::BTreeMap, time::Duration};

use crate::core::name;

/// The most processes that may vouch to one receiver: several times as many as a deployment has
/// voters, and one bit each in `Vouchers`.
const MAX_VOUCHERS: usize = 128;

/// The set of processes that vouch for an endpoint, one bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Vouchers(u128);

impl Vouchers {
    pub(super) fn add(&mut self, by: Voucher) {
        self.0 |= 1 << by.0;
    }

    pub(super) fn remove(&mut self, by: Voucher) {
        self.0 &= !(1 << by.0);
    }

    pub(super) fn has(self, by: Voucher) -> bool {
        self.0 & (1 << by.0) != 0
    }

    fn indices(self) -> impl Iterator<Item = usize> {
        let mut remaining = self.0;
        std::iter::from_fn(move || {
            let at = (remaining != 0).then(|| remaining.trailing_zeros())?;
            remaining &= remaining - 1;
            usize::try_from(at).ok()
        })
    }
}

/// A process that vouches, as an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Voucher(u8);

/// When each process last vouched.
#[derive(Clone, Debug, Default)]
pub(super) struct Times {
    by_name: BTreeMap<name::Box, Voucher>,
    last: Vec<Duration>,
}

impl Times {
    /// Returns the index of a process, or `None` if there are too many.
    pub(super) fn voucher(&mut self, name: &name::Box) -> Option<Voucher> {
        if let Some(known) = self.by_name.get(name) {
            return Some(*known);
        }
        if self.last.len() >= MAX_VOUCHERS {
            return None;
        }
        let voucher = Voucher(u8::try_from(self.last.len()).ok()?);
        self.by_name.insert(name.clone(), voucher);
        self.last.push(Duration::ZERO);
        Some(voucher)
    }

    pub(super) fn note(&mut self, by: Voucher, now: Duration) {
        self.last[usize::from(by.0)] = now;
    }

    pub(super) fn of(&self, by: Voucher) -> Duration {
        self.last[usize::from(by.0)]
    }

    /// Returns the latest time at which any of the processes vouched.
    pub(super) fn latest(&self, vouchers: Vouchers) -> Duration {
        let times = vouchers.indices().map(|at| self.last[at]);
        times.max().unwrap_or_default()
    }
}
