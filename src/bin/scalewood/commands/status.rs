//! `scalewood status`: shows the status of the system, as one voter sees it.

use clap::{ArgMatches, Command};
use scalewood::wire::admin::Status;

use crate::{commands, exit::Exit};

/// The age in milliseconds from which a box's last report counts as overdue.
const SILENT_MS: u64 = 5000;

pub(crate) fn cli() -> Command {
    Command::new("status").about("Shows the voters, the boxes and who is behind")
}

pub(crate) async fn exec(matches: &ArgMatches) -> Exit {
    let status = commands::client(matches)?.status().await?;
    if commands::is_json(matches) {
        commands::print_json(&status);
        return Ok(());
    }
    print(&status);
    Ok(())
}

fn print(status: &Status) {
    let leader = status
        .voter
        .leader
        .as_ref()
        .map_or("none".into(), |node| node.name.to_string());
    println!(
        "revision {}, term {}, leader {leader}",
        status.revision, status.voter.term
    );
    for node in status.voter.members.voters() {
        println!("voter {node}");
    }
    for node in status.voter.members.learners() {
        println!("learner {node}");
    }
    for known in &status.boxes {
        let beat = &known.heartbeat;
        let state = match (known.age_ms > SILENT_MS, known.current, beat.ready) {
            (true, _, _) => "silent",
            (_, false, _) => "behind",
            (_, _, false) => "not ready",
            _ => "in force",
        };
        let services: Vec<_> = beat.dispatches.iter().map(ToString::to_string).collect();
        println!(
            "box {} in {}: revision {} ({state}), dispatches [{}], heard {} ms ago",
            beat.name,
            beat.zone,
            beat.revision,
            services.join(", "),
            known.age_ms
        );
        for (endpoint, left_ms) in &beat.backoffs {
            println!("  {endpoint} wants nothing from it for {left_ms} ms more");
        }
        for (endpoint, limit) in &beat.limits {
            println!("  {endpoint} takes {limit} requests a second from all boxes");
        }
    }
}
