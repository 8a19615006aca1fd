//! Settings files: JSON with comments, one file for each process.
//!
//! A [`Reader`] removes the known keys from an object one by one and records each problem with
//! its line; the keys that are left at the end are unknown. So an operator gets all problems of a
//! file at once, each with what to write instead.

use std::{fmt, path::Path};

use jsonc_parser::ast;

mod reader;
mod value;

pub use reader::Reader;
pub use value::{timing, zones, Address};

/// A problem with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The line, from 1.
    pub line: usize,
    /// The key's path, like `listen.callers`.
    pub path: String,
    /// What is wrong.
    pub why: String,
    /// What to write instead.
    pub instead: String,
}

/// All problems with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    file: String,
    problems: Vec<Problem>,
}

impl Error {
    /// Returns the problems, in the order of their lines.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the settings can't be used")?;
        for Problem {
            line,
            path,
            why,
            instead,
        } in &self.problems
        {
            write!(
                f,
                "\n  {}:{line}: `{path}`: {why}\n      write {instead}",
                self.file
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

/// Settings that can be read from an object.
pub trait Settings: Sized {
    /// Reads the keys of the settings and records problems in the reader.
    fn read(reader: &mut Reader<'_>) -> Self;
}

/// Reads settings from a file.
///
/// # Errors
///
/// Fails with all problems of the file.
pub fn load<S: Settings>(path: &Path) -> Result<S, Error> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => Err(Error {
            file,
            problems: vec![Problem {
                line: 1,
                path: "(file)".into(),
                why: format!("it can't be read: {error}"),
                instead: "a readable file, and name it with --settings".into(),
            }],
        }),
    }
}

/// Parses settings from a text; `file` is the file name that errors show.
///
/// # Errors
///
/// Fails with all problems of the text.
pub fn parse<S: Settings>(file: &str, text: &str) -> Result<S, Error> {
    let fail = |problems| Error {
        file: file.to_owned(),
        problems,
    };
    let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &Default::default());
    let parsed = parsed.map_err(|error| {
        let line = line_of(text, error.range().start);
        fail(vec![Problem {
            line,
            path: "(file)".into(),
            why: format!("it is not JSON with comments: {}", error.kind()),
            instead: "an object like { \"key\": value }".into(),
        }])
    })?;
    let Some(ast::Value::Object(object)) = parsed.value else {
        return Err(fail(vec![Problem {
            line: 1,
            path: "(file)".into(),
            why: "it holds no object".into(),
            instead: "an object like { \"key\": value }".into(),
        }]));
    };
    let mut problems = Vec::new();
    let mut reader = Reader::new(text, String::new(), object, &mut problems);
    let settings = S::read(&mut reader);
    reader.finish();
    if problems.is_empty() {
        return Ok(settings);
    }
    problems.sort_by_key(|problem| problem.line);
    Err(fail(problems))
}

/// Returns the line, from 1, of an offset in bytes.
fn line_of(text: &str, offset: usize) -> usize {
    1 + text
        .bytes()
        .take(offset)
        .filter(|byte| *byte == b'\n')
        .count()
}
