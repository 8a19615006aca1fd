//! Builds the answers to callers of routes.

use std::time::Duration;

use hyper::{header, http::response, Response, StatusCode};

use crate::{
    core::{dispatch, verdict},
    ops::entry::{body::Answer, buffer::Held, dialect::Dialect, reply::Refusal, routed::outgoing},
};

/// Builds the answer for a refusal by this box.
pub(super) fn refusal<D: Dialect>(refusal: &Refusal, id: Option<&str>) -> Response<Answer> {
    let mut response = Response::new(Answer::whole(refusal.json()));
    *response.status_mut() = refusal.status;
    let headers = response.headers_mut();
    let json = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    D::add_headers(headers, id, refusal.verdict);
    if let Some(wait) = refusal.retry_after {
        if let Ok(value) = header::HeaderValue::from_str(&D::retry_after(wait)) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Relays an endpoint's complete answer.
pub(super) fn whole(parts: response::Parts, body: Held) -> Response<Answer> {
    let mut response = Response::new(Answer::whole(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = outgoing::end_to_end(parts.headers);
    response
}

/// Relays the head of an endpoint's stream; the pieces follow in `body`.
pub(super) fn stream(parts: response::Parts, body: Answer) -> Response<Answer> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = outgoing::end_to_end(parts.headers);
    response
}

/// The wait stated to callers after a failed request that did not run.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Returns the refusal of a request that got no answer.
pub(super) fn failed(end: dispatch::End, verdict: verdict::Verdict) -> Refusal {
    let (code, message) = match end {
        dispatch::End::Silent => ("endpoint-silent", "the endpoint did not answer in time"),
        dispatch::End::Unreachable => ("endpoint-unreachable", "no endpoint could be reached"),
        dispatch::End::Unused => (
            "endpoint-barred",
            "it may no longer be sent to its endpoint",
        ),
        dispatch::End::Refused => ("endpoint-full", "the endpoint accepted no more requests"),
        _ => ("endpoint-broke", "the endpoint broke the connection"),
    };
    let not_run = verdict == verdict::Verdict::NotRun;
    let status = match (not_run, end) {
        (true, _) => StatusCode::SERVICE_UNAVAILABLE,
        (false, dispatch::End::Silent) => StatusCode::GATEWAY_TIMEOUT,
        (false, _) => StatusCode::BAD_GATEWAY,
    };
    let advice = if not_run {
        "it did not run; retry later"
    } else {
        "it may have run; retry only if it may run twice"
    };
    Refusal {
        status,
        code,
        message: format!("{message}; {advice}"),
        verdict,
        retry_after: not_run.then_some(RETRY_AFTER),
    }
}

/// Returns the refusal of a request that was shed before any attempt, or after attempts that got no
/// answer.
pub(super) fn shed<D: Dialect>(
    reason: dispatch::Reason,
    retry: Duration,
    verdict: verdict::Verdict,
) -> Refusal {
    if verdict != verdict::Verdict::NotRun {
        return failed(dispatch::End::Broken, verdict);
    }
    let message = match reason {
        dispatch::Reason::Deadline => "it would wait past its deadline; retry later",
        dispatch::Reason::Full => "too many requests are waiting; retry later",
        dispatch::Reason::Overload => {
            "all endpoints have too many prompt tokens to process; retry later"
        }
        dispatch::Reason::NoEndpoint => "the service has no endpoint here; retry later",
        dispatch::Reason::Cordoned => "the service's endpoints are in cordoned zones; retry later",
        dispatch::Reason::Residency => {
            "no endpoint is in a region that may serve the request; retry later"
        }
        dispatch::Reason::Build => {
            "no endpoint of the build that began the stream serves; send the request without the \
             last event's id"
        }
    };
    let retry = match reason {
        dispatch::Reason::Overload => D::overload_wait(retry),
        _ => retry,
    };
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason.as_str(), message)
        .with_retry_after(retry)
}
