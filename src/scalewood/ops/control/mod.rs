//! A voter's process: agreement, the administration API, orders to endpoints.

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
    core::{ledger, name, raft, region, registry as core_registry, secret, unit},
    event,
    ops::{breach, reload, rpc, source},
    store::{folder, hints, identity, journal},
    util::{clock, settings, signal},
    wire::{control::ControlServer as _, registry::RegistryServer as _, source::SourceServer as _},
};

mod admin;
mod collect;
mod cordon;
mod crash;
mod guarded;
mod link;
mod membership;
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
mod usage;

pub use replica::{Handle, Published};

/// Settings of a voter's process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The box that it runs on.
    pub name: name::Box,
    /// Its availability zone, if that is known: boxes of the zone prefer it.
    pub zone: Option<name::Zone>,
    /// The availability zones that are known beforehand, with their regions.
    pub zones: region::Map,
    /// Where the other processes of the system reach it.
    pub listen: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Its data folder.
    pub data: PathBuf,
    /// Where operators publish routings and endpoints announce themselves, if anywhere.
    pub publish: Option<SocketAddr>,
    /// Whether an empty folder is initialised at the start: as one of a new system's
    /// voters if `form` is set and `voters` name this one, else to join.
    pub unattended: bool,
    /// Whether this is the first start of a new system.
    pub form: bool,
    /// Voters that are known beforehand.
    pub voters: Vec<SocketAddr>,
    /// How often endpoints tell of themselves.
    pub timing: core_registry::Timing,
    /// The operators and the hashes of their tokens.
    pub operators: BTreeMap<name::Operator, secret::Hash>,
    /// Orders to endpoints a second, as the weight store bears them.
    pub orders: unit::Rate,
    /// What is done for a provider.
    pub provider: provider::Settings,
    /// Settings of the agreement.
    pub agree: raft::Settings,
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
            orders: unit::Rate::try_from(DEFAULT_ORDERS).expect("the default rate is valid"),
            provider: provider::Settings::default(),
            agree: raft::Settings::default(),
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
        let agree = raft::Settings {
            election_timeout_min: reader.duration("election", default.agree.election_timeout_min),
            heartbeat: reader.duration("heartbeat", default.agree.heartbeat),
            lease_margin: reader.duration("lease_margin", default.agree.lease_margin),
            compact_after: reader.number("compact_after", default.agree.compact_after),
            repair: unattended.then(raft::Repair::default),
            ..default.agree
        };
        if listen == admin {
            reader.problem(
                "admin",
                "it is the same address as `listen`",
                "another port",
            );
        }
        if agree.heartbeat * 2 > agree.election_timeout_min {
            reader.problem(
                "heartbeat",
                "it is over half of `election`",
                "a shorter one",
            );
        }
        if agree.lease_margin >= agree.election_timeout_min {
            reader.problem(
                "lease_margin",
                "it is no less than `election`",
                "a shorter one",
            );
        }
        let orders = reader
            .parsed("orders_per_second", "2")
            .unwrap_or(default.orders);
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
            orders,
            provider: reader.object("provider"),
            agree,
        }
    }
}

impl reload::Voters for Settings {
    fn voters(&self) -> &[SocketAddr] {
        &self.voters
    }
}

/// An operator as settings name one.
struct Operator(Option<(name::Operator, secret::Hash)>);

impl settings::Settings for Operator {
    fn read(reader: &mut settings::Reader<'_>) -> Self {
        let name = reader.required("name", "nara");
        let hash = reader.required("token_hash", "64 hexadecimal digits");
        Self(name.zip(hash))
    }
}

/// A voter's process that can't start or go on.
#[derive(Debug)]
pub struct Error;

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the control process can't run")
    }
}

impl std::error::Error for Error {}

