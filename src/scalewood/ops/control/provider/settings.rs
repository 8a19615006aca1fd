//! What is done for a provider, as settings name it.

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use crate::{
    core::{scaling, unit},
    util::settings,
};

/// What is done for a provider.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Task {
    /// The usage of teams is reported.
    Usage,
    /// The number of endpoints follows the demand.
    Scaling,
}

impl FromStr for Task {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "usage" => Ok(Task::Usage),
            "scaling" => Ok(Task::Scaling),
            other => Err(format!("`{other}` is no task: `usage` and `scaling` are")),
        }
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Task::Usage => "usage",
            Task::Scaling => "scaling",
        })
    }
}

/// Settings of what is done for a provider.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where it takes calls; empty if there is none. What does not parse puts the tasks off, and
    /// not the voter: without voters nothing is routed.
    pub address: String,
    /// The name under which this process calls it.
    pub caller: String,
    /// What is done for it, with commas between.
    pub tasks: String,
    /// Calls a second that it takes of all processes together.
    pub rate: unit::Rate,
    /// The length of the windows of usage.
    pub window: Duration,
    /// How long after a window's end its report is due.
    pub due: Duration,
    /// The time in which no two holders may call it by turns.
    pub rest: Duration,
    /// How the number of endpoints follows the demand.
    pub scaling: scaling::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: String::new(),
            caller: String::new(),
            tasks: String::new(),
            rate: unit::Rate::try_from(DEFAULT_RATE).expect("the default rate is valid"),
            window: Duration::ZERO,
            due: Duration::from_secs(10),
            rest: Duration::from_secs(3),
            scaling: scaling::Settings::default(),
        }
    }
}

impl settings::Settings for Settings {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let default = Self::default();
        let mut text = |key, example| reader.parsed(key, example).unwrap_or_default();
        let address = text("address", "10.0.0.1:8080");
        let tasks = text("tasks", "usage,scaling");
        Self {
            address,
            caller: reader
                .parsed("caller", "control-1")
                .unwrap_or(default.caller),
            tasks,
            rate: reader.parsed("rate", "50").unwrap_or(default.rate),
            window: reader.duration("usage_window", default.window),
            due: reader.duration("usage_due", default.due),
            rest: reader.duration("rest", default.rest),
            scaling: reader.object("scaling"),
        }
    }
}

impl settings::Settings for scaling::Settings {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let default = Self::default();
        let settings = Self {
            utilisation: reader.number("utilisation", default.utilisation),
            strained_utilisation: reader.number("strained", default.strained_utilisation),
            look_back: reader.duration("look_back", default.look_back),
            spare_zones: reader.number("spare_zones", default.spare_zones),
            interruptible: reader.flag("interruptible", default.interruptible),
        };
        let parts = [
            ("utilisation", settings.utilisation),
            ("strained", settings.strained_utilisation),
        ];
        for (key, part) in parts {
            if !(0.01..=1.0).contains(&part) {
                reader.problem(key, "it is no part of the slots", "0.5");
            }
        }
        settings
    }
}

impl Settings {
    /// Why a task that is asked for can't be done, if it can't.
    pub fn hindrance(&self, task: Task) -> Option<&'static str> {
        if self.address.parse::<SocketAddr>().is_err() {
            return Some("the address of the provider is missing or no IP:PORT");
        }
        if self.caller.is_empty() {
            return Some("no name to call it by is set");
        }
        if self.rate.get() <= 0.0 {
            return Some("the rate of calls is 0");
        }
        let needs_window = task == Task::Usage;
        (needs_window && self.window.is_zero()).then_some("the window of usage has no length")
    }
}

/// Calls a second where the settings name no rate.
const DEFAULT_RATE: f64 = 10.0;
