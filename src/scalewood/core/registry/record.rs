//! What endpoints say of themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::{name, unit, warm_up};

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

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name; a new one at each start.
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
