//! `scalewood check`: checks a settings file offline.

use std::path::PathBuf;

use clap::{builder::PossibleValuesParser, value_parser, Arg, ArgMatches, Command};
use scalewood::{
    ops::{control, entry},
    util::settings,
};

use crate::exit::{Exit, Failure};

pub(crate) fn cli() -> Command {
    Command::new("check")
        .about("Checks a settings file without starting anything")
        .arg(
            Arg::new("file")
                .value_name("SETTINGS")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The settings file"),
        )
        .arg(
            Arg::new("for")
                .long("for")
                .value_parser(PossibleValuesParser::new(["entry", "control"]))
                .default_value("entry")
                .help("The process that the settings are for"),
        )
}

pub(crate) fn exec(matches: &ArgMatches) -> Exit {
    let file: &PathBuf = matches.get_one("file").expect("clap requires the file");
    let control = matches
        .get_one::<String>("for")
        .is_some_and(|name| name == "control");
    let checked = if control {
        settings::load::<control::Settings>(file).map(drop)
    } else {
        settings::load::<entry::Settings>(file).map(drop)
    };
    checked.map_err(|error| Failure::Usage(error.to_string()))?;
    println!("{}: the settings can be used", file.display());
    Ok(())
}
