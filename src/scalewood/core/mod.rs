//! The domain types, and the decision logic as pure state machines.
//!
//! Nothing here does I/O, spawns a task or reads a clock. A state machine takes an input and the
//! time, and returns outputs; the daemons, the randomised runs and the benchmarks all run the same
//! code.

pub mod attempt;
pub mod audit;
pub mod backoff;
pub mod build;
pub mod catchup;
pub mod change;
pub mod claim;
pub mod config;
pub mod cordon;
pub mod crash;
pub mod departure;
pub mod difference;
pub mod dispatch;
pub mod estimate;
pub mod fencing;
pub mod fingerprint;
pub mod follow;
pub mod invariant;
pub mod json;
pub mod ledger;
pub mod limit;
pub mod load;
pub mod member;
pub mod name;
pub mod origin;
pub mod pace;
pub mod policy;
pub mod prompt;
pub mod raft;
pub mod reach;
pub mod recent;
pub mod region;
pub mod registry;
pub mod rejection;
pub mod rendezvous;
pub mod residency;
pub mod retry;
pub mod risk;
pub mod route;
pub mod scaling;
pub mod secret;
pub mod stop;
pub mod throttle;
pub mod unit;
pub mod usage;
pub mod verdict;
pub mod wall_clock;
pub mod warm_up;
