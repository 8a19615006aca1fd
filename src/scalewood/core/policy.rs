//! Policies: short programs that choose the service level of a request.
//!
//! A program is written in rhai. It sees the constants `team`, `class`, `service`,
//! `hour` (0 to 23, UTC), `prompt_tokens`, `max_tokens` and `load` (waiting
//! requests per slot), and returns a map with any of `class`, `target_ms`,
//! `deadline_ms`, `preemptible` and `spill`. Keys that it omits keep the values of
//! the class. A program can't give a request a tier that its service does not have:
//! it selects one of the service's classes, which sets the tier and the share.
//!
//! A program is compiled once per revision and runs with a limit on its operations.
//! Before a program is accepted, it is run for every class of its service.

use std::{fmt, sync::Arc, time::Duration};

use rhai::{Dynamic, Engine, Scope, AST};

use crate::core::{config, name, unit};

/// The maximum number of operations that a program may execute for one request.
pub const MAX_OPERATIONS: u64 = 10_000;

/// The maximum length of a program, in bytes.
pub const MAX_PROGRAM_BYTES: usize = 16 * 1024;

/// The inputs of a program for one request.
#[derive(Clone, Debug)]
pub struct Facts<'a> {
    /// The team that sent the request.
    pub team: &'a str,
    /// The requested class, or the team's default.
    pub class: &'a name::Class,
    /// The requested service.
    pub service: &'a name::Service,
    /// The hour of the day in UTC.
    pub hour: u8,
    /// The estimated length of the prompt, in tokens.
    pub prompt: unit::Tokens,
    /// The maximum length of the answer, in tokens.
    pub max_output: unit::Tokens,
    /// The number of waiting requests per slot of the service.
    pub load: f64,
}

/// The result of a program. Absent values are taken from the class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// The class that the request is treated as.
    pub class: Option<name::Class>,
    /// The time within which the first token is due, instead of the class's.
    pub target: Option<Duration>,
    /// The longest time that the request may wait, instead of the class's.
    pub deadline: Option<Duration>,
    /// Whether the run may be preempted; false protects it.
    pub preemptible: Option<bool>,
    /// Whether the request may be sent to another availability zone.
    pub spill: Option<bool>,
}

impl Decision {
    /// Returns the class with the decided values in place of its own.
    pub fn override_class(self, class: config::Class) -> config::Class {
        let target = self.target.unwrap_or(class.target);
        config::Class {
            target,
            deadline: self.deadline.unwrap_or(class.deadline).max(target),
            // A program may rule out preemption, but not allow it where the class rules it out.
            preemptible: class.preemptible && self.preemptible.unwrap_or(true),
            ..class
        }
    }
}

/// Why a program was rejected, or failed for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(String);

impl Error {
    /// Returns the error for a program that selects a class that the service does not have.
    pub fn unknown_class() -> Self {
        Self("it picks a class that the service does not have".into())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// A compiled program.
#[derive(Clone)]
pub struct Program {
    engine: Arc<Engine>,
    ast: Arc<AST>,
}

impl fmt::Debug for Program {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Program(..)")
    }
}

impl Program {
    /// Compiles a program from its source text.
    pub fn compile(text: &str) -> Result<Self, Error> {
        if text.len() > MAX_PROGRAM_BYTES {
            return Err(Error(format!(
                "the program is longer than {MAX_PROGRAM_BYTES} bytes; shorten it"
            )));
        }
        let engine = engine();
        let ast = engine.compile(text).map_err(|e| {
            Error(format!(
                "the program does not parse: {e}; correct it at that position"
            ))
        })?;
        Ok(Self {
            engine: Arc::new(engine),
            ast: Arc::new(ast),
        })
    }

    /// Compiles a program, and runs it for each class of its service with sample inputs to find
    /// errors.
    pub fn compile_checked(
        text: &str,
        classes: &[(&config::ClassKey, &config::Class)],
    ) -> Result<Self, Error> {
        let program = Self::compile(text)?;
        for (key, _) in classes {
            for (hour, load) in [(0, 0.0), (9, 1.0), (23, 10.0)] {
                program.try_class(key, hour, load, classes)?;
            }
        }
        Ok(program)
    }

