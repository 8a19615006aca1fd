//! Signals in the head of an endpoint's answer: a requested backoff, a request limit, and that the
//! endpoint is leaving.
//!
//! Routed requests, streams, plain calls and health checks all read them here, so that a signal
//! seen by one of them applies to all.

use std::time::Duration;

use hyper::{Response, StatusCode};

use crate::{
    core::{backoff, name},
    event,
    ops::{
        self,
        entry::{
            crash::Target,
            dialect::{Dialect, Disposition, Native},
            now, rejection, throttle, Shared,
        },
    },
    util::{clock::Clock as _, lock::lock},
};

/// How long a configured endpoint gets no requests after it signals that it is leaving. It does not
/// register, so this box never learns that it has started again: after this time a request tries
/// it.
const CONFIGURED_LEAVING_BACKOFF: Duration = Duration::from_secs(10);

/// Classifies the answer of an endpoint to a request of a service, and records the signals that
/// concern other requests too. `id` is the request's id, which the answer may echo.
pub(super) fn observe<D: Dialect, B>(
    board: &Shared,
    service: &name::Service,
    target: &Target,
    response: &Response<B>,
    id: Option<&str>,
) -> Disposition {
    let disposition = observe_all_but_limit::<D, B>(board, service, target, response, id);
    if disposition != Disposition::Misdirected {
        throttle::observe::<D, B>(board, target, response, disposition == Disposition::Answer);
        rejection::observe::<D, B>(board, service, target, response, disposition);
    }
    disposition
}

/// Does what [`observe`] does, but ignores the request limit.
fn observe_all_but_limit<D: Dialect, B>(
    board: &Shared,
    service: &name::Service,
    target: &Target,
    response: &Response<B>,
    id: Option<&str>,
) -> Disposition {
    let (status, headers) = (response.status(), response.headers());
    let disposition = D::classify(status, headers, id);
    // The answer came from another endpoint, so its signals don't concern this one.
    if disposition == Disposition::Misdirected {
        return disposition;
    }
    if ops::backoff::applies_to_all(status, disposition == Disposition::Refused) {
        record_backoff(board, service, target, response);
    }
    if D::is_leaving(headers) {
        record_leaving(board, service, target);
    }
    disposition
}

/// Does what [`observe`] does for an answer to a request of scalewood's own API.
pub(super) fn observe_native<B>(
    board: &Shared,
    service: &name::Service,
    target: &Target,
    response: &Response<B>,
) -> Disposition {
    // Endpoints of this API echo no id.
    match observe::<Native, B>(board, service, target, response, None) {
        Disposition::Refused if response.status() == StatusCode::SERVICE_UNAVAILABLE => {
            Disposition::Refused
        }
        // All else is passed on to the caller as the endpoint's answer.
        _ => Disposition::Answer,
    }
}

/// Does what [`observe`] does for an answer to a health check. It may set a limit, but a missing
/// limit does not end one: endpoints need not repeat their limit in answers to health checks.
pub(super) fn observe_health<B>(
    board: &Shared,
    service: &name::Service,
    target: &Target,
    response: &Response<B>,
) {
    if observe_all_but_limit::<Native, B>(board, service, target, response, None)
        != Disposition::Misdirected
    {
        throttle::observe::<Native, B>(board, target, response, false);
    }
}

/// Records the backoff that the headers of an answer request, if any.
fn record_backoff<B>(
    board: &Shared,
    service: &name::Service,
    target: &Target,
    response: &Response<B>,
) {
    let headers = response.headers();
    let unix_ms = lock(&board.wall_clock).unix_ms(board.clock.unix_ms(), now(board));
    match ops::backoff::parse(headers, unix_ms) {
        backoff::Parsed::Absent => {}
        backoff::Parsed::Invalid => {
            event!(board.log, BackoffUnreadable, "endpoint" => %target.endpoint,
                "asked" => ops::backoff::text(headers));
        }
        backoff::Parsed::For(length) => {
            board.metrics.backoffs_requested.inc();
            event!(board.log, BackoffRequested, "endpoint" => %target.endpoint,
                "incarnation" => target.start.map(|start| start.0),
                "asked" => ops::backoff::text(headers), "rest_ms" => length.as_millis());
            let now = now(board);
            lock(&board.backoffs).record(&target.endpoint, service, target.start, length, now);
        }
    }
}

/// Records that an endpoint is leaving. A configured endpoint, which isn't in the registry, gets a
/// backoff instead.
fn record_leaving(board: &Shared, service: &name::Service, target: &Target) {
    if lock(&board.registry).get(&target.endpoint).is_none() {
        let now = now(board);
        let length = CONFIGURED_LEAVING_BACKOFF;
        return lock(&board.backoffs).record(&target.endpoint, service, target.start, length, now);
    }
    let recorded = lock(&board.registry).record_leaving(&target.endpoint, target.start);
    if recorded.must_propagate() {
        event!(board.log, EndpointLeaving, "endpoint" => %target.endpoint, "by" => %board.own.name,
            "incarnation" => target.start.map(|start| start.0));
    }
}
