//! A voter's process: consensus, the endpoint registry, the administration API, and orders to
//! endpoints.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use error_stack::{Report, ResultExt as _};

use crate::{
    board::feed,
    core::{ledger, name, raft, region, registry as core_registry, retry, secret, unit},
    event,
    ops::{breach, reload, rpc, source, stall},
    store::{folder, hints, identity, journal, latency},
    util::{
        clock::{self, Clock as _},
        resource, settings, signal,
    },
    wire::{control::ControlServer as _, registry::RegistryServer as _, source::SourceServer as _},
};

mod admin;
mod collect;
mod cordon;
mod crash;
mod guarded;
mod link;
mod membership;
mod memory;
mod metric;
mod order;
pub mod provider;
pub mod publish;
mod refusal;
mod registry;
mod replica;
mod scaling;
mod server;
mod share;
mod slow;
mod usage;

pub use replica::{Handle, Published};

/// Settings of a voter's process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the box that it runs on.
    pub name: name::Box,
    /// Its availability zone, if configured: boxes in the same zone prefer this voter.
    pub zone: Option<name::Zone>,
    /// The configured availability zones, with their regions.
    pub zones: region::Map,
    /// The address for the other processes of the system.
    pub listen: SocketAddr,
    /// The address of the administration API.
    pub admin: SocketAddr,
    /// Its data folder.
    pub data: PathBuf,
    /// The address where operators publish routings and endpoints announce themselves; `None` if
    /// that API is not served.
    pub publish: Option<SocketAddr>,
    /// Whether an empty data folder is initialised at the start: as that of a founding voter if
    /// `form` is set and `voters` contains this one, otherwise to join an existing cluster.
    pub unattended: bool,
    /// Whether to form a new cluster with `voters`.
    pub form: bool,
    /// The addresses of the voters that are known in advance.
    pub voters: Vec<SocketAddr>,
    /// The time limits that follow from the heartbeat interval of endpoints.
    pub timing: core_registry::Timing,
    /// The operators, with the hashes of their access tokens.
    pub operators: BTreeMap<name::Operator, secret::Hash>,
    /// The most orders to endpoints per second. Each order makes an endpoint load a model, and the
    /// weight store can serve only so many of them.
    pub orders_per_second: unit::Rate,
    /// The settings of the tasks done for a provider.
    pub provider: provider::Settings,
    /// The descriptors that the process may have open. Connections take a part of them.
    pub descriptors: usize,
    /// The settings of the consensus protocol.
    pub raft: raft::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "control".parse().expect("the default name is valid"),
            zone: None,
            zones: region::Map::default(),
            listen: ([127, 0, 0, 1], 7100).into(),
            admin: ([127, 0, 0, 1], 7101).into(),
            data: "data".into(),
            publish: None,
            unattended: false,
            form: false,
            voters: Vec::new(),
            timing: core_registry::Timing::default(),
            operators: BTreeMap::new(),
            orders_per_second: unit::Rate::try_from(DEFAULT_ORDERS_PER_SECOND)
                .expect("the default rate is valid"),
            provider: provider::Settings::default(),
            descriptors: resource::descriptors(),
            raft: raft::Settings::default(),
        }
    }
}

