//! Crowds of clients that go beyond limits, or stay just short of them, with real processes.
//!
//! Each test lets a small crowd do one thing to one listener and checks what does not depend on the machine's speed:
//! the process lives, its memory and its descriptors stay within those of its machine, and an ordinary request is
//! answered while the crowd stays. The tests run one at a time, and apart from the other tests.

// Nothing here runs on after a suspension of the machine, so clocks that stand still meanwhile do
// no harm.
#![allow(clippy::disallowed_methods)]

mod api;
mod crowd;
mod listeners;
mod observer;
mod routes;
#[path = "../testsuite/support/mod.rs"]
#[expect(dead_code, reason = "these tests use only a part of the support")]
mod support;

use tokio::sync::{Mutex, MutexGuard};

/// The memory of the machine that a process runs on in these tests, also as its settings state it.
const MEMORY: usize = 96 << 20;
/// The setting for [`MEMORY`].
const MEMORY_TEXT: &str = "96MiB";
/// The largest legal body, also as the settings state it.
const MAX_BODY: usize = 4 << 20;
/// The setting for [`MAX_BODY`].
const MAX_BODY_TEXT: &str = "4MiB";
/// The clients of a crowd that sends bodies.
const CROWD: usize = 48;
/// The descriptors of a process that a crowd of connections meets.
const DESCRIPTORS: usize = 256;
/// The clients of a crowd of connections.
const CONNECTIONS: usize = 400;
/// The descriptors that the process keeps free of such a crowd, for its own connections and files.
const FREE_DESCRIPTORS: usize = 32;

/// Waits until no other test of this program runs.
async fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::const_new(());
    RUNNING.lock().await
}
