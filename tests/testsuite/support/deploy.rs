//! A deployment of real processes on loopback.
//!
//! Each deployment has its own address in 127.0.0.0/8, so that ports don't clash. All processes are
//! children of the test or the demonstration and start none themselves.

use std::{
    fs,
    io::Write as _,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use scalewood::{
    core::{
        change::{Answer, Edit, Item},
        config, secret, unit,
    },
    ops::operate,
};

use super::client;

/// The operator's token.
pub(crate) const OPERATOR: &str = "operator-token";
/// The token of the team `shop`.
pub(crate) const TEAM: &str = "team-token";
/// The model that is served.
pub(crate) const MODEL: &str = "catalogue";

/// The time limit of all waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the folder of the built programs.
pub(crate) fn programs() -> PathBuf {
    let mut path = std::env::current_exe().expect("the program has a path");
    path.pop();
    if !path.join("scalewood-entry").exists() {
        path.pop();
    }
    path
}

/// The folder with the programs of another build, for manual runs that mix two builds.
const OTHER_BUILD: &str = "SCALEWOOD_OTHER_BUILD";
/// The fraction of processes that are started from the other build; 0.5 by default.
const OTHER_PART: &str = "SCALEWOOD_OTHER_PART";

/// Returns whether some processes are of another build.
pub(crate) fn is_mixed() -> bool {
    std::env::var_os(OTHER_BUILD).is_some()
}

/// Returns the folder from which the next process is started.
fn next_build() -> PathBuf {
    let part = std::env::var(OTHER_PART).ok();
    let part = part.map_or(0.5, |part| part.parse().expect("a part of 1"));
    match std::env::var_os(OTHER_BUILD) {
        Some(other) if rand::random_bool(part) => other.into(),
        _ => programs(),
    }
}

/// The number of log lines that are printed for each process of a failed test.
const LAST_LINES: usize = 8;
/// The longest part of a log line that is printed, in characters.
const MAX_LINE_CHARS: usize = 300;

/// A process that is killed on drop.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) name: String,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a program that appends its log to a file.
    pub(crate) fn start(name: &str, program: &str, args: &[String], dir: &Path) -> Self {
        let path = dir.join(format!("{name}.log"));
        let log = fs::File::options()
            .append(true)
            .create(true)
            .open(&path)
            .expect("a log file can be made");
        let child = Command::new(next_build().join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file can be shared"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| {
                panic!("{program} can't be started: {e}; build it with `cargo build --bins`")
            });
        Self {
            name: name.to_owned(),
            log: path,
            child,
        }
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name. After `STOP` it waits until all threads are stopped: on a busy
    /// machine they run for tens of milliseconds after the signal was sent.
    pub(crate) fn signal(&self, signal: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.id().to_string())
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "{} is gone",
            self.name
        );
        let until = Instant::now() + WAIT_TIMEOUT;
        while signal == "STOP" && !self.has_stopped() {
            assert!(Instant::now() < until, "{} does not stop", self.name);
            std::thread::sleep(Duration::from_micros(100));
        }
    }

    /// Returns whether the kernel has stopped all threads.
    fn has_stopped(&self) -> bool {
        let threads = fs::read_dir(format!("/proc/{}/task", self.id()));
        let mut threads = threads.expect("a process that runs has threads");
        threads.all(|thread| {
            let stat = thread.and_then(|thread| fs::read_to_string(thread.path().join("stat")));
            // The state follows the name, which is in parentheses.
            let state = stat
                .ok()
                .and_then(|stat| stat.rsplit(") ").next()?.chars().next());
            state == Some('T')
        })
    }

    /// Kills the process and waits until it is gone.
    pub(crate) fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns how the process ended, if it did.
    pub(crate) fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Asks the process to stop. Returns whether it exited successfully within the time.
    pub(crate) fn stop(mut self, within: Duration) -> bool {
        self.signal("TERM");
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let ended = self.child.try_wait();
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            self.print_last_lines(ended.ok().flatten());
            self.keep_log();
        }
    }
}

