//! `scalewood held-back`: the requests that are sent to no endpoint because endpoints ended under
//! them.

use clap::{Arg, ArgAction, ArgMatches, Command};
use scalewood::{core::fingerprint, wire::admin};

use crate::{
    commands,
    exit::{Exit, Failure},
};

pub(crate) fn cli() -> Command {
    Command::new("held-back")
        .about("Lists requests under which endpoints end, and takes one back into service")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists them, each with the endpoints that ended under it")
                .arg(
                    Arg::new("json")
                        .long("json")
                        .action(ArgAction::SetTrue)
                        .help("Print JSON, as `--output json` does"),
                ),
        )
        .subcommand(
            Command::new("pardon")
                .about("Has one sent to endpoints again")
                .arg(
                    Arg::new("fingerprint")
                        .value_name("FINGERPRINT")
                        .required(true)
                        .help("The request, as the list or the log names it"),
                )
                .arg(
                    Arg::new("why")
                        .long("why")
                        .value_name("TEXT")
                        .required(true)
                        .help("Why; goes into the voter's log with the operator's name"),
                ),
        )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Exit {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches).await,
        Some(("pardon", matches)) => pardon(matches).await,
        _ => Ok(()),
    }
}

async fn list(matches: &ArgMatches) -> Exit {
    let all = commands::client(matches)?.held_back().await?;
    if commands::is_json(matches) || matches.get_flag("json") {
        commands::print_json(&all);
        return Ok(());
    }
    for request in &all.held_back {
        println!("{}", request.fingerprint);
        for end in &request.ends {
            println!("  ended {} at {} ms", end.endpoint, end.at_unix_ms);
        }
    }
    Ok(())
}

async fn pardon(matches: &ArgMatches) -> Exit {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let fingerprint = text("fingerprint")
        .parse()
        .map_err(|error: fingerprint::Error| Failure::Usage(error.to_string()))?;
    let pardon = admin::Pardon {
        fingerprint,
        why: text("why"),
    };
    commands::client(matches)?.pardon(&pardon).await?;
    if !commands::is_json(matches) {
        println!("{fingerprint} is sent to endpoints again");
    }
    Ok(())
}
