//! Reads `Retry-After` from answers: how long the sender wants no more requests.

use hyper::{header, HeaderMap, StatusCode};

use crate::core::backoff;

/// Returns the backoff that an answer asks for. A date in `Retry-After` is compared with the
/// answer's `Date`, or with `unix_ms`, the time of day here, if it has none.
pub(in crate::ops) fn parse(headers: &HeaderMap, unix_ms: u64) -> backoff::Parsed {
    let values = headers.get_all(header::RETRY_AFTER).into_iter();
    // A value that is not text is passed on as one that can't be parsed as a time.
    let values = values.map(|value| value.to_str().unwrap_or("?"));
    let date = headers.get(header::DATE);
    let date = date.and_then(|date| date.to_str().ok());
    backoff::parse(values, date, unix_ms)
}

/// Returns whether `Retry-After` in an answer with this status applies to every request from its
/// receiver. With 503 it does. With 429 it applies to one caller, unless the request was
/// `turned_away` before its contents were examined.
pub(in crate::ops) fn applies_to_all(status: StatusCode, turned_away: bool) -> bool {
    let is_busy = status == StatusCode::SERVICE_UNAVAILABLE;
    is_busy || (turned_away && status == StatusCode::TOO_MANY_REQUESTS)
}

/// Returns the values of `Retry-After` as text for the log.
pub(in crate::ops) fn text(headers: &HeaderMap) -> String {
    let values = headers.get_all(header::RETRY_AFTER).into_iter();
    let values = values.map(|value| String::from_utf8_lossy(value.as_bytes()));
    values.collect::<Vec<_>>().join("; ")
}
