//! Controllers: the tasks and services of each process, which act on the state in `board`.

pub mod breach;
pub mod control;
pub mod entry;
pub mod explain;

pub mod operate;
pub mod reload;
mod rest;
pub mod rpc;
pub mod source;
