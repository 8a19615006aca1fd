//! The top-level command line.

use std::net::SocketAddr;

use clap::{builder::PossibleValuesParser, value_parser, Arg, ArgAction, Command};

use crate::commands;

/// The section on exit codes in the help.
const EXIT_CODES: &str = "Exit codes:
  0  done
  1  refused
  2  wrong usage, settings or input
  3  the change was not applied
  4  not known whether the change was accepted: send it again under the same id
  5  no voter could be reached";

/// Returns the parser of the command line.
pub(crate) fn cli() -> Command {
    Command::new("scalewood")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Changes and shows a scalewood system")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("ADDRESS")
                .global(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:7101")
                .help("A voter's administration address; may be given several times"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .global(true)
                .help("The file with the operator's token; else SCALEWOOD_TOKEN is used"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .value_parser(PossibleValuesParser::new(["human", "json"]))
                .default_value("human")
                .help("How to print"),
        )
        .subcommands(commands::all())
}
