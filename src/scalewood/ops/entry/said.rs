//! What endpoints say in an answer's head, beside the answer itself.
//!
//! Each way to an endpoint reads it here: routes, streams, plain calls and the questions how an
//! endpoint does. So what one of them hears all go by.

use std::time::Duration;

use hyper::{header, HeaderMap, Response, StatusCode};

use crate::{
    core::{name, rest},
    event,
    ops::entry::{
        crash::At,
        dialect::{self, Dialect, Native, Said},
        now, Shared,
    },
    util::{clock::Clock as _, lock::lock},
};

/// How long a configured endpoint gets nothing that says in an answer that it leaves. It announces
/// nothing, so no new start of it is ever heard of: after that time one request finds out.
const CONFIGURED_LEAVES: Duration = Duration::from_secs(10);
/// Statuses with which an endpoint turns a request away for what it has to do already.
const BUSY: [StatusCode; 2] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// Reads the head of an answer that a start of an endpoint gave to a request of a service, with
/// the request's own id, and notes what concerns more than this request.
pub(super) fn hear<D: Dialect, B>(
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
    if BUSY.contains(&status) {
        hear_rest(board, service, at, headers);
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

/// The rest that an answer asks for, if it turns a request away.
pub(super) fn rest<B>(board: &Shared, response: &Response<B>) -> Option<Duration> {
    if !BUSY.contains(&response.status()) {
        return None;
    }
    match asked(board, response.headers()) {
        rest::Asked::For(length) => Some(length),
        rest::Asked::Nothing | rest::Asked::Unreadable => None,
    }
}

fn asked(board: &Shared, headers: &HeaderMap) -> rest::Asked {
    let values = headers.get_all(header::RETRY_AFTER).into_iter();
    // What is no text is no time either.
    let values = values.map(|value| value.to_str().unwrap_or("?"));
    let date = dialect::text(headers, header::DATE.as_str());
    let unix_ms = lock(&board.wall).unix_ms(board.clock.unix_ms(), now(board));
    rest::read(values, date, unix_ms)
}

fn hear_rest(board: &Shared, service: &name::Service, at: &At, headers: &HeaderMap) {
    let said = || {
        let values = headers.get_all(header::RETRY_AFTER).into_iter();
        let values: Vec<_> = values
            .map(|v| String::from_utf8_lossy(v.as_bytes()))
            .collect();
        values.join("; ")
    };
    match asked(board, headers) {
        rest::Asked::Nothing => {}
        rest::Asked::Unreadable => {
            event!(board.log, RestUnreadable, "endpoint" => %at.endpoint, "asked" => said());
        }
        rest::Asked::For(length) => {
            board.metrics.rests_asked.inc();
            event!(board.log, EndpointRests, "endpoint" => %at.endpoint,
                "incarnation" => at.start.map(|start| start.0), "asked" => said(),
                "rest_ms" => length.as_millis());
            let now = now(board);
            lock(&board.rests).note(&at.endpoint, service, at.start, length, now);
        }
    }
}

fn hear_leaving(board: &Shared, service: &name::Service, at: &At) {
    if lock(&board.registry).get(&at.endpoint).is_none() {
        let now = now(board);
        let length = CONFIGURED_LEAVES;
        return lock(&board.rests).note(&at.endpoint, service, at.start, length, now);
    }
    let noted = lock(&board.registry).note_leaving(&at.endpoint, at.start);
    if noted.is_news() {
        event!(board.log, EndpointLeaving, "endpoint" => %at.endpoint, "by" => %board.own.name,
            "incarnation" => at.start.map(|start| start.0));
    }
}
