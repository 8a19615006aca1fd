//! The messages between entry boxes and the dispatcher.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::{attempt, backoff, build, name, residency, unit};

pub use crate::core::prompt::{PlacementKey, Prefix};

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The attempt that needs the slot.
    pub attempt: attempt::Attempt,
    /// The class that the request is served as.
    pub class: name::Class,
    /// The tier of that class.
    pub tier: unit::Tier,
    /// The time since the caller's request arrived. It is an age and no timestamp, since the
    /// boxes' clocks differ.
    pub age: Duration,
    /// The time from arrival within which the first token is due.
    pub target: Duration,
    /// The time from arrival after which the request is shed.
    pub deadline: Duration,
    /// The time from arrival after which the caller leaves if it has no first token, if that is
    /// known to be before the deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patience: Option<Duration>,
    /// Whether the request is likely a retry of one that was refused before.
    #[serde(
        rename = "returned",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub is_client_retry: bool,
    /// The estimated size of the prompt.
    pub prompt: unit::Tokens,
    /// Tokens that earlier attempts have delivered.
    pub delivered: unit::Tokens,
    /// The prompt's prefix, if the class benefits from an engine's prefix cache.
    pub prefix: Option<Prefix>,
    /// What decides the prompt's placement, if endpoints cache prefixes that prompts share.
    #[serde(rename = "placed", default, skip_serializing_if = "Option::is_none")]
    pub placement_key: Option<PlacementKey>,
    /// The regions in which the request may be served.
    #[serde(default, skip_serializing_if = "residency::Allowed::is_everywhere")]
    pub allowed: residency::Allowed,
    /// The build at which the request may run, if it goes on with a stream that this build began.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub build: Option<build::Build>,
    /// Whether the run can be interrupted and resumed.
    pub preemptible: bool,
    /// How often the request has been preempted.
    pub preempted: u32,
    /// Whether the request goes on at another endpoint meanwhile, so that refusing this attempt loses
    /// nothing.
    #[serde(rename = "hedged", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_hedge: bool,
    /// The endpoint that the last attempt failed at, or that is silent.
    pub avoid: Option<name::Endpoint>,
    /// How long the run will hold its slot, if that is known in advance.
    pub hold: Option<Duration>,
    /// The endpoints that asked this box for a backoff (`Retry-After`), if the dispatcher may not
    /// know of it yet. It only saves grants that the box would give back: a dispatcher may
    /// ignore it.
    #[serde(rename = "rests", default, skip_serializing_if = "Vec::is_empty")]
    pub backoffs: Vec<backoff::Notice>,
}

/// A run that an entry box holds, announced to a new dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// The request for the slot.
    pub ask: Ask,
    /// The endpoint that serves the run.
    pub endpoint: name::Endpoint,
    /// Tokens that this attempt has delivered.
    pub tokens: unit::Tokens,
    /// The time since the slot was granted.
    #[serde(rename = "held")]
    pub held_for: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The whole answer was delivered.
    Done,
    /// The caller disconnected.
    Cancelled,
    /// The run was preempted.
    Preempted,
    /// The endpoint refused the request without processing it.
    Refused,
    /// The endpoint could not be reached.
    Unreachable,
    /// Another endpoint answered at its address, so this one is gone.
    Mistaken,
    /// The connection or the stream broke.
    Broken,
    /// The endpoint sent nothing for too long.
    Silent,
    /// The grant came too late to be used.
    Unused,
}

impl Ask {
    /// Returns whether the caller may retry after a delay if the request is refused now: it has
    /// not been refused before, it was not sent to any endpoint, and the caller waits that long.
    pub fn client_may_retry(&self, after: Duration) -> bool {
        let is_first = self.attempt.number == 0 && !self.is_client_retry;
        is_first && self.age + after < self.patience.unwrap_or(self.deadline)
    }

    /// Returns how long the caller still waits for a first token.
    pub(super) fn remaining(&self) -> Duration {
        self.patience
            .unwrap_or(self.deadline)
            .saturating_sub(self.age)
    }

    /// Restarts the caller's patience now, since it has received a part of its answer. If the
    /// patience still ran from the arrival, a stream that could continue at another endpoint
    /// would be refused as too late.
    pub fn renew_patience(&mut self, patience: Option<Duration>) {
        self.patience = patience.map(|patience| patience + self.age);
    }
}

/// What an entry box reports to the dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
    /// Everything that the box reported before is void; its current state follows.
    Hello,
    /// The box has reported its whole current state.
    Announced,
    /// The box requests a slot.
    Ask(Ask),
    /// The attempt no longer waits for a slot.
    Withdraw(attempt::Attempt),
    /// The attempt uses its grant.
    Started(attempt::Attempt),
    /// The first token arrived, or the first one after `Paused`.
    First(attempt::Attempt),
    /// The stream has paused for longer than its class allows. `First` follows when it goes on, which may
    /// already be the case.
    Paused(attempt::Attempt),
    /// The tokens that the attempt has delivered so far.
    Progress(attempt::Attempt, unit::Tokens),
    /// The attempt ended and its slot is free; with the tokens delivered.
    End(attempt::Attempt, End, unit::Tokens),
    /// The box holds a run that another dispatcher granted.
    Held(Held),
}

/// Why a request is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It would wait, or has waited, past its deadline.
    Deadline,
    /// The queue is full.
    Full,
    /// The service has no endpoint here.
    NoEndpoint,
    /// All endpoints of the service are in cordoned zones.
    Cordoned,
    /// All endpoints of the service are outside the regions in which the request may be served.
    Residency,
    /// No endpoint is of the build that began the stream.
    Build,
    /// All endpoints have so many prompt tokens to process that the caller would leave before
    /// its first token.
    Overload,
}

impl Reason {
    /// Returns the reason's name in metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Deadline => "deadline",
            Reason::Full => "full",
            Reason::NoEndpoint => "no-endpoint",
            Reason::Cordoned => "cordoned",
            Reason::Residency => "residency",
            Reason::Build => "build",
            Reason::Overload => "overload",
        }
    }
}

/// What the dispatcher orders an entry box to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// The attempt may run at the endpoint.
    Grant(attempt::Attempt, name::Endpoint),
    /// The request is shed; the caller may retry after the given time.
    Shed(attempt::Attempt, Reason, Duration),
    /// The run must stop; its request may ask for a slot again.
    Preempt(attempt::Attempt),
    /// The grant was not used in time and is void.
    Expired(attempt::Attempt),
    /// This box no longer holds the service's dispatcher; all that was reported to it is lost.
    Gone(name::Service),
}

impl Order {
    /// Returns the attempt that the order is about, if any.
    pub fn attempt(&self) -> Option<attempt::Attempt> {
        match self {
            Order::Grant(attempt, _)
            | Order::Shed(attempt, _, _)
            | Order::Preempt(attempt)
            | Order::Expired(attempt) => Some(*attempt),
            Order::Gone(_) => None,
        }
    }
}
