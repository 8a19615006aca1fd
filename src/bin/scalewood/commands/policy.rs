//! `scalewood policy try`: runs a policy program offline.

use clap::{value_parser, Arg, ArgMatches, Command};
use scalewood::core::{name, policy, unit};

use crate::{
    commands,
    exit::{Exit, Failure},
};

pub(crate) fn cli() -> Command {
    Command::new("try")
        .about("Runs a policy program offline and shows what it decides")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .help("The program, in rhai; `-` for standard input"),
        )
        .arg(text("service", "triage", "The service"))
        .arg(text("class", "interactive", "The class that is asked for"))
        .arg(text("team", "trial", "The team that asks"))
        .arg(
            Arg::new("hour")
                .long("hour")
                .value_parser(value_parser!(u8).range(0..24))
                .default_value("12")
                .help("The hour of the day in UTC"),
        )
        .arg(number("prompt-tokens", "100", "The size of the prompt"))
        .arg(number("max-tokens", "100", "The most tokens of the answer"))
        .arg(
            Arg::new("load")
                .long("load")
                .value_parser(value_parser!(f64))
                .default_value("0")
                .help("Waiting requests for each slot"),
        )
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

pub(crate) fn exec(matches: &ArgMatches) -> Exit {
    let file: &String = matches.get_one("file").expect("clap requires the file");
    let usage = |error: policy::Error| Failure::Usage(error.to_string());
    let program = policy::Program::compile(&commands::read(file)?).map_err(usage)?;
    let get = |key: &str| matches.get_one::<String>(key).cloned().unwrap_or_default();
    let tokens = |key: &str| unit::Tokens(matches.get_one(key).copied().unwrap_or_default());
    let name = |e: name::Error| Failure::Usage(e.to_string());
    let facts = policy::Facts {
        team: &get("team"),
        class: &get("class").parse().map_err(name)?,
        service: &get("service").parse().map_err(name)?,
        hour: matches.get_one("hour").copied().unwrap_or_default(),
        prompt: tokens("prompt-tokens"),
        max_output: tokens("max-tokens"),
        load: matches.get_one("load").copied().unwrap_or_default(),
    };
    let policy::Decision {
        class,
        target,
        deadline,
        preemptible,
        spill,
    } = program.decide(&facts).map_err(usage)?;
    commands::print_json(&serde_json::json!({
        "class": class,
        "target_ms": target.map(|target| target.as_millis()),
        "deadline_ms": deadline.map(|deadline| deadline.as_millis()),
        "preemptible": preemptible,
        "spill": spill,
    }));
    Ok(())
}
