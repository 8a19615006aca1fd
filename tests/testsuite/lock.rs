//! Locks are always taken in the same order.

use std::{sync::Mutex, time::Duration};

use scalewood::util::lock::lock;

use crate::support::{
    deploy,
    routed::{text, System},
};

#[derive(Debug, Default)]
struct One;
#[derive(Debug, Default)]
struct Other;
#[derive(Debug, Default)]
struct Third;

#[test]
#[should_panic(expected = "invariant lock-order is broken")]
fn an_opposite_order_is_found_without_any_other_thread() {
    let (one, other, third) = (Mutex::new(One), Mutex::new(Other), Mutex::new(Third));
    {
        let _one = lock(&one);
        let _other = lock(&other);
    }
    {
        let _other = lock(&other);
        let _third = lock(&third);
    }
    let _third = lock(&third);
    let _one = lock(&one);
}

/// Guards against a deadlock about a second after the start of a box, which hit one in some hundred
/// boxes: one thread asked for permits while it held the lock of the limits that endpoints set, and
/// another held the lock of a new dispatcher while it read these limits. The box then logged
/// nothing more and answered no request.
#[tokio::test(flavor = "multi_thread")]
async fn a_box_that_starts_takes_its_locks_in_one_order() {
    let dir = tempfile::tempdir().unwrap();
    let system = System::start(1, dir.path());
    assert_eq!(
        system
            .publish(&text(&crate::support::routed::routing(1)))
            .await,
        200
    );
    let log = dir.path().join("e1.log");
    let written = || std::fs::read_to_string(&log).unwrap();
    deploy::wait("a service is dispatched and loads are shared", || async {
        let log = written();
        log.contains("\"event\":3101") && log.contains("\"event\":3213")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!written().contains("invariant"), "{}", written());
}
