//! What the review's scripts share: a small deployment of the project's own programs on loopback,
//! and stand-ins for engines, clients and the operator that follow the users' pages.

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    panic,
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// The time between two heartbeats of an engine.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Returns whether the disruption is to be made.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes what happens, with the time since the start, to `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: &str) {
        let at = self.ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7.3} {text}", at as f64 / 1000.0);
    }

    /// Records a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A message of HTTP/1.1: its first line, headers in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message with its whole body; `None` at a regular end of the connection.
pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        from.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding") == Some("chunked") {
        loop {
            line.clear();
            from.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16);
            let length = length.map_err(|_| io::ErrorKind::InvalidData)?;
            let mut piece = vec![0; length + 2];
            from.read_exact(&mut piece)?;
            if length == 0 {
                break;
            }
            message.body.extend_from_slice(&piece[..length]);
        }
    }
    Ok(Some(message))
}

/// Sends a request over a new connection and reads its answer.
pub fn call(to: SocketAddr, head: &str, body: &[u8], within: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, within)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    let length = body.len();
    let text = format!("{head}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)?;
    read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns a number that is unlikely to be drawn twice.
pub fn draw() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let mut bytes = [0; 8];
    let read = File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    read.expect("random bytes can be read");
    u64::from_le_bytes(bytes) ^ COUNT.fetch_add(1, Ordering::Relaxed)
}

