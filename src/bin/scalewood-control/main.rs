//! `scalewood-control`: the daemon of a voter, which stores the configuration.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use error_stack::Report;
use scalewood::{
    ops::control,
    util::{log, settings},
};

/// Returns the parser of the command line.
fn cli() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The settings, as JSON with comments");
    let verbose = Arg::new("verbose")
        .long("verbose")
        .action(ArgAction::SetTrue)
        .help("Log more");
    Command::new("scalewood-control")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Agrees on the configuration and keeps it")
        .subcommand_required(true)
        .subcommand(
            Command::new("init")
                .about("Initialises the data folder of the first voter of a new system")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("join")
                .about("Initialises an empty data folder, to join as a learner")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("run")
                .about("Runs the voter")
                .arg(settings)
                .arg(verbose),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = cli().get_matches();
    let Some((name, matches)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    let file: &PathBuf = matches
        .get_one("settings")
        .expect("clap requires the settings");
    let settings = match settings::load::<control::Settings>(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(2);
        }
    };
    match exec(name, matches, settings, file).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:?}");
            ExitCode::FAILURE
        }
    }
}

async fn exec(
    name: &str,
    matches: &ArgMatches,
    settings: control::Settings,
    file: &Path,
) -> Result<(), Report<control::Error>> {
    match name {
        "init" => println!("{}", control::init(&settings)?),
        "join" => println!("{}", control::join(&settings)?),
        _ => {
            let log = log::logger("scalewood-control", matches.get_flag("verbose"));
            let path = Some(file.to_owned());
            control::run::<control::publish::Native>(settings, path, log).await?;
        }
    }
    Ok(())
}
