//! Signals in the head of an endpoint's answer: a requested rest, a request limit, and leaving.
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
            crash::At,
            dialect::{Dialect, Native, Said},
            now, throttle, Shared,
        },
    },
    util::{clock::Clock as _, lock::lock},
};

/// How long a configured endpoint that signals in an answer that it leaves gets no requests. It
/// does not register, so this box never learns of a new start of it: after this time a request
/// tries it again.
const CONFIGURED_LEAVING_REST: Duration = Duration::from_secs(10);

/// Classifies the answer of an endpoint to a request of a service, and records the signals that
/// concern other requests too. `id` is the request's id, which the answer may echo.
pub(super) fn hear<D: Dialect, B>(
    board: &Shared,
    service: &name::Service,
    at: &At,
    response: &Response<B>,
    id: Option<&str>,
) -> Said {
    let said = observe_all_but_limit::<D, B>(board, service, at, response, id);
    if said != Said::Mistaken {
        throttle::hear::<D, B>(board, at, response, said == Said::Answer);
    }
    said
}

/// Does what [`hear`] does, but ignores the request limit.
fn observe_all_but_limit<D: Dialect, B>(
    board: &Shared,
    service: &name::Service,
    at: &At,
    response: &Response<B>,
    id: Option<&str>,
) -> Said {
    let (status, headers) = (response.status(), response.headers());
    let said = D::said(status, headers, id);
    // The answer came from another endpoint, so its signals don't concern this one.
    if said == Said::Mistaken {
        return said;
    }
    if ops::rest::is_meant(status, said == Said::Refused) {
        record_rest(board, service, at, response);
    }
    if D::leaves(headers) {
        record_leaving(board, service, at);
    }
    said
}

/// Does what [`hear`] does for an answer to a request of scalewood's own API.
pub(super) fn hear_own<B>(
    board: &Shared,
    service: &name::Service,
    at: &At,
    response: &Response<B>,
) -> Said {
    // Endpoints of this API echo no id.
    match hear::<Native, B>(board, service, at, response, None) {
        Said::Refused if response.status() == StatusCode::SERVICE_UNAVAILABLE => Said::Refused,
        // All else is passed on to the caller as the endpoint's answer.
        _ => Said::Answer,
    }
}

/// Does what [`hear`] does for an answer to a health check. It may set a limit, but a missing limit
/// does not end one: endpoints need not repeat their limit in answers to health checks.
pub(super) fn hear_health<B>(
    board: &Shared,
    service: &name::Service,
    at: &At,
    response: &Response<B>,
) {
    if observe_all_but_limit::<Native, B>(board, service, at, response, None) != Said::Mistaken {
        throttle::hear::<Native, B>(board, at, response, false);
    }
}

/// Records the rest that an endpoint requests, if it does.
fn record_rest<B>(board: &Shared, service: &name::Service, at: &At, response: &Response<B>) {
    let headers = response.headers();
    let unix_ms = lock(&board.wall).unix_ms(board.clock.unix_ms(), now(board));
    match ops::rest::asked(headers, unix_ms) {
        backoff::Parsed::Absent => {}
        backoff::Parsed::Invalid => {
            event!(board.log, RestUnreadable, "endpoint" => %at.endpoint,
                "asked" => ops::rest::text(headers));
        }
        backoff::Parsed::For(length) => {
            board.metrics.rests_asked.inc();
            event!(board.log, EndpointRests, "endpoint" => %at.endpoint,
                "incarnation" => at.start.map(|start| start.0),
                "asked" => ops::rest::text(headers), "rest_ms" => length.as_millis());
            let now = now(board);
            lock(&board.rests).record(&at.endpoint, service, at.start, length, now);
        }
    }
}

/// Records that an endpoint leaves. A configured endpoint, which isn't in the registry, rests
/// instead.
fn record_leaving(board: &Shared, service: &name::Service, at: &At) {
    if lock(&board.registry).get(&at.endpoint).is_none() {
        let now = now(board);
        let length = CONFIGURED_LEAVING_REST;
        return lock(&board.rests).record(&at.endpoint, service, at.start, length, now);
    }
    let noted = lock(&board.registry).record_leaving(&at.endpoint, at.start);
    if noted.must_propagate() {
        event!(board.log, EndpointLeaving, "endpoint" => %at.endpoint, "by" => %board.own.name,
            "incarnation" => at.start.map(|start| start.0));
    }
}
