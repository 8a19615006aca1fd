//! Controllers: what is done with the facts on the board.

pub mod breach;
pub mod control;
pub mod entry;
pub mod explain;

pub mod operate;
pub mod reload;
mod rest;
pub mod rpc;
pub mod source;
