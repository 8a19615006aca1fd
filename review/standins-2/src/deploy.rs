//! A small deployment on loopback: core machines, edge machines, and what the platform does for them.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use crate::{
    http,
    record::{sleep, Record},
    template::{self, Value},
};

pub const ZONES: [&str; 3] = ["cluj-hall", "brasov-hall", "sibiu-hall"];
/// The bounds of the pages' small deployments.
pub const CONTACT_MS: u64 = 3000;
pub const DRAIN_MS: u64 = 2000;
/// The memory of an edge machine's process: `memory_mb` of the settings, in bytes.
pub const MEMORY: u64 = 260 << 20;
pub const GRACE_MS: u64 = 8000;
pub const LOSS_SLACK_MS: u64 = 200;
const PROGRAM: &str = "target/release/scalewood-platform";

/// The processes that are running, by their ids.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run after some time, and all processes that it has started, as a case that couldn't run.
pub fn limit(ms: u64) {
    std::thread::spawn(move || {
        sleep(ms);
        println!("the case can't run: it took over {ms} ms");
        for id in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        std::process::exit(2)
    });
}

/// Records that a process has ended.
fn forget(child: &Child) {
    RUNNING.lock().unwrap().retain(|id| *id != child.id());
}

/// A machine of the system with its one process.
pub struct Machine {
    pub name: String,
    role: &'static str,
    zone: &'static str,
    ip: Ipv4Addr,
    child: Option<Child>,
    /// When it was last started, by the record.
    pub started: u64,
    starts: u32,
}

