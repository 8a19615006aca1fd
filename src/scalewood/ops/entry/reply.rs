//! Answers that this box makes by itself: refusals and failures.
//!
//! Each says, in a header and in the body, whether the request may have run; and
//! when to come back, where that helps.

use std::time::Duration;

use hyper::{header, Response, StatusCode};
use serde::Serialize;

use crate::{
    core::{crash, verdict},
    ops::entry::body::Answer,
};

/// The header that carries the verdict.
pub(super) const VERDICT: &str = "scalewood-verdict";
/// The header that carries the request's identity.
pub(super) const REQUEST: &str = "scalewood-request";

/// Why a request was refused or failed.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    /// A short name for programs.
    pub(super) code: &'static str,
    /// What failed, why, and what to do.
    pub(super) message: String,
    pub(super) verdict: verdict::Verdict,
    /// When to come back.
    pub(super) retry_after: Option<Duration>,
}

/// The body of a refusal, in the form that callers of model servers know.
#[derive(Debug, Serialize)]
struct Body<'a> {
    error: Inner<'a>,
}

#[derive(Debug, Serialize)]
struct Inner<'a> {
    code: &'a str,
    message: &'a str,
    verdict: verdict::Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that did not run.
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

    /// The same with the time to come back.
    pub(super) fn after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }

    /// The answer to a request under which endpoints end. 429 says that it is this caller's
    /// request that has used up what it may, not that the system is busy, and most clients leave it
    /// alone until the time named. What ran before can't be refused as not run.
    pub(super) fn held_back(verdict: verdict::Verdict) -> Self {
        let status = match verdict {
            verdict::Verdict::NotRun => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::BAD_GATEWAY,
        };
        Self {
            status,
            code: "ends-endpoints",
            message: "several endpoints have ended under this request; do not send it again, or \
                      ask an operator to take it back into service"
                .into(),
            verdict,
            retry_after: Some(crash::RETENTION),
        }
    }

    /// Whole seconds to come back after, rounded up, at least one.
    fn seconds(&self) -> Option<u64> {
        self.retry_after
            .map(|wait| wait.as_secs() + u64::from(wait.subsec_nanos() > 0))
            .map(|s| s.max(1))
    }

    /// The refusal as JSON.
    pub(super) fn json(&self) -> Vec<u8> {
        let inner = Inner {
            code: self.code,
            message: &self.message,
            verdict: self.verdict,
            retry_after_s: self.seconds(),
        };
        // A structure of texts and numbers always has a text.
        serde_json::to_vec(&Body { error: inner }).unwrap_or_default()
    }

    /// The refusal as an answer.
    pub(super) fn response(&self) -> Response<Answer> {
        let mut response = Response::new(Answer::whole(self.json()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/json"),
        );
        headers.insert(
            VERDICT,
            header::HeaderValue::from_static(self.verdict.as_str()),
        );
        if let Some(seconds) = self.seconds() {
            headers.insert(header::RETRY_AFTER, seconds.into());
        }
        response
    }
}
