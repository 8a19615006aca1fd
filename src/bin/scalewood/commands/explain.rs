//! `scalewood explain`: shows from logs what happened to a request.

use clap::{Arg, ArgAction, ArgMatches, Command};
use scalewood::ops::explain;

use crate::{
    commands,
    exit::{Exit, Failure},
};

pub(crate) fn cli() -> Command {
    Command::new("explain")
        .about("Tells from logs what was decided about a request, in order")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("The request's id, as its caller or the log names it, or a fingerprint"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .help("Logs of the processes; - is standard input"),
        )
}

pub(crate) fn exec(matches: &ArgMatches) -> Exit {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let files = matches.get_many::<String>("file").into_iter().flatten();
    let logs: Vec<_> = files
        .map(|file| commands::read(file))
        .collect::<Result<_, _>>()?;
    let lines = explain::explain(id, logs.iter().flat_map(|log| log.lines()));
    if lines.is_empty() {
        return Err(Failure::Usage(format!(
            "no line of these logs is about {id}; name the logs of all entry boxes, and check \
             whether lines were left out (the log says so)"
        )));
    }
    for line in lines {
        println!("{} {}: {}", line.time, line.program, line.text);
    }
    Ok(())
}