impl settings::Settings for Settings {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let default = Self::default();
        let name = reader.required("box", "c1").unwrap_or(default.name);
        let listen = reader
            .required("listen", "127.0.0.1:7100")
            .unwrap_or(default.listen);
        let admin = reader
            .required("admin", "127.0.0.1:7101")
            .unwrap_or(default.admin);
        let zone = reader.parsed("zone", "cluj");
        let zones = settings::zones(reader);
        let data: Option<String> = reader.required("data", "/var/lib/scalewood");
        let publish = reader.parsed("publish", "127.0.0.1:7102");
        let unattended = reader.flag("unattended", default.unattended);
        let form = reader.flag("form", default.form);
        let voters = reader.list::<settings::Address>("voters");
        let voters = voters.into_iter().filter_map(|v| v.0).collect();
        let timing = settings::timing(reader);
        let operators = reader.list::<Operator>("operators");
        let raft = raft::Settings {
            election_timeout_min: reader.duration("election", default.raft.election_timeout_min),
            heartbeat: reader.duration("heartbeat", default.raft.heartbeat),
            lease_margin: reader.duration("lease_margin", default.raft.lease_margin),
            compact_after: reader.number("compact_after", default.raft.compact_after),
            repair: unattended.then(raft::Repair::default),
            ..default.raft
        };
        if listen == admin {
            reader.problem(
                "admin",
                "it is the same address as `listen`",
                "another port",
            );
        }
        if raft.heartbeat * 2 > raft.election_timeout_min {
            reader.problem(
                "heartbeat",
                "it is over half of `election`",
                "a shorter one",
            );
        }
        if raft.lease_margin >= raft.election_timeout_min {
            reader.problem(
                "lease_margin",
                "it is no less than `election`",
                "a shorter one",
            );
        }
        let orders = reader
            .parsed("orders_per_second", "2")
            .unwrap_or(default.orders_per_second);
        let count = operators.len();
        let operators: BTreeMap<_, _> = operators.into_iter().flat_map(|o| o.0).collect();
        if operators.is_empty() && publish.is_none() {
            let instead = "\"operators\": [{ \"name\": \"...\", \"token_hash\": \"...\" }]";
            reader.problem("operators", "nobody may administer the system", instead);
        } else if operators.len() < count {
            reader.problem(
                "operators",
                "an operator is named twice",
                "each operator once",
            );
        }
        Self {
            name,
            zone,
            zones,
            listen,
            admin,
            data: data.unwrap_or_default().into(),
            publish,
            unattended,
            form,
            voters,
            timing,
            operators,
            orders_per_second: orders,
            provider: reader.object("provider"),
            descriptors: reader.number("descriptors", default.descriptors),
            raft,
        }
    }
}

impl reload::Voters for Settings {
    fn voters(&self) -> &[SocketAddr] {
        &self.voters
    }
}

/// An operator in the settings, or `None` if its entry is invalid.
struct Operator(Option<(name::Operator, secret::Hash)>);

impl settings::Settings for Operator {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let name = reader.required("name", "nara");
        let hash = reader.required("token_hash", "64 hexadecimal digits");
        Self(name.zip(hash))
    }
}

/// A failure to start or to continue running a voter's process.
#[derive(Debug)]
pub struct Error;

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the control process can't run")
    }
}

impl std::error::Error for Error {}

/// Initialises a data folder as that of the first voter of a new cluster.
///
/// # Errors
///
/// Fails if the folder was initialised before or can't be written.
pub fn init(settings: &Settings) -> Result<raft::Node, Report<Error>> {
    let address = settings.listen;
    let monitor = latency::Monitor::new(clock::System);
    initialise(settings, &monitor, raft::Identity(rand::random()), |node| {
        raft::Persisted::bootstrap(node, address)
    })
}

/// Initialises a data folder as that of a voter that joins an existing cluster.
///
/// # Errors
///
/// Fails if the folder was initialised before or can't be written.
pub fn join(settings: &Settings) -> Result<raft::Node, Report<Error>> {
    join_measured(settings, &latency::Monitor::new(clock::System))
}

/// Initialises a data folder as that of a voter that joins, and measures the writes.
fn join_measured(
    settings: &Settings,
    monitor: &latency::Monitor<clock::System>,
) -> Result<raft::Node, Report<Error>> {
    initialise(settings, monitor, raft::Identity(rand::random()), |_| {
        raft::Persisted::default()
    })
}

/// Writes the journal and the identity to an unused data folder.
fn initialise(
    settings: &Settings,
    monitor: &latency::Monitor<clock::System>,
    identity: raft::Identity,
    initial_state: impl FnOnce(raft::Node) -> raft::Persisted<ledger::Ledger>,
) -> Result<raft::Node, Report<Error>> {
    let folder = open_folder(settings, monitor)?;
    identity::check_unused(&folder).change_context(Error)?;
    let node = raft::Node {
        name: settings.name.clone(),
        identity,
    };
    // The identity is written last, so a folder that has one is complete even after a power loss.
    let journal = journal::Journal::create(folder, initial_state(node)).change_context(Error)?;
    let mut folder = journal.into_media();
    identity::create(&mut folder, &settings.name, identity).change_context(Error)
}

/// Opens the data folder, whose writes are then measured.
fn open_folder(
    settings: &Settings,
    monitor: &latency::Monitor<clock::System>,
) -> Result<latency::Media<folder::Folder, clock::System>, Report<Error>> {
    let folder = folder::Folder::open(&settings.data)
        .change_context(Error)
        .attach_with(|| {
            format!(
                "the data folder {} can't be opened",
                settings.data.display()
            )
        })?;
    Ok(latency::Media::new(folder, monitor.clone()))
}

