//! `scalewood-standin`: stands in for a model engine or a plain service.
//!
//! It implements the part of the usual model servers' HTTP API that the router uses, and what the
//! tests need: slots, priorities, streams, resumption, cancellation, a lagging load report, and
//! faults on demand under `/standin/`. Answers depend on the prompt alone, so that a caller can
//! check each piece.

// The stand-in does not have to survive a suspension of the machine.
#![allow(clippy::disallowed_methods)]

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

use clap::{builder::PossibleValuesParser, value_parser, Arg, ArgMatches, Command};

mod answer;
mod engine;
mod faults;
mod orders;
mod record;
mod serve;

/// Returns the parser of the command line.
fn cli() -> Command {
    Command::new("scalewood-standin")
        .about("Stands in for a model engine or a plain service")
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_parser(PossibleValuesParser::new(["model", "plain"]))
                .default_value("model")
                .help("What it stands in for"),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Where it takes requests"),
        )
        .arg(number("slots", "8", "How many requests it runs at once"))
        .arg(number(
            "first-us",
            "5000",
            "Microseconds to a first token, or to a plain answer",
        ))
        .arg(number(
            "token-us",
            "2000",
            "Microseconds between two tokens",
        ))
        .arg(number(
            "lag-ms",
            "300",
            "Milliseconds by which its load report lags",
        ))
        .arg(
            Arg::new("fencing")
                .long("fencing")
                .action(clap::ArgAction::SetTrue)
                .help("Refuse orders under an older term or number"),
        )
        .arg(
            Arg::new("record")
                .long("record")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("A file to which each request that runs is appended"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

/// The settings of a stand-in.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) model: bool,
    pub(crate) listen: SocketAddr,
    pub(crate) slots: usize,
    pub(crate) first: Duration,
    pub(crate) token: Duration,
    pub(crate) lag: Duration,
    pub(crate) fencing: bool,
    pub(crate) record: Option<PathBuf>,
}

fn settings(matches: &ArgMatches) -> Settings {
    let number = |key: &str| matches.get_one::<u64>(key).copied().unwrap_or_default();
    Settings {
        model: matches
            .get_one::<String>("kind")
            .is_some_and(|kind| kind == "model"),
        listen: *matches
            .get_one("listen")
            .expect("clap requires the address"),
        slots: usize::try_from(number("slots")).unwrap_or(usize::MAX),
        first: Duration::from_micros(number("first-us")),
        token: Duration::from_micros(number("token-us")),
        lag: Duration::from_millis(number("lag-ms")),
        fencing: matches.get_flag("fencing"),
        record: matches.get_one("record").cloned(),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let settings = settings(&cli().get_matches());
    let listen = settings.listen;
    match serve::run(Arc::new(serve::Standin::new(settings))).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {listen} can't be listened on: {error}; is it in use?");
            ExitCode::FAILURE
        }
    }
}
