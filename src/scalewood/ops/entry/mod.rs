//! The process of an entry box: accepts callers' requests and has them served.
//!
//! Its tasks, with what each reads from or writes to the board:
//!
//! - [`source`]: receives the configuration and publishes it on this box.
//! - `member`: probes peers; writes which boxes are alive, and their dispatchers' loads.
//! - `dispatchers`: runs dispatchers, reports this box's requests to theirs, delivers orders.
//! - `link`: transfers reports and orders between boxes.
//! - `claim`: claims idempotency keys, and restores claims from peers after a start.
//! - `poll`: polls the health and load of endpoints.
//! - `directory`: tracks the registries of voters, in which endpoints announce themselves.
//! - `fetch`: fetches the configuration from a voter that announces a newer revision.
//! - `exchange`: exchanges the boxes' loads at endpoints with a voter.
//! - `reach`: watches the links to endpoints; `routed` forwards requests while they are lost.
//! - `origin`: tells voters where streams began, and asks them about those that are taken up.
//! - `status`: reports this box's state to the voters.
//! - `routed`: serves requests that go by routes.
//! - `drain`: ends the open requests of a box that stops, before its process ends.
//! - `caller`: the HTTP server for callers.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use error_stack::{Report, ResultExt as _};
use tokio::sync::watch;

use crate::{
    board::entry::{Board, Own},
    core::{name, region, registry, retry, unit, warm_up},
    event,
    ops::{breach, reload, rpc, source, stall},
    util::{
        clock::{self, Clock as _},
        lock::lock,
        resource, settings, signal,
    },
    wire::{peer::PeerServer as _, source::SourceServer as _},
};

mod admission;
mod answer_head;
mod arrival;
mod body;
mod buffer;
mod call;
mod caller;
mod claim;
mod crash;
pub mod dialect;
mod directory;
mod dispatchers;
mod drain;
mod exchange;
mod fetch;
mod health;
mod hedge;
mod incoming;
mod link;
mod member;
mod memory;
mod model;
mod observer;
mod origin;
mod payload;
mod plain;
mod poll;
mod prompt;
mod reach;
mod rejection;
mod reply;
mod retries;
mod rope;
mod routed;
mod server;
mod status;
mod throttle;
mod turn;
mod upstream;
mod warming;

/// The part of `stop_within` that is left over after the grace and drain times.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// The memory of a process whose settings state none, on a machine that has as much.
const DEFAULT_MEMORY: unit::Size = unit::Size(256 << 20);

/// Settings of an entry box's process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the box.
    pub name: name::Box,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The availability zones that are known from the start, with their regions.
    pub zones: region::Map,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the other processes of the system.
    pub listen: SocketAddr,
    /// The address to which other boxes forward requests while they reach no endpoint.
    pub forward: SocketAddr,
    /// The address at which the platform reads health and metrics.
    pub health: SocketAddr,
    /// The addresses of the voters.
    pub voters: Vec<SocketAddr>,
    /// The heartbeat timing of endpoints.
    pub timing: registry::Timing,
    /// Size and time limits of requests.
    pub limits: Limits,
    /// How many retries all boxes together may send to a service of a route.
    pub retries: retry::Allowance,
    /// By how much requests to warming endpoints may exceed what these can handle.
    pub leeway: warm_up::Leeway,
    /// How long a claimed key is remembered.
    pub claim_retention: Duration,
    /// The length of the windows in which usage is counted; zero turns counting off.
    pub usage_window: Duration,
    /// How long requests are still accepted after readiness was withdrawn.
    pub stop_grace: Duration,
    /// How long running requests may take to finish after that.
    pub drain_timeout: Duration,
}

/// Size and time limits of requests.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The memory of the process, at most that of the machine. All that it holds for callers takes a part of it.
    pub memory: unit::Size,
    /// The descriptors that the process may have open. Connections of callers take a part of them.
    pub descriptors: usize,
    /// The largest request body.
    pub max_body: unit::Size,
    /// How long the headers or the body of a request may take to arrive.
    pub arrival_timeout: Duration,
    /// How long an endpoint may send nothing to a request of scalewood's own API before another one is asked
    /// beside it. Also the time in which the body of an answer arrives, unless it is a stream. Without another
    /// answer the endpoint is awaited until the deadline of the request's class, counted from the request's
    /// arrival or from the last event of a stream.
    pub max_silence: Duration,
    /// How long connecting to an endpoint may take.
    pub connect_timeout: Duration,
    /// The largest answer, or event of a stream.
    pub max_answer: unit::Size,
    /// The memory for all answers together. An answer may take as much of it as the others leave: one alone up
    /// to a half.
    pub answer_memory: unit::Size,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory: resource::memory().min(DEFAULT_MEMORY),
            descriptors: resource::descriptors(),
            max_body: unit::Size(1 << 20),
            arrival_timeout: Duration::from_secs(10),
            max_silence: Duration::from_secs(15),
            connect_timeout: Duration::from_secs(1),
            max_answer: unit::Size(8 << 20),
            answer_memory: unit::Size(24 << 20),
        }
    }
}

