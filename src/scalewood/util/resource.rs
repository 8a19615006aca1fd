//! The memory of the machine.

use std::fs;

use crate::core::unit;

/// The memory that is assumed if the operating system does not state that of the machine.
const DEFAULT_MEMORY: unit::Size = unit::Size(256 << 20);

/// Returns the memory of the machine, by `/proc/meminfo`.
pub fn memory() -> unit::Size {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib = total.and_then(|total| total.trim().trim_end_matches("kB").trim().parse().ok());
    kib.and_then(|kib: usize| kib.checked_mul(1 << 10))
        .map_or(DEFAULT_MEMORY, unit::Size)
}
