//! What endpoints say in an answer's head, beside the answer itself.
//!
//! Each way to an endpoint reads it here: routes, streams, plain calls and the questions how an
//! endpoint does. So what one of them hears all go by.

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

/// How long a configured endpoint gets nothing that says in an answer that it leaves. It announces
/// nothing, so no new start of it is ever heard of: after that time one request finds out.
const CONFIGURED_LEAVES: Duration = Duration::from_secs(10);

/// Reads the head of an answer that a start of an endpoint gave to a request of a service, with
/// the request's own id, and notes what concerns more than this request.
pub(super) fn hear<D: Dialect, B>(
    board: &Shared,
    service: &name::Service,
    at: &At,
    response: &Response<B>,
    id: Option<&str>,
) -> Said {
    let said = hear_all_but_limit::<D, B>(board, service, at, response, id);
    if said != Said::Mistaken {
        throttle::hear::<D, B>(board, at, response, said == Said::Answer);
    }
    said
}

fn hear_all_but_limit<D: Dialect, B>(
    board: &Shared,
    service: &name::Service,
    at: &At,
    response: &Response<B>,
    id: Option<&str>,
) -> Said {
    let (status, headers) = (response.status(), response.headers());
    let said = D::said(status, headers, id);
    // Another endpoint speaks for itself.
    if said == Said::Mistaken {
        return said;
    }
    if ops::rest::is_meant(status, said == Said::Refused) {
        hear_rest(board, service, at, response);
    }
    if D::leaves(headers) {
        hear_leaving(board, service, at);
    }
    said
}

/// The same for an answer in the product's own interface.
pub(super) fn hear_own<B>(
    board: &Shared,
    service: &name::Service,
    at: &At,
    response: &Response<B>,
) -> Said {
    // Endpoints of this interface echo no id.
    match hear::<Native, B>(board, service, at, response, None) {
        Said::Refused if response.status() == StatusCode::SERVICE_UNAVAILABLE => Said::Refused,
        // What is no refusal is passed on as the endpoint's own answer.
        _ => Said::Answer,
    }
}

/// The same for an answer to the question how an endpoint does. It may name a limit, but says nothing
/// of its end: endpoints need not name it to who sends them no requests.
pub(super) fn hear_health<B>(
    board: &Shared,
    service: &name::Service,
    at: &At,
    response: &Response<B>,
) {
    if hear_all_but_limit::<Native, B>(board, service, at, response, None) != Said::Mistaken {
        throttle::hear::<Native, B>(board, at, response, false);
    }
}

fn hear_rest<B>(board: &Shared, service: &name::Service, at: &At, response: &Response<B>) {
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

fn hear_leaving(board: &Shared, service: &name::Service, at: &At) {
    if lock(&board.registry).get(&at.endpoint).is_none() {
        let now = now(board);
        let length = CONFIGURED_LEAVES;
        return lock(&board.rests).record(&at.endpoint, service, at.start, length, now);
    }
    let noted = lock(&board.registry).record_leaving(&at.endpoint, at.start);
    if noted.must_propagate() {
        event!(board.log, EndpointLeaving, "endpoint" => %at.endpoint, "by" => %board.own.name,
            "incarnation" => at.start.map(|start| start.0));
    }
}