impl settings::Settings for Limits {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let default = Self::default();
        let limits = Self {
            memory: reader.size("memory", default.memory),
            descriptors: reader.number("descriptors", default.descriptors),
            max_body: reader.size("body", default.max_body),
            arrival_timeout: reader.duration("arrival", default.arrival_timeout),
            max_silence: reader.duration("silence", default.max_silence),
            connect_timeout: reader.duration("connect", default.connect_timeout),
            max_answer: reader.size("answer", default.max_answer),
            answer_memory: reader.size("answers", default.answer_memory),
        };
        let least = memory::least_for(limits.max_body);
        if limits.memory < least {
            let why = format!("a body of {} needs more", limits.max_body);
            reader.problem("memory", why, format!("{least}, or a smaller `body`"));
        }
        limits
    }
}

/// The shortest window of a retry allowance: budgets hold what requests have earned for a second.
const MIN_RETRY_WINDOW: Duration = Duration::from_secs(1);

impl settings::Settings for retry::Allowance {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let default = Self::default();
        let allowance = Self {
            ratio: reader.number("ratio", default.ratio),
            slack: reader.number("slack", default.slack),
            window: reader.duration("window", default.window),
        };
        if allowance.window < MIN_RETRY_WINDOW {
            reader.problem("window", "it must be at least one second", "10s");
        }
        for (key, value) in [("ratio", allowance.ratio), ("slack", allowance.slack)] {
            if !(0.0..=1e9).contains(&value) {
                reader.problem(key, "it must be between 0 and 1e9", "0.2");
            }
        }
        allowance
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "entry".parse().expect("the default name is valid"),
            zone: "zone".parse().expect("the default zone is valid"),
            zones: region::Map::default(),
            callers: ([127, 0, 0, 1], 7200).into(),
            listen: ([127, 0, 0, 1], 7201).into(),
            forward: ([127, 0, 0, 1], 0).into(),
            health: ([127, 0, 0, 1], 7202).into(),
            voters: Vec::new(),
            timing: registry::Timing::default(),
            limits: Limits::default(),
            retries: retry::Allowance::default(),
            leeway: warm_up::Leeway::default(),
            claim_retention: Duration::from_secs(300),
            usage_window: Duration::ZERO,
            stop_grace: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(600),
        }
    }
}

impl settings::Settings for warm_up::Leeway {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let default = Self::default();
        let leeway = Self {
            factor: reader.number("factor", default.factor),
            slack: reader.number("slack", default.slack),
        };
        for (key, value) in [("factor", leeway.factor), ("slack", leeway.slack)] {
            if !(0.0..=1e6).contains(&value) {
                reader.problem(key, "it must be between 0 and 1e6", "1");
            }
        }
        leeway
    }
}

impl settings::Settings for Settings {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let default = Self::default();
        let listen = reader
            .required("listen", "127.0.0.1:7201")
            .unwrap_or(default.listen);
        let settings = Self {
            name: reader.required("box", "e1").unwrap_or(default.name),
            zone: reader.required("zone", "cluj").unwrap_or(default.zone),
            zones: settings::zones(reader),
            callers: reader
                .required("callers", "127.0.0.1:7200")
                .unwrap_or(default.callers),
            listen,
            forward: reader
                .parsed("forward", "127.0.0.1:7203")
                .unwrap_or(SocketAddr::new(listen.ip(), 0)),
            health: reader
                .required("health", "127.0.0.1:7202")
                .unwrap_or(default.health),
            voters: reader
                .list::<settings::Address>("voters")
                .into_iter()
                .filter_map(|v| v.0)
                .collect(),
            timing: settings::timing(reader),
            limits: reader.object("limits"),
            retries: reader.object("retries"),
            leeway: reader.object("warm_up"),
            claim_retention: reader.duration("claim_retention", default.claim_retention),
            usage_window: reader.duration("usage_window", default.usage_window),
            stop_grace: reader.duration("stop_grace", default.stop_grace),
            drain_timeout: reader.duration("stop_drain", default.drain_timeout),
        };
        let within = reader.duration("stop_within", Duration::MAX);
        let settings = settings.stopping_within(within);
        settings.check(reader);
        settings
    }
}

impl Settings {
    /// Shortens the drain time so that a stop takes at most `within`.
    fn stopping_within(self, within: Duration) -> Self {
        let left = within.saturating_sub(self.stop_grace + STOP_MARGIN);
        Self {
            drain_timeout: self.drain_timeout.min(left),
            ..self
        }
    }