impl Process {
    /// Keeps the log of a failed test, whose own folder is deleted, in the build's folder.
    fn keep_log(&self) {
        let test = std::thread::current();
        let test = test.name().unwrap_or("unnamed").replace("::", "-");
        let run = format!("failed-{}-{test}", std::process::id());
        let Some(folder) = option_env!("CARGO_TARGET_TMPDIR") else {
            return;
        };
        let kept = Path::new(folder).join(run);
        let copied = fs::create_dir_all(&kept)
            .and_then(|()| fs::copy(&self.log, kept.join(format!("{}.log", self.name))));
        match copied {
            Ok(_) => eprintln!("the log of {} is kept in {}", self.name, kept.display()),
            Err(error) => eprintln!("the log of {} is not kept: {error}", self.name),
        }
    }

    /// Prints the end of the log.
    fn print_last_lines(&self, ended: Option<std::process::ExitStatus>) {
        let state = ended.map_or("ran".to_owned(), |status| status.to_string());
        eprintln!("{}, {state}, wrote last:", self.name);
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        let lines: Vec<_> = log.lines().collect();
        for line in &lines[lines.len().saturating_sub(LAST_LINES)..] {
            let line: String = line.chars().take(MAX_LINE_CHARS).collect();
            eprintln!("  {line}");
        }
    }
}

/// Returns the most memory that a process has had, in bytes.
pub(crate) fn peak_memory(process: &Process) -> usize {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.unwrap().trim().trim_end_matches("kB").trim();
    kib.parse::<usize>().unwrap() << 10
}

/// The parameters of a deployment.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) voters: usize,
    /// The number of entry boxes in each zone; there are as many zones as items.
    pub(crate) boxes: Vec<usize>,
    /// The number of model engines in each zone.
    pub(crate) engines: usize,
    /// The number of replicas of the plain service in each zone.
    pub(crate) replicas: usize,
    pub(crate) slots: u32,
    pub(crate) first_us: u64,
    pub(crate) token_us: u64,
    /// The retention of claimed idempotency keys.
    pub(crate) retention: &'static str,
    /// How long callers are accepted after the signal to stop.
    pub(crate) grace: &'static str,
    /// The limits of boxes, as their settings name them.
    pub(crate) limits: &'static str,
    /// The port under which the first voter is listed as a member, if it is not its own but that of
    /// a link.
    pub(crate) listed_port: Option<u16>,
    /// The port of the provider to which usage is reported, in windows of one second.
    pub(crate) provider: Option<u16>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            voters: 1,
            boxes: vec![1, 1],
            engines: 1,
            replicas: 1,
            slots: 4,
            first_us: 5000,
            token_us: 2000,
            retention: "2s",
            grace: "200ms",
            limits: r#""silence": "3s", "arrival": "1s", "body": "64KiB""#,
            listed_port: None,
            provider: None,
        }
    }
}

/// An entry box.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) callers: SocketAddr,
    pub(crate) listen: SocketAddr,
    pub(crate) health: SocketAddr,
    pub(crate) process: Option<Process>,
}

/// A stand-in endpoint.
#[derive(Debug)]
pub(crate) struct Standin {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) model: bool,
    pub(crate) address: SocketAddr,
    pub(crate) record: PathBuf,
    pub(crate) process: Option<Process>,
}

/// A voter.
#[derive(Debug)]
pub(crate) struct Voter {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) data: PathBuf,
    pub(crate) process: Option<Process>,
}

/// A deployment with its processes.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) plan: Plan,
    pub(crate) dir: PathBuf,
    pub(crate) voters: Vec<Voter>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) standins: Vec<Standin>,
    host: IpAddr,
}

static DEPLOYMENTS: AtomicU32 = AtomicU32::new(0);

/// Returns an address in 127.0.0.0/8 that other deployments on this machine are unlikely to use.
pub(crate) fn own_host() -> IpAddr {
    let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
    let mixed = std::process::id()
        .wrapping_mul(2_654_435_761)
        .wrapping_add(number.wrapping_mul(97));
    let [_, a, b, c] = mixed.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, a.max(1), b, c.clamp(1, 254)))
}

