//! Why a heartbeat is not taken.

use std::fmt;

/// What is wrong with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// Its bytes are no text of the form that is spoken here.
    Unreadable,
    /// It is longer than any heartbeat.
    TooLong,
    /// A field is missing.
    Missing,
    /// A field is of another type.
    Mistyped,
    /// A field is of the right type, and its value can't be.
    OutOfRange,
    /// It names a state or a service that is not known.
    Unknown,
}

impl Reason {
    /// It as a label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::TooLong => "too-long",
            Self::Missing => "missing",
            Self::Mistyped => "mistyped",
            Self::OutOfRange => "out-of-range",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a heartbeat is not taken, for who sent it and for who looks after the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What is wrong.
    pub reason: Reason,
    /// What exactly.
    pub why: String,
}

impl Refusal {
    /// A refusal with its reason.
    pub fn new(reason: Reason, why: impl Into<String>) -> Self {
        let why = why.into();
        Self { reason, why }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.reason.as_str(), self.why)
    }
}