pub struct Deployment {
    pub cores: Vec<Machine>,
    pub edges: Vec<Machine>,
    net: [u8; 2],
    root: PathBuf,
    folder: PathBuf,
    pub record: Record,
    /// Whether each edge machine is ready, as the platform sees it.
    ready: Arc<Mutex<Vec<bool>>>,
    is_over: Arc<AtomicBool>,
    /// The region of each zone.
    pub regions: [&'static str; 3],
}

impl Deployment {
    /// Prepares machines, an edge in each of the first zones; starts none yet.
    pub fn new(edges: usize, record: &Record) -> Self {
        let root = std::env::current_dir().expect("a folder");
        let folder =
            std::env::temp_dir().join(format!("scalewood-review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let net = free_net();
        let machine = |role, i: usize, host: u8| Machine {
            name: format!("{role}-{}-1", ZONES[i % 3]),
            role,
            zone: ZONES[i % 3],
            ip: Ipv4Addr::new(127, net[0], net[1], host),
            child: None,
            started: 0,
            starts: 0,
        };
        Self {
            cores: (0..3).map(|i| machine("core", i, 10 + i as u8)).collect(),
            edges: (0..edges)
                .map(|i| machine("edge", i, 40 + i as u8))
                .collect(),
            net,
            root,
            folder,
            record: record.clone(),
            ready: Arc::new(Mutex::new(vec![false; edges])),
            is_over: Arc::default(),
            regions: ["ro-central"; 3],
        }
    }

    /// Returns an address for an engine.
    pub fn engine_address(&self, i: u8) -> SocketAddr {
        (Ipv4Addr::new(127, self.net[0], self.net[1], 100 + i), 8080).into()
    }

    pub fn control(&self) -> Vec<SocketAddr> {
        self.cores
            .iter()
            .map(|core| (core.ip, 8229).into())
            .collect()
    }

    pub fn frontend(&self, edge: usize) -> SocketAddr {
        (self.edges[edge].ip, 8227).into()
    }

    fn region_of(&self, zone: &str) -> &'static str {
        let at = ZONES.iter().position(|known| *known == zone);
        self.regions[at.unwrap_or_default()]
    }

    /// Returns when the core machine last wrote a file of its data folder, if it did.
    pub fn written(&self, core: usize, name: &str) -> Option<std::time::SystemTime> {
        let path = self.folder.join(&self.cores[core].name).join(name);
        fs::metadata(path).and_then(|file| file.modified()).ok()
    }

    fn settings(&self, machine: &Machine) -> Value {
        let ip = machine.ip;
        let at = |port: u16| Value::text(format!("{ip}:{port}"));
        let seeds = self
            .control()
            .into_iter()
            .map(|seed| Value::text(seed.to_string()));
        let zones = ZONES.iter().zip(self.regions);
        let zones = zones.map(|(zone, region)| ((*zone).to_owned(), Value::text(region)));
        let number = |number: f64| Value::number(number);
        let bounds = [
            ("drain_ms", Value::number(DRAIN_MS)),
            ("contact_ms", Value::number(CONTACT_MS)),
            ("grace_s", Value::number(8)),
            ("retry_ratio", number(0.2)),
            ("retry_window_s", Value::number(10)),
            ("retry_slack", Value::number(56)),
        ];
        let bounds = bounds
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value));
        let mut fields = vec![
            ("node_name", Value::text(&machine.name)),
            ("ip", Value::text(ip.to_string())),
            ("zone", Value::text(machine.zone)),
            ("region", Value::text(self.region_of(machine.zone))),
            (
                "internal_ports",
                Value::List(vec![Value::number(7340), Value::number(7355)]),
            ),
            ("seeds", Value::List(seeds.collect())),
            ("bootstrap", Value::Flag(machine.starts == 0)),
            ("heartbeat_ms", Value::number(crate::engine::HEARTBEAT_MS)),
            ("zones", Value::Table(zones.collect())),
            ("bounds", Value::Table(bounds.collect())),
        ];
        if machine.role == "core" {
            let data = self.folder.join(&machine.name);
            fields.push(("data_dir", Value::text(data.to_string_lossy())));
            fields.push(("listen", Value::table([("control", at(8229))])));
        } else {
            let listen = [("frontend", at(8227)), ("readiness", at(8220))];
            fields.push(("listen", Value::table(listen)));
        }
        let fields = fields
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value));
        Value::Table(fields.collect())
    }

    /// Starts a machine's process with the command of the deploy file.
    pub fn start(&mut self, role: &str, i: usize) {
        let machine = if role == "core" {
            &self.cores[i]
        } else {
            &self.edges[i]
        };
        let (name, role) = (machine.name.clone(), machine.role);
        let template = self.root.join(format!("platform/{role}.jsonc"));
        let template = fs::read_to_string(template).expect("the template is there");
        let path = self.folder.join(format!("{name}.settings"));
        fs::write(&path, template::fill(&template, &self.settings(machine))).expect("a file");
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let child = Command::new(self.root.join(PROGRAM))
            .arg(role)
            .env("SCALEWOOD_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                println!("the case can't run: {PROGRAM}: {error}");
                std::process::exit(2)
            });
        RUNNING.lock().unwrap().push(child.id());
        let now = self.record.note(&format!("process {name} starts"));
        let machines = if role == "core" {
            &mut self.cores
        } else {
            &mut self.edges
        };
        machines[i].child = Some(child);
        machines[i].started = now;
        machines[i].starts += 1;
    }

    pub fn start_all(&mut self) {
        for i in 0..self.cores.len() {
            self.start("core", i);
        }
        for i in 0..self.edges.len() {
            self.start("edge", i);
        }
    }

    /// Kills a machine's process with SIGKILL; returns when.
    pub fn kill(&mut self, role: &str, i: usize) -> u64 {
        let machine = if role == "core" {
            &mut self.cores[i]
        } else {
            &mut self.edges[i]
        };
        if let Some(mut child) = machine.child.take() {
            let _ = child.kill();
            let at = self
                .record
                .note(&format!("process {} is killed", machine.name));
            let _ = child.wait();
            forget(&child);
            return at;
        }
        self.record.now()
    }

    /// Returns the id of an edge machine's process.
    pub fn edge_process(&self, i: usize) -> Option<u32> {
        self.edges[i].child.as_ref().map(Child::id)
    }

    /// Sends a machine's process SIGTERM; returns when.
    pub fn terminate(&mut self, role: &str, i: usize) -> u64 {
        let machine = if role == "core" {
            &mut self.cores[i]
        } else {
            &mut self.edges[i]
        };
        if let Some(child) = &machine.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &id]).status();
        }
        self.record
            .note(&format!("process {} gets SIGTERM", machine.name))
    }

    /// Waits for the end of a machine's process, and kills it after grace_s; returns when it ended.
    pub fn wait_end(&mut self, role: &str, i: usize, until: u64) -> u64 {
        let machine = if role == "core" {
            &mut self.cores[i]
        } else {
            &mut self.edges[i]
        };
        if let Some(mut child) = machine.child.take() {
            while self.record.now() < until {
                if let Ok(Some(status)) = child.try_wait() {
                    forget(&child);
                    return self
                        .record
                        .note(&format!("process {} ends: {status}", machine.name));
                }
                sleep(5);
            }
            let _ = child.kill();
            let _ = child.wait();
            forget(&child);
            return self
                .record
                .note(&format!("process {} is killed after grace_s", machine.name));
        }
        self.record.now()
    }

    /// Kills all processes at once.
    pub fn kill_all(&mut self) {
        for machine in self.cores.iter_mut().chain(&mut self.edges) {
            if let Some(child) = &mut machine.child {
                let _ = child.kill();
            }
        }
        self.record.note("all processes are killed");
        for machine in self.cores.iter_mut().chain(&mut self.edges) {
            if let Some(mut child) = machine.child.take() {
                let _ = child.wait();
                forget(&child);
            }
        }
    }

    /// Sends a configuration until a daemon acknowledges it.
    pub fn publish(&self, config: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        let control = self.control();
        for i in 0.. {
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let to = control[i % control.len()];
            let first = "PUT /v1/config HTTP/1.1";
            let sent = http::call(
                to,
                first,
                &headers,
                config.as_bytes(),
                Duration::from_secs(1),
            );
            if let Ok(answer) = sent {
                self.record
                    .note(&format!("PUT /v1/config -> {}", answer.status()));
                if answer.status() == 200 {
                    return true;
                }
            }
            if Instant::now() > until {
                break;
            }
            sleep(200);
        }
        false
    }

    /// Asks every edge machine each second whether it is ready, as the platform does.
    pub fn watch_readiness(&self) {
        for i in 0..self.edges.len() {
            let at: SocketAddr = (self.edges[i].ip, 8220).into();
            let (ready, is_over) = (self.ready.clone(), self.is_over.clone());
            std::thread::spawn(move || {
                let mut misses = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let first = "GET /v1/readyz HTTP/1.1";
                    let second = Duration::from_secs(1);
                    let answer = http::call(at, first, &[("Host", "edge")], b"", second);
                    let is_ready = answer.is_ok_and(|answer| answer.status() == 200);
                    misses = if is_ready { 0 } else { misses + 1 };
                    if is_ready || misses >= 2 {
                        ready.lock().unwrap()[i] = is_ready;
                    }
                    sleep(1000);
                }
            });
        }
    }

    pub fn ready(&self) -> Arc<Mutex<Vec<bool>>> {
        self.ready.clone()
    }

    /// Waits until all edge machines are ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.ready.lock().unwrap().iter().all(|ready| *ready) {
                return true;
            }
            sleep(50);
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.kill_all();
        self.record.flush();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns two bytes of a loopback network whose ports are free.
fn free_net() -> [u8; 2] {
    let seed = std::process::id();
    for i in 0..200 {
        let at = seed.wrapping_add(i);
        let net = [(64 + at % 128) as u8, (1 + at / 128 % 250) as u8];
        let ip = Ipv4Addr::new(127, net[0], net[1], 10);
        if TcpListener::bind((ip, 7340)).is_ok() && TcpListener::bind((ip, 8229)).is_ok() {
            return net;
        }
    }
    println!("the case can't run: no loopback network is free");
    std::process::exit(2)
}
