//! `scalewood token`: generates a token and its hash.

use clap::{ArgMatches, Command};
use scalewood::core::secret;

use crate::{commands, exit::Exit};

pub(crate) fn cli() -> Command {
    Command::new("token").about("Makes a new token for a team or operator, and its hash")
}

pub(crate) fn exec(matches: &ArgMatches) -> Exit {
    let token = format!(
        "sw-{:032x}{:032x}",
        rand::random::<u128>(),
        rand::random::<u128>()
    );
    let hash = secret::Hash::of(&token);
    if commands::is_json(matches) {
        println!(
            "{}",
            serde_json::json!({ "token": token, "token_hash": hash })
        );
    } else {
        println!("token {token}\ntoken_hash {hash}");
    }
    Ok(())
}
