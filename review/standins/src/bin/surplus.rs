//! An engine that is full rejects some requests, and sends some of these rejections a second time:
//! late, in the place of the next answer that is due on the connection. REFUSED: a request that
//! isn't idempotent and is answered 503 has not run. TWICE: it runs at most once.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::TcpStream,
    path::Path,
    process::ExitCode,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::Duration,
};

use review_standins::{
    answer, call, cannot_run, draw, listen, read, run, trouble, Fleet, Heartbeats, Record,
};

const ENGINES: usize = 2;
const EDGES: usize = 3;
const SLOTS: usize = 6;
/// The requests that an engine queues beyond its slots.
const QUEUE: usize = 2;
const WORK: Duration = Duration::from_millis(60);
const CLIENTS: usize = 44;
const LASTS: Duration = Duration::from_secs(80);
/// The largest share of an engine's answers that it sends again.
const SHARE: f64 = 0.03;

/// How many requests an engine runs and holds.
#[derive(Default)]
struct Load {
    running: usize,
    held: usize,
}

struct Engine {
    id: String,
    load: Mutex<Load>,
    freed: Condvar,
    answers: AtomicU64,
    rejected: AtomicU64,
    surplus: AtomicU64,
    /// Whether it sends some answers again.
    is_faulty: bool,
}

type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

impl Engine {
    fn serve(&self, stream: TcpStream, runs: &Runs, record: &Record) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        // An answer that is to be sent again.
        let mut again: Option<String> = None;
        while let Ok(Some(request)) = read(&mut reader) {
            let id = request
                .header("x-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let target = request.header("x-target-instance").unwrap_or_default();
            if target != self.id {
                let head = "X-Not-Executed: 1\r\n";
                let _ = writer.write_all(answer("421 Misdirected", &id, head, "").as_bytes());
                continue;
            }
            if let Some(again) = again.take() {
                record.line(&format!("{} sends an earlier answer again", self.id));
                if writer.write_all(again.as_bytes()).is_err() {
                    return;
                }
            }
            let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            let is_full = {
                let mut load = self.load.lock().unwrap();
                let is_full = load.held >= SLOTS + QUEUE;
                load.held += usize::from(!is_full);
                is_full
            };
            if is_full {
                self.rejected.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("{} is full and rejects {id}", self.id));
                let text = answer("503 Full", &id, "X-Not-Executed: 1\r\n", "full");
                let sent = self.surplus.load(Ordering::Relaxed) + 1;
                if self.is_faulty && sent as f64 <= answers as f64 * SHARE {
                    self.surplus.store(sent, Ordering::Relaxed);
                    again = Some(text.clone());
                }
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let mut load = self.load.lock().unwrap();
            while load.running >= SLOTS {
                load = self.freed.wait(load).unwrap();
            }
            load.running += 1;
            drop(load);
            *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            record.line(&format!("{} runs {id}", self.id));
            thread::sleep(WORK);
            let mut load = self.load.lock().unwrap();
            load.running -= 1;
            load.held -= 1;
            drop(load);
            self.freed.notify_one();
            if writer
                .write_all(answer("200 OK", &id, "", "booked").as_bytes())
                .is_err()
            {
                return;
            }
        }
    }
}

fn main() -> ExitCode {
    run(case)
}

fn case(folder: &Path) -> bool {
    let record = Record::create(folder);
    let fleet = Fleet::start(3, EDGES);
    let config = r#"{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/lohu930/",
        "kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"wuno96b",
        "max_attempts":1,"public":true}],"services":[{"name":"wuno96b","health_path":"/healthz",
        "max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,
        "max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;
    if !fleet.publish(config, Duration::from_secs(15)) {
        cannot_run("the first configuration is not acknowledged");
    }
    let daemons: Vec<_> = (0..3).map(|core| fleet.control(core)).collect();
    let runs = Runs::default();
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let address = fleet.address(101 + number, 20);
        let engine = Arc::new(Engine {
            id: format!("i-{number}-{:08x}", draw() as u32),
            load: Mutex::default(),
            freed: Condvar::new(),
            answers: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            surplus: AtomicU64::new(0),
            is_faulty: number == 0 && trouble(),
        });
        let (serving, runs, log) = (engine.clone(), runs.clone(), record.clone());
        listen(address, move |stream| serving.serve(stream, &runs, &log));
        let zone = ["cluj-hall", "brasov-hall", "sibiu-hall"][number];
        let fields = format!(
            "\"service\":\"wuno96b\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"slots\":{SLOTS}"
        );
        Heartbeats::begin(daemons.clone(), number, &engine.id, &fields);
        engines.push(engine);
    }
    fleet.wait_ready(Duration::from_secs(15));
    thread::sleep(Duration::from_secs(4));

    let stop = Arc::new(AtomicBool::new(false));
    let statuses: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let to = fleet.frontend(client % EDGES);
        let (stop, statuses, log) = (stop.clone(), statuses.clone(), record.clone());
        clients.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let id = format!("{:016x}", draw());
                let head = format!(
                    "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000"
                );
                let answered = call(to, &head, b"one gearbox", Duration::from_secs(5));
                let status = answered.map_or(0, |answer| answer.status());
                log.line(&format!("{id} was answered {status}"));
                statuses.lock().unwrap().insert(id, status);
                thread::sleep(Duration::from_millis(20 + draw() % 300));
            }
        }));
    }
    thread::sleep(LASTS);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));

    for engine in &engines {
        record.say(&format!(
            "{}: {} answers, {} rejections, {} of them sent twice",
            engine.id,
            engine.answers.load(Ordering::Relaxed),
            engine.rejected.load(Ordering::Relaxed),
            engine.surplus.load(Ordering::Relaxed)
        ));
    }
    let (runs, statuses) = (runs.lock().unwrap(), statuses.lock().unwrap());
    let mut counts: BTreeMap<u16, u32> = BTreeMap::new();
    for status in statuses.values() {
        *counts.entry(*status).or_default() += 1;
    }
    record.say(&format!("answers to clients by status: {counts:?}"));
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    for (id, count) in &twice {
        record.say(&format!("TWICE: {id} ran {count} times"));
    }
    let promises = [408, 421, 429, 503];
    let refused = statuses
        .iter()
        .filter(|(_, status)| promises.contains(*status));
    let refused: Vec<_> = refused.filter(|(id, _)| runs.contains_key(*id)).collect();
    for (id, status) in &refused {
        record.say(&format!("REFUSED: {id} ran, and was answered {status}"));
    }
    if counts.get(&200).copied().unwrap_or_default() < 1000 {
        cannot_run("too few requests were served");
    }
    !twice.is_empty() || !refused.is_empty()
}
