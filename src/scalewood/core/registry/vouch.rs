//! Who vouches for endpoints.
//!
//! A voter says once a second that all endpoints are alive that it has told of, and names those
//! that fell silent. So what is said of life costs nothing for each endpoint.

use std::{collections::BTreeMap, time::Duration};

use crate::core::name;

/// The most processes that may vouch at one: several times as many as a deployment has voters.
const MAX: usize = 128;

/// Those who vouch for an endpoint, a bit each.
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

    fn each(self) -> impl Iterator<Item = usize> {
        let mut left = self.0;
        std::iter::from_fn(move || {
            let at = (left != 0).then(|| left.trailing_zeros())?;
            left &= left - 1;
            usize::try_from(at).ok()
        })
    }
}

/// A process that vouches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Voucher(u8);

/// When each of them vouched last.
#[derive(Clone, Debug, Default)]
pub(super) struct Times {
    places: BTreeMap<name::Box, Voucher>,
    last: Vec<Duration>,
}

impl Times {
    /// The process of a name; nothing if there are too many.
    pub(super) fn voucher(&mut self, name: &name::Box) -> Option<Voucher> {
        if let Some(known) = self.places.get(name) {
            return Some(*known);
        }
        if self.last.len() >= MAX {
            return None;
        }
        let voucher = Voucher(u8::try_from(self.last.len()).ok()?);
        self.places.insert(name.clone(), voucher);
        self.last.push(Duration::ZERO);
        Some(voucher)
    }

    pub(super) fn note(&mut self, by: Voucher, now: Duration) {
        self.last[usize::from(by.0)] = now;
    }

    pub(super) fn of(&self, by: Voucher) -> Duration {
        self.last[usize::from(by.0)]
    }

    /// When any of some vouched last.
    pub(super) fn latest(&self, vouchers: Vouchers) -> Duration {
        let times = vouchers.each().map(|at| self.last[at]);
        times.max().unwrap_or_default()
    }
}
