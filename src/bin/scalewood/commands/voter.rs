//! `scalewood voter`: lists, adds and removes voters.

use std::net::SocketAddr;

use clap::{value_parser, Arg, ArgMatches, Command};
use scalewood::core::raft;

use crate::{
    commands,
    exit::{Exit, Failure},
};

pub(crate) fn cli() -> Command {
    let node = Arg::new("node")
        .value_name("BOX/IDENTITY")
        .required(true)
        .help("The voter, as `scalewood-control join` printed it");
    Command::new("voter")
        .about("Lists, adds and removes voters")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists the voters and learners"))
        .subcommand(
            Command::new("add")
                .about("Adds a learner, which votes once it has caught up")
                .arg(node.clone())
                .arg(
                    Arg::new("address")
                        .value_name("ADDRESS")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr))
                        .help("Its `listen` address"),
                ),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a voter or learner")
                .arg(node),
        )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Exit {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches).await,
        Some(("add", matches)) => {
            let address: SocketAddr = *matches
                .get_one("address")
                .expect("clap requires the address");
            change(matches, raft::MembersRequest::Add(node(matches)?, address)).await
        }
        Some(("remove", matches)) => {
            change(matches, raft::MembersRequest::Remove(node(matches)?)).await
        }
        _ => Ok(()),
    }
}

fn node(matches: &ArgMatches) -> Result<raft::Node, Failure> {
    let text: &String = matches.get_one("node").expect("clap requires the node");
    let wrong = |why: String| Failure::Usage(format!("`{text}` is no voter: {why}"));
    let (name, identity) = text
        .split_once('/')
        .ok_or_else(|| wrong("write BOX/IDENTITY".into()))?;
    Ok(raft::Node {
        name: name
            .parse()
            .map_err(|e: scalewood::core::name::Error| wrong(e.to_string()))?,
        identity: identity
            .parse()
            .map_err(|e: std::num::ParseIntError| wrong(e.to_string()))?,
    })
}

async fn list(matches: &ArgMatches) -> Exit {
    let status = commands::client(matches)?.status().await?;
    let members = &status.voter.members;
    if commands::is_json(matches) {
        commands::print_json(members);
        return Ok(());
    }
    for (node, address) in members.addresses() {
        let role = if members.is_voter(node) {
            "voter"
        } else {
            "learner"
        };
        println!("{role} {node} {address}");
    }
    Ok(())
}

async fn change(matches: &ArgMatches, request: raft::MembersRequest) -> Exit {
    commands::client(matches)?.members(&request).await?;
    println!("accepted");
    Ok(())
}
