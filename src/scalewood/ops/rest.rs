//! What an answer's head asks for in time: how long its sender wants nothing more.

use hyper::{header, HeaderMap, StatusCode};

use crate::core::backoff;

/// The rest that an answer asks for; a date in it is compared with the answer's own, or else with
/// the time of day here.
pub(in crate::ops) fn asked(headers: &HeaderMap, unix_ms: u64) -> backoff::Parsed {
    let values = headers.get_all(header::RETRY_AFTER).into_iter();
    // What is no text is no time either.
    let values = values.map(|value| value.to_str().unwrap_or("?"));
    let date = headers.get(header::DATE);
    let date = date.and_then(|date| date.to_str().ok());
    backoff::parse(values, date, unix_ms)
}

/// Whether an answer of this status speaks of all that its receiver may send. 503 does; 429 speaks
/// of one caller, unless it `turned_away` what was sent before that was looked at.
pub(in crate::ops) fn is_meant(status: StatusCode, turned_away: bool) -> bool {
    let is_busy = status == StatusCode::SERVICE_UNAVAILABLE;
    is_busy || (turned_away && status == StatusCode::TOO_MANY_REQUESTS)
}

/// What it says of that, for the log.
pub(in crate::ops) fn text(headers: &HeaderMap) -> String {
    let values = headers.get_all(header::RETRY_AFTER).into_iter();
    let values = values.map(|value| String::from_utf8_lossy(value.as_bytes()));
    values.collect::<Vec<_>>().join("; ")
}
