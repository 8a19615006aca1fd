//! `scalewood provider`: shows the state of the tasks for the provider of the machines.

use clap::{ArgMatches, Command};
use scalewood::wire::admin::Provider;

use crate::{commands, exit::Exit};

pub(crate) fn cli() -> Command {
    Command::new("provider").about(
        "Shows who calls the provider, the usage by window, and the endpoints that were ordered",
    )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Exit {
    let provider = commands::client(matches)?.provider().await?;
    if commands::is_json(matches) {
        commands::print_json(&provider);
        return Ok(());
    }
    print(&provider);
    Ok(())
}

fn print(provider: &Provider) {
    match &provider.holder {
        Some(holder) => println!("holder {}, token {}", holder.node, holder.token),
        None => println!("holder none"),
    }
    for (window, agreed) in &provider.usage {
        let requests: u64 = agreed.counts.values().sum();
        let state = if agreed.reported {
            "reported"
        } else {
            "not known to be reported"
        };
        println!("usage of window {window}: {requests} requests ({state})");
        for (team, count) in agreed.counts.iter() {
            println!("  {team} {count}");
        }
    }
    for (item, count) in &provider.last_scaling_counts {
        println!("ordered {count} {item}");
    }
}
