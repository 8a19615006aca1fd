//! The request limits of endpoints as known to this box, and this box's permits under them.

use std::{fmt, time::Duration};

use hyper::Response;

use crate::{
    core::{dispatch, name, registry, throttle},
    event,
    ops::entry::{crash::Target, dialect::Dialect, dispatchers, now, Shared},
    util::lock::lock,
};

/// Records the limit in an answer's headers. A missing header ends the limit only if the endpoint
/// ran the request and this is its answer (`is_own`).
pub(super) fn observe<D: Dialect, B>(
    board: &Shared,
    target: &Target,
    response: &Response<B>,
    is_own: bool,
) {
    let values = response.headers().get_all(D::LIMIT_HEADER).into_iter();
    // A value that is not text is not a number either; "?" parses as invalid.
    let values: Vec<_> = values.map(|value| value.to_str().unwrap_or("?")).collect();
    let limit = match throttle::parse(values.iter().copied()) {
        throttle::Parsed::Limit(limit) => Some(limit),
        throttle::Parsed::Absent if is_own => None,
        throttle::Parsed::Absent => return,
        throttle::Parsed::Invalid => {
            event!(board.log, LimitUnreadable, "endpoint" => %target.endpoint,
                "said" => values.join("; "));
            return;
        }
    };
    let outcome = {
        let mut throttles = lock(&board.endpoint_limits);
        throttles.observe(
            &target.endpoint,
            target.start,
            limit,
            target.sent_at,
            now(board),
        )
    };
    if outcome == throttle::Change::Unchanged {
        return;
    }
    let change = dispatch::LimitChange {
        endpoint: target.endpoint.clone(),
        start: target.start,
        limit,
    };
    apply(board, vec![change], &board.own.name);
}

/// Merges the limits that a voter sent.
pub(super) fn merge(board: &Shared, rows: &[throttle::Row], by: impl fmt::Display) {
    let now = now(board);
    let changed: Vec<_> = {
        let mut throttles = lock(&board.endpoint_limits);
        let changed = rows.iter().filter(|row| throttles.merge(row, now));
        let change = |row: &throttle::Row| dispatch::LimitChange {
            endpoint: row.endpoint.clone(),
            start: row.start,
            limit: row.limit,
        };
        changed.map(change).collect()
    };
    if !changed.is_empty() {
        apply(board, changed, by);
    }
}

/// Logs changed limits with `by`, the box or voter that reported them, and applies them to the
/// dispatchers of this box.
fn apply(board: &Shared, changes: Vec<dispatch::LimitChange>, by: impl fmt::Display) {
    for change in &changes {
        let endpoint = &change.endpoint;
        let start = change.start.map(|start| start.0);
        match change.limit {
            Some(limit) => event!(board.log, LimitAnnounced, "endpoint" => %endpoint,
                "incarnation" => start, "limit" => %limit, "by" => %by),
            None => event!(board.log, LimitEnded, "endpoint" => %endpoint,
                "incarnation" => start, "by" => %by),
        }
    }
    let limited = lock(&board.endpoint_limits).all().count();
    let limited = i64::try_from(limited).unwrap_or(i64::MAX);
    board.metrics.limited_endpoints.set(limited);
    for service in dispatchers::services(board) {
        dispatchers::apply_input(board, &service, dispatch::Input::Limits(changes.clone()));
    }
}

/// Sets the limits of endpoints in the specs that a dispatcher is configured with.
pub(super) fn set_limits(board: &Shared, input: &mut dispatch::Input) {
    let (dispatch::Input::Configure(specs, _) | dispatch::Input::EndpointsChanged(specs, _)) =
        input
    else {
        return;
    };
    let throttles = lock(&board.endpoint_limits);
    for spec in specs {
        let admission = &mut spec.admission;
        admission.limit = throttles.limit(&spec.name, admission.incarnation);
    }
}

/// Returns the permits that the dispatchers of this box want.
pub(super) fn wanted_permits(board: &Shared) -> Vec<throttle::Wanted> {
    let now = now(board);
    let mut wanted = Vec::new();
    board.dispatchers.for_each(|shard| {
        for dispatcher in shard.values_mut() {
            wanted.extend(dispatcher.wanted_permits(now));
        }
    });
    wanted
}

/// Passes the permits that a voter issued to the dispatchers of this box. Their validity counts
/// from when they were requested.
pub(super) fn apply_permits(board: &Shared, issued: Vec<throttle::Issued>, asked_at: Duration) {
    if issued.is_empty() {
        return;
    }
    let count: u32 = issued.iter().map(|issued| issued.count).sum();
    board.metrics.permits.inc_by(u64::from(count));
    let permits = issued.into_iter().map(|issued| dispatch::IssuedPermits {
        endpoint: issued.endpoint,
        count: issued.count,
        until: asked_at + issued.remaining,
    });
    let permits: Vec<_> = permits.collect();
    for service in dispatchers::services(board) {
        dispatchers::apply_input(board, &service, dispatch::Input::Permits(permits.clone()));
    }
}

/// Returns since when this box has known the limit of a start of an endpoint, if there is one.
pub(super) fn limited_since(
    board: &Shared,
    endpoint: &name::Endpoint,
    start: registry::Start,
) -> Option<Duration> {
    lock(&board.endpoint_limits).limited_since(endpoint, start)
}
