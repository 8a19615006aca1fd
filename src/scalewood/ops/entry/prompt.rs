//! Model requests: parses the caller's request and builds the request for an engine.

use bytes::Bytes;
use hyper::{header, StatusCode};
use serde::Deserialize;
use serde_json::Value;

use crate::{
    core::{dispatch, rendezvous, unit},
    ops::entry::{
        call::{Call, Size},
        model::Transcript,
        payload::Payload,
        plain::Outgoing,
        reply::Refusal,
    },
};

/// The bytes of text per token assumed by the estimate of a prompt's length.
const BYTES_PER_TOKEN: u64 = 4;
/// The number of leading bytes of a prompt that its prefix hash covers.
const PREFIX_BYTES: usize = 2048;
/// The assumed maximum length of an answer in tokens if the caller states none.
const DEFAULT_MAX_OUTPUT_TOKENS: u64 = 512;

/// A parsed model request.
#[derive(Clone, Debug)]
pub(super) struct Prompt {
    body: Value,
    /// The model's name.
    pub(super) model: String,
    /// Whether the caller asked for a stream.
    pub(super) stream: bool,
    /// Whether a stream of the request can be resumed at another engine.
    resumable: bool,
}

impl Prompt {
    /// Parses a request's body.
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

    /// Returns whether a stream of this request can be resumed.
    pub(super) fn is_resumable(&self) -> bool {
        self.resumable
    }

    /// Returns the texts of the prompt: `prompt`, then the content of each message.
    fn texts(&self) -> impl Iterator<Item = &str> {
        let prompt = self.body.get("prompt").and_then(Value::as_str);
        let messages = self.body.get("messages").and_then(Value::as_array);
        let contents = messages
            .into_iter()
            .flatten()
            .filter_map(|m| m.get("content")?.as_str());
        prompt.into_iter().chain(contents)
    }

    /// Returns the request's estimated size.
    pub(super) fn size(&self) -> Size {
        let bytes: usize = self.texts().map(str::len).sum();
        Size {
            prompt: unit::Tokens(bytes as u64 / BYTES_PER_TOKEN + 1),
            max_output: unit::Tokens(self.max_tokens().unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS)),
        }
    }

    /// Returns the maximum length of the answer that the caller states.
    fn max_tokens(&self) -> Option<u64> {
        let keys = ["max_completion_tokens", "max_tokens"];
        keys.into_iter()
            .find_map(|key| self.body.get(key)?.as_u64())
    }

    /// Returns a hash of the model's name and the beginning of the prompt.
    pub(super) fn prefix(&self) -> dispatch::Prefix {
        let mut left = PREFIX_BYTES;
        let mut parts = vec![self.model.as_str()];
        for text in self.texts() {
            let cut = (0..=left.min(text.len()))
                .rev()
                .find(|i| text.is_char_boundary(*i));
            let part = &text[..cut.unwrap_or(0)];
            left -= part.len();
            parts.push(part);
        }
        dispatch::Prefix(rendezvous::hash(&parts))
    }

    /// Returns the body for an engine, with the tier as its priority and with the text delivered so
    /// far as the beginning of the answer.
    pub(super) fn body(&self, call: &Call, transcript: &Transcript) -> Payload {
        let mut body = self.body.clone();
        if let Value::Object(fields) = &mut body {
            fields.insert("priority".into(), call.class.tier.0.into());
            if transcript.tokens.0 > 0 {
                resume(fields, self.max_tokens(), transcript);
            }
        }
        Bytes::from(body.to_string()).into()
    }

    /// Returns the request for an engine that answers without a stream.
    pub(super) fn outgoing(&self, path: &str, call: &Call) -> Outgoing {
        self.request(path, self.body(call, &Transcript::default()))
    }

    /// Returns the request that sends a body to an engine.
    pub(super) fn request(&self, path: &str, body: Payload) -> Outgoing {
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

/// Returns whether a stream of a request can be resumed: it must be a chat with a single answer of
/// plain text.
fn is_resumable(body: &Value) -> bool {
    let one = body.get("n").is_none_or(|n| n.as_u64() == Some(1));
    let plain = ["tools", "functions", "logprobs", "response_format"];
    let plain = plain.into_iter().all(|key| body.get(key).is_none());
    body.get("messages").is_some_and(Value::is_array) && one && plain
}

/// Makes the engine continue the delivered text, and subtracts its tokens from the maximum.
fn resume(
    fields: &mut serde_json::Map<String, Value>,
    max_tokens: Option<u64>,
    transcript: &Transcript,
) {
    if let Some(Value::Array(messages)) = fields.get_mut("messages") {
        messages.push(serde_json::json!({ "role": "assistant", "content": transcript.text }));
    }
    fields.insert("continue_final_message".into(), true.into());
    fields.insert("add_generation_prompt".into(), false.into());
    if let Some(max) = max_tokens {
        fields.remove("max_completion_tokens");
        fields.insert(
            "max_tokens".into(),
            max.saturating_sub(transcript.tokens.0).max(1).into(),
        );
    }
}

/// The fields of a non-streamed answer that are read.
#[derive(Debug, Deserialize)]
struct WholeAnswer {
    usage: Option<Usage>,
}

/// The token counts of an answer.
#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// Returns the token count that a non-streamed answer states, or 0 if it states none.
pub(super) fn tokens_of(body: &[u8]) -> unit::Tokens {
    let answer: Option<WholeAnswer> = serde_json::from_slice(body).ok();
    let usage = answer.and_then(|answer| answer.usage);
    unit::Tokens(usage.map_or(0, |usage| usage.completion_tokens))
}
