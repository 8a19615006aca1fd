//! What callers and endpoints of routes speak: which headers say what.
//!
//! A [`Dialect`] only translates: it reads a caller's head into a [`Head`], writes the
//! system's [`Instruction`] into the head for an endpoint, and tells what an endpoint's
//! head says. All decisions are made elsewhere.

use std::time::Duration;

use hyper::{header, HeaderMap, StatusCode};

use crate::core::{name, unit, verdict};

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// Its identity.
    pub id: u64,
    /// Its length.
    pub tokens: unit::Tokens,
}

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The caller's own identity for the request.
    pub id: Option<String>,
    /// The team's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The size of the prompt.
    pub prompt: unit::Tokens,
    /// The most tokens that the answer may have.
    pub output: unit::Tokens,
    /// The parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// The last event that the caller has of a stream.
    pub after: Option<String>,
}

/// What the system tells an endpoint beside the caller's own head.
#[derive(Clone, Debug)]
pub struct Instruction<'a> {
    /// The endpoint that is meant.
    pub endpoint: &'a name::Endpoint,
    /// How long the answer is waited for.
    pub left: Duration,
    /// The team that asks.
    pub team: Option<&'a name::Team>,
    /// The request's place in the order of all ranks.
    pub rank: unit::Tier,
    /// The last event that the caller has of a stream, where it is resumed.
    pub after: Option<&'a str>,
}

/// What an endpoint's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It answers this request.
    Answer,
    /// It did not run this request, and takes no more of the kind now.
    Refused,
    /// It is not the endpoint that was meant, and did not run the request.
    Mistaken,
    /// It is no whole answer to this request.
    Foreign,
}

/// Which headers say what, towards callers and endpoints of routes.
pub trait Dialect: Clone + std::fmt::Debug + Send + Sync + 'static {
    /// The path at which the platform asks whether this box takes work.
    const READY: &'static str;

    /// The headers, in lower case, through which the system speaks to endpoints, and those
    /// that are between a caller and the system. None of them reaches an endpoint as a
    /// caller sent it; everything that [`Dialect::instruct`] writes stands here.
    const RESERVED: &'static [&'static str];

    /// The header, in lower case, in which an endpoint names the requests a second that it takes
    /// from all boxes together, as a decimal number.
    const LIMIT: &'static str;

    /// What a caller's head says.
    fn head(headers: &HeaderMap) -> Head;

    /// Writes the instruction into a head that holds none of [`Dialect::RESERVED`].
    fn instruct(headers: &mut HeaderMap, instruction: &Instruction<'_>);

    /// What an endpoint's head says, to a request of this id.
    fn said(status: StatusCode, headers: &HeaderMap, id: Option<&str>) -> Said;

    /// Whether an endpoint's head says that it leaves.
    fn leaves(headers: &HeaderMap) -> bool;

    /// The id of an event, from one line of a stream.
    fn event_id(line: &[u8]) -> Option<&[u8]> {
        line.strip_prefix(b"id:").map(<[u8]>::trim_ascii)
    }

    /// Marks an answer that this box makes by itself.
    fn mark(headers: &mut HeaderMap, id: Option<&str>, verdict: verdict::Verdict);

    /// When to come back, as `Retry-After` has it.
    fn retry_after(wait: Duration) -> String;
}

/// The product's own headers.
#[derive(Clone, Debug)]
pub struct Native;

/// The caller's own identity for a request.
const ID: &str = "scalewood-id";
/// How long the caller waits, in milliseconds.
const DEADLINE: &str = "scalewood-deadline-ms";
/// Tokens of the prompt and of the answer at most, with a comma.
const TOKENS: &str = "scalewood-tokens";
/// The parts of the prompt in order, with commas, each as its identity (hexadecimal), a colon and
/// its tokens. What begins alike is read together.
const PARTS: &str = "scalewood-parts";
/// The endpoint that is meant.
const ENDPOINT: &str = "scalewood-endpoint";
/// The team that asks.
const TEAM: &str = "scalewood-team";
/// The request's rank.
const RANK: &str = "scalewood-rank";
/// Whether the request ran.
const VERDICT: &str = "scalewood-verdict";
/// The last event that the caller has of a stream.
const AFTER: &str = "last-event-id";
/// Says that the endpoint leaves.
const LEAVING: &str = "scalewood-leaving";

impl Dialect for Native {
    const READY: &'static str = "/readyz";

    const RESERVED: &'static [&'static str] = &[
        "authorization",
        DEADLINE,
        ENDPOINT,
        TEAM,
        RANK,
        VERDICT,
        AFTER,
    ];

    const LIMIT: &'static str = "scalewood-limit";

    fn head(headers: &HeaderMap) -> Head {
        let tokens = text(headers, TOKENS).and_then(|text| text.split_once(','));
        let count = |text: &str| unit::Tokens(text.trim().parse().unwrap_or(0));
        let key = text(headers, header::AUTHORIZATION.as_str());
        Head {
            id: text(headers, ID).map(str::to_owned),
            key: key
                .and_then(|key| key.strip_prefix("Bearer "))
                .map(str::to_owned),
            deadline: text(headers, DEADLINE)
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
            prompt: tokens.map_or(unit::Tokens(0), |(prompt, _)| count(prompt)),
            output: tokens.map_or(unit::Tokens(0), |(_, output)| count(output)),
            parts: text(headers, PARTS).and_then(parts).unwrap_or_default(),
            after: text(headers, AFTER).map(str::to_owned),
        }
    }

    fn instruct(headers: &mut HeaderMap, instruction: &Instruction<'_>) {
        set(headers, ENDPOINT, Some(instruction.endpoint.as_str()));
        let left = instruction.left.as_millis().to_string();
        set(headers, DEADLINE, Some(&left));
        set(headers, TEAM, instruction.team.map(name::Team::as_str));
        set(headers, RANK, Some(&instruction.rank.to_string()));
        set(headers, AFTER, instruction.after);
    }

    fn said(status: StatusCode, headers: &HeaderMap, id: Option<&str>) -> Said {
        let echoed = text(headers, ID);
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Said::Mistaken;
        }
        match text(headers, VERDICT) {
            Some("not-run") => Said::Refused,
            _ if echoed.is_some() && echoed != id => Said::Foreign,
            _ => Said::Answer,
        }
    }

    fn leaves(headers: &HeaderMap) -> bool {
        text(headers, LEAVING) == Some("1")
    }

    fn mark(headers: &mut HeaderMap, id: Option<&str>, verdict: verdict::Verdict) {
        set(headers, VERDICT, Some(verdict.as_str()));
        set(headers, ID, id);
    }

    fn retry_after(wait: Duration) -> String {
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        seconds.max(1).to_string()
    }
}

/// The parts of a prompt, as [`PARTS`] has them; nothing if one can't be read.
fn parts(text: &str) -> Option<Vec<Part>> {
    let part = |text: &str| {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(Part {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: unit::Tokens(tokens.parse().ok()?),
        })
    };
    text.split(',').map(part).collect()
}

/// Takes out of a caller's head what only the system may tell an endpoint.
pub fn strip<D: Dialect>(headers: &mut HeaderMap) {
    for name in D::RESERVED {
        headers.remove(*name);
    }
}

/// A header's text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Sets a header, or takes it out.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: Option<&str>) {
    match value.and_then(|value| header::HeaderValue::from_str(value).ok()) {
        Some(value) => drop(headers.insert(name, value)),
        None => drop(headers.remove(name)),
    }
}