/// A process of the project.
pub struct Process {
    pub name: String,
    pub ip: String,
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Ends the process at once, as a loss of power or a SIGKILL does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.settings.with_extension("log"))
            .expect("a log can be written");
        let child = Command::new(program())
            .arg(self.role)
            .env("SCALEWOOD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log can be shared"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => cannot_run(&format!("a process can't be started: {error}")),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn program() -> PathBuf {
    let root = std::env::var("ROOT").unwrap_or_else(|_| ".".into());
    Path::new(&root).join("target/release/scalewood-platform")
}

/// The reason why a case could not run.
struct CannotRun;

/// Ends the script: the case could not run. Processes that were started are ended.
pub fn cannot_run(why: &str) -> ! {
    println!("the case could not run: {why}");
    panic::panic_any(CannotRun)
}

/// Runs a case in the folder that the first argument names. It returns whether the rule was broken.
pub fn run(case: impl FnOnce(&Path) -> bool) -> ExitCode {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    panic::set_hook(Box::new(|info| {
        if !info.payload().is::<CannotRun>() {
            println!("the case could not run: {info}");
        }
    }));
    let ran = panic::catch_unwind(panic::AssertUnwindSafe(|| case(&folder)));
    match ran {
        Ok(is_broken) => ExitCode::from(u8::from(is_broken)),
        Err(_) => ExitCode::from(2),
    }
}

/// A deployment: processes of the core and edges, each at an address of its own.
pub struct Fleet {
    pub cores: Vec<Process>,
    pub edges: Vec<Process>,
    pub folder: PathBuf,
    host: String,
    ports: u16,
}

const ZONES: [&str; 3] = ["cluj-hall", "brasov-hall", "sibiu-hall"];

impl Fleet {
    /// Starts a deployment like the small ones of the pages, on free loopback addresses.
    pub fn start(cores: usize, edges: usize) -> Self {
        let number = draw();
        let host = format!("127.{}.{}", 16 + number % 200, 1 + (number >> 16) % 250);
        let ports = 20000 + (number >> 32) as u16 % 8000;
        let folder = std::env::temp_dir().join(format!("scalewood-review-{number:x}"));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let mut fleet = Self {
            cores: Vec::new(),
            edges: Vec::new(),
            folder,
            host,
            ports,
        };
        for number in 0..cores {
            let process = fleet.core(number, true);
            fleet.cores.push(process);
        }
        for number in 0..edges {
            let process = fleet.edge(number);
            fleet.edges.push(process);
        }
        for process in fleet.cores.iter_mut().chain(&mut fleet.edges) {
            process.start();
        }
        fleet
    }

    /// Returns the address of a machine.
    pub fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.host)
    }

    /// Returns an address at which nothing else listens.
    pub fn address(&self, number: usize, port: u16) -> SocketAddr {
        let text = format!("{}:{}", self.ip(number), self.ports + port);
        text.parse().expect("an address is valid")
    }

    /// Returns where a process serves operators and engines (1) or clients (2), or says whether it
    /// is ready (3).
    pub fn port(&self, process: &Process, port: u16) -> SocketAddr {
        let text = format!("{}:{}", process.ip, self.ports + port);
        text.parse().expect("an address is valid")
    }

    pub fn control(&self, core: usize) -> SocketAddr {
        self.port(&self.cores[core], 1)
    }

    pub fn frontend(&self, edge: usize) -> SocketAddr {
        self.port(&self.edges[edge], 2)
    }

    fn common(&self, number: usize) -> String {
        let zones =
            ZONES.map(|zone| format!("{{ \"zone\": \"{zone}\", \"region\": \"ro-central\" }}"));
        let voters = (0..3).map(|core| {
            let address = format!("{}:{}", self.ip(11 + core), self.ports + 1);
            format!(
                "{{ \"address\": \"{address}\", \"port\": {} }}",
                self.ports + 10
            )
        });
        let voters: Vec<_> = voters.collect();
        format!(
            "\"zone\": \"{}\", \"zones\": [{}], \"endpoint_heartbeat\": \"1200ms\", \"voters\": [{}]",
            ZONES[number % ZONES.len()],
            zones.join(", "),
            voters.join(", ")
        )
    }

    fn write(&self, name: &str, ip: String, role: &'static str, text: &str) -> Process {
        let settings = self.folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text).expect("settings can be written");
        Process {
            name: name.into(),
            ip,
            role,
            settings,
            child: None,
        }
    }

    /// Returns a machine of the core, with the settings of `platform/core.jsonc`.
    pub fn core(&self, number: usize, bootstrap: bool) -> Process {
        let ip = self.ip(11 + number);
        let name = format!("core-{number}");
        let data = self.folder.join(format!("{name}-data"));
        let p = self.ports;
        let text = format!(
            "{{ \"box\": \"{ip}\", {}, \"listen\": \"{ip}:{}\", \"admin\": \"{ip}:{}\", \
             \"publish\": \"{ip}:{}\", \"data\": \"{}\", \"unattended\": true, \"form\": {bootstrap}, \
             \"election\": \"400ms\", \"heartbeat\": \"80ms\", \"lease_margin\": \"100ms\" }}",
            self.common(number), p + 10, p + 11, p + 1, data.display()
        );
        self.write(&name, ip, "core", &text)
    }

    /// Returns an entry box, with the settings of `platform/edge.jsonc`.
    fn edge(&self, number: usize) -> Process {
        let ip = self.ip(51 + number);
        let name = format!("edge-{number}");
        let p = self.ports;
        let text = format!(
            "{{ \"box\": \"{name}\", {}, \"callers\": \"{ip}:{}\", \"health\": \"{ip}:{}\", \
             \"listen\": \"{ip}:{}\", \"forward\": \"{ip}:{}\", \
             \"limits\": {{ \"body\": \"4MiB\", \"connect\": \"250ms\" }}, \
             \"retries\": {{ \"ratio\": 0.2, \"slack\": 56, \"window\": \"10s\" }}, \
             \"stop_grace\": \"2500ms\", \"stop_within\": \"8s\" }}",
            self.common(number),
            p + 2,
            p + 3,
            p + 10,
            p + 11
        );
        self.write(&name, ip, "edge", &text)
    }

    /// Sends a configuration until a daemon acknowledges it; returns whether one did.
    pub fn publish(&self, config: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        for turn in 0.. {
            if Instant::now() >= until {
                break;
            }
            let to = self.control(turn % self.cores.len());
            let head = "PUT /v1/config HTTP/1.1\r\nHost: core\r\nContent-Type: application/json";
            let answer = call(to, head, config.as_bytes(), Duration::from_millis(2500));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Waits until all edges say that they are ready.
    pub fn wait_ready(&self, within: Duration) {
        let until = Instant::now() + within;
        for edge in &self.edges {
            loop {
                let head = "GET /v1/readyz HTTP/1.1\r\nHost: edge";
                let answer = call(self.port(edge, 3), head, b"", Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() >= until {
                    cannot_run("an edge does not become ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.cores.clear();
        self.edges.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// An engine's heartbeats: to one daemon, and to the next one when it gives no acknowledgement.
pub struct Heartbeats {
    stop: Arc<AtomicBool>,
    at: Arc<Mutex<usize>>,
}

impl Heartbeats {
    /// Begins to send heartbeats to the daemon `first` of `daemons`.
    pub fn begin(daemons: Vec<SocketAddr>, first: usize, id: &str, fields: &str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let at = Arc::new(Mutex::new(first));
        let (id, fields) = (id.to_owned(), fields.to_owned());
        let (ended, to) = (stop.clone(), at.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                loop {
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let head = format!(
                        "PUT /v1/instances/{id} HTTP/1.1\r\nHost: core\r\nContent-Type: application/json"
                    );
                    let body = format!(
                        "{{{fields},\"version\":\"v1\",\"state\":\"ready\",\"cold_remaining_ms\":0,\
                         \"phase\":\"mixed\",\"models\":[],\"sequence\":{sequence}}}"
                    );
                    let daemon = daemons[*to.lock().unwrap() % daemons.len()];
                    let answer = call(daemon, &head, body.as_bytes(), Duration::from_secs(1));
                    if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                        break;
                    }
                    *to.lock().unwrap() += 1;
                    thread::sleep(Duration::from_millis(50));
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Self { stop, at }
    }

    /// Sends no more heartbeats, and returns the daemon that acknowledged the last one.
    pub fn end(&self, daemons: usize) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        *self.at.lock().unwrap() % daemons
    }
}

/// Serves connections at an address, each in a thread of its own.
pub fn listen<F>(address: SocketAddr, serve: F)
where
    F: Fn(TcpStream) + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address);
    let listener =
        listener.unwrap_or_else(|error| cannot_run(&format!("an address is in use: {error}")));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

/// Returns an engine's answer to a request, with its signature.
pub fn answer(status: &str, id: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Engine-Signature: sig-{id}\r\n{headers}\
         Content-Type: text/plain\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
