//! The provider: who runs the machines, takes reports of usage and adds endpoints on demand.
//!
//! Which paths, headers and bodies it speaks is a [`Dialect`]. Its calls belong to one holder
//! at a time (`core::tenure`), and go out over one connection that is kept.

use std::{
    collections::BTreeSet,
    fmt,
    net::SocketAddr,
    str::FromStr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{header, Request, StatusCode};
use rand::Rng as _;

use crate::{
    core::{ledger, limit, name, scaling, tenure, unit, usage},
    event,
    ops::control::{guarded, Handle},
    util::{
        clock::{self, Clock as _},
        lock::lock,
        settings,
    },
    wire::control::Passed,
};

/// How long a call may wait for its answer: the provider may be slow.
const ANSWER: Duration = Duration::from_secs(2);
/// The wait after a call that failed, which doubles up to the longest one.
const AGAIN: Duration = Duration::from_millis(250);
const LONGEST_AGAIN: Duration = Duration::from_secs(1);
/// How often it is looked whether this voter holds.
const PERIOD: Duration = Duration::from_millis(100);

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
            strained: reader.number("strained", default.strained),
            look_back: reader.duration("look_back", default.look_back),
            spare_zones: reader.number("spare_zones", default.spare_zones),
            interruptible: reader.flag("interruptible", default.interruptible),
        };
        let parts = [
            ("utilisation", settings.utilisation),
            ("strained", settings.strained),
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

/// Under which right a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The process that holds.
    pub caller: String,
    /// Its token.
    pub token: tenure::Token,
}

/// What the provider said to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It took it.
    Taken,
    /// It has taken too many calls: the same one may be made later.
    Busy,
    /// It has heard a later holder.
    Outdated,
    /// What was asked for is not to be had now.
    NoneLeft,
    /// Anything else: the same call may be made later.
    Failed,
}

/// The paths, headers and bodies that a provider speaks.
pub trait Dialect: Clone + fmt::Debug + Send + Sync + 'static {
    /// The report of a window's usage.
    fn usage(
        authority: &Authority,
        window: usage::Window,
        counts: &usage::Counts,
    ) -> Request<Full<Bytes>>;

    /// What the answer to a report says.
    fn reported(status: StatusCode) -> Said;

    /// An order of a service's endpoints.
    fn scale(
        authority: &Authority,
        service: &name::Service,
        order: &scaling::Order,
    ) -> Request<Full<Bytes>>;

    /// What the answer to an order says.
    fn scaled(status: StatusCode) -> Said;
}

/// The product's own paths, headers and bodies.
impl Dialect for super::publish::Native {
    fn usage(
        authority: &Authority,
        window: usage::Window,
        counts: &usage::Counts,
    ) -> Request<Full<Bytes>> {
        let body = serde_json::json!({ "window": window, "counts": counts });
        post("/v1/usage", authority, ("x-holder", "x-token"), &body)
    }

    fn reported(status: StatusCode) -> Said {
        match status {
            StatusCode::TOO_MANY_REQUESTS => Said::Busy,
            StatusCode::PRECONDITION_FAILED => Said::Outdated,
            status if status.is_success() => Said::Taken,
            _ => Said::Failed,
        }
    }

    fn scale(
        authority: &Authority,
        service: &name::Service,
        order: &scaling::Order,
    ) -> Request<Full<Bytes>> {
        let body = serde_json::json!({ "service": service, "order": order });
        post("/v1/endpoints", authority, ("x-holder", "x-token"), &body)
    }

    fn scaled(status: StatusCode) -> Said {
        match status {
            StatusCode::CONFLICT => Said::NoneLeft,
            status => Self::reported(status),
        }
    }
}

/// A call with a JSON body, with the holder and its token in the headers named.
pub fn post(
    path: &'static str,
    authority: &Authority,
    (holder, token): (&'static str, &'static str),
    body: &serde_json::Value,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = hyper::Method::POST;
    *request.uri_mut() = hyper::Uri::from_static(path);
    let headers = request.headers_mut();
    let json = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    headers.insert(token, header::HeaderValue::from(authority.token.0));
    // A name that is no header text would leave the call without a holder, and be refused.
    if let Ok(name) = header::HeaderValue::from_str(&authority.caller) {
        headers.insert(holder, name);
    }
    request
}

/// Whether this voter holds, kept up to date by `keep`.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    handle: Handle,
    clock: clock::System,
    tenure: Arc<Mutex<tenure::Tenure>>,
    log: slog::Logger,
}

impl Hold {
    pub(super) fn new(
        handle: Handle,
        rest: Duration,
        clock: clock::System,
        log: slog::Logger,
    ) -> Self {
        Self {
            handle,
            clock,
            tenure: Arc::new(Mutex::new(tenure::Tenure::new(rest, clock.now()))),
            log,
        }
    }

    /// Takes over when this voter comes to lead, for ever.
    pub(super) async fn keep(self) {
        let mut acts = None;
        loop {
            tokio::time::sleep(PERIOD).await;
            let step = self.step();
            let token = match step {
                tenure::Step::Act(token) => Some(token),
                tenure::Step::Wait | tenure::Step::Take => None,
            };
            if acts != token {
                event!(self.log, HolderChanged, "acts" => token.is_some(),
                    "token" => token.map(|token| token.0));
                acts = token;
            }
            if step == tenure::Step::Take {
                let node = self.handle.published().status.node;
                let taken = self.handle.propose(ledger::Command::Hold(node)).await;
                event!(self.log, HolderTakes, "agreed" => matches!(taken, Passed::Answer(_)));
            }
        }
    }

