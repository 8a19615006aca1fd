//! `scalewood config`: shows and changes the whole configuration.

use clap::{Arg, ArgMatches, Command};
use scalewood::{
    core::{audit, change, config},
    ops::operate,
};

use crate::{commands, exit::Exit};

pub(crate) fn cli() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help("A whole configuration, as JSON with comments; `-` for standard input");
    Command::new("config")
        .about("Shows and changes the configuration as a whole")
        .subcommand_required(true)
        .subcommand(Command::new("show").about("Shows the configuration in force"))
        .subcommand(Command::new("history").about("Shows the audit trail"))
        .subcommand(
            Command::new("diff")
                .about("Shows what applying a file would change")
                .arg(file.clone()),
        )
        .subcommand(
            Command::new("apply")
                .about("Makes the configuration what a file says")
                .arg(file)
                .args(commands::change_args()),
        )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Exit {
    match matches.subcommand() {
        Some(("show", matches)) => show(matches).await,
        Some(("history", matches)) => history(matches).await,
        Some(("diff", matches)) => diff(matches).await,
        Some(("apply", matches)) => apply(matches).await,
        _ => Ok(()),
    }
}

async fn show(matches: &ArgMatches) -> Exit {
    let config = commands::client(matches)?.config().await?;
    if !commands::is_json(matches) {
        println!("// revision {}", config.revision);
        commands::print_json(&config.document);
        return Ok(());
    }
    commands::print_json(&config);
    Ok(())
}

async fn history(matches: &ArgMatches) -> Exit {
    let history = commands::client(matches)?.history().await?;
    if commands::is_json(matches) {
        commands::print_json(&history);
        return Ok(());
    }
    for record in &history.records {
        println!(
            "revision {} from {} by {} at {} ms: {}",
            record.revision, record.base, record.operator, record.at_unix_ms, record.why
        );
        print_differences(&record.differences);
    }
    Ok(())
}

fn print_differences(differences: &[audit::Difference]) {
    for difference in differences {
        let sign = match (&difference.before, &difference.after) {
            (None, _) => '+',
            (_, None) => '-',
            _ => '~',
        };
        println!("  {sign} {}", difference.item);
    }
}

async fn diff(matches: &ArgMatches) -> Exit {
    let (before, after) = compare(matches, &commands::client(matches)?).await?;
    let edits = operate::edits(&before.document, &after);
    let differences = audit::differences(&before.document, &after, &edits);
    if commands::is_json(matches) {
        commands::print_json(&differences);
    } else {
        print_differences(&differences);
    }
    Ok(())
}

async fn compare(
    matches: &ArgMatches,
    client: &operate::Client,
) -> Result<(scalewood::wire::admin::Config, config::Document), crate::exit::Failure> {
    let file: &String = matches.get_one("file").expect("clap requires the file");
    let after = commands::parse(file, &commands::read(file)?)?;
    Ok((client.config().await?, after))
}

async fn apply(matches: &ArgMatches) -> Exit {
    let client = commands::client(matches)?;
    let (before, after) = compare(matches, &client).await?;
    let edits: Vec<change::Edit> = operate::edits(&before.document, &after);
    if edits.is_empty() {
        println!("nothing to change at revision {}", before.revision);
        return Ok(());
    }
    commands::submit_change(matches, &client, before.revision, edits).await
}