    fn check(&self, reader: &mut settings::Reader<'_>) {
        if self.voters.is_empty() {
            let instead = "\"voters\": [{ \"address\": \"127.0.0.1:7100\" }]";
            reader.problem("voters", "no voter to follow is named", instead);
        }
        if self.listen == self.callers {
            reader.problem(
                "listen",
                "it is the same address as `callers`",
                "another port",
            );
        }
        if self.health == self.callers || self.health == self.listen {
            reader.problem(
                "health",
                "it is the same address as `callers` or `listen`",
                "another port",
            );
        }
    }
}

impl reload::Voters for Settings {
    fn voters(&self) -> &[SocketAddr] {
        &self.voters
    }
}

/// The entry process can't start or continue.
#[derive(Debug)]
pub struct Error;

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the entry process can't run")
    }
}

impl std::error::Error for Error {}

type Shared = Arc<Board<clock::System>>;

/// Runs an entry box until it is asked to stop and has drained. Callers and endpoints of routes
/// speak the dialect `D`. If there is a `path`, the voters are read from it again when it changes.
///
/// # Errors
///
/// Returns an error if an address can't be listened on.
pub async fn run<D: dialect::Dialect>(
    settings: Settings,
    path: Option<PathBuf>,
    log: slog::Logger,
) -> Result<(), Report<Error>> {
    let own = Own {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        regions: settings.zones.clone(),
        warm_up_leeway: settings.leeway,
        retries: settings.retries,
        // A peer that knows a higher incarnation from an earlier start reports it. The wall clock
        // can jump, also backwards, so it can't order starts.
        incarnation: unit::Incarnation::default(),
    };
    let clock = clock::System;
    let board = Board::new(
        own,
        clock,
        log.clone(),
        settings.claim_retention,
        settings.usage_window,
    );
    *lock(&board.registry) = registry::Registry::new(settings.timing);
    let board = Arc::new(board);
    let mut methods = server::Server::new(board.clone()).into_rpc();
    methods
        .merge(source::Server::new(board.feed.clone()).into_rpc())
        .change_context(Error)?;
    let descriptors = settings.limits.descriptors;
    let bounds = rpc::Bounds {
        opening: descriptors / 16,
        sessions: descriptors / 2,
    };
    let rpc = rpc::serve_within(settings.listen, methods, bounds, log.clone())
        .await
        .change_context(Error)?;
    event!(log, Listening, "what" => "processes", "address" => %settings.listen);
    health::serve(settings.health, D::READY_PATH, descriptors, board.clone()).await?;
    event!(log, Listening, "what" => "health", "address" => %settings.health);
    let voters = reload::watch(settings.clone(), path, log.clone());
    spawn_controllers(&settings, &board, voters);
    let caller = caller::Server::<D>::bind(&settings, board.clone()).await?;
    event!(log, Listening, "what" => "callers", "address" => %settings.callers);
    event!(log, Started, "box" => %settings.name, "zone" => %settings.zone);
    let stop = caller.run(stopped(&settings, &board));
    stop.await;
    exchange::final_exchange(&board).await;
    let _ = rpc.stop();
    event!(log, Stopped, "box" => %settings.name);
    Ok(())
}

fn spawn_controllers(
    settings: &Settings,
    board: &Shared,
    voters: watch::Receiver<Vec<SocketAddr>>,
) {
    let follower = source::Follower {
        own_name: board.own.name.clone(),
        voters: settings.voters.clone(),
        feed: board.feed.clone(),
        voters_heard: board.followed_voters.subscribe(),
        log: board.log.clone(),
    };
    tokio::spawn(breach::watch(board.log.clone()));
    tokio::spawn(stall::watch(board.log.clone(), board.clock));
    tokio::spawn(follower.run());
    tokio::spawn(member::run(board.clone()));
    tokio::spawn(dispatchers::run(board.clone()));
    tokio::spawn(link::run(board.clone()));
    tokio::spawn(claim::run(board.clone()));
    tokio::spawn(poll::run(board.clone()));
    tokio::spawn(status::run(board.clone(), settings.voters.clone()));
    tokio::spawn(directory::run(board.clone(), voters));
}

/// Waits for the stop signal, withdraws readiness, and gives the load balancer time to see it.
async fn stopped(settings: &Settings, board: &Shared) {
    if let Err(error) = signal::stop().await {
        event!(board.log, DrainCut, "why" => %error);
    }
    event!(board.log, Stopping, "box" => %settings.name);
    drain::begin(board, settings.stop_grace, settings.drain_timeout);
    board.draining.store(true, Ordering::Relaxed);
    board.ready.store(false, Ordering::Relaxed);
    lock(&board.members).leave();
    tokio::time::sleep(settings.stop_grace).await;
}

/// Returns the time on a board's clock.
fn now(board: &Shared) -> Duration {
    board.clock.now()
}
