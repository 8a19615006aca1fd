//! The subcommands, one module each, with `cli()` and `exec()`.

use std::{io::Read as _, net::SocketAddr};

use clap::{Arg, ArgMatches, Command};
use scalewood::{
    core::{change, unit},
    ops::operate,
};

use crate::exit::{Exit, Failure};

mod check;
mod config;
mod explain;
mod held_back;
mod item;
mod policy;
mod provider;
mod status;
mod token;
mod voter;
mod zone;

/// Returns all subcommands.
pub(crate) fn all() -> Vec<Command> {
    let mut all = vec![
        check::cli(),
        config::cli(),
        explain::cli(),
        held_back::cli(),
        provider::cli(),
        status::cli(),
        token::cli(),
        voter::cli(),
        zone::cli(),
    ];
    all.extend(item::Kind::ALL.map(item::cli));
    all
}

/// Runs the subcommand that was given.
pub(crate) async fn exec(matches: &ArgMatches) -> Exit {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    match name {
        "check" => check::exec(matches),
        "config" => config::exec(matches).await,
        "explain" => explain::exec(matches),
        "held-back" => held_back::exec(matches).await,
        "provider" => provider::exec(matches).await,
        "status" => status::exec(matches).await,
        "token" => token::exec(matches),
        "voter" => voter::exec(matches).await,
        "zone" => zone::exec(matches).await,
        _ => match item::Kind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == name)
        {
            Some(kind) => item::exec(kind, matches).await,
            None => Ok(()),
        },
    }
}

/// Returns whether to print JSON.
fn is_json(matches: &ArgMatches) -> bool {
    matches
        .get_one::<String>("output")
        .is_some_and(|output| output == "json")
}

/// Returns a client for the voters, with the addresses and the token that the command line gives.
fn client(matches: &ArgMatches) -> Result<operate::Client, Failure> {
    let voters: Vec<SocketAddr> = matches
        .get_many("admin")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let token = match matches.get_one::<String>("token-file") {
        Some(file) => std::fs::read_to_string(file)
            .map_err(|e| Failure::Usage(format!("{file} can't be read: {e}; name a token file")))?,
        None => std::env::var("SCALEWOOD_TOKEN").map_err(|_| {
            Failure::Usage("no token is given; set SCALEWOOD_TOKEN or name a --token-file".into())
        })?,
    };
    Ok(operate::Client::new(voters, token.trim().to_owned()))
}

/// Reads a file, or standard input for `-`.
fn read(file: &str) -> Result<String, Failure> {
    let mut text = String::new();
    let read = match file {
        "-" => std::io::stdin().read_to_string(&mut text).map(drop),
        _ => std::fs::read_to_string(file).map(|content| text = content),
    };
    read.map_err(|e| Failure::Usage(format!("{file} can't be read: {e}; name a readable file")))?;
    Ok(text)
}

/// Parses JSON with comments.
fn parse<T: serde::de::DeserializeOwned>(what: &str, text: &str) -> Result<T, Failure> {
    let wrong = |why: String| Failure::Usage(format!("{what} can't be used: {why}"));
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| wrong(error.to_string()))?;
    let value = value.ok_or_else(|| wrong("it is empty".into()))?;
    serde_json::from_value(value).map_err(|error| wrong(error.to_string()))
}

/// Returns the arguments that all commands that change the configuration have.
fn change_args() -> [Arg; 3] {
    [
        Arg::new("why")
            .long("why")
            .value_name("TEXT")
            .required(true)
            .help("Why the change is made; goes into the audit trail"),
        Arg::new("base")
            .long("base")
            .value_name("REVISION")
            .value_parser(clap::value_parser!(u64))
            .help("The revision that the change was made against; else the one in force"),
        Arg::new("id")
            .long("id")
            .value_name("ID")
            .help("The change's id, to send it again after a lost answer; else a new one"),
    ]
}

/// Sends a change and prints the answer.
async fn submit_change(
    matches: &ArgMatches,
    client: &operate::Client,
    current: unit::Revision,
    edits: Vec<change::Edit>,
) -> Exit {
    let why = matches
        .get_one::<String>("why")
        .cloned()
        .unwrap_or_default();
    let base = matches
        .get_one::<u64>("base")
        .map_or(current, |base| unit::Revision(*base));
    let mut change = operate::new_change(base, why, edits);
    if let Some(id) = matches.get_one::<String>("id") {
        change.id = id.parse().map_err(Failure::Usage)?;
    }
    let answer = client.change(&change).await.map_err(|report| {
        eprintln!("the change's id is {}", change.id);
        Failure::from(report)
    })?;
    if is_json(matches) {
        println!(
            "{}",
            serde_json::json!({ "id": change.id, "answer": answer })
        );
    }
    match answer {
        change::Answer::Accepted { revision } => {
            if !is_json(matches) {
                println!("accepted as revision {revision} (change {})", change.id);
            }
            Ok(())
        }
        change::Answer::NotApplied { current, why } => Err(Failure::NotApplied(format!(
            "the change was not applied (revision {current} is in force):\n  {}",
            why.join("\n  ")
        ))),
    }
}

/// Prints a value as indented JSON.
fn print_json<T: serde::Serialize>(value: &T) {
    // Serialising plain data does not fail.
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
