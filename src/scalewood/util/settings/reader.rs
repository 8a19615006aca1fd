//! Reads the known keys of an object of settings and collects all problems with it.

use std::{fmt, str::FromStr, time::Duration};

use jsonc_parser::{ast, common::Ranged as _};

use super::{line_of, value::Span, Problem, Settings};
use crate::core::unit;

/// Removes the known keys from an object one by one and records problems.
pub struct Reader<'a> {
    /// The whole file, for line numbers.
    text: &'a str,
    /// The object's path from the root, which is empty for the root itself.
    path: String,
    /// The line on which the object begins.
    line: usize,
    /// The properties that were not read yet.
    properties: Vec<ast::ObjectProp<'a>>,
    /// The keys that were asked for.
    known: Vec<&'static str>,
    problems: &'a mut Vec<Problem>,
}

impl fmt::Debug for Reader<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Reader({})", self.path)
    }
}

impl<'a> Reader<'a> {
    pub(super) fn new(
        text: &'a str,
        path: String,
        object: ast::Object<'a>,
        problems: &'a mut Vec<Problem>,
    ) -> Self {
        let line = line_of(text, object.range.start);
        Self {
            text,
            path,
            line,
            properties: object.properties,
            known: Vec::new(),
            problems,
        }
    }

    /// Returns a key's path from the root.
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Removes a property and returns its line and value.
    fn take(&mut self, key: &'static str) -> Option<(usize, ast::Value<'a>)> {
        self.known.push(key);
        let index = self
            .properties
            .iter()
            .position(|p| p.name.as_str() == key)?;
        let property = self.properties.remove(index);
        Some((line_of(self.text, property.range.start), property.value))
    }

    /// Records a problem with a key, at the line of the object.
    pub fn problem(&mut self, key: &str, why: impl Into<String>, instead: impl Into<String>) {
        let path = self.path_of(key);
        let line = self.line;
        self.problems.push(Problem {
            line,
            path,
            why: why.into(),
            instead: instead.into(),
        });
    }

    /// Records a problem with a key, at a given line.
    fn problem_at(&mut self, line: usize, key: &str, why: String, instead: &str) {
        let path = self.path_of(key);
        self.problems.push(Problem {
            line,
            path,
            why,
            instead: instead.into(),
        });
    }

    /// Reads an optional string that parses as `T`; problems show `example`.
    pub fn parsed<T>(&mut self, key: &'static str, example: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let (line, value) = self.take(key)?;
        let why = match value {
            ast::Value::StringLit(text) => match text.value.parse() {
                Ok(value) => return Some(value),
                Err(error) => format!("{error}"),
            },
            _ => "it is not a text".into(),
        };
        self.problem_at(line, key, why, &format!("a text like \"{example}\""));
        None
    }

    /// Reads a required string that parses as `T`; problems show `example`.
    pub fn required<T>(&mut self, key: &'static str, example: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if !self.properties.iter().any(|p| p.name.as_str() == key) {
            self.known.push(key);
            self.problem(key, "it is missing", format!("\"{key}\": \"{example}\""));
            return None;
        }
        self.parsed(key, example)
    }

    /// Reads a duration with its unit, like `2s` or `500ms`.
    pub fn duration(&mut self, key: &'static str, default: Duration) -> Duration {
        let parsed: Option<Span> = self.parsed(key, "2s");
        parsed.map_or(default, |span| span.0)
    }

    /// Reads a size with its unit, like `1MiB`.
    pub fn size(&mut self, key: &'static str, default: unit::Size) -> unit::Size {
        self.parsed(key, "1MiB").unwrap_or(default)
    }

    /// Reads `true` or `false`.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        let Some((line, value)) = self.take(key) else {
            return default;
        };
        if let ast::Value::BooleanLit(flag) = &value {
            return flag.value;
        }
        self.problem_at(
            line,
            key,
            "it is neither true nor false".into(),
            "true or false",
        );
        default
    }

    /// Reads a number that parses as `T`.
    pub fn number<T: FromStr>(&mut self, key: &'static str, default: T) -> T {
        let Some((line, value)) = self.take(key) else {
            return default;
        };
        if let ast::Value::NumberLit(number) = &value {
            if let Ok(number) = number.value.parse() {
                return number;
            }
        }
        self.problem_at(
            line,
            key,
            "it is not a whole number in range".into(),
            "a number like 8",
        );
        default
    }

    /// Reads a list of objects; returns an empty list if the key is missing.
    pub fn list<S: Settings>(&mut self, key: &'static str) -> Vec<S> {
        let Some((line, value)) = self.take(key) else {
            return Vec::new();
        };
        let ast::Value::Array(array) = value else {
            self.problem_at(
                line,
                key,
                "it is not a list".into(),
                "a list like [{ ... }]",
            );
            return Vec::new();
        };
        let mut items = Vec::new();
        for (i, element) in array.elements.into_iter().enumerate() {
            let path = format!("{}[{i}]", self.path_of(key));
            let line = line_of(self.text, element.range().start);
            let ast::Value::Object(object) = element else {
                self.problems.push(Problem {
                    line,
                    path,
                    why: "it is not an object".into(),
                    instead: "an object like { \"key\": value }".into(),
                });
                continue;
            };
            let mut reader = Reader::new(self.text, path, object, self.problems);
            items.push(S::read(&mut reader));
            reader.finish();
        }
        items
    }

    /// Reads an object; returns the defaults if the key is missing.
    pub fn object<S: Settings + Default>(&mut self, key: &'static str) -> S {
        let Some((line, value)) = self.take(key) else {
            return S::default();
        };
        let ast::Value::Object(object) = value else {
            self.problem_at(
                line,
                key,
                "it is not an object".into(),
                "{ \"key\": value }",
            );
            return S::default();
        };
        let path = self.path_of(key);
        let mut reader = Reader::new(self.text, path, object, self.problems);
        let settings = S::read(&mut reader);
        reader.finish();
        settings
    }

    /// Records a problem for each key that is left: it is unknown or occurs twice.
    pub(super) fn finish(mut self) {
        for property in std::mem::take(&mut self.properties) {
            let key = property.name.as_str().to_owned();
            let line = line_of(self.text, property.range.start);
            let taken = self.known.contains(&key.as_str());
            let why = if taken {
                "it occurs twice"
            } else {
                "it is not a known key"
            };
            let instead = match nearest(&key, &self.known) {
                Some(known) if !taken => format!("`{known}`, or leave it out"),
                _ if taken => "it once".to_owned(),
                _ => format!("one of {}", self.known.join(", ")),
            };
            self.problem_at(line, &key, why.into(), &instead);
        }
    }
}

/// Returns the known key with the smallest edit distance to a key, if that is small enough.
fn nearest(key: &str, known: &[&'static str]) -> Option<&'static str> {
    /// The largest edit distance between a misspelt key and the known one.
    const MAX_DISTANCE: usize = 3;
    let scored = known.iter().map(|k| (distance(key, k), *k));
    scored
        .filter(|(d, k)| *d <= MAX_DISTANCE && *d < k.len())
        .min()
        .map(|(_, k)| k)
}

/// Returns the Levenshtein distance between two texts, in bytes.
fn distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.bytes().enumerate() {
            let replaced = corner + usize::from(x != y);
            corner = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(corner + 1);
        }
    }
    row[b.len()]
}
