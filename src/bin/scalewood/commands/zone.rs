//! `scalewood zone`: cordons and uncordons availability zones.

use clap::{Arg, ArgAction, ArgMatches, Command};
use scalewood::{
    core::{change, cordon, name},
    ops::operate,
    wire::admin,
};

use crate::{
    commands,
    exit::{Exit, Failure},
};

pub(crate) fn cli() -> Command {
    Command::new("zone")
        .about("Cordons availability zones, and takes that back")
        .subcommand_required(true)
        .subcommand(order(
            "cordon",
            "Has the zone's endpoints get no new work; what runs there finishes",
        ))
        .subcommand(order(
            "uncordon",
            "Has the zone's endpoints get new work again",
        ))
        .subcommand(
            Command::new("list").about("Lists the cordoned zones").arg(
                Arg::new("json")
                    .long("json")
                    .action(ArgAction::SetTrue)
                    .help("Print JSON, as `--output json` does"),
            ),
        )
}

fn order(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("zone")
                .value_name("ZONE")
                .required(true)
                .help("The availability zone"),
        )
        .arg(
            Arg::new("why")
                .long("why")
                .value_name("TEXT")
                .required(true)
                .help("Why it is ordered; goes into the audit trail"),
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .help("The order's id, to send it again after a lost answer; else a new one"),
        )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Exit {
    match matches.subcommand() {
        Some(("cordon", matches)) => submit_order(matches, cordon::Action::Cordon).await,
        Some(("uncordon", matches)) => submit_order(matches, cordon::Action::Uncordon).await,
        Some(("list", matches)) => list(matches).await,
        _ => Ok(()),
    }
}

async fn list(matches: &ArgMatches) -> Exit {
    let cordons = commands::client(matches)?.cordons().await?;
    if commands::is_json(matches) || matches.get_flag("json") {
        commands::print_json(&cordons);
        return Ok(());
    }
    for zone in &cordons.cordoned {
        println!("{zone}");
    }
    Ok(())
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

async fn submit_order(matches: &ArgMatches, action: cordon::Action) -> Exit {
    let zone = text(matches, "zone")
        .parse()
        .map_err(|error: name::Error| Failure::Usage(error.to_string()))?;
    let id = match matches.get_one::<String>("id") {
        Some(id) => id.parse().map_err(Failure::Usage)?,
        None => operate::new_id(),
    };
    let order = admin::Cordon {
        id,
        zone,
        action,
        why: text(matches, "why"),
    };
    let client = commands::client(matches)?;
    let answer = client.cordon(&order).await.map_err(|report| {
        eprintln!("the order's id is {}", order.id);
        Failure::from(report)
    })?;
    print(matches, &order, answer)
}

fn print(matches: &ArgMatches, order: &admin::Cordon, answer: change::Answer) -> Exit {
    if commands::is_json(matches) {
        println!(
            "{}",
            serde_json::json!({ "id": order.id, "answer": answer })
        );
    }
    match answer {
        change::Answer::Accepted { revision } => {
            if !commands::is_json(matches) {
                let admin::Cordon {
                    id, zone, action, ..
                } = order;
                println!("{action} {zone}: agreed by revision {revision} (order {id})");
            }
            Ok(())
        }
        change::Answer::NotApplied { current, why } => Err(Failure::NotApplied(format!(
            "the order was not applied (revision {current} is in force):\n  {}",
            why.join("\n  ")
        ))),
    }
}
