//! `scalewood`: the command-line client with which operators inspect and change the system.

use std::process::ExitCode;

mod cli;
mod commands;
mod exit;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = cli::cli().get_matches();
    match commands::exec(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("error: {failure}");
            failure.code()
        }
    }
}