/// Gives a data folder the identity and journal of the first voter of a new system.
///
/// # Errors
///
/// Fails if the folder was initialised before or can't be written.
pub fn init(settings: &Settings) -> Result<raft::Node, Report<Error>> {
    let address = settings.listen;
    initialise(settings, raft::Identity(rand::random()), |node| {
        raft::Persisted::bootstrap(node, address)
    })
}

/// Gives a data folder the identity of a voter that joins a system.
///
/// # Errors
///
/// Fails if the folder was initialised before or can't be written.
pub fn join(settings: &Settings) -> Result<raft::Node, Report<Error>> {
    initialise(settings, raft::Identity(rand::random()), |_| {
        raft::Persisted::default()
    })
}

fn initialise(
    settings: &Settings,
    identity: raft::Identity,
    kept: impl FnOnce(raft::Node) -> raft::Persisted<ledger::Ledger>,
) -> Result<raft::Node, Report<Error>> {
    let folder = open_folder(settings)?;
    identity::check_unused(&folder).change_context(Error)?;
    let node = raft::Node {
        name: settings.name.clone(),
        identity,
    };
    // The identity goes last: a folder that has one is whole, also after a loss of power.
    let journal = journal::Journal::create(folder, kept(node)).change_context(Error)?;
    let mut folder = journal.into_media();
    identity::make(&mut folder, &settings.name, identity).change_context(Error)
}

fn open_folder(settings: &Settings) -> Result<folder::Folder, Report<Error>> {
    folder::Folder::open(&settings.data)
        .change_context(Error)
        .attach_with(|| {
            format!(
                "the data folder {} can't be opened",
                settings.data.display()
            )
        })
}

/// Initialises an empty folder without an operator: as one of the voters of a new
/// system, or to join.
fn initialise_unattended(settings: &Settings, log: &slog::Logger) -> Result<(), Report<Error>> {
    let folder = open_folder(settings)?;
    let empty = matches!(
        identity::read(&folder, &settings.name),
        Err(identity::Error::Empty)
    );
    drop(folder);
    if !empty {
        return Ok(());
    }
    let founds = settings.form && settings.voters.contains(&settings.listen);
    if !founds {
        return join(settings).map(drop);
    }
    let members = membership::founders(&settings.voters);
    initialise(settings, membership::FOUNDER, |_| {
        raft::Persisted::bootstrap_with(members)
    })?;
    event!(log, VoterFormed, "voters" => settings.voters.len());
    Ok(())
}