/// Initialises an empty data folder without an operator: as that of a founding voter of a new
/// cluster, or to join an existing one. Returns whether a new cluster begins with this start.
fn initialise_unattended(
    settings: &Settings,
    monitor: &latency::Monitor<clock::System>,
    log: &slog::Logger,
) -> Result<bool, Report<Error>> {
    let folder = open_folder(settings, monitor)?;
    let empty = matches!(
        identity::read(&folder, &settings.name),
        Err(identity::Error::Empty)
    );
    drop(folder);
    if !empty {
        return Ok(false);
    }
    let is_founder = settings.form && settings.voters.contains(&settings.listen);
    if !is_founder {
        return join_measured(settings, monitor).map(|_| false);
    }
    let members = membership::founders(&settings.voters);
    initialise(settings, monitor, membership::FOUNDER_IDENTITY, |_| {
        raft::Persisted::bootstrap_with(members)
    })?;
    event!(log, StoreInitialised, "voters" => settings.voters.len());
    Ok(true)
}

/// Runs a voter until the process is asked to stop. `D` defines the HTTP paths and bodies for
/// operators, endpoints and the provider. The settings file at `path`, if given, is
/// read again on SIGHUP and when it changes.
///
/// # Errors
///
/// Fails if the data folder or an address can't be used, or the disk fails.
pub async fn run<D: publish::Dialect + provider::Dialect>(
    settings: Settings,
    path: Option<PathBuf>,
    log: slog::Logger,
) -> Result<(), Report<Error>> {
    let clock = clock::System;
    let monitor = latency::Monitor::new(clock);
    tokio::spawn(slow::watch(monitor.clone(), log.clone()));
    let is_new_cluster = settings.unattended && initialise_unattended(&settings, &monitor, &log)?;
    let folder = open_folder(&settings, &monitor)?;
    let node = identity::read(&folder, &settings.name).change_context(Error)?;
    let bytes = journal::length(&folder).change_context(Error)?;
    event!(log, StoreReading, "node" => %node, "bytes" => bytes);
    let opened = journal::Journal::open(folder).change_context(Error)?;
    event!(log, StoreOpened, "node" => %node, "bytes" => opened.journal.len(),
        "entries" => opened.persisted.entries.len(), "largest_record" => opened.largest_record);
    if opened.dropped > 0 {
        event!(log, StoreRepaired, "bytes" => opened.dropped);
    }
    let store = hints::Store::new(&settings.data);
    let hints = read_hints(&store, &log);
    let feed = Arc::new(feed::Feed::default());
    let lender = if opened.persisted.is_new() {
        retry::Lender::with_new_data()
    } else {
        retry::Lender::new(clock.now())
    };
    let writer = journal::Writer::new(opened.journal, opened.persisted);
    let (mut handle, failed) = replica::start(
        &settings,
        node,
        replica::Stored {
            writer,
            monitor: monitor.clone(),
        },
        feed.clone(),
        clock,
        log.clone(),
    );
    let server = server::Server::new(handle.clone(), clock);
    let mut methods = server.clone().into_rpc();
    methods
        .merge(source::Server::new(feed.clone()).into_rpc())
        .change_context(Error)?;
    let metrics = metric::Metrics::new(monitor.clone());
    let name = settings.name.clone();
    // No endpoint served before a new cluster began.
    let knows_builds_since = (!is_new_cluster).then(|| clock.now());
    let soft_state = registry::SoftState::new(
        name,
        settings.timing,
        lender,
        knows_builds_since,
        handle.watch(),
        clock,
        log.clone(),
    );
    soft_state.restore_hints(&hints);
    tokio::spawn(soft_state.clone().follow_departures());
    tokio::spawn(soft_state.clone().store_hints(store, monitor.clone()));
    let registry = registry::Server {
        soft_state: soft_state.clone(),
        feed,
        handle: handle.clone(),
        zone: settings.zone.clone(),
        address: settings.listen,
    };
    methods.merge(registry.into_rpc()).change_context(Error)?;
    let bounds = rpc::Bounds {
        opening: settings.descriptors / 16 * 3,
        sessions: settings.descriptors / 2,
    };
    let rpc = rpc::serve_within(settings.listen, methods, bounds, log.clone())
        .await
        .change_context(Error)?;
    event!(log, Listening, "what" => "processes", "address" => %settings.listen);
    tokio::spawn(share::run(
        handle.clone(),
        soft_state.clone(),
        clock,
        log.clone(),
    ));
    let sender = order::Sender {
        handle: handle.clone(),
        clock,
        log: log.clone(),
        rate: settings.orders_per_second,
    };
    tokio::spawn(sender.run());
    serve_provider::<D>(&settings, &handle, &soft_state, clock, &log);
    tokio::spawn(breach::watch(log.clone()));
    tokio::spawn(stall::watch(log.clone(), clock));
    let admin = admin::Admin {
        handle: handle.clone(),
        server,
        soft_state: soft_state.clone(),
        metrics: metrics.clone(),
        zones: settings.zones.clone(),
        clock,
        log: log.clone(),
    };
    admin::serve(
        settings.admin,
        settings.operators.clone(),
        settings.descriptors,
        admin,
    )
    .await
    .change_context(Error)?;
    event!(log, Listening, "what" => "operators", "address" => %settings.admin);
    if let Some(address) = settings.publish {
        let api = publish::Api {
            handle: handle.clone(),
            soft_state,
            metrics,
            refusals: Arc::default(),
            memory: publish::memory(),
            heartbeats: publish::heartbeats(),
            zones: settings.zones.clone(),
            clock,
            log: log.clone(),
        };
        publish::serve::<D>(address, settings.descriptors, api).await?;
        event!(log, Listening, "what" => "publishing", "address" => %address);
    }
    let voters = reload::watch(settings.clone(), path, log.clone());
    if settings.unattended {
        tokio::spawn(membership::maintain(
            handle.clone(),
            settings.listen,
            voters,
            clock,
            log.clone(),
        ));
    }
    event!(log, Started, "box" => %settings.name);
    tokio::select! {
        stopped = signal::stop() => stopped.change_context(Error)?,
        failure = failed => {
            let why = failure.unwrap_or_else(|_| "the voter has stopped".into());
            return Err(Report::new(Error).attach(why));
        }
    }
    event!(log, Stopping, "box" => %settings.name);
    handle.leave().await;
    let _ = rpc.stop();
    event!(log, Stopped, "box" => %settings.name);
    Ok(())
}

