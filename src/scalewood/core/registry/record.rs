//! What endpoints say of themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::{
    name,
    registry::{self, Reason, Refusal},
    unit, warm_up,
};

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes work.
    Ready,
    /// It is about to go and takes no new work.
    Leaving,
    /// It has gone.
    Gone,
}

/// A start of an endpoint that said in an answer that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The endpoint.
    #[serde(rename = "n")]
    pub name: name::Endpoint,
    /// Which start of it.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub start: registry::Start,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name. A new start has a new one, or a higher incarnation.
    pub name: name::Endpoint,
    /// The service that it serves.
    pub service: name::Service,
    /// Where it stands.
    pub zone: name::Zone,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: unit::Slots,
    /// Whether it takes new work.
    pub state: State,
    /// Rises with each heartbeat.
    pub sequence: u64,
    /// Whether it is paid for as one that may be taken away.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub interruptible: bool,
    /// Which start of it this is, if it tells: a later start has a higher number. Numbers of
    /// one endpoint are compared with each other only, never with a clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<unit::Incarnation>,
    /// How much longer it warms up, if it tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<warm_up::Left>,
}

/// The most slots that an endpoint can have: some hundred times as many as model servers run at
/// once. One that tells more would draw all requests.
const MAX_SLOTS: unit::Slots = unit::Slots(16_384);

impl Record {
    /// Checks what the fields' types leave open.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be one of an endpoint that is to be used.
    pub fn check(&self) -> Result<(), Refusal> {
        let out = |why: String| Err(Refusal::new(Reason::OutOfRange, why));
        if self.slots < unit::Slots(1) || self.slots > MAX_SLOTS {
            return out(format!(
                "it tells {} slots, of 1 to {MAX_SLOTS}",
                self.slots
            ));
        }
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return out(format!("nothing can be sent to {}", self.address));
        }
        Ok(())
    }

    /// What makes it later than another record of the same endpoint: first the start, then the
    /// heartbeat. Two that say different things under one number come from two writers; the rest
    /// of the rank makes all who hear both keep the same one.
    pub(super) fn rank(&self) -> impl Ord + '_ {
        let heartbeat = (self.incarnation, self.sequence, self.state);
        let place = (&self.address, &self.zone, &self.service);
        (heartbeat, place, self.slots, self.interruptible)
    }

    /// Whether it differs from another one in nothing that others have to know.
    pub(super) fn says_the_same(&self, other: &Self) -> bool {
        let same = Self {
            sequence: self.sequence,
            warm_up: self.warm_up,
            ..other.clone()
        };
        same == *self
    }
}
