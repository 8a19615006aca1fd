//! The stand-ins and the disruptions of the review's scripts: `review-2 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment it does the same without the disruption.

mod client;
mod deploy;
mod engine;
mod home;
mod http;
mod leaving;
mod memory;
mod record;
mod stopping;
mod template;

use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// How long a run may take.
const LIMIT_MS: u64 = 110_000;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else {
        println!("usage: review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&path);
    deploy::limit(LIMIT_MS);
    let verdict = match case.as_str() {
        "kill-all" => leaving::kill_all(&record, trouble),
        "home" => home::home(&record, trouble),
        "bodies" => memory::bodies(&record, trouble),
        "stop" => stopping::stop(&record, trouble),
        _ => Verdict::NotRun,
    };
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
