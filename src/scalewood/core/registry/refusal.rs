//! Why a heartbeat is refused.

use std::fmt;

/// What is wrong with a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// It can't be parsed.
    Unreadable,
    /// It is longer than any valid heartbeat.
    TooLong,
    /// A field is missing.
    Missing,
    /// A field has the wrong type.
    Mistyped,
    /// A field has the right type, but a value that is not allowed.
    OutOfRange,
    /// It names an unknown state or service.
    Unknown,
}

impl Reason {
    /// Returns the metric label of the reason.
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

/// Why a heartbeat was refused, for its sender and for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What is wrong.
    pub reason: Reason,
    /// The details.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self { reason, detail }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.reason.as_str(), self.detail)
    }
}
