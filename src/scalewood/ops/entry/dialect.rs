//! The HTTP headers that callers and endpoints of routes use.
//!
//! A [`Dialect`] only translates: it parses a caller's headers into a [`Head`], writes an
//! [`Instruction`] into the headers for an endpoint, and classifies the head of an endpoint's
//! answer. It makes no decisions.

use std::time::Duration;

use hyper::{header, HeaderMap, StatusCode};

use crate::core::{build, name, retry, unit, verdict};

/// A part of a prompt that other requests may have in common, so that its KV cache is reusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// Identifies the part's content.
    pub id: u64,
    /// The part's length.
    pub tokens: unit::Tokens,
}

/// The values that are read from a caller's headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The caller's id for the request.
    pub id: Option<String>,
    /// The team's key.
    pub key: Option<String>,
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// The length of the prompt.
    pub prompt: unit::Tokens,
    /// The maximum length of the answer.
    pub max_output: unit::Tokens,
    /// The parts of the prompt, in their order in the prompt.
    pub parts: Vec<Part>,
    /// The id of the last event of a stream that the caller received.
    pub last_event_id: Option<String>,
    /// The caller's id for the request that began that stream, if it is another one.
    pub resumes: Option<String>,
}

/// The values that are added to a caller's headers for an endpoint.
#[derive(Clone, Debug)]
pub struct Instruction<'a> {
    /// The endpoint that is to run the request; another one that receives it refuses it.
    pub endpoint: &'a name::Endpoint,
    /// The time left until the request's deadline.
    pub timeout: Duration,
    /// The team that sent the request.
    pub team: Option<&'a name::Team>,
    /// The request's rank, from its route's tier and its team's tier; 0 is the highest priority.
    pub rank: unit::Tier,
    /// The id of the last event that the caller received, if a stream is resumed.
    pub last_event_id: Option<&'a str>,
}

/// The class of an endpoint's answer, by its status and headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The endpoint's answer to this request.
    Answer,
    /// The endpoint did not run this request and accepts no more of its kind for now.
    Refused,
    /// An endpoint other than the intended one received the request, and did not run it.
    Misdirected,
    /// Not a complete answer to this request: it echoes another id, or lacks a header that
    /// the dialect requires.
    Mismatched,
}

/// Maps between headers and the values that the system works with.
pub trait Dialect: Clone + std::fmt::Debug + Send + Sync + 'static {
    /// The path of the readiness check.
    const READY_PATH: &'static str;

    /// The headers, in lower case, that are removed from a caller's request before it is forwarded:
    /// those by which the system communicates with endpoints, which include all that
    /// [`Dialect::instruct`] writes, and those that only concern the caller and the system.
    const RESERVED_HEADERS: &'static [&'static str];

    /// The header, in lower case, in which an endpoint states the requests per second that it
    /// accepts from all boxes together, as a decimal number.
    const LIMIT_HEADER: &'static str;

    /// The header, in lower case, in which endpoints state how many requests they can reject within a
    /// second for lack of room before they fail, as a decimal number.
    const REJECTION_LIMIT_HEADER: &'static str;

    /// Parses a caller's headers.
    fn parse(headers: &HeaderMap) -> Head;

    /// Writes the instruction into headers from which all [`Dialect::RESERVED_HEADERS`] were
    /// removed.
    fn instruct(headers: &mut HeaderMap, instruction: &Instruction<'_>);

    /// Writes what [`Dialect::parse`] read from reserved headers into headers from which these were
    /// removed, so that another box can parse the request; `timeout` is the time left until its
    /// deadline.
    fn restore(headers: &mut HeaderMap, head: &Head, timeout: Duration);

    /// Returns the id of the request that an endpoint's answer names, if it names one.
    fn echoed_id(headers: &HeaderMap) -> Option<&str>;

    /// Classifies an endpoint's answer to the request of the given id.
    fn classify(status: StatusCode, headers: &HeaderMap, id: Option<&str>) -> Disposition;

    /// Returns whether the headers of an answer say that the endpoint is leaving.
    fn is_leaving(headers: &HeaderMap) -> bool;

    /// Returns the build of the endpoint that wrote an answer, if its headers state one. An endpoint
    /// that has just started again may run another build than its last heartbeat states.
    fn build(_headers: &HeaderMap) -> Option<build::Build> {
        None
    }

    /// Returns the event id if a line of a stream holds one.
    fn event_id(line: &[u8]) -> Option<&[u8]> {
        line.strip_prefix(b"id:").map(<[u8]>::trim_ascii)
    }

    /// Adds the request's id and the verdict to an answer that this box generates.
    fn add_headers(headers: &mut HeaderMap, id: Option<&str>, verdict: verdict::Verdict);

    /// Returns the value of `Retry-After` for a wait.
    fn retry_after(wait: Duration) -> String;

    /// Returns the wait after a refusal in an overload as [`Dialect::retry_after`] can state it, so
    /// that retries stay spread.
    fn overload_wait(wait: Duration) -> Duration {
        wait
    }
}

/// scalewood's own headers.
#[derive(Clone, Debug)]
pub struct Native;

