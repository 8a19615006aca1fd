//! Model requests: parses the caller's request and builds the request for an engine.

use std::{borrow::Cow, sync::Arc};

use hyper::{header, StatusCode};
use serde::{
    de::{self, MapAccess, SeqAccess, Visitor},
    Deserialize, Deserializer,
};
use serde_json::value::RawValue;

use crate::{
    core::{dispatch, rendezvous, unit},
    ops::entry::{
        arrival::Arrivals,
        buffer::Permit,
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
///
/// The body is kept as the caller sent it: as a tree of values it could take a hundred times the memory.
#[derive(Clone, Debug)]
pub(super) struct Prompt {
    body: Payload,
    /// The model's name.
    pub(super) model: String,
    /// Whether the caller asked for a stream.
    pub(super) stream: bool,
    /// Whether a stream of the request can be resumed at another engine.
    resumable: bool,
    /// The length of the prompt's texts, in bytes.
    text_bytes: u64,
    /// The maximum length of the answer that the caller states.
    max_tokens: Option<u64>,
    prefix: dispatch::Prefix,
    /// The permit for the copies of the body that are sent to engines.
    copies: Arc<Permit>,
}

/// The copies of a body that are in memory beside it, at most: one that is sent to an engine, and one that another
/// engine is sent beside it, or that is made while the body is read.
const COPIES: usize = 2;

impl Prompt {
    /// Parses a request's body.
    pub(super) fn read(arrivals: &Arrivals, body: Payload) -> Result<Self, Refusal> {
        let copies = Arc::new(arrivals.reserve(body.len() * COPIES)?);
        let bad = |why: String| Refusal::not_run(StatusCode::BAD_REQUEST, "bad-request", why);
        let no_json = |error: &dyn std::fmt::Display| {
            bad(format!("the body is not JSON: {error}; send a JSON object"))
        };
        let joined = body.joined();
        let text = std::str::from_utf8(&joined).map_err(|error| no_json(&error))?;
        let fields: Fields<'_> = serde_json::from_str(text).map_err(|error| no_json(&error))?;
        let model = fields
            .model
            .ok_or_else(|| bad("`model` is missing; name a model".into()))?;
        let stream = match fields.stream {
            None | Some("null" | "false") => false,
            Some("true") => true,
            Some(_) => return Err(bad("`stream` must be true or false".into())),
        };
        let texts = fields.texts.iter().chain(&fields.message_texts);
        let text_bytes = texts.clone().map(|text| text.bytes).sum();
        let prefix = prefix(&model, texts.map(|text| text.begin.as_str()));
        Ok(Self {
            model,
            stream,
            resumable: fields.has_messages && !fields.has_more && fields.is_single,
            text_bytes,
            max_tokens: fields.max_completion_tokens.or(fields.max_tokens),
            prefix,
            copies,
            body: body.clone(),
        })
    }

    /// Returns whether a stream of this request can be resumed.
    pub(super) fn is_resumable(&self) -> bool {
        self.resumable
    }

    /// Returns the request's estimated size.
    pub(super) fn size(&self) -> Size {
        Size {
            prompt: unit::Tokens(self.text_bytes / BYTES_PER_TOKEN + 1),
            max_output: unit::Tokens(self.max_tokens.unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS)),
        }
    }

    /// Returns a hash of the model's name and the beginning of the prompt.
    pub(super) fn prefix(&self) -> dispatch::Prefix {
        self.prefix
    }

    /// Returns the body for an engine, with the tier as its priority and with the text delivered so
    /// far as the beginning of the answer.
    pub(super) fn body(&self, call: &Call, transcript: &Transcript) -> Payload {
        let joined = self.body.joined();
        let text = std::str::from_utf8(&joined).expect("the body was read as text");
        let rewritten = Rewriter::new(call.class.tier, self.max_tokens, transcript).rewrite(text);
        // A body that was read once can be read again.
        let rewritten = rewritten.expect("the body was read as JSON");
        Payload::new(rewritten.into(), self.copies.clone())
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

/// Returns a hash of a model's name and the beginnings of texts.
fn prefix<'a>(model: &'a str, texts: impl Iterator<Item = &'a str>) -> dispatch::Prefix {
    let mut left = PREFIX_BYTES;
    let mut parts = vec![model];
    for text in texts {
        let part = beginning(text, left);
        left -= part.len();
        parts.push(part);
    }
    dispatch::Prefix(rendezvous::hash(&parts))
}

/// Returns the longest beginning of a text that has at most `max` bytes.
fn beginning(text: &str, max: usize) -> &str {
    let cut = (0..=max.min(text.len()))
        .rev()
        .find(|i| text.is_char_boundary(*i));
    &text[..cut.unwrap_or(0)]
}

/// A text of a prompt.
#[derive(Debug)]
struct Text {
    bytes: u64,
    /// Its first bytes, as far as a hash covers them.
    begin: String,
}

impl Text {
    /// Returns a JSON value's text, or `None` if it is no string. `left` is how much of it a hash may cover.
    fn read(value: &RawValue, left: &mut usize) -> Option<Self> {
        let value = value.get();
        if !value.starts_with('"') {
            return None;
        }
        let text: Cow<'_, str> = if value.contains('\\') {
            Cow::Owned(serde_json::from_str(value).ok()?)
        } else {
            Cow::Borrowed(&value[1..value.len() - 1])
        };
        let begin = beginning(&text, *left);
        *left -= begin.len();
        Some(Self {
            bytes: text.len() as u64,
            begin: begin.to_owned(),
        })
    }
}

/// The keys of a request that matter here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(field_identifier, rename_all = "snake_case")]
enum Key {
    Model,
    Stream,
    Prompt,
    Messages,
    MaxTokens,
    MaxCompletionTokens,
    N,
    Tools,
    Functions,
    Logprobs,
    ResponseFormat,
    #[serde(other)]
    Other,
}

/// The fields of a request that matter here; of a field that occurs twice, the last one.
#[derive(Debug, Default)]
struct Fields<'a> {
    model: Option<String>,
    /// As it is written.
    stream: Option<&'a str>,
    texts: Option<Text>,
    message_texts: Vec<Text>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    /// Whether there are messages.
    has_messages: bool,
    /// Whether one answer is asked for.
    is_single: bool,
    /// Whether anything is asked for that is no plain text.
    has_more: bool,
}

