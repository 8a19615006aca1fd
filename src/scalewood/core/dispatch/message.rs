//! What entry boxes and the dispatcher tell each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::{attempt, name, residency, rest, unit};

pub use crate::core::prompt::{Placed, Prefix};

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The attempt that wants the slot.
    pub attempt: attempt::Attempt,
    /// The class that it is served as.
    pub class: name::Class,
    /// The tier of that class.
    pub tier: unit::Tier,
    /// How long ago the caller's request arrived. An age, since clocks differ.
    pub age: Duration,
    /// The time from arrival within which the first token is due.
    pub target: Duration,
    /// The time from arrival after which the request is shed.
    pub deadline: Duration,
    /// The time from arrival after which the caller leaves if there is no first token,
    /// where that is known to be sooner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patience: Option<Duration>,
    /// Whether the caller was likely refused before and has come back.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub returned: bool,
    /// The size of the prompt, as estimated.
    pub prompt: unit::Tokens,
    /// Tokens that earlier attempts have delivered.
    pub delivered: unit::Tokens,
    /// The prompt's prefix, if the class profits from an engine's cache.
    pub prefix: Option<Prefix>,
    /// Where the prompt belongs, if endpoints keep what prompts share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placed: Option<Placed>,
    /// Where it may be served.
    #[serde(default, skip_serializing_if = "residency::Allowed::is_everywhere")]
    pub allowed: residency::Allowed,
    /// Whether the run can be interrupted and resumed.
    pub preemptible: bool,
    /// How often the request has been preempted.
    pub preempted: u32,
    /// The endpoint that the last attempt failed at.
    pub avoid: Option<name::Endpoint>,
    /// How long the run will hold its slot, where that is known beforehand.
    pub hold: Option<Duration>,
    /// Endpoints that rest from the box, as far as the dispatcher has not heard of them. It only
    /// spares grants that the box would give back: a dispatcher may pass it over.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rests: Vec<rest::Told>,
}

/// A run that an entry box holds, told to a new dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// What was asked for.
    pub ask: Ask,
    /// The endpoint that runs it.
    pub endpoint: name::Endpoint,
    /// Tokens that this attempt has delivered.
    pub tokens: unit::Tokens,
    /// How long ago it was granted.
    pub held: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The answer was delivered whole.
    Done,
    /// The caller went away.
    Cancelled,
    /// It was preempted.
    Preempted,
    /// The endpoint refused it unread.
    Refused,
    /// The endpoint could not be reached.
    Unreachable,
    /// Another endpoint answered at its address: it has gone.
    Mistaken,
    /// The connection or the stream broke.
    Broken,
    /// The endpoint was silent for too long.
    Silent,
    /// The grant came too late to be used.
    Unused,
}

impl Ask {
    /// Whether its caller may come back after a time, if it is refused now: it has not been
    /// here before, no endpoint has had its request, and it waits that long.
    pub fn may_return(&self, after: Duration) -> bool {
        let is_first = self.attempt.number == 0 && !self.returned;
        is_first && self.age + after < self.patience.unwrap_or(self.deadline)
    }

    /// Counts the caller's patience from now on, since it has got a part of its answer.
    /// Counted from its arrival, a stream that could go on would be taken for hopeless, and
    /// cut.
    pub fn renew_patience(&mut self, patience: Option<Duration>) {
        self.patience = patience.map(|patience| patience + self.age);
    }
}

/// What an entry box tells the dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
    /// All that it said before is void; what holds follows.
    Hello,
    /// It has said all that holds.
    Announced,
    /// It wants a slot.
    Ask(Ask),
    /// It no longer waits for a slot.
    Withdraw(attempt::Attempt),
    /// It uses the grant.
    Started(attempt::Attempt),
    /// The first token arrived.
    First(attempt::Attempt),
    /// The stream paused for longer than its class bears.
    Paused(attempt::Attempt),
    /// Tokens that the attempt has delivered so far.
    Progress(attempt::Attempt, unit::Tokens),
    /// The attempt ended; the slot is free.
    End(attempt::Attempt, End, unit::Tokens),
    /// It holds a run that another dispatcher granted.
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
    /// All its endpoints stand in cordoned zones.
    Cordoned,
    /// The service's endpoints are all outside the regions in which it may be served.
    Residency,
    /// All endpoints have so much to read that its caller would leave before the first
    /// token.
    Overload,
}

impl Reason {
    /// The reason's name in metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Deadline => "deadline",
            Reason::Full => "full",
            Reason::NoEndpoint => "no-endpoint",
            Reason::Cordoned => "cordoned",
            Reason::Residency => "residency",
            Reason::Overload => "overload",
        }
    }
}

/// What the dispatcher tells an entry box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// The attempt may run at the endpoint.
    Grant(attempt::Attempt, name::Endpoint),
    /// The request is shed; it may come back after the given time.
    Shed(attempt::Attempt, Reason, Duration),
    /// The run must stop, and may ask again.
    Preempt(attempt::Attempt),
    /// The grant was not used in time and is void.
    Expired(attempt::Attempt),
    /// The dispatcher of a service has gone from this box, with all that it was told.
    Gone(name::Service),
}

impl Order {
    /// The attempt that the order is about, if it is about one.
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
