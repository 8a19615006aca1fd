//! Ends the open requests of a box that stops, before its process ends.
//!
//! A request that waits to begin at an endpoint is refused as not run once its answer could not be
//! finished here any more. What is still without an answer shortly before the process ends gets one
//! that says that it may have run.

use std::{future::Future, time::Duration};

use hyper::StatusCode;

use crate::{
    core::{attempt, estimate, name, stop, verdict},
    ops::entry::{now, reply::Refusal, Shared},
};

/// The wait stated to callers that are sent to another box: none of the capacity is lost.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(100);

/// How often it is checked how long runs take while requests wait.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Plans the end of this box.
pub(super) fn begin(board: &Shared, grace: Duration, drain: Duration) {
    let ends_at = now(board) + grace + drain;
    board.stop.send_replace(Some(stop::Plan { ends_at, drain }));
}

/// Records how long a run at an endpoint of a service took.
pub(super) fn record_run(board: &Shared, service: &name::Service, took: Duration) {
    let mut run_times = board.run_times.shard(service);
    if let Some(longest) = run_times.get_mut(service) {
        return longest.observe(took);
    }
    let mut longest = estimate::Peak::default();
    longest.observe(took);
    run_times.insert(service.clone(), longest);
}

/// Waits until a request may not begin at an endpoint any more because this box stops.
pub(super) async fn last_start(board: Shared, request: attempt::Request) {
    let plan = plan(&board).await;
    let service = {
        let shard = board.tickets.shard(&request);
        shard.get(&request).map(|ticket| ticket.service.clone())
    };
    let spread = rand::random();
    loop {
        let run = service.as_ref().and_then(|service| {
            let run_times = board.run_times.shard(service);
            run_times.get(service).map(|longest| longest.get())
        });
        let left = plan.last_start(run, spread).saturating_sub(now(&board));
        if left.is_zero() {
            return;
        }
        // Runs that end meanwhile may have been longer.
        tokio::time::sleep(left.min(RECHECK_INTERVAL)).await;
    }
}

/// Returns what a request ends with, or `None` if this box ends before it does.
pub(super) async fn or_end<T>(board: &Shared, serving: impl Future<Output = T>) -> Option<T> {
    let end = async {
        let plan = plan(board).await;
        sleep_until(board, plan.last_answer()).await;
    };
    tokio::select! {
        biased;
        served = serving => Some(served),
        () = end => None,
    }
}

/// Returns the refusal of a request that waited at this box until it stopped.
pub(super) fn refusal(verdict: verdict::Verdict) -> Refusal {
    if verdict != verdict::Verdict::NotRun {
        return unfinished();
    }
    let why =
        "this box is being stopped, and the request has waited in vain; another box serves it";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "stopping", why).with_retry_after(RETRY_AFTER)
}

/// Returns the answer to a request that has none when this box ends.
pub(super) fn unfinished() -> Refusal {
    Refusal {
        status: StatusCode::BAD_GATEWAY,
        code: "stopped",
        message: "this box was stopped before the answer was complete; the request may have run; \
                  retry only if it may run twice"
            .into(),
        verdict: verdict::Verdict::MayHaveRun,
        retry_after: None,
    }
}

/// Returns when this box ends, once that is planned.
async fn plan(board: &Shared) -> stop::Plan {
    let mut planned = board.stop.subscribe();
    loop {
        if let Some(plan) = *planned.borrow_and_update() {
            return plan;
        }
        if planned.changed().await.is_err() {
            // Not reached while the board exists.
            std::future::pending::<()>().await;
        }
    }
}

async fn sleep_until(board: &Shared, at: Duration) {
    tokio::time::sleep(at.saturating_sub(now(board))).await;
}