/// Starts the configured tasks for a provider, if there are any.
fn serve_provider<D: provider::Dialect>(
    settings: &Settings,
    handle: &Handle,
    soft_state: &registry::SoftState,
    clock: clock::System,
    log: &slog::Logger,
) {
    let settings = &settings.provider;
    let Some((address, tasks)) = provider::tasks(settings, log) else {
        return;
    };
    let hold = provider::Hold::new(handle.clone(), settings.quiet_period, clock, log.clone());
    tokio::spawn(hold.clone().keep());
    let collector = collect::Collector::default();
    tokio::spawn(
        collector
            .clone()
            .run(hold.clone(), handle.clone(), soft_state.clone(), clock),
    );
    if tasks.contains(&provider::Task::Scaling) {
        let controller = scaling::Controller {
            handle: handle.clone(),
            soft_state: soft_state.clone(),
            collector: collector.clone(),
            settings: settings.scaling.clone(),
            clock,
            log: log.clone(),
        };
        let client = provider::Client::new(hold.clone(), address, settings);
        tokio::spawn(controller.run::<D>(client));
    }
    if tasks.contains(&provider::Task::Usage) {
        let reporter = || usage::Reporter {
            handle: handle.clone(),
            soft_state: soft_state.clone(),
            collector: collector.clone(),
            clock,
            settings: settings.clone(),
            hold: hold.clone(),
            log: log.clone(),
        };
        let client = provider::Client::new(hold.clone(), address, settings);
        tokio::spawn(reporter().close());
        tokio::spawn(reporter().report::<D>(client));
    }
}

/// Reads the hints that an earlier process stored beside the journal; empty if they can't be read.
fn read_hints(store: &hints::Store, log: &slog::Logger) -> hints::Hints {
    match store.load() {
        Ok(hints) => {
            event!(log, HintsRead, "paces" => hints.paces.len(),
                "endpoints" => hints.endpoints.len(), "held_back" => hints.held_back.len(),
                "suspected" => hints.suspected.len(), "departures" => hints.departures);
            hints
        }
        Err(error) => {
            event!(log, HintsFailed, "why" => %error);
            hints::Hints::default()
        }
    }
}

/// Returns this machine's time of day, in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// How long a caller waits for the outcome of a proposal before it is reported as unknown, and for
/// the voter's thread to stop.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// The default of `orders_per_second`.
const DEFAULT_ORDERS_PER_SECOND: f64 = 2.0;
