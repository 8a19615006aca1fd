//! The system clock.

use std::time::Duration;

use scalewood::util::clock::{Clock as _, System};

/// After a suspension, the leases, cached state and deadlines of a machine must be as old as other
/// machines count them. The clock that measures them therefore includes the time of the suspension,
/// as the kernel's uptime does.
#[test]
fn the_machines_clock_counts_the_time_that_it_was_suspended() {
    let uptime = || {
        let text = std::fs::read_to_string("/proc/uptime").unwrap();
        let seconds = text.split_whitespace().next().unwrap();
        Duration::from_secs_f64(seconds.parse().unwrap())
    };
    let clock = System;
    let (before, now, after) = (uptime(), clock.now(), uptime());
    let since_boot = now.checked_sub(System::BOOT_OFFSET).unwrap();
    // The kernel reports the uptime in hundredths of a second.
    let slack = Duration::from_millis(20);
    assert!(
        before <= since_boot + slack && since_boot <= after + slack,
        "{since_boot:?} is not between {before:?} and {after:?}"
    );
}
