//! The limits that endpoints set to requests, and this box's permits, as far as it knows.

use std::{fmt, time::Duration};

use hyper::Response;

use crate::{
    core::{dispatch, name, registry, throttle},
    event,
    ops::entry::{crash::At, desk, dialect::Dialect, now, Shared},
    util::lock::lock,
};

/// Notes the limit that an endpoint names in an answer's head; or that it names none any more,
/// where this is its answer to the request itself.
pub(super) fn hear<D: Dialect, B>(board: &Shared, at: &At, response: &Response<B>, is_own: bool) {
    let values = response.headers().get_all(D::LIMIT).into_iter();
    // What is no text is no number either.
    let values: Vec<_> = values.map(|value| value.to_str().unwrap_or("?")).collect();
    let limit = match throttle::parse(values.iter().copied()) {
        throttle::Parsed::Limit(limit) => Some(limit),
        throttle::Parsed::Absent if is_own => None,
        throttle::Parsed::Absent => return,
        throttle::Parsed::Invalid => {
            event!(board.log, LimitUnreadable, "endpoint" => %at.endpoint,
                "said" => values.join("; "));
            return;
        }
    };
    let heard = {
        let mut throttles = lock(&board.throttles);
        throttles.observe(&at.endpoint, at.start, limit, at.sent_at, now(board))
    };
    if heard == throttle::Change::Unchanged {
        return;
    }
    let change = dispatch::LimitChange {
        endpoint: at.endpoint.clone(),
        start: at.start,
        limit,
    };
    set(board, vec![change], &board.own.name);
}

/// Takes limits that a voter tells.
pub(super) fn merge(board: &Shared, rows: &[throttle::Row], by: impl fmt::Display) {
    let now = now(board);
    let changed: Vec<_> = {
        let mut throttles = lock(&board.throttles);
        let changed = rows.iter().filter(|row| throttles.merge(row, now));
        let change = |row: &throttle::Row| dispatch::LimitChange {
            endpoint: row.endpoint.clone(),
            start: row.start,
            limit: row.limit,
        };
        changed.map(change).collect()
    };
    if !changed.is_empty() {
        set(board, changed, by);
    }
}

/// Has the dispatchers here go by limits that have changed, as a box or voter told them.
fn set(board: &Shared, changes: Vec<dispatch::LimitChange>, by: impl fmt::Display) {
    for change in &changes {
        let endpoint = &change.endpoint;
        let start = change.start.map(|start| start.0);
        match change.limit {
            Some(limit) => event!(board.log, LimitNamed, "endpoint" => %endpoint,
                "incarnation" => start, "limit" => %limit, "by" => %by),
            None => event!(board.log, LimitEnded, "endpoint" => %endpoint,
                "incarnation" => start, "by" => %by),
        }
    }
    let limited = lock(&board.throttles).all().count();
    let limited = i64::try_from(limited).unwrap_or(i64::MAX);
    board.metrics.limited.set(limited);
    for service in desk::held(board) {
        desk::input(board, &service, dispatch::Input::Limits(changes.clone()));
    }
}

/// Marks the endpoints that limit their requests in what a dispatcher is configured with.
pub(super) fn mark(board: &Shared, input: &mut dispatch::Input) {
    let (dispatch::Input::Configure(specs, _) | dispatch::Input::EndpointsChanged(specs, _)) =
        input
    else {
        return;
    };
    let throttles = lock(&board.throttles);
    for spec in specs {
        let standing = &mut spec.admission;
        standing.limit = throttles.limit(&spec.name, standing.incarnation);
    }
}

/// The permits that the dispatchers here want.
pub(super) fn wanted(board: &Shared) -> Vec<throttle::Wanted> {
    let now = now(board);
    let mut wanted = Vec::new();
    board.dispatchers.each(|shard| {
        for dispatcher in shard.values_mut() {
            wanted.extend(dispatcher.wanted_permits(now));
        }
    });
    wanted
}

/// Takes the permits that a voter issued to a question asked at a time.
pub(super) fn take(board: &Shared, issued: Vec<throttle::Issued>, asked: Duration) {
    if issued.is_empty() {
        return;
    }
    let count: u32 = issued.iter().map(|issued| issued.count).sum();
    board.metrics.permits.inc_by(u64::from(count));
    let passes = issued.into_iter().map(|issued| dispatch::Pass {
        endpoint: issued.endpoint,
        count: issued.count,
        until: asked + issued.remaining,
    });
    let passes: Vec<_> = passes.collect();
    for service in desk::held(board) {
        desk::input(board, &service, dispatch::Input::Permits(passes.clone()));
    }
}

/// Since when a start of an endpoint is known here to limit its requests, if it does.
pub(super) fn limited_since(
    board: &Shared,
    endpoint: &name::Endpoint,
    start: registry::Start,
) -> Option<Duration> {
    lock(&board.throttles).limited_since(endpoint, start)
}
