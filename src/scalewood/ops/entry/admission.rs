//! Admits the connections of callers and of other boxes, within the descriptors and the memory for them.
//!
//! If there is no room, the connection that has been idle for the longest is closed, or a body that does not get on
//! gives way. Connections are also closed whose callers go on sending while they have no answer.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use prometheus_client::metrics::gauge::Gauge;

use crate::{
    event,
    ops::{
        connection,
        entry::{
            arrival::Arrivals,
            buffer::{Account, Budget, Permit},
            memory::Memory,
            now, Limits, Shared,
        },
    },
    util::{lock::lock, metric::ShortageLabel, socket},
};

/// The memory of a connection beside the longest head of a request: its task, its write buffer and the state of a
/// request.
const CONNECTION_BYTES: usize = 24 << 10;
/// The descriptors of a connection: one for the connection and one to watch it.
const DESCRIPTORS_PER_CONNECTION: usize = 2;
/// The part of the process's descriptors for connections of callers, as a fraction.
const CALLERS: (usize, usize) = (3, 4);
/// The part of the process's descriptors for connections of other boxes, as a fraction.
const BOXES: (usize, usize) = (1, 16);
/// How long a new connection waits for one that is closed for it, and how often that is checked.
const ROOM_TIMEOUT: Duration = Duration::from_millis(50);
const ROOM_CHECKS: u32 = 5;
/// How often it is checked which callers go on sending while they have no answer.
const EXCESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The shortest time between two log lines about a lack of room.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The connections of a listener.
#[derive(Debug)]
pub(super) struct Admission {
    board: Shared,
    open: Arc<connection::Set<Open>>,
    budget: Arc<Budget>,
    arrivals: Arrivals,
    log: Mutex<Log>,
}

/// An open connection.
#[derive(Debug)]
struct Open {
    caller: socket::Watch,
    _permit: Permit,
}

/// When a lack of room was last logged, and how often it was met since.
#[derive(Debug, Default)]
struct Log {
    at: Option<Duration>,
    unlogged: u64,
}

impl Admission {
    /// Returns the admission of callers and that of other boxes.
    pub(super) fn of_callers_and_boxes(
        board: &Shared,
        limits: &Limits,
        memory: &Memory,
        arrivals: &Arrivals,
    ) -> (Arc<Self>, Arc<Self>) {
        let new = |(count, of): (usize, usize)| {
            let max = limits.descriptors / of * count / DESCRIPTORS_PER_CONNECTION;
            Arc::new(Self {
                board: board.clone(),
                open: connection::Set::new(max.max(1)),
                budget: memory.connections.clone(),
                arrivals: arrivals.clone(),
                log: Mutex::default(),
            })
        };
        (new(CALLERS), new(BOXES))
    }

    /// Admits a connection whose requests have heads of at most `head` bytes; returns `None` if there is no room.
    pub(super) async fn admit(&self, caller: &socket::Watch, head: usize) -> Option<Admitted> {
        for _ in 0..ROOM_CHECKS {
            let mut permit = Account::new(&self.budget).permit();
            if permit.grow(CONNECTION_BYTES + head).is_ok() {
                let open = Open {
                    caller: caller.clone(),
                    _permit: permit,
                };
                if let Some(admitted) = self.open.admit(open, now(&self.board)) {
                    let connections = self.board.metrics.connections.clone();
                    connections.inc();
                    return Some(Admitted {
                        connection: admitted,
                        connections,
                    });
                }
            }
            if self.open.close_idlest() {
                self.record("idle");
            } else if !self.arrivals.make_one_yield() {
                break;
            }
            tokio::time::sleep(ROOM_TIMEOUT / ROOM_CHECKS).await;
        }
        self.record("refused");
        None
    }

    /// Closes connections whose callers go on sending while they have no answer, for ever.
    pub(super) async fn watch(self: Arc<Self>) {
        loop {
            tokio::time::sleep(EXCESS_CHECK_INTERVAL).await;
            let closed = self.open.close_busy(|open| open.caller.has_excess());
            for _ in 0..closed {
                self.record("excess");
            }
        }
    }

    /// Counts a connection that was closed for lack of room, and logs it from time to time.
    fn record(&self, why: &'static str) {
        let label = ShortageLabel { why };
        let metrics = &self.board.metrics;
        metrics.connections_closed.get_or_create(&label).inc();
        let now = now(&self.board);
        let mut log = lock(&self.log);
        if log.at.is_some_and(|at| now < at + LOG_INTERVAL) {
            log.unlogged += 1;
            return;
        }
        log.at = Some(now);
        event!(self.board.log, ConnectionsShort, "why" => why, "open" => self.open.len(),
            "memory" => %self.budget.used(), "of" => %self.budget.max(),
            "untold" => std::mem::take(&mut log.unlogged));
    }
}

/// A connection that was admitted.
#[derive(Debug)]
pub(super) struct Admitted {
    connection: connection::Connection<Open>,
    /// The metric that counts it.
    connections: Gauge,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.connections.dec();
    }
}

impl Admitted {
    /// Returns what counts the requests of the connection.
    pub(super) fn requests(&self) -> Requests {
        Requests(self.connection.requests())
    }

    /// Completes when the connection has to be closed.
    pub(super) async fn closed(&self) {
        self.connection.closed().await;
    }
}

/// Counts the requests of a connection.
#[derive(Clone, Debug)]
pub(super) struct Requests(connection::Requests<Open>);

impl Requests {
    /// Counts a request until the returned value is dropped.
    pub(super) fn begin(&self, board: Shared) -> Request {
        self.0.begin();
        Request {
            requests: self.0.clone(),
            board,
        }
    }
}

/// A request that is not answered completely.
#[derive(Debug)]
pub(super) struct Request {
    requests: connection::Requests<Open>,
    board: Shared,
}

impl Drop for Request {
    fn drop(&mut self) {
        self.requests.end(now(&self.board));
    }
}
