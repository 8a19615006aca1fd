//! Explains from the logs what happened to one request.
//!
//! Each process logs a line for each decision about a request. [`explain`] takes the log lines of
//! several processes, keeps those about one request and describes each decision in plain words.

use serde_json::{Map, Value};

use crate::util::event::Event;

/// The explanation of one log line about the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When the line was logged, by the process's wall clock.
    pub time: String,
    /// The program that logged the line.
    pub program: String,
    /// The explanation.
    pub text: String,
}

/// The fields that are not listed with the others, since every line has them or the explanation
/// shows them elsewhere.
const COMMON: [&str; 6] = ["msg", "level", "ts", "program", "event", "id"];

/// Returns explanations of the lines about a request, the earliest first.
///
/// `id` is the caller's own id, the id that the system assigned, or the fingerprint of a request
/// during which endpoints crashed, which finds every submission of that request. Text before a
/// line's JSON object is skipped, and so are lines of other systems.
pub fn explain<'a>(id: &str, logs: impl Iterator<Item = &'a str>) -> Vec<Line> {
    let mut lines: Vec<_> = logs.filter_map(|line| explain_line(id, line)).collect();
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    lines
}

/// Explains a log line if it is about the request.
fn explain_line(id: &str, line: &str) -> Option<Line> {
    let object = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let is_id = |name: &str| fields.get(name).and_then(Value::as_str) == Some(id);
    if !["id", "request", "fingerprint"].into_iter().any(is_id) {
        return None;
    }
    let field = |name: &str| field_text(&fields, name);
    Some(Line {
        time: field("ts"),
        program: field("program"),
        text: describe(&fields),
    })
}

/// Returns a field as text, or a dash if it is missing or null.
fn field_text(fields: &Map<String, Value>, name: &str) -> String {
    match fields.get(name) {
        None | Some(Value::Null) => "-".into(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// Returns why a request was refused for lack of capacity, if it was.
fn capacity_cause(fields: &Map<String, Value>) -> String {
    let text = |name: &str| fields.get(name).and_then(Value::as_str);
    match (text("cause"), text("held_back_by")) {
        (None, _) => String::new(),
        (Some(_), None) => "; there was no room for the request itself".into(),
        (Some(cause), Some(class)) => format!("; {cause} by class {class}, which is refused"),
    }
}

/// Describes a line in plain words.
fn describe(fields: &Map<String, Value>) -> String {
    let field = |name: &str| field_text(fields, name);
    let number = fields.get("event").and_then(Value::as_u64);
    let is = |event: Event| number == Some(event.number().into());
    if is(Event::RequestRetried) {
        let follows = match fields.get("again").and_then(Value::as_bool) {
            Some(true) => "another attempt follows",
            _ => "no attempt follows",
        };
        let backoff = match fields.get("rest_ms").and_then(Value::as_u64) {
            Some(rest_ms) => format!(", which wants nothing from this box for {rest_ms} ms"),
            None => String::new(),
        };
        return format!(
            "attempt {} at {}{backoff} came to nothing ({}); {follows}, {} ms are left",
            field("tries"),
            field("endpoint"),
            field("how"),
            field("left_ms")
        );
    }
    if is(Event::RequestEnded) {
        return format!(
            "answered {} ({}) after {} ms, verdict {}: route {}, rank {}, team {}, prompt of {} \
             tokens, {} attempts, the last at {}; first event after {} ms, longest pause {} ms; \
             configuration revision {}; told to come back after {} ms, had come back before: {}{}",
            field("status"),
            field("code"),
            field("took_ms"),
            field("verdict"),
            field("route"),
            field("rank"),
            field("team"),
            field("prompt"),
            field("tries"),
            field("endpoint"),
            field("first_ms"),
            field("pause_ms"),
            field("revision"),
            field("retry_ms"),
            field("returned"),
            capacity_cause(fields)
        );
    }
    let other = fields
        .keys()
        .filter(|name| !COMMON.contains(&name.as_str()));
    let other: Vec<_> = other
        .map(|name| format!("{name} {}", field(name)))
        .collect();
    format!("{} ({})", field("msg"), other.join(", "))
}
