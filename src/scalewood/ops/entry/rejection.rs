//! The limits on rejections that endpoints state in their answers, as known to this box.

use std::{sync::atomic::Ordering, time::Duration};

use hyper::Response;

use crate::{
    core::{dispatch, name, rejection},
    event,
    ops::entry::{
        crash::Target,
        dialect::{Dialect, Disposition},
        dispatchers, now, Shared,
    },
    util::lock::lock,
};

/// Records the limit in an answer's headers, and backs off from an endpoint with a limit that has
/// rejected the request.
pub(super) fn observe<D: Dialect, B>(
    board: &Shared,
    service: &name::Service,
    target: &Target,
    response: &Response<B>,
    disposition: Disposition,
) {
    let now = now(board);
    let said = response.headers().get(D::REJECTION_LIMIT_HEADER);
    let Some(said) = said else {
        if disposition == Disposition::Answer && board.has_rejection_limits.load(Ordering::Relaxed)
        {
            lock(&board.rejection_limits).record_absent(service, target.sent_at);
        }
        return;
    };
    let parsed = said.to_str().ok().and_then(|text| text.parse().ok());
    let Some(limit) = parsed else {
        event!(board.log, RejectionLimitUnreadable, "endpoint" => %target.endpoint,
            "said" => String::from_utf8_lossy(said.as_bytes()).into_owned());
        return;
    };
    lock(&board.rejection_limits).record(service, limit, now);
    apply(board, service, Some(limit), &board.own.name);
    if disposition == Disposition::Refused {
        back_off(board, service, target, now);
    }
}

/// Sends no requests to an endpoint that has rejected one for a while, so that the rejections of all
/// boxes stay few.
fn back_off(board: &Shared, service: &name::Service, target: &Target, now: Duration) {
    let mut backoffs = lock(&board.backoffs);
    let asked = backoffs.remaining(&target.endpoint, target.start, now);
    if asked.is_none_or(|left| left < rejection::BACKOFF) {
        let length = rejection::BACKOFF;
        backoffs.record(&target.endpoint, service, target.start, length, now);
    }
}

/// Merges the limits that a voter reports, and ends those that no longer apply.
pub(super) fn refresh(board: &Shared, reported: Vec<rejection::Row>) {
    if reported.is_empty() && !board.has_rejection_limits.load(Ordering::Relaxed) {
        return;
    }
    let now = now(board);
    {
        let mut limits = lock(&board.rejection_limits);
        limits.merge(reported, false, now);
        limits.expire(now);
    }
    for service in dispatchers::services(board) {
        let limit = lock(&board.rejection_limits).limit(&service, now);
        apply(board, &service, limit, "a voter");
    }
}

/// Returns the limits that this box has heard from endpoints.
pub(super) fn own(board: &Shared) -> Vec<rejection::Row> {
    if !board.has_rejection_limits.load(Ordering::Relaxed) {
        return Vec::new();
    }
    lock(&board.rejection_limits).own(now(board))
}

/// Returns the limit of a service's endpoints, if one applies.
pub(super) fn limit(board: &Shared, service: &name::Service) -> Option<rejection::Limit> {
    if !board.has_rejection_limits.load(Ordering::Relaxed) {
        return None;
    }
    lock(&board.rejection_limits).limit(service, now(board))
}

/// Applies a service's limit to its dispatcher, and logs it if it is new or has ended.
fn apply(
    board: &Shared,
    service: &name::Service,
    limit: Option<rejection::Limit>,
    by: impl std::fmt::Display,
) {
    let changed = {
        let mut applied = lock(&board.rejection_limited);
        let changed = match limit {
            Some(_) => applied.insert(service.clone()),
            None => applied.remove(service),
        };
        let any = !applied.is_empty();
        board.has_rejection_limits.store(any, Ordering::Relaxed);
        let count = i64::try_from(applied.len()).unwrap_or(i64::MAX);
        board.metrics.rejection_limited.set(count);
        changed
    };
    if !changed {
        return;
    }
    match limit {
        Some(limit) => event!(board.log, RejectionLimitAnnounced, "service" => %service,
            "limit" => %limit, "by" => %by),
        None => event!(board.log, RejectionLimitEnded, "service" => %service),
    }
    let limited = dispatch::Input::RejectionsLimited(limit.is_some());
    dispatchers::apply_input(board, service, limited);
}