impl Deployment {
    /// Starts all processes and waits until the boxes are ready.
    pub(crate) async fn start(plan: Plan, dir: &Path) -> Self {
        let mut deployment = Self::prepare(plan, dir);
        for i in 0..deployment.standins.len() {
            deployment.start_standin(i);
        }
        deployment.init_voters().await;
        let answer = deployment
            .apply(deployment.initial_edits(), "first configuration")
            .await;
        assert!(matches!(answer, Answer::Accepted { .. }), "{answer:?}");
        for i in 0..deployment.entries.len() {
            deployment.start_entry(i);
        }
        deployment.wait_ready().await;
        deployment
    }

    fn prepare(plan: Plan, dir: &Path) -> Self {
        let host = own_host();
        let address = |port: usize| SocketAddr::new(host, u16::try_from(port).expect("a port"));
        let voters = (0..plan.voters).map(|i| Voter {
            name: format!("c{i}"),
            listen: address(7000 + 2 * i),
            admin: address(7001 + 2 * i),
            data: dir.join(format!("c{i}.data")),
            process: None,
        });
        let mut entries = Vec::new();
        let mut standins = Vec::new();
        for (z, boxes) in plan.boxes.iter().enumerate() {
            let zone = format!("zone{z}");
            for b in 0..*boxes {
                let port = 8000 + 100 * z + 3 * b;
                entries.push(Entry {
                    name: format!("e{z}{b}"),
                    zone: zone.clone(),
                    callers: address(port),
                    listen: address(port + 1),
                    health: address(port + 2),
                    process: None,
                });
            }
            for i in 0..plan.engines + plan.replicas {
                let model = i < plan.engines;
                let name = format!("{}{z}{i}", if model { "m" } else { "p" });
                standins.push(Standin {
                    record: dir.join(format!("{name}.runs")),
                    name,
                    zone: zone.clone(),
                    model,
                    address: address(9000 + 100 * z + i),
                    process: None,
                });
            }
        }
        let voters = voters.collect();
        Self {
            plan,
            dir: dir.to_owned(),
            voters,
            entries,
            standins,
            host,
        }
    }

