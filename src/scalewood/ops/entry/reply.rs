//! Error answers that this box generates: refusals and failures.
//!
//! Each states in a header and in the body whether the request may have run, and when to retry if
//! that may help.

use std::time::Duration;

use hyper::{header, Response, StatusCode};
use serde::Serialize;

use crate::{core::verdict, ops::entry::body::Answer};

/// The header that carries the verdict.
pub(super) const VERDICT_HEADER: &str = "scalewood-verdict";
/// The header that carries the request's id.
pub(super) const REQUEST_HEADER: &str = "scalewood-request";

/// Why a request was refused or failed.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    /// The error code for programs.
    pub(super) code: &'static str,
    /// What failed, why, and what to do.
    pub(super) message: String,
    pub(super) verdict: verdict::Verdict,
    /// How long to wait before a retry.
    pub(super) retry_after: Option<Duration>,
}

/// The body of a refusal, in the error format of OpenAI-compatible model servers.
#[derive(Debug, Serialize)]
struct Body<'a> {
    error: Detail<'a>,
}

/// The error object in the body of a refusal.
#[derive(Debug, Serialize)]
struct Detail<'a> {
    code: &'a str,
    message: &'a str,
    verdict: verdict::Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

impl Refusal {
    /// Returns the refusal of a request that did not run.
    pub(super) fn not_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            verdict: verdict::Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Sets how long the caller is to wait before a retry.
    pub(super) fn with_retry_after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }

    /// Returns the refusal of a request during which endpoints crashed. Status 429 says that this
    /// caller's request is over its limit, not that the system is busy, and most clients don't
    /// retry before the stated time. If an earlier attempt may have run, the status is 502 instead.
    pub(super) fn held_back(retry: Duration, verdict: verdict::Verdict) -> Self {
        let status = match verdict {
            verdict::Verdict::NotRun => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::BAD_GATEWAY,
        };
        Self {
            status,
            code: "ends-endpoints",
            message: "several endpoints have ended under this request; do not send it again, or \
                      ask an operator to permit it again"
                .into(),
            verdict,
            retry_after: Some(retry),
        }
    }

    /// Returns the whole seconds to wait before a retry, rounded up, at least one.
    fn seconds(&self) -> Option<u64> {
        self.retry_after
            .map(|wait| wait.as_secs() + u64::from(wait.subsec_nanos() > 0))
            .map(|s| s.max(1))
    }

    /// Returns the refusal as JSON.
    pub(super) fn json(&self) -> Vec<u8> {
        let detail = Detail {
            code: self.code,
            message: &self.message,
            verdict: self.verdict,
            retry_after_s: self.seconds(),
        };
        // Strings and numbers can always be serialised.
        serde_json::to_vec(&Body { error: detail }).unwrap_or_default()
    }

    /// Returns the refusal as an HTTP response.
    pub(super) fn response(&self) -> Response<Answer> {
        let mut response = Response::new(Answer::whole(self.json()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/json"),
        );
        headers.insert(
            VERDICT_HEADER,
            header::HeaderValue::from_static(self.verdict.as_str()),
        );
        if let Some(seconds) = self.seconds() {
            headers.insert(header::RETRY_AFTER, seconds.into());
        }
        response
    }
}
