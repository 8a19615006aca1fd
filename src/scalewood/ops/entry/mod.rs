//! An entry box's process: takes callers' requests and has them served.
//!
//! The controllers, each with the facts that it reads and writes on the board:
//!
//! - [`follow`](crate::ops::source): the configuration in force.
//! - `member`: probes peers; writes who is alive, and loads.
//! - `desk`: holds dispatchers, tells them of this box's requests, delivers orders.
//! - `link`: carries reports and orders between boxes.
//! - `claim`: claims keys, and reads claims back after a start.
//! - `poll`: asks endpoints how they are.
//! - `directory`: follows the endpoints that announce themselves.
//! - `fetch`: has the newest configuration that a voter tells of in force.
//! - `exchange`: tells what this box has at endpoints, and hears what the others have.
//! - `routed`: serves requests of routes.
//! - `caller`: the HTTP server that callers see.

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
    ops::{breach, reload, rpc, source},
    util::{
        clock::{self, Clock as _},
        lock::lock,
        settings, signal,
    },
    wire::{peer::PeerServer as _, source::SourceServer as _},
};

mod beat;
mod body;
mod call;
mod caller;
mod claim;
mod crash;
mod desk;
pub mod dialect;
mod directory;
mod exchange;
mod fetch;
mod health;
mod link;
mod member;
mod model;
mod observer;
mod plain;
mod poll;
mod prompt;
mod reply;
mod routed;
mod said;
mod server;
mod throttle;
mod turn;
mod upstream;
mod warmth;

/// What a planned stop leaves of the time that it may take at most.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Settings of an entry box's process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The box that it runs on.
    pub name: name::Box,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The availability zones that are known beforehand, with their regions.
    pub zones: region::Map,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the other processes of the system reach it.
    pub listen: SocketAddr,
    /// Where the platform asks for its health and metrics.
    pub health: SocketAddr,
    /// The voters.
    pub voters: Vec<SocketAddr>,
    /// How often endpoints tell of themselves.
    pub timing: registry::Timing,
    /// How callers are treated.
    pub limits: Limits,
    /// What all boxes together may send again to a service of a routing.
    pub retries: retry::Allowance,
    /// How far requests to endpoints that warm up may go beyond what these bear.
    pub leeway: warm_up::Leeway,
    /// How long a claimed key is remembered.
    pub retention: Duration,
    /// The length of the windows in which usage is counted; nothing is counted where it is zero.
    pub usage_window: Duration,
    /// How long callers are still taken after readiness went down.
    pub grace: Duration,
    /// How long running requests may take after that.
    pub drain: Duration,
}

/// How callers are treated.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The largest body of a request.
    pub body: unit::Size,
    /// How long a request's headers or body may take to arrive.
    pub arrival: Duration,
    /// How long an endpoint may be silent.
    pub silence: Duration,
    /// How long a connection to an endpoint may take.
    pub connect: Duration,
    /// The largest answer of a plain service, and of a model without a stream.
    pub answer: unit::Size,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: unit::Size(1 << 20),
            arrival: Duration::from_secs(10),
            silence: Duration::from_secs(15),
            connect: Duration::from_secs(1),
            answer: unit::Size(8 << 20),
        }
    }
}

impl settings::Settings for Limits {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let default = Self::default();
        Self {
            body: reader.size("body", default.body),
            arrival: reader.duration("arrival", default.arrival),
            silence: reader.duration("silence", default.silence),
            connect: reader.duration("connect", default.connect),
            answer: reader.size("answer", default.answer),
        }
    }
}

impl settings::Settings for retry::Allowance {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let default = Self::default();
        let allowance = Self {
            ratio: reader.number("ratio", default.ratio),
            slack: reader.number("slack", default.slack),
        };
        for (key, value) in [("ratio", allowance.ratio), ("slack", allowance.slack)] {
            if !(0.0..=1e9).contains(&value) {
                reader.problem(key, "it can't be below 0 or without end", "0.2");
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
            health: ([127, 0, 0, 1], 7202).into(),
            voters: Vec::new(),
            timing: registry::Timing::default(),
            limits: Limits::default(),
            retries: retry::Allowance::default(),
            leeway: warm_up::Leeway::default(),
            retention: Duration::from_secs(300),
            usage_window: Duration::ZERO,
            grace: Duration::from_secs(2),
            drain: Duration::from_secs(600),
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
                reader.problem(key, "it can't be below 0 or without end", "1");
            }
        }
        leeway
    }
}

