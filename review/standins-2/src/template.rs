//! Fills a settings template as DEPLOY.md describes it.

use std::collections::BTreeMap;

/// A value of the platform's settings.
#[derive(Clone, Debug)]
pub enum Value {
    Text(String),
    Plain(String),
    Flag(bool),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn text(text: impl Into<String>) -> Self {
        Self::Text(text.into())
    }

    pub fn number(number: impl ToString) -> Self {
        Self::Plain(number.to_string())
    }

    pub fn table<const N: usize>(fields: [(&str, Value); N]) -> Self {
        let fields = fields
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value));
        Self::Table(fields.collect())
    }

    fn json(&self) -> String {
        match self {
            Self::Text(text) => format!("\"{text}\""),
            Self::Plain(text) => text.clone(),
            Self::Flag(flag) => flag.to_string(),
            Self::List(list) => {
                let list: Vec<_> = list.iter().map(Self::json).collect();
                format!("[{}]", list.join(","))
            }
            Self::Table(table) => {
                let fields = table.iter().map(|(k, v)| format!("\"{k}\":{}", v.json()));
                format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
            }
        }
    }

    fn shown(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::List(list) => {
                let list: Vec<_> = list.iter().map(Self::shown).collect();
                list.join(",")
            }
            other => other.json(),
        }
    }
}

/// An entry of a section that is being filled.
struct Frame {
    entry: Value,
    key: String,
    is_last: bool,
}

fn path(value: &Value, name: &str) -> Option<Value> {
    let mut at = value.clone();
    for part in name.split('.') {
        at = match at {
            Value::Table(table) => table.get(part)?.clone(),
            Value::List(list) => list.get(part.parse::<usize>().ok()?)?.clone(),
            _ => return None,
        };
    }
    Some(at)
}

fn find(frames: &[Frame], name: &str) -> Option<Value> {
    if name == "." {
        return frames.last().map(|frame| frame.entry.clone());
    }
    frames
        .iter()
        .rev()
        .find_map(|frame| path(&frame.entry, name))
}

/// Returns the template with its gaps filled.
pub fn fill(template: &str, fields: &Value) -> String {
    let mut frames = vec![Frame {
        entry: fields.clone(),
        key: String::new(),
        is_last: true,
    }];
    section(template, &mut frames)
}

fn section(template: &str, frames: &mut Vec<Frame>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(begin) = rest.find("{{") {
        out.push_str(&rest[..begin]);
        let end = begin + rest[begin..].find("}}").expect("a gap ends");
        let gap = &rest[begin + 2..end];
        rest = &rest[end + 2..];
        let (mark, name) = gap.split_at(1);
        match mark {
            "#" | "^" => {
                let close = format!("{{{{/{name}}}}}");
                let length = rest.find(&close).expect("a section ends");
                let inner = &rest[..length];
                rest = &rest[length + close.len()..];
                let found = find(frames, name);
                let entries: Vec<(String, Value)> = match found {
                    None | Some(Value::Flag(false)) if mark == "^" => {
                        out.push_str(&section(inner, frames));
                        continue;
                    }
                    None | Some(Value::Flag(false)) => continue,
                    Some(_) if mark == "^" => continue,
                    Some(Value::List(list)) => {
                        let list = list.into_iter().enumerate();
                        list.map(|(i, value)| (i.to_string(), value)).collect()
                    }
                    Some(Value::Table(table)) => table.into_iter().collect(),
                    Some(value) => vec![(String::new(), value)],
                };
                let count = entries.len();
                for (i, (key, entry)) in entries.into_iter().enumerate() {
                    frames.push(Frame {
                        entry,
                        key,
                        is_last: i + 1 == count,
                    });
                    out.push_str(&section(inner, frames));
                    frames.pop();
                }
            }
            "," if gap == "," => {
                if frames.last().is_some_and(|frame| !frame.is_last) {
                    out.push(',');
                }
            }
            "@" if gap == "@" => out.push_str(&frames.last().expect("a frame").key),
            _ => {
                let (name, as_json) = match gap.strip_suffix("|json") {
                    Some(name) => (name, true),
                    None => (gap, false),
                };
                if let Some(value) = find(frames, name) {
                    out.push_str(&if as_json { value.json() } else { value.shown() });
                }
            }
        }
    }
    out.push_str(rest);
    out
}