/// Runs a voter until it is asked to stop; operators and endpoints speak a dialect. The
/// settings are read again from their path, if any.
///
/// # Errors
///
/// Fails if the data folder or an address can't be used, or the disk fails.
pub async fn run<D: publish::Dialect + provider::Dialect>(
    settings: Settings,
    path: Option<PathBuf>,
    log: slog::Logger,
) -> Result<(), Report<Error>> {
    if settings.unattended {
        initialise_unattended(&settings, &log)?;
    }
    let clock = clock::System;
    let folder = open_folder(&settings)?;
    let node = identity::read(&folder, &settings.name).change_context(Error)?;
    let opened = journal::Journal::open(folder).change_context(Error)?;
    event!(log, StoreOpened, "node" => %node, "bytes" => opened.journal.len());
    if opened.dropped > 0 {
        event!(log, StoreRepaired, "bytes" => opened.dropped);
    }
    let place = hints::Place::new(&settings.data);
    let hints = read_hints(&place, &log);
    let feed = Arc::new(feed::Feed::default());
    let keeper = journal::Keeper::new(opened.journal, opened.kept);
    let (mut handle, failed) = replica::start(
        &settings,
        node,
        keeper,
        hints.committed,
        feed.clone(),
        clock,
        log.clone(),
    );
    let server = server::Server::new(handle.clone(), clock);
    let mut methods = server.clone().into_rpc();
    methods
        .merge(source::Server::new(feed.clone()).into_rpc())
        .change_context(Error)?;
    let metrics = metric::Metrics::new();
    let endpoints =
        registry::Endpoints::new(settings.name.clone(), settings.timing, clock, log.clone());
    endpoints.take_hints(&hints);
    tokio::spawn(endpoints.clone().keep_hints(place, handle.clone()));
    let registry = registry::Server {
        endpoints: endpoints.clone(),
        feed,
        handle: handle.clone(),
        zone: settings.zone.clone(),
        address: settings.listen,
    };
    methods.merge(registry.into_rpc()).change_context(Error)?;
    let rpc = rpc::serve(settings.listen, methods)
        .await
        .change_context(Error)?;
    event!(log, Listening, "what" => "processes", "address" => %settings.listen);
    tokio::spawn(share::run(
        handle.clone(),
        endpoints.clone(),
        clock,
        log.clone(),
    ));
    let giver = order::Giver {
        handle: handle.clone(),
        clock,
        log: log.clone(),
        rate: settings.orders,
    };
    tokio::spawn(giver.run());
    serve_provider::<D>(&settings, &handle, &endpoints, clock, &log);
    tokio::spawn(breach::watch(log.clone()));
    let admin = admin::Admin {
        handle: handle.clone(),
        server,
        endpoints: endpoints.clone(),
        metrics: metrics.clone(),
        zones: settings.zones.clone(),
        clock,
        log: log.clone(),
    };
    admin::serve(settings.admin, settings.operators.clone(), admin)
        .await
        .change_context(Error)?;
    event!(log, Listening, "what" => "operators", "address" => %settings.admin);
    if let Some(address) = settings.publish {
        let api = publish::Api {
            handle: handle.clone(),
            endpoints,
            metrics,
            refusals: Arc::default(),
            zones: settings.zones.clone(),
            clock,
            log: log.clone(),
        };
        publish::serve::<D>(address, api).await?;
        event!(log, Listening, "what" => "publishing", "address" => %address);
    }
    let voters = reload::watch(settings.clone(), path, log.clone());
    if settings.unattended {
        tokio::spawn(membership::keep(
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

/// Does what the settings ask for a provider.
fn serve_provider<D: provider::Dialect>(
    settings: &Settings,
    handle: &Handle,
    endpoints: &registry::Endpoints,
    clock: clock::System,
    log: &slog::Logger,
) {
    let settings = &settings.provider;
    let Some((address, tasks)) = provider::tasks(settings, log) else {
        return;
    };
    let hold = provider::Hold::new(handle.clone(), settings.rest, clock, log.clone());
    tokio::spawn(hold.clone().keep());
    let gathering = collect::Gathering::default();
    tokio::spawn(
        gathering
            .clone()
            .run(hold.clone(), handle.clone(), endpoints.clone(), clock),
    );
    if tasks.contains(&provider::Task::Scaling) {
        let orderer = scaling::Orderer {
            handle: handle.clone(),
            endpoints: endpoints.clone(),
            gathering: gathering.clone(),
            settings: settings.scaling.clone(),
            clock,
            log: log.clone(),
        };
        let client = provider::Client::new(hold.clone(), address, settings);
        tokio::spawn(orderer.run::<D>(client));
    }
    if tasks.contains(&provider::Task::Usage) {
        let reporter = || usage::Reporter {
            handle: handle.clone(),
            endpoints: endpoints.clone(),
            gathering: gathering.clone(),
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

/// What was kept beside the journal before this process started; nothing if it can't be read.
fn read_hints(place: &hints::Place, log: &slog::Logger) -> hints::Hints {
    match place.load() {
        Ok(hints) => {
            event!(log, HintsRead, "paces" => hints.paces.len(),
                "endpoints" => hints.endpoints.len(), "committed" => %hints.committed);
            hints
        }
        Err(error) => {
            event!(log, HintsFailed, "why" => %error);
            hints::Hints::default()
        }
    }
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// How long a proposal may take before its outcome is called unknown.
const PROPOSAL: Duration = Duration::from_secs(5);

/// Orders to endpoints a second where the settings name no rate.
const DEFAULT_ORDERS: f64 = 2.0;
