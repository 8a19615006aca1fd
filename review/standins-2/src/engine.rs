//! An engine of a service, as PROTOCOL.md describes it.

use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use crate::{
    http,
    record::{sleep, Record},
};

/// From which length on a request's body counts as long.
const LONG: usize = 1 << 20;
/// How long a request with a short body takes if `work_ms` is that of long ones.
const SHORT_WORK_MS: u64 = 60;

/// The interval of heartbeats, as in the settings of the processes.
pub const HEARTBEAT_MS: u64 = 1200;
/// How many requests an engine queues beyond those that it works on.
const QUEUE: usize = 24;

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub id: String,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine(Arc<Inner>);

struct Inner {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    control: Vec<SocketAddr>,
    slots: usize,
    work_ms: u64,
    record: Record,
    depends_on_length: AtomicBool,
    is_beating: AtomicBool,
    is_running: AtomicBool,
    sequence: AtomicU64,
    /// The requests that it works on, and all that it has.
    working: AtomicUsize,
    active: AtomicUsize,
    arrivals: Mutex<Vec<Arrival>>,
    open: Mutex<Vec<TcpStream>>,
}

impl Engine {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        address: SocketAddr,
        control: &[SocketAddr],
        (slots, work_ms): (usize, u64),
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("the engine's address is free");
        let engine = Self(Arc::new(Inner {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            control: control.to_vec(),
            slots,
            work_ms,
            record: record.clone(),
            depends_on_length: AtomicBool::new(false),
            is_beating: AtomicBool::new(true),
            is_running: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            working: AtomicUsize::new(0),
            active: AtomicUsize::new(0),
            arrivals: Mutex::default(),
            open: Mutex::default(),
        }));
        record.note(&format!("engine {id} of {service} starts at {address}"));
        let accepting = engine.clone();
        std::thread::spawn(move || accepting.accept(&listener));
        let beating = engine.clone();
        std::thread::spawn(move || beating.beat());
        engine
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.arrivals.lock().unwrap().clone()
    }

    fn accept(&self, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        while self.0.is_running.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let engine = self.clone();
                    std::thread::spawn(move || engine.serve(stream));
                }
                Err(_) => sleep(2),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        self.0.open.lock().unwrap().push(copy);
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut from) {
            if !self.0.is_running.load(Ordering::SeqCst) || !self.answer(&request, &mut to) {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message, to: &mut TcpStream) -> bool {
        let inner = &self.0;
        let mut words = request.first.split(' ');
        let path = words.nth(1).unwrap_or_default().to_owned();
        let instance = ("X-Instance-Id", inner.id.as_str());
        if path == "/healthz" {
            return http::write(to, "HTTP/1.1 200 OK", &[instance], b"").is_ok();
        }
        let id = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let echo = ("X-Attempt-Id", id.as_str());
        if request
            .header("x-target-instance")
            .is_some_and(|target| target != inner.id)
        {
            let first = "HTTP/1.1 421 Misdirected Request";
            return http::write(to, first, &[echo, instance], b"").is_ok();
        }
        let at = inner
            .record
            .note(&format!("reaches {} {id} {path}", inner.id));
        inner
            .arrivals
            .lock()
            .unwrap()
            .push(Arrival { at, id: id.clone() });
        if inner.active.fetch_add(1, Ordering::SeqCst) >= inner.slots + QUEUE {
            inner.active.fetch_sub(1, Ordering::SeqCst);
            let first = "HTTP/1.1 503 Service Unavailable";
            return http::write(to, first, &[echo, ("X-Not-Executed", "1")], b"").is_ok();
        }
        while !self.take_slot() {
            sleep(1);
        }
        inner.record.note(&format!("runs at {} {id}", inner.id));
        let is_short = request.body_length < LONG;
        sleep(if is_short {
            inner.work_ms.min(self.short_work())
        } else {
            inner.work_ms
        });
        inner.working.fetch_sub(1, Ordering::SeqCst);
        inner.active.fetch_sub(1, Ordering::SeqCst);
        if !inner.is_running.load(Ordering::SeqCst) {
            return false;
        }
        inner.record.note(&format!("ran at {} {id}", inner.id));
        let signature = format!("{}.{id}", inner.id);
        let headers = [echo, ("X-Engine-Signature", signature.as_str())];
        let body = format!("answer to {id}\n").repeat(20);
        http::write(to, "HTTP/1.1 200 OK", &headers, body.as_bytes()).is_ok()
    }

    fn short_work(&self) -> u64 {
        let depends = self.0.depends_on_length.load(Ordering::SeqCst);
        if depends {
            SHORT_WORK_MS
        } else {
            self.0.work_ms
        }
    }

    /// From now on only requests with long bodies take their whole time.
    pub fn work_by_length(&self) {
        self.0.depends_on_length.store(true, Ordering::SeqCst);
    }

    fn take_slot(&self) -> bool {
        let (set, get) = (Ordering::SeqCst, Ordering::SeqCst);
        let take = |working: usize| (working < self.0.slots).then_some(working + 1);
        self.0.working.fetch_update(set, get, take).is_ok()
    }

    /// Sends heartbeats, each to the next daemon.
    fn beat(&self) {
        let inner = &self.0;
        let mut turn = inner.id.bytes().map(usize::from).sum::<usize>();
        loop {
            let sequence = inner.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            for _ in 0..inner.control.len() {
                if !inner.is_beating.load(Ordering::SeqCst) {
                    return;
                }
                let to = inner.control[turn % inner.control.len()];
                turn += 1;
                if self.put(to, sequence).is_ok_and(|status| status / 100 == 2) {
                    break;
                }
            }
            sleep(HEARTBEAT_MS);
        }
    }

    fn put(&self, to: SocketAddr, sequence: u64) -> std::io::Result<u16> {
        let inner = &self.0;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            inner.service, inner.address, inner.zone, inner.slots
        );
        let first = format!("PUT /v1/instances/{} HTTP/1.1", inner.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let answer = http::call(
            to,
            &first,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        )?;
        Ok(answer.status())
    }

    /// Ends the heartbeats. An engine that leaves without saying `draining` sends none after its DELETE.
    pub fn stop_beating(&self) {
        self.0.is_beating.store(false, Ordering::SeqCst);
    }

    /// Sends `DELETE /v1/instances/ID`; returns whether it was acknowledged.
    pub fn delete(&self, to: SocketAddr) -> bool {
        self.stop_beating();
        let first = format!("DELETE /v1/instances/{} HTTP/1.1", self.0.id);
        let answer = http::call(
            to,
            &first,
            &[("Host", "control")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status() / 100 == 2)
    }

    /// Ends the engine.
    pub fn end(&self) {
        self.stop_beating();
        self.0.is_running.store(false, Ordering::SeqCst);
        for stream in self.0.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.0.record.note(&format!("engine {} ends", self.0.id));
    }
}
