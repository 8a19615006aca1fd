//! Controllers: the tasks and services of each process, which act on the state in `board`.

pub mod breach;
pub mod control;
pub mod entry;
pub mod explain;

mod backoff;
mod connection;
mod http;
pub mod operate;
pub mod reload;
pub mod rpc;
pub mod source;
mod stall;
