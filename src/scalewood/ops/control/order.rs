//! Orders to endpoints: which model each is to have loaded.
//!
//! Only the leader gives orders, and only under its lease. Each order carries the term and
//! a number that rises within it, so that an endpoint that checks can refuse an older one.
//! For endpoints that check nobody the lease has to do (`guarded`). A new leader can't be
//! elected before the old one's lease is over, so it need not wait.
//!
//! A new leader gives all orders anew: it does not know which arrived, and to load what is
//! loaded costs nothing. The weight store bounds how many orders go out a second.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{header, Request, StatusCode};
use serde::Serialize;

use crate::{
    core::{backoff, invariant, limit, name, unit},
    event,
    ops::control::{guarded, Handle, Published},
    util::clock::Clock,
};

/// How often it is looked for orders that are due.
const PERIOD: Duration = Duration::from_millis(100);
/// How long an order may take to be answered.
const ORDER: Duration = Duration::from_millis(200);

/// An order as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct Order {
    term: u64,
    number: u64,
    load: name::Model,
}

/// Gives the orders of one voter.
#[derive(Debug)]
pub(super) struct Giver<C> {
    pub(super) handle: Handle,
    pub(super) clock: C,
    pub(super) log: slog::Logger,
    /// Orders a second that the weight store bears.
    pub(super) rate: unit::Rate,
}

/// What a leader has done in its term.
#[derive(Debug, Default)]
struct Done {
    term: u64,
    number: u64,
    taken: HashMap<name::Endpoint, name::Model>,
}

/// What became of an order.
enum Given {
    /// The endpoint took it.
    Taken,
    /// The endpoint turned it away, and wants nothing for so long.
    Rests(Duration),
    /// It may be given again.
    Failed,
}

/// What is due: the endpoint, where it is, and what it is to load.
type Due = (name::Endpoint, SocketAddr, name::Model);

impl<C: Clock> Giver<C> {
    /// Gives orders for ever.
    pub(super) async fn run(self) {
        let mut done = Done::default();
        let mut bucket = limit::Bucket::full(self.rate, self.clock.now());
        let own = self.handle.published().status.node.name;
        let mut rests = backoff::Book::new(own);
        loop {
            tokio::time::sleep(PERIOD).await;
            let published = self.handle.published();
            if !self.lasts(&published, guarded::WRITTEN) {
                continue;
            }
            if done.term != published.status.term.0 {
                done = Done {
                    term: published.status.term.0,
                    ..Done::default()
                };
            }
            for (endpoint, address, load) in due(&published, &done) {
                // Orders are requests too.
                if rests.remaining(&endpoint, None, self.clock.now()).is_some() {
                    continue;
                }
                if bucket.take(1.0, self.rate, self.clock.now()).is_err() {
                    break;
                }
                done.number += 1;
                let order = Order {
                    term: done.term,
                    number: done.number,
                    load: load.clone(),
                };
                match self.give(&endpoint, address, &order).await {
                    Given::Taken => drop(done.taken.insert(endpoint, load)),
                    Given::Rests(length) => {
                        let configured = published.ledger.document().endpoints.get(&endpoint);
                        if let Some(configured) = configured {
                            let now = self.clock.now();
                            rests.record(&endpoint, &configured.service, None, length, now);
                        }
                    }
                    Given::Failed => {}
                }
            }
        }
    }

    /// Whether the lease lasts for so long.
    fn lasts(&self, published: &Published, long: Duration) -> bool {
        published
            .lease
            .is_some_and(|until| until > self.clock.now() + long)
    }

    async fn give(&self, endpoint: &name::Endpoint, address: SocketAddr, order: &Order) -> Given {
        let Some(request) = request(order) else {
            return Given::Failed;
        };
        let holds = |long| {
            // What was read before may be long out of date by now.
            let published = self.handle.published();
            let current = published.status.term.0 == order.term;
            let cordoned = is_cordoned(&published, endpoint);
            let lasts = current && !cordoned && self.lasts(&published, long);
            if lasts {
                self.check_lease(&published, order);
            }
            lasts
        };
        let sent = async {
            let mut connection = guarded::Connection::open(address).await?;
            let unix_ms = self.clock.unix_ms();
            connection.call(request, holds, ORDER, unix_ms).await
        };
        match sent.await {
            Ok(answer) if answer.status == StatusCode::OK => {
                event!(self.log, OrderSent, "endpoint" => %endpoint, "load" => %order.load,
                    "term" => order.term, "number" => order.number);
                Given::Taken
            }
            Ok(answer) => {
                let rest = match answer.rest {
                    backoff::Parsed::For(length) => Some(length),
                    backoff::Parsed::Absent | backoff::Parsed::Invalid => None,
                };
                event!(self.log, OrderFailed, "endpoint" => %endpoint, "why" => %answer.status,
                    "rest_ms" => rest.map(|rest| rest.as_millis()));
                rest.map_or(Given::Failed, Given::Rests)
            }
            Err(guarded::Failure::NoLease) => {
                event!(self.log, OrderHeldBack, "endpoint" => %endpoint, "term" => order.term);
                Given::Failed
            }
            Err(failure) => {
                event!(self.log, OrderFailed, "endpoint" => %endpoint, "why" => failure.as_str());
                Given::Failed
            }
        }
    }

    fn check_lease(&self, published: &Published, order: &Order) {
        let held = published
            .lease
            .is_some_and(|until| until > self.clock.now());
        invariant::check(held, invariant::Rule::LeaseHeld, || {
            format!(
                "order {}.{} under a lease that has run out",
                order.term, order.number
            )
        });
    }
}

/// The orders that the configuration asks for and that were not taken in this term.
fn due(published: &Published, done: &Done) -> Vec<Due> {
    let endpoints = published.ledger.document().endpoints.iter();
    let wanted = endpoints.filter_map(|(name, endpoint)| {
        let load = endpoint.load.clone()?;
        if is_cordoned(published, name) {
            return None;
        }
        (done.taken.get(name) != Some(&load)).then(|| (name.clone(), endpoint.address, load))
    });
    wanted.collect()
}

/// Whether an endpoint's zone is cordoned: to load a model is new work too.
fn is_cordoned(published: &Published, endpoint: &name::Endpoint) -> bool {
    let document = published.ledger.document();
    let endpoint = document.endpoints.get(endpoint);
    endpoint.is_some_and(|endpoint| document.cordoned.contains(&endpoint.zone))
}

fn request(order: &Order) -> Option<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(order).ok()?;
    Request::post("/orders")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()
}
