//! Starts deployments of real processes on loopback, and sends them requests.
//!
//! The demonstration and the benchmarks use these modules too.

pub(crate) mod client;
pub(crate) mod crashing;
pub(crate) mod deploy;
pub(crate) mod forwarder;
pub(crate) mod provider;
pub(crate) mod raw;
pub(crate) mod reader;
pub(crate) mod rewriter;
pub(crate) mod routed;
pub(crate) mod streams;
pub(crate) mod voter;