/// The caller's id for a request.
const ID_HEADER: &str = "scalewood-id";
/// The team's key, as a bearer token.
const KEY_HEADER: &str = "authorization";
/// How long the caller waits for the answer, in milliseconds.
const DEADLINE_MS_HEADER: &str = "scalewood-deadline-ms";
/// The tokens of the prompt and the maximum tokens of the answer, separated by a comma.
const TOKENS_HEADER: &str = "scalewood-tokens";
/// The parts of the prompt in order, separated by commas, each as its id in hexadecimal, a colon
/// and its tokens. Requests whose first parts are equal share their prefill.
const PARTS_HEADER: &str = "scalewood-parts";
/// The endpoint that is to run the request.
const ENDPOINT_HEADER: &str = "scalewood-endpoint";
/// The team that sent the request.
const TEAM_HEADER: &str = "scalewood-team";
/// The request's rank; 0 is the highest priority.
const RANK_HEADER: &str = "scalewood-rank";
/// Whether the request may have run.
const VERDICT_HEADER: &str = "scalewood-verdict";
/// The id of the last event of a stream that the caller received.
const LAST_EVENT_HEADER: &str = "last-event-id";
/// The caller's id for the request that brought the first event of the stream that it resumes.
const RESUMES_HEADER: &str = "scalewood-resumes";
/// The build of the endpoint that wrote the answer.
const BUILD_HEADER: &str = "scalewood-build";
/// `1` if the endpoint is leaving.
const LEAVING_HEADER: &str = "scalewood-leaving";

impl Dialect for Native {
    const READY_PATH: &'static str = "/readyz";

    const RESERVED_HEADERS: &'static [&'static str] = &[
        KEY_HEADER,
        DEADLINE_MS_HEADER,
        ENDPOINT_HEADER,
        TEAM_HEADER,
        RANK_HEADER,
        VERDICT_HEADER,
        LAST_EVENT_HEADER,
    ];

    const LIMIT_HEADER: &'static str = "scalewood-limit";

    const REJECTION_LIMIT_HEADER: &'static str = "scalewood-max-rejections";

    fn parse(headers: &HeaderMap) -> Head {
        let tokens = text(headers, TOKENS_HEADER).and_then(|text| text.split_once(','));
        let count = |text: &str| unit::Tokens(text.trim().parse().unwrap_or(0));
        let key = text(headers, KEY_HEADER);
        Head {
            id: text(headers, ID_HEADER).map(str::to_owned),
            key: key
                .and_then(|key| key.strip_prefix("Bearer "))
                .map(str::to_owned),
            deadline: text(headers, DEADLINE_MS_HEADER)
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
            prompt: tokens.map_or(unit::Tokens(0), |(prompt, _)| count(prompt)),
            max_output: tokens.map_or(unit::Tokens(0), |(_, output)| count(output)),
            parts: text(headers, PARTS_HEADER)
                .and_then(parse_parts)
                .unwrap_or_default(),
            last_event_id: text(headers, LAST_EVENT_HEADER).map(str::to_owned),
            resumes: text(headers, RESUMES_HEADER).map(str::to_owned),
        }
    }

    fn instruct(headers: &mut HeaderMap, instruction: &Instruction<'_>) {
        set(
            headers,
            ENDPOINT_HEADER,
            Some(instruction.endpoint.as_str()),
        );
        let left = instruction.timeout.as_millis().to_string();
        set(headers, DEADLINE_MS_HEADER, Some(&left));
        set(
            headers,
            TEAM_HEADER,
            instruction.team.map(name::Team::as_str),
        );
        set(headers, RANK_HEADER, Some(&instruction.rank.to_string()));
        set(headers, LAST_EVENT_HEADER, instruction.last_event_id);
    }

    fn restore(headers: &mut HeaderMap, head: &Head, timeout: Duration) {
        let key = head.key.as_ref().map(|key| format!("Bearer {key}"));
        let left = timeout.as_millis().to_string();
        set(headers, KEY_HEADER, key.as_deref());
        set(headers, DEADLINE_MS_HEADER, Some(&left));
        set(headers, LAST_EVENT_HEADER, head.last_event_id.as_deref());
    }

    fn echoed_id(headers: &HeaderMap) -> Option<&str> {
        text(headers, ID_HEADER)
    }

    fn classify(status: StatusCode, headers: &HeaderMap, id: Option<&str>) -> Disposition {
        let echoed = Self::echoed_id(headers);
        // An answer that belongs to another request says nothing of this one.
        if echoed.is_some() && echoed != id {
            return Disposition::Mismatched;
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Disposition::Misdirected;
        }
        match text(headers, VERDICT_HEADER) {
            Some("not-run") => Disposition::Refused,
            _ => Disposition::Answer,
        }
    }

    fn is_leaving(headers: &HeaderMap) -> bool {
        text(headers, LEAVING_HEADER) == Some("1")
    }

    fn build(headers: &HeaderMap) -> Option<build::Build> {
        text(headers, BUILD_HEADER)?.parse().ok()
    }

    fn add_headers(headers: &mut HeaderMap, id: Option<&str>, verdict: verdict::Verdict) {
        set(headers, VERDICT_HEADER, Some(verdict.as_str()));
        set(headers, ID_HEADER, id);
    }

    fn retry_after(wait: Duration) -> String {
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        seconds.max(1).to_string()
    }

    fn overload_wait(wait: Duration) -> Duration {
        retry::whole_seconds(wait, rand::random())
    }
}

/// Parses the value of [`PARTS_HEADER`]; `None` if any part is malformed.
fn parse_parts(text: &str) -> Option<Vec<Part>> {
    let part = |text: &str| {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(Part {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: unit::Tokens(tokens.parse().ok()?),
        })
    };
    text.split(',').map(part).collect()
}

/// Removes the reserved headers from a caller's request.
pub fn strip_reserved<D: Dialect>(headers: &mut HeaderMap) {
    for name in D::RESERVED_HEADERS {
        headers.remove(*name);
    }
}

/// Returns a header's value if it is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Sets a header, or removes it if the value is `None` or not valid in a header.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: Option<&str>) {
    match value.and_then(|value| header::HeaderValue::from_str(value).ok()) {
        Some(value) => drop(headers.insert(name, value)),
        None => drop(headers.remove(name)),
    }
}
