//! `scalewood-entry`: the daemon of an entry box.

use std::{path::PathBuf, process::ExitCode};

use clap::{value_parser, Arg, ArgAction, Command};
use scalewood::{
    ops::entry,
    util::{log, settings},
};

/// Returns the parser of the command line.
fn cli() -> Command {
    Command::new("scalewood-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Takes callers' requests and has them served by endpoints")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The settings, as JSON with comments"),
        )
        .arg(
            Arg::new("verbose")
                .long("verbose")
                .action(ArgAction::SetTrue)
                .help("Log more"),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = cli().get_matches();
    let file: &PathBuf = matches
        .get_one("settings")
        .expect("clap requires the settings");
    let settings = match settings::load::<entry::Settings>(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(2);
        }
    };
    let log = log::logger("scalewood-entry", matches.get_flag("verbose"));
    match entry::run::<entry::dialect::Native>(settings, Some(file.clone()), log).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:?}");
            ExitCode::FAILURE
        }
    }
}
