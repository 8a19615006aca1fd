//! How a service's endpoints process prompts, as measured by all boxes.
//!
//! Predicted waits follow from the rate at which prompts are processed, and from whether more
//! urgent ones are processed first. A box of many serves few requests, so it would predict by its
//! initial assumptions for minutes, and refuse requests that have room or accept some that have
//! none. So hubs add up the measurements of all boxes.

use std::{collections::BTreeMap, ops::AddAssign};

use serde::{Deserialize, Serialize};

use crate::core::name;

/// The measured time above which the rate's sums are halved: enough that the rate varies little,
/// and little enough that it follows a change.
const MAX_MILLIS: u32 = 20_000;
/// The less urgent tokens above which the order's sums are halved.
const MAX_LESS_URGENT: u64 = 4_000_000;
/// The least measured time, and the fewest less urgent tokens, with which estimates are sent.
const MIN_MILLIS: u32 = 1_000;
const MIN_LESS_URGENT: u64 = 20_000;
/// The change of a rate, in percent, from which on it is sent again.
const MIN_RATE_CHANGE_PERCENT: u64 = 5;
/// The change of the fraction processed first, in thousandths, from which on it is sent again.
const MIN_ORDER_CHANGE: u64 = 20;

/// Sums of measurements, with older ones weighted less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Measured {
    /// The time in which prompts were processed, in milliseconds.
    pub millis: u32,
    /// The tokens that were processed in that time.
    pub tokens: u64,
    /// The less urgent tokens that were pending when prompts arrived.
    pub less_urgent: u64,
    /// Those of them that were processed before these prompts.
    pub processed_first: u64,
}

impl AddAssign for Measured {
    fn add_assign(&mut self, other: Self) {
        self.millis = self.millis.saturating_add(other.millis);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.less_urgent = self.less_urgent.saturating_add(other.less_urgent);
        self.processed_first = self.processed_first.saturating_add(other.processed_first);
    }
}

impl Measured {
    /// Returns the rate in tokens per second, if enough was measured.
    pub fn rate(&self) -> Option<u64> {
        let rate = self.tokens.saturating_mul(1000) / u64::from(self.millis.max(1));
        (self.millis >= MIN_MILLIS && rate > 0).then_some(rate)
    }

    /// Returns the fraction of less urgent tokens that is processed first, in thousandths, if
    /// enough was measured.
    pub fn order(&self) -> Option<u64> {
        let fraction = self.processed_first.saturating_mul(1000) / self.less_urgent.max(1);
        (self.less_urgent >= MIN_LESS_URGENT).then_some(fraction)
    }

    /// Halves the sums that have grown large.
    fn shrink(&mut self) {
        if self.millis > MAX_MILLIS {
            self.millis /= 2;
            self.tokens /= 2;
        }
        if self.less_urgent > MAX_LESS_URGENT {
            self.less_urgent /= 2;
            self.processed_first /= 2;
        }
    }

    /// Returns whether the estimates differ enough from those that were last sent.
    fn differs_from(&self, sent: &Self) -> bool {
        let rate_differs = match (self.rate(), sent.rate()) {
            (Some(rate), Some(sent)) => rate.abs_diff(sent) * 100 >= sent * MIN_RATE_CHANGE_PERCENT,
            (rate, _) => rate.is_some(),
        };
        let order_differs = match (self.order(), sent.order()) {
            (Some(order), Some(sent)) => order.abs_diff(sent) >= MIN_ORDER_CHANGE,
            (order, _) => order.is_some(),
        };
        rate_differs || order_differs
    }
}

/// What was measured at a service's endpoints. Serialized as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PrefillRow", into = "PrefillRow")]
pub struct Prefill {
    /// The service.
    pub service: name::Service,
    /// The sums.
    pub measured: Measured,
}

/// Service, milliseconds, tokens, less urgent tokens, those processed first.
type PrefillRow = (name::Service, u32, u64, u64, u64);

impl From<PrefillRow> for Prefill {
    fn from((service, millis, tokens, less_urgent, processed_first): PrefillRow) -> Self {
        let measured = Measured {
            millis,
            tokens,
            less_urgent,
            processed_first,
        };
        Self { service, measured }
    }
}

impl From<Prefill> for PrefillRow {
    fn from(Prefill { service, measured }: Prefill) -> Self {
        (
            service,
            measured.millis,
            measured.tokens,
            measured.less_urgent,
            measured.processed_first,
        )
    }
}

/// Sums by service.
#[derive(Debug, Default)]
pub(super) struct Prefills(BTreeMap<name::Service, Measured>);

impl Prefills {
    /// Adds measurements.
    pub(super) fn add(&mut self, rows: &[Prefill]) {
        for row in rows {
            let sums = self.0.entry(row.service.clone()).or_default();
            *sums += row.measured;
            sums.shrink();
        }
    }

    /// Returns all sums and clears them.
    pub(super) fn take(&mut self) -> Vec<Prefill> {
        let sums = std::mem::take(&mut self.0).into_iter();
        sums.map(|(service, measured)| Prefill { service, measured })
            .collect()
    }

    /// Returns the services whose estimates differ enough from those last sent, and records them in
    /// `sent`.
    pub(super) fn updates(&self, sent: &mut Self) -> Vec<Prefill> {
        let mut updates = Vec::new();
        for (service, measured) in &self.0 {
            let known = sent.0.entry(service.clone()).or_default();
            if measured.differs_from(known) {
                *known = *measured;
                let service = service.clone();
                updates.push(Prefill {
                    service,
                    measured: *measured,
                });
            }
        }
        updates
    }
}