    /// Returns the deployment's address with a port.
    pub(crate) fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.host, port)
    }

    /// Writes the settings of a voter. Returns the file's path.
    pub(crate) fn voter_settings(&self, i: usize) -> PathBuf {
        let Voter {
            name,
            listen,
            admin,
            data,
            ..
        } = &self.voters[i];
        let hash = secret::Hash::of(OPERATOR);
        let provider = self.plan.provider.map(|port| {
            format!(
                "  \"provider\": {{ \"address\": \"{}\", \"caller\": \"{name}\", \"tasks\": \"usage\", \
                 \"usage_window\": \"1s\", \"rest\": \"500ms\" }},\n",
                self.address(port)
            )
        });
        let provider = provider.unwrap_or_default();
        let text = format!(
            "// Made by the test support.\n{{\n{provider}  \"box\": \"{name}\",\n  \"listen\": \"{listen}\",\n  \
             \"admin\": \"{admin}\",\n  \"data\": \"{}\",\n  \"operators\": [\n    \
             {{ \"name\": \"nara\", \"token_hash\": \"{hash}\" }},\n  ],\n}}\n",
            data.display()
        );
        self.write(&format!("{name}.json"), &text)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        let mut file = fs::File::create(&path).expect("a settings file can be made");
        file.write_all(text.as_bytes())
            .expect("a settings file can be written");
        path
    }

    /// Runs a one-off command of the control program. Returns its output, or its errors if it
    /// fails.
    pub(crate) fn control(&self, command: &str, i: usize) -> Result<String, String> {
        let output = Command::new(programs().join("scalewood-control"))
            .args([command, "--settings"])
            .arg(self.voter_settings(i))
            .output()
            .expect("scalewood-control can be run");
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned());
        }
        Err(String::from_utf8_lossy(&output.stderr).into_owned())
    }

    async fn init_voters(&mut self) {
        self.init_first_voter();
        self.start_voter(0);
        self.wait_admin(0).await;
        for i in 1..self.voters.len() {
            self.add_voter(i).await;
        }
    }

    /// Initialises the first voter's data folder, which stores the address under which it is
    /// listed.
    fn init_first_voter(&self) {
        let listen = self.voters[0].listen;
        let listed = self
            .plan
            .listed_port
            .map_or(listen, |port| self.address(port));
        let text = fs::read_to_string(self.voter_settings(0)).expect("the settings are there");
        let text = text.replace(&listen.to_string(), &listed.to_string());
        let settings = self.write("c0-init.json", &text);
        let output = Command::new(programs().join("scalewood-control"))
            .args(["init", "--settings"])
            .arg(settings)
            .output()
            .expect("scalewood-control can be run");
        assert!(
            output.status.success(),
            "the first voter can be initialised"
        );
    }

    /// Initialises a voter's empty data folder, starts the voter and waits until it is a member.
    /// Returns its node.
    pub(crate) async fn add_voter(&mut self, i: usize) -> String {
        let node = self.control("join", i).expect("a voter can be initialised");
        self.start_voter(i);
        let (name, identity) = node
            .split_once('/')
            .expect("a node is a box and an identity");
        let node = scalewood::core::raft::Node {
            name: name.parse().expect("a valid name"),
            identity: identity.parse().expect("a valid identity"),
        };
        let request =
            scalewood::core::raft::MembersRequest::Add(node.clone(), self.voters[i].listen);
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut asked = false;
        loop {
            asked = asked || self.operator().members(&request).await.is_ok();
            let status = self.operator().status().await;
            if status.is_ok_and(|status| status.voter.members.is_voter(&node)) {
                return format!("{node}");
            }
            assert!(Instant::now() < until, "{node} does not become a voter");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub(crate) fn start_voter(&mut self, i: usize) {
        let settings = self.voter_settings(i).display().to_string();
        let args = ["run".to_owned(), "--settings".to_owned(), settings];
        let name = self.voters[i].name.clone();
        self.voters[i].process = Some(Process::start(&name, "scalewood-control", &args, &self.dir));
    }

    pub(crate) fn start_entry(&mut self, i: usize) {
        let settings = self.entry_settings(i).display().to_string();
        let args = ["--settings".to_owned(), settings];
        let name = self.entries[i].name.clone();
        self.entries[i].process = Some(Process::start(&name, "scalewood-entry", &args, &self.dir));
    }

    fn entry_settings(&self, i: usize) -> PathBuf {
        let Entry {
            name,
            zone,
            callers,
            listen,
            health,
            ..
        } = &self.entries[i];
        let voters = self
            .voters
            .iter()
            .map(|v| format!("{{ \"address\": \"{}\" }}", v.listen));
        let voters = voters.collect::<Vec<_>>().join(", ");
        let Plan {
            retention,
            grace,
            limits,
            ..
        } = &self.plan;
        let text = format!(
            "{{\n  \"box\": \"{name}\",\n  \"zone\": \"{zone}\",\n  \"callers\": \"{callers}\",\n  \
             \"listen\": \"{listen}\",\n  \"health\": \"{health}\",\n  \"voters\": [{voters}],\n  \
             \"usage_window\": \"1s\", \"claim_retention\": \"{retention}\",\n  \"stop_grace\": \"{grace}\",\n  \
             \"limits\": {{ {limits} }},\n}}\n"
        );
        self.write(&format!("{name}.json"), &text)
    }

    pub(crate) fn start_standin(&mut self, i: usize) {
        let Standin {
            name,
            model,
            address,
            record,
            ..
        } = &self.standins[i];
        let Plan {
            slots,
            first_us,
            token_us,
            ..
        } = &self.plan;
        let args = [
            format!("--kind={}", if *model { "model" } else { "plain" }),
            format!("--listen={address}"),
            format!("--slots={slots}"),
            format!("--first-us={first_us}"),
            format!("--token-us={token_us}"),
            format!("--record={}", record.display()),
        ];
        let name = name.clone();
        self.standins[i].process =
            Some(Process::start(&name, "scalewood-standin", &args, &self.dir));
    }

    /// Returns the edits of the first configuration: a model service with classes of three tiers, a
    /// plain service with a repeatable and a non-repeatable class, and a team that may use all.
    pub(crate) fn initial_edits(&self) -> Vec<Edit> {
        let mut edits = Vec::new();
        for entry in &self.entries {
            let item = config::Box {
                zone: entry.zone.parse().expect("a zone"),
                address: entry.listen,
            };
            edits.push(Edit::Set(Item::Box(
                entry.name.parse().expect("a box"),
                item,
            )));
        }
        edits.extend(service_edits());
        for standin in &self.standins {
            let item = config::Endpoint {
                service: if standin.model { "lm" } else { "stock" }
                    .parse()
                    .expect("a service"),
                zone: standin.zone.parse().expect("a zone"),
                address: standin.address,
                slots: unit::Slots(self.plan.slots),
                leaving: false,
                load: None,
                build: Default::default(),
            };
            edits.push(Edit::Set(Item::Endpoint(
                standin.name.parse().expect("a name"),
                item,
            )));
        }
        edits
    }

    /// Returns a client of the administration API.
    pub(crate) fn operator(&self) -> operate::Client {
        let running = self.voters.iter().filter(|voter| voter.process.is_some());
        operate::Client::new(running.map(|voter| voter.admin).collect(), OPERATOR.into())
    }

    /// Makes a change based on the revision in force. If the outcome is unknown, the change is sent
    /// again under the same id: under another one it would be refused if the first one was
    /// accepted, because its base would be outdated.
    pub(crate) async fn apply(&self, edits: Vec<Edit>, why: &str) -> Answer {
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut sent = None;
        loop {
            let client = self.operator();
            if sent.is_none() {
                let config = client.config().await;
                let base = config.ok().map(|config| config.revision);
                sent = base.map(|base| operate::new_change(base, why.into(), edits.clone()));
            }
            if let Some(change) = &sent {
                if let Ok(answer) = client.change(change).await {
                    return answer;
                }
            }
            assert!(Instant::now() < until, "no change can be made: {why}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Removes a voter. If the outcome of the request is unknown, the list of members shows it.
    pub(crate) async fn remove_voter(&self, node: &scalewood::core::raft::Node) {
        let request = scalewood::core::raft::MembersRequest::Remove(node.clone());
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let asked = self.operator().members(&request).await;
            let status = self.operator().status().await;
            let is_gone = status.is_ok_and(|status| !status.voter.members.is_voter(node));
            if is_gone {
                return;
            }
            assert!(Instant::now() < until, "{node} is not removed: {asked:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub(crate) async fn wait_admin(&self, i: usize) {
        let admin = self.voters[i].admin;
        wait("a voter answers", || async move {
            client::ask(admin, "GET", "/healthz", &[], "").await.is_ok()
        })
        .await;
    }

    /// Waits until each running entry box is ready and serves a model request.
    pub(crate) async fn wait_ready(&self) {
        for entry in self.entries.iter().filter(|entry| entry.process.is_some()) {
            let health = entry.health;
            wait(&format!("{} is ready", entry.name), || async move {
                client::ask(health, "GET", "/readyz", &[], "")
                    .await
                    .is_ok_and(|a| a.status == 200)
            })
            .await;
        }
        for entry in self.entries.iter().filter(|entry| entry.process.is_some()) {
            let callers = entry.callers;
            wait(&format!("{} serves", entry.name), || async move {
                let bearer = client::bearer(TEAM);
                let headers = [("authorization", bearer.as_str())];
                let body = client::chat(MODEL, "warm up len=1", false);
                let answer = client::ask(callers, "POST", "/v1/chat/completions", &headers, body);
                answer.await.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
    }

    /// Sets the faults of a stand-in.
    pub(crate) async fn faults(&self, i: usize, faults: serde_json::Value) {
        let address = self.standins[i].address;
        let answer = client::ask(address, "POST", "/standin/faults", &[], faults.to_string()).await;
        assert_eq!(answer.expect("the stand-in answers").status, 200);
    }

    /// Returns the requests that a stand-in ran, including those before it was killed.
    pub(crate) fn runs(&self, i: usize) -> Vec<serde_json::Value> {
        let text = fs::read_to_string(&self.standins[i].record).unwrap_or_default();
        text.lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Returns the indexes of the stand-ins that are, or are not, model engines.
    pub(crate) fn standins_of(&self, model: bool) -> Vec<usize> {
        (0..self.standins.len())
            .filter(|i| self.standins[*i].model == model)
            .collect()
    }

    /// Returns the sum of an entry box's metrics whose lines begin with `begin`.
    pub(crate) async fn metric(&self, entry: usize, begin: &str) -> f64 {
        let answer = client::ask(self.entries[entry].health, "GET", "/metrics", &[], "").await;
        let text = answer.map(|answer| answer.body).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(begin));
        lines
            .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
            .sum()
    }

    /// Asks all entry boxes and voters to stop. Returns the names of those that did not exit
    /// cleanly in time.
    pub(crate) fn stop(&mut self, within: Duration) -> Vec<String> {
        let entries = self
            .entries
            .iter_mut()
            .filter_map(|entry| entry.process.take());
        let voters = self
            .voters
            .iter_mut()
            .filter_map(|voter| voter.process.take());
        let processes: Vec<_> = entries.chain(voters).collect();
        processes
            .into_iter()
            .filter_map(|process| {
                let name = process.name.clone();
                (!process.stop(within)).then_some(name)
            })
            .collect()
    }
}

fn service_edits() -> Vec<Edit> {
    let service = |name: &str, kind, models: &[&str]| {
        let models = models.iter().map(|m| m.parse().expect("a model")).collect();
        let item = config::Service { kind, models };
        Edit::Set(Item::Service(name.parse().expect("a service"), item))
    };
    let class = |key: &str, item| Edit::Set(Item::Class(key.parse().expect("a class"), item));
    let share = |value: f64| unit::Share::try_from(value).expect("a share");
    let counter = config::Class {
        tier: unit::Tier(0),
        target: Duration::from_millis(950),
        deadline: Duration::from_secs(10),
        ..config::Class::default()
    };
    let report = config::Class {
        tier: unit::Tier(1),
        preemptible: true,
        ..counter.clone()
    };
    let bulk = config::Class {
        tier: unit::Tier(4),
        target: Duration::from_secs(30),
        deadline: Duration::from_secs(60),
        share: share(0.05),
        preemptible: true,
        repeatable: true,
        gap: None,
        allowed: Default::default(),
    };
    let record = config::Class {
        repeatable: false,
        ..counter.clone()
    };
    let classes = [
        "lm/counter",
        "lm/report",
        "lm/bulk",
        "stock/lookup",
        "stock/record",
    ];
    let team = config::Team {
        token_hash: secret::Hash::of(TEAM),
        classes: classes.map(|key| key.parse().expect("a class")).to_vec(),
        requests: None,
        tokens: None,
        allowed: Default::default(),
    };
    vec![
        service("lm", config::Kind::Model, &[MODEL]),
        service("stock", config::Kind::Plain, &[]),
        class("lm/counter", counter.clone()),
        class("lm/report", report),
        class("lm/bulk", bulk),
        class("stock/lookup", counter),
        class("stock/record", record),
        Edit::Set(Item::Team("shop".parse().expect("a team"), team)),
    ]
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait<F, R>(what: &str, holds: F)
where
    F: Fn() -> R,
    R: std::future::Future<Output = bool>,
{
    let until = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < until, "waited in vain until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The time within which requests arrive that were in flight when an endpoint asked for a backoff.
const IN_FLIGHT_MS: u64 = 500;

/// Returns how many backoffs a stand-in asked for, and the most requests that it received during
/// one of them from the sender that it had asked. `sender` derives the sender from the path and
/// body.
pub(crate) async fn rests(
    standin: &Standin,
    sender: impl Fn(&str, &str) -> String,
) -> (usize, usize) {
    let path = "/standin/turned-away";
    let answer = client::ask(standin.address, "GET", path, &[], "").await;
    let answer = answer.unwrap().json();
    let seen: Vec<_> = answer["turned_away"]
        .as_array()
        .unwrap()
        .iter()
        .map(|seen| {
            let text = |key: &str| seen[key].as_str().unwrap();
            let number = |key: &str| seen[key].as_u64().unwrap();
            let sender = sender(text("path"), text("body"));
            (sender, number("at_ms"), number("rest_ms"))
        })
        .collect();
    let within = |(sender, at, rest): &(String, u64, u64)| {
        let of_sender = seen.iter().filter(|(other, ..)| other == sender);
        let within = of_sender.filter(|(_, t, _)| *t > at + IN_FLIGHT_MS && *t < at + rest);
        within.count()
    };
    (seen.len(), seen.iter().map(within).max().unwrap_or(0))
}
