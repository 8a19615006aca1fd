//! Errors of commands and their exit codes.

use std::{fmt, process::ExitCode};

use error_stack::Report;
use scalewood::ops::operate;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The arguments, settings or input are wrong: exit code 2.
    Usage(String),
    /// The change was not applied: exit code 3.
    NotApplied(String),
    /// A call to the voters failed: exit code 4 if it is unknown whether a change was accepted, 5
    /// if no voter could be reached, otherwise 1.
    Call(Report<operate::Error>),
}

impl Failure {
    /// Returns the process's exit code.
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Usage(_) => 2,
            Failure::NotApplied(_) => 3,
            Failure::Call(report) => match report.current_context() {
                operate::Error::Unknown => 4,
                operate::Error::Unreachable => 5,
                operate::Error::Refused | operate::Error::Malformed => 1,
            },
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Usage(why) | Failure::NotApplied(why) => f.write_str(why),
            Failure::Call(report) => {
                write!(f, "{report}")?;
                let attached = report
                    .frames()
                    .filter_map(|frame| frame.downcast_ref::<String>());
                for why in attached {
                    write!(f, ": {why}")?;
                }
                Ok(())
            }
        }
    }
}

impl From<Report<operate::Error>> for Failure {
    fn from(report: Report<operate::Error>) -> Self {
        Failure::Call(report)
    }
}

/// The result of a command.
pub(crate) type Exit = Result<(), Failure>;
