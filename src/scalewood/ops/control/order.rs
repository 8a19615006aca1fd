//! Orders to endpoints, which tell each endpoint which model to load.
//!
//! Only the leader sends orders, and only under its lease. Each order carries the term and a number
//! that rises within the term, as a fencing token: an endpoint that checks it can refuse an older
//! order. Endpoints that don't check it are protected by the lease alone (see `guarded`). A new
//! leader can't be elected before the old one's lease has expired, so it need not wait.
//!
//! A new leader sends all orders again: it does not know which of them arrived, and loading a model
//! that is loaded already costs nothing. The rate of orders is limited by what the weight store can
//! serve.

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

/// The interval between two checks for orders to send.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long an endpoint may take to answer an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// The body of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct Order {
    term: u64,
    number: u64,
    load: name::Model,
}

/// Sends orders to endpoints while this voter leads.
#[derive(Debug)]
pub(super) struct Sender<C> {
    pub(super) handle: Handle,
    pub(super) clock: C,
    pub(super) log: slog::Logger,
    /// The most orders per second.
    pub(super) rate: unit::Rate,
}

/// The orders that this leader has sent in its term.
#[derive(Debug, Default)]
struct Progress {
    term: u64,
    /// The number of the last order.
    number: u64,
    /// The model of the last order that each endpoint accepted.
    accepted: HashMap<name::Endpoint, name::Model>,
}

/// The outcome of an order.
enum Outcome {
    /// The endpoint accepted it.
    Accepted,
    /// The endpoint refused it, and asked to be sent nothing for this long.
    RetryAfter(Duration),
    /// It failed, and may be sent again.
    Failed,
}

/// An order to send: the endpoint, its address, and the model to load.
type Due = (name::Endpoint, SocketAddr, name::Model);

impl<C: Clock> Sender<C> {
    /// Sends the orders that are due, for ever.
    pub(super) async fn run(self) {
        let mut progress = Progress::default();
        let mut bucket = limit::Bucket::full(self.rate, self.clock.now());
        let own = self.handle.published().status.node.name;
        let mut backoffs = backoff::Book::new(own);
        loop {
            tokio::time::sleep(CHECK_PERIOD).await;
            let published = self.handle.published();
            if !self.has_lease_for(&published, guarded::MIN_LEASE_TO_WRITE) {
                continue;
            }
            if progress.term != published.status.term.0 {
                progress = Progress {
                    term: published.status.term.0,
                    ..Progress::default()
                };
            }
            for (endpoint, address, load) in due(&published, &progress) {
                // Orders count as requests, so an endpoint's Retry-After applies to them too.
                if backoffs
                    .remaining(&endpoint, None, self.clock.now())
                    .is_some()
                {
                    continue;
                }
                if bucket.take(1.0, self.rate, self.clock.now()).is_err() {
                    break;
                }
                progress.number += 1;
                let order = Order {
                    term: progress.term,
                    number: progress.number,
                    load: load.clone(),
                };
                match self.send(&endpoint, address, &order).await {
                    Outcome::Accepted => drop(progress.accepted.insert(endpoint, load)),
                    Outcome::RetryAfter(length) => {
                        let configured = published.ledger.document().endpoints.get(&endpoint);
                        if let Some(configured) = configured {
                            let now = self.clock.now();
                            backoffs.record(&endpoint, &configured.service, None, length, now);
                        }
                    }
                    Outcome::Failed => {}
                }
            }
        }
    }

    /// Returns whether the lease is valid for longer than `duration`.
    fn has_lease_for(&self, published: &Published, duration: Duration) -> bool {
        published
            .lease
            .is_some_and(|until| until > self.clock.now() + duration)
    }

    /// Sends an order if the lease is still valid for long enough when it is written.
    async fn send(&self, endpoint: &name::Endpoint, address: SocketAddr, order: &Order) -> Outcome {
        let Some(request) = request(order) else {
            return Outcome::Failed;
        };
        let holds = |duration| {
            // Checked again, since connecting may have taken long.
            let published = self.handle.published();
            let current = published.status.term.0 == order.term;
            let cordoned = is_cordoned(&published, endpoint);
            let may_send = current && !cordoned && self.has_lease_for(&published, duration);
            if may_send {
                self.check_lease(&published, order);
            }
            may_send
        };
        let sent = async {
            let mut connection = guarded::Connection::open(address).await?;
            let unix_ms = self.clock.unix_ms();
            connection
                .call(request, holds, ANSWER_TIMEOUT, unix_ms)
                .await
        };
        match sent.await {
            Ok(answer) if answer.status == StatusCode::OK => {
                event!(self.log, OrderSent, "endpoint" => %endpoint, "load" => %order.load,
                    "term" => order.term, "number" => order.number);
                Outcome::Accepted
            }
            Ok(answer) => {
                let backoff = match answer.backoff {
                    backoff::Parsed::For(length) => Some(length),
                    backoff::Parsed::Absent | backoff::Parsed::Invalid => None,
                };
                event!(self.log, OrderFailed, "endpoint" => %endpoint, "why" => %answer.status,
                    "rest_ms" => backoff.map(|backoff| backoff.as_millis()));
                backoff.map_or(Outcome::Failed, Outcome::RetryAfter)
            }
            Err(guarded::Failure::NoLease) => {
                event!(self.log, OrderNotSent, "endpoint" => %endpoint, "term" => order.term);
                Outcome::Failed
            }
            Err(failure) => {
                event!(self.log, OrderFailed, "endpoint" => %endpoint, "why" => failure.as_str());
                Outcome::Failed
            }
        }
    }

    /// Checks the invariant that no order is sent without a lease.
    fn check_lease(&self, published: &Published, order: &Order) {
        let held = published
            .lease
            .is_some_and(|until| until > self.clock.now());
        invariant::check(held, invariant::Rule::LeaseHeld, || {
            format!(
                "order {}.{} under an expired lease",
                order.term, order.number
            )
        });
    }
}

/// Returns the orders that the configuration asks for and that were not accepted in this term.
/// Endpoints in cordoned zones get none.
fn due(published: &Published, progress: &Progress) -> Vec<Due> {
    let endpoints = published.ledger.document().endpoints.iter();
    let wanted = endpoints.filter_map(|(name, endpoint)| {
        let load = endpoint.load.clone()?;
        if is_cordoned(published, name) {
            return None;
        }
        (progress.accepted.get(name) != Some(&load)).then(|| (name.clone(), endpoint.address, load))
    });
    wanted.collect()
}

/// Returns whether an endpoint's zone is cordoned. Loading a model counts as new work, which a
/// cordoned zone does not get.
fn is_cordoned(published: &Published, endpoint: &name::Endpoint) -> bool {
    let document = published.ledger.document();
    let endpoint = document.endpoints.get(endpoint);
    endpoint.is_some_and(|endpoint| document.cordoned.contains(&endpoint.zone))
}

/// Builds the HTTP request for an order.
fn request(order: &Order) -> Option<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(order).ok()?;
    Request::post("/orders")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()
}