impl settings::Settings for Settings {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let default = Self::default();
        let settings = Self {
            name: reader.required("box", "e1").unwrap_or(default.name),
            zone: reader.required("zone", "cluj").unwrap_or(default.zone),
            zones: settings::zones(reader),
            callers: reader
                .required("callers", "127.0.0.1:7200")
                .unwrap_or(default.callers),
            listen: reader
                .required("listen", "127.0.0.1:7201")
                .unwrap_or(default.listen),
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
            retention: reader.duration("claim_retention", default.retention),
            usage_window: reader.duration("usage_window", default.usage_window),
            grace: reader.duration("stop_grace", default.grace),
            drain: reader.duration("stop_drain", default.drain),
        };
        let within = reader.duration("stop_within", Duration::MAX);
        let settings = settings.stopping_within(within);
        settings.check(reader);
        settings
    }
}

impl Settings {
    /// The settings with the time to drain cut so that a stop takes no longer.
    fn stopping_within(self, within: Duration) -> Self {
        let left = within.saturating_sub(self.grace + STOP_MARGIN);
        Self {
            drain: self.drain.min(left),
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
                "it clashes with another address here",
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

/// An entry box's process that can't start or go on.
#[derive(Debug)]
pub struct Error;

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the entry process can't run")
    }
}

impl std::error::Error for Error {}

type Shared = Arc<Board<clock::System>>;

/// Runs an entry box until it is asked to stop and has drained; callers and endpoints
/// of routes speak a dialect. The settings are read again from their path, if any.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub async fn run<D: dialect::Dialect>(
    settings: Settings,
    path: Option<PathBuf>,
    log: slog::Logger,
) -> Result<(), Report<Error>> {
    let own = Own {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        regions: settings.zones.clone(),
        leeway: settings.leeway,
        // Peers that know a higher one from a start before this say so. The wall clock
        // jumps, back too, so it can't tell one start from another.
        incarnation: unit::Incarnation::default(),
    };
    let clock = clock::System;
    let board = Board::new(
        own,
        clock,
        log.clone(),
        settings.retention,
        settings.usage_window,
    );
    *lock(&board.registry) = registry::Registry::new(settings.timing);
    let board = Arc::new(board);
    let mut methods = server::Server::new(board.clone()).into_rpc();
    methods
        .merge(source::Server::new(board.feed.clone()).into_rpc())
        .change_context(Error)?;
    let rpc = rpc::serve(settings.listen, methods)
        .await
        .change_context(Error)?;
    event!(log, Listening, "what" => "processes", "address" => %settings.listen);
    health::serve(settings.health, D::READY, board.clone()).await?;
    event!(log, Listening, "what" => "health", "address" => %settings.health);
    let voters = reload::watch(settings.clone(), path, log.clone());
    spawn_controllers(&settings, &board, voters);
    let caller = caller::Server::<D>::bind(&settings, board.clone()).await?;
    event!(log, Listening, "what" => "callers", "address" => %settings.callers);
    event!(log, Started, "box" => %settings.name, "zone" => %settings.zone);
    let stop = caller.run(stopped(&settings, &board));
    stop.await;
    exchange::tell_last(&board).await;
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
        own: board.own.name.clone(),
        voters: settings.voters.clone(),
        feed: board.feed.clone(),
        voters_heard: board.links_up.subscribe(),
        log: board.log.clone(),
    };
    tokio::spawn(breach::watch(board.log.clone()));
    tokio::spawn(follower.run());
    tokio::spawn(member::run(board.clone()));
    tokio::spawn(desk::run(board.clone()));
    tokio::spawn(link::run(board.clone()));
    tokio::spawn(claim::run(board.clone()));
    tokio::spawn(poll::run(board.clone()));
    tokio::spawn(beat::run(board.clone(), settings.voters.clone()));
    tokio::spawn(directory::run(board.clone(), voters));
}

/// Waits for the signal to stop, takes readiness down, and lets the balancer see it.
async fn stopped(settings: &Settings, board: &Shared) {
    if let Err(error) = signal::stop().await {
        event!(board.log, DrainCut, "why" => %error);
    }
    event!(board.log, Stopping, "box" => %settings.name);
    board.draining.store(true, Ordering::Relaxed);
    board.ready.store(false, Ordering::Relaxed);
    lock(&board.members).leave();
    tokio::time::sleep(settings.grace).await;
}

/// The time on a board's clock.
fn now(board: &Shared) -> Duration {
    board.clock.now()
}