impl<'de> Deserialize<'de> for Fields<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields<'de>;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields<'de>, A::Error> {
        let mut fields = Fields {
            is_single: true,
            ..Fields::default()
        };
        while let Some(key) = map.next_key::<Key>()? {
            let value: &RawValue = map.next_value()?;
            let number = || serde_json::from_str::<u64>(value.get()).ok();
            match key {
                Key::Model => fields.model = serde_json::from_str(value.get()).ok(),
                Key::Stream => fields.stream = Some(value.get()),
                Key::Prompt => fields.texts = Text::read(value, &mut PREFIX_BYTES.clone()),
                Key::Messages => {
                    fields.has_messages = value.get().starts_with('[');
                    fields.message_texts = message_texts(value);
                }
                Key::MaxTokens => fields.max_tokens = number(),
                Key::MaxCompletionTokens => fields.max_completion_tokens = number(),
                Key::N => fields.is_single = number() == Some(1),
                Key::Tools | Key::Functions | Key::Logprobs | Key::ResponseFormat => {
                    fields.has_more = true;
                }
                Key::Other => {}
            }
        }
        Ok(fields)
    }
}

/// Returns the texts of messages; what is no message has none.
fn message_texts(messages: &RawValue) -> Vec<Text> {
    let mut texts = Texts::default();
    let mut deserializer = serde_json::Deserializer::from_str(messages.get());
    // What is no list has no texts.
    let _ = deserializer.deserialize_seq(&mut texts);
    texts.found
}

/// The texts of the messages so far.
#[derive(Debug)]
struct Texts {
    found: Vec<Text>,
    left: usize,
}

impl Default for Texts {
    fn default() -> Self {
        Self {
            found: Vec::new(),
            left: PREFIX_BYTES,
        }
    }
}