    fn step(&self) -> tenure::Step {
        let published = self.handle.published();
        let now = self.clock.now();
        let leads = published.lease.is_some_and(|until| until > now);
        let holder = published.ledger.holder();
        lock(&self.tenure).step(&published.status.node, leads, holder, now)
    }

    /// Whether this voter leads under its lease.
    pub(super) fn leads(&self) -> bool {
        let lease = self.handle.published().lease;
        lease.is_some_and(|until| until > self.clock.now())
    }

    /// The token under which this voter may act now.
    pub(super) fn token(&self) -> Option<tenure::Token> {
        match self.step() {
            tenure::Step::Act(token) => Some(token),
            tenure::Step::Wait | tenure::Step::Take => None,
        }
    }

    /// Whether it may act under a token for some time to come.
    fn lasts(&self, token: tenure::Token, long: Duration) -> bool {
        let published = self.handle.published();
        let until = self.clock.now() + long;
        published.lease.is_some_and(|lease| lease > until) && self.token() == Some(token)
    }
}

/// Calls the provider, one call at a time.
#[derive(Debug)]
pub(super) struct Client {
    hold: Hold,
    address: SocketAddr,
    caller: String,
    rate: unit::Rate,
    bucket: limit::Bucket,
    connection: Option<guarded::Connection>,
    again: Duration,
    clock: clock::System,
    log: slog::Logger,
}

impl Client {
    pub(super) fn new(hold: Hold, address: SocketAddr, settings: &Settings) -> Self {
        let clock = hold.clock;
        Self {
            address,
            caller: settings.caller.clone(),
            rate: settings.rate,
            bucket: limit::Bucket::full(settings.rate, clock.now()),
            connection: None,
            again: AGAIN,
            clock,
            log: hold.log.clone(),
            hold,
        }
    }

    /// Whether this voter leads, so that it may be about to act.
    pub(super) fn leads(&self) -> bool {
        self.hold.leads()
    }

    /// The right under which a call may be made now.
    pub(super) fn authority(&self) -> Option<Authority> {
        let token = self.hold.token()?;
        Some(Authority {
            caller: self.caller.clone(),
            token,
        })
    }

    /// Makes a call, and waits a while if it failed; `what` names it in the log.
    pub(super) async fn call(
        &mut self,
        authority: &Authority,
        request: Request<Full<Bytes>>,
        said: fn(StatusCode) -> Said,
        what: &str,
    ) -> Said {
        if self.bucket.take(1.0, self.rate, self.clock.now()).is_err() {
            tokio::time::sleep(PERIOD).await;
            return Said::Busy;
        }
        let asked = self.clock.now();
        let answer = self.send(authority, request).await;
        let (outcome, why) = match answer {
            Ok(status) => (said(status), status.as_str().to_owned()),
            Err(failure) => (Said::Failed, failure.as_str().to_owned()),
        };
        let took = self.clock.now().saturating_sub(asked);
        event!(self.log, ProviderCalled, "what" => what, "token" => authority.token.0,
            "outcome" => ?outcome, "why" => why, "took_ms" => took.as_millis());
        match outcome {
            Said::Taken | Said::NoneLeft => self.again = AGAIN,
            Said::Busy | Said::Outdated | Said::Failed => self.pause().await,
        }
        outcome
    }

    /// Waits before the next call, longer each time; others that failed with it wait otherwise.
    async fn pause(&mut self) {
        let wait = self.again.mul_f64(rand::rng().random_range(0.5..1.0));
        self.again = (self.again * 2).min(LONGEST_AGAIN);
        tokio::time::sleep(wait).await;
    }

    async fn send(
        &mut self,
        authority: &Authority,
        request: Request<Full<Bytes>>,
    ) -> Result<StatusCode, guarded::Failure> {
        let kept = self.connection.take().filter(guarded::Connection::is_open);
        let mut connection = match kept {
            Some(connection) => connection,
            None => guarded::Connection::open(self.address).await?,
        };
        let holds = |long| self.hold.lasts(authority.token, long);
        let status = connection.call(request, holds, ANSWER).await?;
        self.connection = Some(connection);
        Ok(status)
    }
}

/// Where the provider is and which tasks can be done for it; says which can't. A task that is not
/// known here, of a later version, say, is passed over.
pub(super) fn tasks(
    settings: &Settings,
    log: &slog::Logger,
) -> Option<(SocketAddr, BTreeSet<Task>)> {
    let named = settings.tasks.split(',').map(str::trim);
    let mut tasks = BTreeSet::new();
    for name in named.filter(|name| !name.is_empty()) {
        let task = name.parse::<Task>();
        let why = match &task {
            Ok(task) => settings.hindrance(*task).map(str::to_owned),
            Err(why) => Some(why.clone()),
        };
        match (task, why) {
            (Ok(task), None) => drop(tasks.insert(task)),
            (_, why) => event!(log, TaskOff, "task" => name, "why" => why),
        }
    }
    let address = settings.address.parse().ok()?;
    (!tasks.is_empty()).then_some((address, tasks))
}
