//! The records that endpoints announce.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::{
    build, name,
    registry::{self, Reason, Refusal},
    unit, warm_up,
};

/// An endpoint's state in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes new work.
    Ready,
    /// It is shutting down and takes no new work.
    Leaving,
    /// It has shut down.
    Gone,
}

/// A start of an endpoint that announced in a response that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The endpoint.
    #[serde(rename = "n")]
    pub name: name::Endpoint,
    /// The start, by its incarnation.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub start: registry::Start,
}

/// An endpoint's announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name. After a restart it has a new name or a higher incarnation.
    pub name: name::Endpoint,
    /// The service that it serves.
    pub service: name::Service,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// The most requests that it runs at once.
    pub slots: unit::Slots,
    /// Whether it takes new work.
    pub state: State,
    /// A number that rises with each heartbeat.
    pub sequence: u64,
    /// Whether it runs on interruptible (spot) capacity that the provider may take away.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub interruptible: bool,
    /// The incarnation, if it reports one: a later start has a higher number. Numbers of one
    /// endpoint are only compared with each other, never with a clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<unit::Incarnation>,
    /// How much longer it warms up, if it reports that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<warm_up::Remaining>,
    /// The build of its software.
    #[serde(default, skip_serializing_if = "build::Build::is_unstated")]
    pub build: build::Build,
}

/// The most slots that an endpoint may have: some hundred times as many as model servers run at
/// once. An endpoint that announces more would attract all requests.
const MAX_SLOTS: unit::Slots = unit::Slots(16_384);

impl Record {
    /// Checks the constraints that the types of the fields don't express.
    ///
    /// # Errors
    ///
    /// Fails if the value of a field can't belong to a usable endpoint.
    pub fn check(&self) -> Result<(), Refusal> {
        let out_of_range = |why: String| Err(Refusal::new(Reason::OutOfRange, why));
        if self.slots < unit::Slots(1) || self.slots > MAX_SLOTS {
            return out_of_range(format!(
                "slots is {}, must be from 1 to {MAX_SLOTS}",
                self.slots
            ));
        }
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return out_of_range(format!("address {} can't be sent to", self.address));
        }
        Ok(())
    }

    /// Returns the sort key by which the latest of an endpoint's records is found: first the
    /// start, then the heartbeat. Two records with different content and the same sequence number
    /// come from two senders; the rest of the key makes every process that receives both keep the
    /// same one.
    pub(super) fn rank(&self) -> impl Ord + '_ {
        let heartbeat = (self.incarnation, self.sequence, self.state);
        let location = (&self.address, &self.zone, &self.service);
        (
            heartbeat,
            location,
            self.slots,
            self.interruptible,
            &self.build,
        )
    }

    /// Returns whether both records agree in everything that other processes have to know.
    pub(super) fn has_same_content(&self, other: &Self) -> bool {
        let same = Self {
            sequence: self.sequence,
            warm_up: self.warm_up,
            ..other.clone()
        };
        same == *self
    }
}
