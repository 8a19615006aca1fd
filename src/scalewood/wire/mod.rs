//! The messages between processes.
//!
//! Processes of the system use JSON-RPC over WebSocket (jsonrpsee): one ordered connection for
//! each pair of processes, with subscriptions. Callers, endpoints and operators use HTTP.

pub mod admin;
pub mod control;
pub mod peer;
pub mod registry;
pub mod source;
