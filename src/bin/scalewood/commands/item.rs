//! `scalewood box|service|class|team|endpoint|policy`: shows and changes single items of the
//! configuration.

use clap::{Arg, ArgMatches, Command};
use scalewood::core::{audit, change, config};

use crate::{
    commands::{self, policy},
    exit::{Exit, Failure},
};

/// A kind of configuration item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Box,
    Service,
    Class,
    Team,
    Endpoint,
    Policy,
}

impl Kind {
    /// All kinds.
    pub(crate) const ALL: [Kind; 6] = [
        Kind::Box,
        Kind::Service,
        Kind::Class,
        Kind::Team,
        Kind::Endpoint,
        Kind::Policy,
    ];

    /// Returns the subcommand's name.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Kind::Box => "box",
            Kind::Service => "service",
            Kind::Class => "class",
            Kind::Team => "team",
            Kind::Endpoint => "endpoint",
            Kind::Policy => "policy",
        }
    }

    fn about(self) -> &'static str {
        match self {
            Kind::Box => "Lists, sets and removes entry boxes",
            Kind::Service => "Lists, sets and removes services",
            Kind::Class => "Lists, sets and removes classes; a class is named SERVICE/CLASS",
            Kind::Team => "Lists, sets and removes teams",
            Kind::Endpoint => "Lists, sets and removes endpoints",
            Kind::Policy => "Lists, sets, removes and tries policies",
        }
    }

    fn item(self, name: &str, json: &str) -> Result<change::Item, Failure> {
        Ok(match self {
            Kind::Box => change::Item::Box(parse(name)?, commands::parse("the item", json)?),
            Kind::Service => {
                change::Item::Service(parse(name)?, commands::parse("the item", json)?)
            }
            Kind::Class => change::Item::Class(parse(name)?, commands::parse("the item", json)?),
            Kind::Team => change::Item::Team(parse(name)?, commands::parse("the item", json)?),
            Kind::Endpoint => {
                change::Item::Endpoint(parse(name)?, commands::parse("the item", json)?)
            }
            Kind::Policy => change::Item::Policy(parse(name)?, commands::parse("the item", json)?),
        })
    }

    fn key(self, name: &str) -> Result<change::Key, Failure> {
        Ok(match self {
            Kind::Box => change::Key::Box(parse(name)?),
            Kind::Service => change::Key::Service(parse(name)?),
            Kind::Class => change::Key::Class(parse(name)?),
            Kind::Team => change::Key::Team(parse(name)?),
            Kind::Endpoint => change::Key::Endpoint(parse(name)?),
            Kind::Policy => change::Key::Policy(parse(name)?),
        })
    }

    /// Returns the items of this kind as JSON, without secrets.
    fn list(self, document: &config::Document) -> Vec<(String, serde_json::Value)> {
        macro_rules! list {
            ($map:expr) => {
                $map.iter()
                    .filter_map(|(k, v)| Some((k.to_string(), audit::redacted_json(v)?)))
                    .collect()
            };
        }
        match self {
            Kind::Box => list!(document.boxes),
            Kind::Service => list!(document.services),
            Kind::Class => list!(document.classes),
            Kind::Team => list!(document.teams),
            Kind::Endpoint => list!(document.endpoints),
            Kind::Policy => list!(document.policies),
        }
    }
}

fn parse<T>(name: &str) -> Result<T, Failure>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    name.parse()
        .map_err(|error: T::Err| Failure::Usage(error.to_string()))
}

pub(crate) fn cli(kind: Kind) -> Command {
    let name = Arg::new("name")
        .value_name("NAME")
        .required(true)
        .help("The item's name");
    let json = Arg::new("json")
        .value_name("JSON")
        .required(true)
        .help("The item as JSON with comments; `-` for standard input");
    let command = Command::new(kind.as_str())
        .about(kind.about())
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists the items in force"))
        .subcommand(
            Command::new("set")
                .about("Adds an item, or replaces the one of that name")
                .arg(name.clone())
                .arg(json)
                .args(commands::change_args()),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes an item")
                .arg(name)
                .args(commands::change_args()),
        );
    if kind == Kind::Policy {
        return command.subcommand(policy::cli());
    }
    command
}

pub(crate) async fn exec(kind: Kind, matches: &ArgMatches) -> Exit {
    match matches.subcommand() {
        Some(("list", matches)) => list(kind, matches).await,
        Some(("set", matches)) => set(kind, matches).await,
        Some(("remove", matches)) => remove(kind, matches).await,
        Some(("try", matches)) => policy::exec(matches),
        _ => Ok(()),
    }
}

async fn list(kind: Kind, matches: &ArgMatches) -> Exit {
    let config = commands::client(matches)?.config().await?;
    let items = kind.list(&config.document);
    if commands::is_json(matches) {
        let map: serde_json::Map<_, _> = items.into_iter().collect();
        commands::print_json(&map);
        return Ok(());
    }
    for (name, item) in items {
        println!("{name} {item}");
    }
    Ok(())
}

async fn set(kind: Kind, matches: &ArgMatches) -> Exit {
    let name: &String = matches.get_one("name").expect("clap requires the name");
    let json: &String = matches.get_one("json").expect("clap requires the item");
    let json = if json == "-" {
        commands::read(json)?
    } else {
        json.clone()
    };
    let edit = change::Edit::Set(kind.item(name, &json)?);
    let client = commands::client(matches)?;
    let current = client.config().await?.revision;
    commands::submit_change(matches, &client, current, vec![edit]).await
}

async fn remove(kind: Kind, matches: &ArgMatches) -> Exit {
    let name: &String = matches.get_one("name").expect("clap requires the name");
    let edit = change::Edit::Remove(kind.key(name)?);
    let client = commands::client(matches)?;
    let current = client.config().await?.revision;
    commands::submit_change(matches, &client, current, vec![edit]).await
}
