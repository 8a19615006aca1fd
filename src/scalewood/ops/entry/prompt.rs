//! Model requests: what is read of a caller's, and what is sent to an engine.

use bytes::Bytes;
use hyper::{header, StatusCode};
use serde::Deserialize;
use serde_json::Value;

use crate::{
    core::{dispatch, rendezvous, unit},
    ops::entry::{
        call::{Call, Size},
        model::Chain,
        plain::Outgoing,
        reply::Refusal,
    },
};

/// Bytes of text that count as a token when no engine has counted them.
const BYTES_PER_TOKEN: u64 = 4;
/// Bytes of a prompt that make its prefix.
const PREFIX_BYTES: usize = 2048;
/// What a model answers at most when the caller does not say.
const DEFAULT_MAX_OUTPUT: u64 = 512;

/// A model request, read.
#[derive(Clone, Debug)]
pub(super) struct Prompt {
    body: Value,
    /// The model's name.
    pub(super) model: String,
    /// Whether the answer is to be streamed.
    pub(super) stream: bool,
    /// Whether a stream can be resumed.
    resumable: bool,
}

impl Prompt {
    /// Reads a request's body.
    pub(super) fn read(bytes: &[u8]) -> Result<Self, Refusal> {
        let bad = |why: String| Refusal::not_run(StatusCode::BAD_REQUEST, "bad-request", why);
        let body: Value = serde_json::from_slice(bytes)
            .map_err(|error| bad(format!("the body is not JSON: {error}; send a JSON object")))?;
        let model = body.get("model").and_then(Value::as_str);
        let model = model
            .ok_or_else(|| bad("`model` is missing; name a model".into()))?
            .to_owned();
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(value) => value
                .as_bool()
                .ok_or_else(|| bad("`stream` must be true or false".into()))?,
        };
        let resumable = is_resumable(&body);
        Ok(Self {
            body,
            model,
            stream,
            resumable,
        })
    }

    /// Whether a stream of this request can be resumed.
    pub(super) fn is_resumable(&self) -> bool {
        self.resumable
    }

    fn text(&self) -> impl Iterator<Item = &str> {
        let prompt = self.body.get("prompt").and_then(Value::as_str);
        let messages = self.body.get("messages").and_then(Value::as_array);
        let contents = messages
            .into_iter()
            .flatten()
            .filter_map(|m| m.get("content")?.as_str());
        prompt.into_iter().chain(contents)
    }

    /// The request's size, as estimated.
    pub(super) fn size(&self) -> Size {
        let bytes: usize = self.text().map(str::len).sum();
        Size {
            prompt: unit::Tokens(bytes as u64 / BYTES_PER_TOKEN + 1),
            max_output: unit::Tokens(self.max_tokens().unwrap_or(DEFAULT_MAX_OUTPUT)),
        }
    }

    fn max_tokens(&self) -> Option<u64> {
        let keys = ["max_completion_tokens", "max_tokens"];
        keys.into_iter()
            .find_map(|key| self.body.get(key)?.as_u64())
    }

    /// A hash over the prompt's beginning.
    pub(super) fn prefix(&self) -> dispatch::Prefix {
        let mut left = PREFIX_BYTES;
        let mut parts = vec![self.model.as_str()];
        for text in self.text() {
            let cut = (0..=left.min(text.len()))
                .rev()
                .find(|i| text.is_char_boundary(*i));
            let part = &text[..cut.unwrap_or(0)];
            left -= part.len();
            parts.push(part);
        }
        dispatch::Prefix(rendezvous::hash(&parts))
    }

    /// The body for an engine: with the tier as its priority, and with what was
    /// delivered as the beginning of the answer.
    pub(super) fn body(&self, call: &Call, chain: &Chain) -> Bytes {
        let mut body = self.body.clone();
        if let Value::Object(fields) = &mut body {
            fields.insert("priority".into(), call.class.tier.0.into());
            if chain.tokens.0 > 0 {
                resume(fields, self.max_tokens(), chain);
            }
        }
        body.to_string().into()
    }

    /// What is sent to an engine that answers without a stream.
    pub(super) fn outgoing(&self, path: &str, call: &Call) -> Outgoing {
        self.request(path, self.body(call, &Chain::default()))
    }

    /// The request that carries a body to an engine.
    pub(super) fn request(&self, path: &str, body: Bytes) -> Outgoing {
        let mut headers = hyper::HeaderMap::new();
        let json = header::HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        Outgoing {
            method: hyper::Method::POST,
            target: path.to_owned(),
            headers,
            body,
        }
    }
}

/// Whether a stream of this request can be resumed: a chat with one plain answer.
fn is_resumable(body: &Value) -> bool {
    let one = body.get("n").is_none_or(|n| n.as_u64() == Some(1));
    let plain = ["tools", "functions", "logprobs", "response_format"];
    let plain = plain.into_iter().all(|key| body.get(key).is_none());
    body.get("messages").is_some_and(Value::is_array) && one && plain
}

/// Adds what was delivered, as the answer to be continued.
fn resume(fields: &mut serde_json::Map<String, Value>, max_tokens: Option<u64>, chain: &Chain) {
    if let Some(Value::Array(messages)) = fields.get_mut("messages") {
        messages.push(serde_json::json!({ "role": "assistant", "content": chain.text }));
    }
    fields.insert("continue_final_message".into(), true.into());
    fields.insert("add_generation_prompt".into(), false.into());
    if let Some(max) = max_tokens {
        fields.remove("max_completion_tokens");
        fields.insert(
            "max_tokens".into(),
            max.saturating_sub(chain.tokens.0).max(1).into(),
        );
    }
}

/// The parts of a whole answer that matter here.
#[derive(Debug, Deserialize)]
struct WholeAnswer {
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// The tokens that an engine's whole answer says it has.
pub(super) fn tokens_of(body: &[u8]) -> unit::Tokens {
    let answer: Option<WholeAnswer> = serde_json::from_slice(body).ok();
    let usage = answer.and_then(|answer| answer.usage);
    unit::Tokens(usage.map_or(0, |usage| usage.completion_tokens))
}
