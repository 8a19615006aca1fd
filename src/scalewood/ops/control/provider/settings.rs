//! The settings of the tasks that are done for a provider.

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use crate::{
    core::{scaling, unit},
    util::settings,
};

/// A task that is done for a provider.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Task {
    /// Reporting the usage of teams.
    Usage,
    /// Scaling the number of endpoints with demand.
    Scaling,
}

impl FromStr for Task {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "usage" => Ok(Task::Usage),
            "scaling" => Ok(Task::Scaling),
            other => Err(format!(
                "`{other}` is not a task; the tasks are `usage` and `scaling`"
            )),
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

/// The settings of the tasks that are done for a provider.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The address of the provider's API; empty if there is no provider. An invalid value disables
    /// the tasks but not the voter: without voters nothing is routed.
    pub address: String,
    /// The name by which this process identifies itself to the provider.
    pub caller: String,
    /// The tasks, separated by commas.
    pub tasks: String,
    /// The calls per second that the provider accepts from all processes together.
    pub rate: unit::Rate,
    /// The length of a usage window.
    pub window: Duration,
    /// The time after a window's end by which its report is due.
    pub due: Duration,
    /// How long a voter that becomes the holder again waits since its own last call, so that within
    /// this time no other holder's calls lie between two of its own.
    pub quiet_period: Duration,
    /// How the number of endpoints is scaled with demand.
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
            quiet_period: Duration::from_secs(3),
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
            quiet_period: reader.duration("rest", default.quiet_period),
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
        let ratios = [
            ("utilisation", settings.utilisation),
            ("strained", settings.strained_utilisation),
        ];
        for (key, ratio) in ratios {
            if !(0.01..=1.0).contains(&ratio) {
                reader.problem(
                    key,
                    "it is not a fraction of the slots from 0.01 to 1",
                    "0.5",
                );
            }
        }
        settings
    }
}

impl Settings {
    /// Returns why a requested task can't be done, if it can't.
    pub fn obstacle(&self, task: Task) -> Option<&'static str> {
        if self.address.parse::<SocketAddr>().is_err() {
            return Some("the provider's address is missing or is not IP:PORT");
        }
        if self.caller.is_empty() {
            return Some("no caller name is set");
        }
        if self.rate.get() <= 0.0 {
            return Some("the call rate is 0");
        }
        let needs_window = task == Task::Usage;
        (needs_window && self.window.is_zero()).then_some("the usage window's length is 0")
    }
}

/// The default of `rate`, in calls per second.
const DEFAULT_RATE: f64 = 10.0;
