//! The memory and the descriptors that the operating system grants a process.

use std::fs;

use nix::sys::resource::{getrlimit, Resource};

use crate::core::unit;

/// The memory that is assumed if the operating system does not state that of the machine.
const DEFAULT_MEMORY: unit::Size = unit::Size(256 << 20);
/// The descriptors that are assumed if the operating system states no limit.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// Returns the memory of the machine, by `/proc/meminfo`.
pub fn memory() -> unit::Size {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib = total.and_then(|total| total.trim().trim_end_matches("kB").trim().parse().ok());
    kib.and_then(|kib: usize| kib.checked_mul(1 << 10))
        .map_or(DEFAULT_MEMORY, unit::Size)
}

/// Returns how many descriptors the process may have open.
pub fn descriptors() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).ok();
    let limit = limit.and_then(|(soft, _)| usize::try_from(soft).ok());
    limit.unwrap_or(DEFAULT_DESCRIPTORS)
}