    /// Runs the program for a class with sample inputs, and checks that it selects a class that
    /// the service has.
    fn try_class(
        &self,
        key: &config::ClassKey,
        hour: u8,
        load: f64,
        classes: &[(&config::ClassKey, &config::Class)],
    ) -> Result<(), Error> {
        let facts = Facts {
            team: "trial",
            class: &key.class,
            service: &key.service,
            hour,
            prompt: unit::Tokens(100),
            max_output: unit::Tokens(100),
            load,
        };
        let context = |why: String| Error(format!("tried against class {key} it fails: {why}"));
        let decision = self.decide(&facts).map_err(|e| context(e.0))?;
        match decision.class {
            Some(class) if !classes.iter().any(|(k, _)| k.class == class) => Err(context(format!(
                "it picks class {class}, which the service does not have"
            ))),
            _ => Ok(()),
        }
    }

    /// Runs the program for a request.
    pub fn decide(&self, facts: &Facts<'_>) -> Result<Decision, Error> {
        let mut scope = Scope::new();
        scope.push_constant("team", facts.team.to_owned());
        scope.push_constant("class", facts.class.to_string());
        scope.push_constant("service", facts.service.to_string());
        scope.push_constant("hour", i64::from(facts.hour));
        scope.push_constant("prompt_tokens", to_rhai_int(facts.prompt));
        scope.push_constant("max_tokens", to_rhai_int(facts.max_output));
        scope.push_constant("load", facts.load);
        let result = self
            .engine
            .eval_ast_with_scope::<rhai::Map>(&mut scope, &self.ast)
            .map_err(|e| Error(format!("the program stopped: {e}")))?;
        parse_decision(result)
    }
}

/// Converts a number of tokens to rhai's integer type; larger ones become its maximum.
fn to_rhai_int(tokens: unit::Tokens) -> i64 {
    i64::try_from(tokens.0).unwrap_or(i64::MAX)
}

/// Creates an interpreter that limits the resources of a program, and discards its output.
fn engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_expr_depths(32, 16);
    engine.set_max_call_levels(8);
    engine.set_max_string_size(1024);
    engine.set_max_array_size(64);
    engine.set_max_map_size(64);
    engine.disable_symbol("eval");
    engine.disable_symbol("import");
    engine.on_print(|_| {});
    engine.on_debug(|_, _, _| {});
    engine
}

/// Converts the map that a program returned; unknown keys and wrong types are errors.
fn parse_decision(map: rhai::Map) -> Result<Decision, Error> {
    let mut decision = Decision::default();
    for (key, value) in map {
        match key.as_str() {
            "class" => decision.class = Some(parse_class(value)?),
            "target_ms" => decision.target = Some(parse_millis(&key, &value)?),
            "deadline_ms" => decision.deadline = Some(parse_millis(&key, &value)?),
            "preemptible" => decision.preemptible = Some(parse_bool(&key, &value)?),
            "spill" => decision.spill = Some(parse_bool(&key, &value)?),
            other => {
                return Err(Error(format!(
                    "it returns `{other}`; known are class, target_ms, deadline_ms, preemptible and spill"
                )));
            }
        }
    }
    Ok(decision)
}

fn parse_class(value: Dynamic) -> Result<name::Class, Error> {
    let text = value
        .into_string()
        .map_err(|_| Error("`class` must be a string".into()))?;
    text.parse().map_err(|e: name::Error| Error(e.to_string()))
}

fn parse_millis(key: &str, value: &Dynamic) -> Result<Duration, Error> {
    let millis = value
        .as_int()
        .ok()
        .and_then(|n| u64::try_from(n).ok())
        .filter(|n| *n > 0);
    let millis = millis.ok_or_else(|| Error(format!("`{key}` must be a whole number above 0")))?;
    Ok(Duration::from_millis(millis))
}

fn parse_bool(key: &str, value: &Dynamic) -> Result<bool, Error> {
    value
        .as_bool()
        .map_err(|_| Error(format!("`{key}` must be true or false")))
}
