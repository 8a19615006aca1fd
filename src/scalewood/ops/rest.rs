//! What an answer's head asks for in time: how long its sender wants nothing more.

use hyper::{header, HeaderMap, StatusCode};

use crate::core::rest;

/// Statuses with which a request is turned away for what its receiver has to do already.
const BUSY: [StatusCode; 2] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// The rest that an answer asks for, if it turns a request away; a date in it is compared with the
/// answer's own, or else with the time of day here.
pub(in crate::ops) fn asked(status: StatusCode, headers: &HeaderMap, unix_ms: u64) -> rest::Asked {
    if !BUSY.contains(&status) {
        return rest::Asked::Nothing;
    }
    let values = headers.get_all(header::RETRY_AFTER).into_iter();
    // What is no text is no time either.
    let values = values.map(|value| value.to_str().unwrap_or("?"));
    let date = headers.get(header::DATE);
    let date = date.and_then(|date| date.to_str().ok());
    rest::read(values, date, unix_ms)
}

/// What it says of that, for the log.
pub(in crate::ops) fn text(headers: &HeaderMap) -> String {
    let values = headers.get_all(header::RETRY_AFTER).into_iter();
    let values = values.map(|value| String::from_utf8_lossy(value.as_bytes()));
    values.collect::<Vec<_>>().join("; ")
}