/// The field of a message that is read.
#[derive(Debug, Deserialize)]
struct ChatMessage<'a> {
    #[serde(borrow)]
    content: Option<&'a RawValue>,
}

impl<'de> Visitor<'de> for &mut Texts {
    type Value = ();

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a list of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut messages: A) -> Result<(), A::Error> {
        while let Some(message) = messages.next_element::<&RawValue>()? {
            let message: Option<ChatMessage<'_>> = serde_json::from_str(message.get()).ok();
            let content = message.and_then(|message| message.content);
            let text = content.and_then(|content| Text::read(content, &mut self.left));
            self.found.extend(text);
        }
        Ok(())
    }
}

/// Writes a request for an engine.
struct Rewriter<'a> {
    tier: unit::Tier,
    max_tokens: Option<u64>,
    transcript: &'a Transcript,
    out: Vec<u8>,
}

impl<'a> Rewriter<'a> {
    fn new(tier: unit::Tier, max_tokens: Option<u64>, transcript: &'a Transcript) -> Self {
        Self {
            tier,
            max_tokens,
            transcript,
            out: Vec::new(),
        }
    }

    /// Returns the request whose text is given, with what the engine needs beside.
    fn rewrite(mut self, text: &str) -> serde_json::Result<Vec<u8>> {
        self.out.reserve(text.len());
        serde_json::Deserializer::from_str(text).deserialize_map(&mut self)?;
        Ok(self.out)
    }

    fn is_resumed(&self) -> bool {
        self.transcript.tokens.0 > 0
    }

    /// Returns whether a field is left out, or written anew at the end.
    fn is_replaced(&self, key: &str) -> bool {
        let limits = ["max_tokens", "max_completion_tokens"];
        let resumed = ["continue_final_message", "add_generation_prompt"];
        key == "priority"
            || self.is_resumed()
                && (resumed.contains(&key) || self.max_tokens.is_some() && limits.contains(&key))
    }

    fn write_field(&mut self, key: &str, value: &str) -> serde_json::Result<()> {
        self.out.push(if self.out.is_empty() { b'{' } else { b',' });
        serde_json::to_writer(&mut self.out, key)?;
        self.out.push(b':');
        self.out.extend_from_slice(value.as_bytes());
        Ok(())
    }

    /// Writes messages with the text that was delivered as the last one.
    fn write_messages(&mut self, messages: &str) -> serde_json::Result<()> {
        let begin = messages.trim_end().trim_end_matches(']');
        self.write_field("messages", begin)?;
        if begin.trim_end() != "[" {
            self.out.push(b',');
        }
        let last = serde_json::json!({ "role": "assistant", "content": self.transcript.text });
        serde_json::to_writer(&mut self.out, &last)?;
        self.out.push(b']');
        Ok(())
    }

    /// Writes the fields that were replaced. A resumed request makes the engine continue the delivered text, and
    /// subtracts its tokens from the maximum.
    fn write_replaced(&mut self) -> serde_json::Result<()> {
        let tier = self.tier.0.to_string();
        self.write_field("priority", &tier)?;
        if self.is_resumed() {
            self.write_field("continue_final_message", "true")?;
            self.write_field("add_generation_prompt", "false")?;
            if let Some(max) = self.max_tokens {
                let left = max.saturating_sub(self.transcript.tokens.0).max(1);
                self.write_field("max_tokens", &left.to_string())?;
            }
        }
        self.out.push(b'}');
        Ok(())
    }
}

impl<'de> Visitor<'de> for &mut Rewriter<'_> {
    type Value = ();

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some((key, value)) = map.next_entry::<String, &RawValue>()? {
            let value = value.get();
            let written = if self.is_replaced(&key) {
                Ok(())
            } else if self.is_resumed() && key == "messages" && value.starts_with('[') {
                self.write_messages(value)
            } else {
                self.write_field(&key, value)
            };
            written.map_err(de::Error::custom)?;
        }
        self.write_replaced().map_err(de::Error::custom)
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
