//! Serves requests of routes, from the caller's head to the final answer.
//!
//! - `outgoing`: the head and body that are sent to an endpoint.
//! - `pool`: idle connections to endpoints.
//! - `request`: a request, from its first attempt to its final answer.
//! - `opening`: attempts, until one is answered or no further one is allowed.
//! - `attempt`: one attempt at an endpoint, until its answer has begun.
//! - `hedge`: another attempt beside one whose answer has begun and pauses.
//! - `retries`: decides whether and when another attempt follows.
//! - `continuation`: where a stream began that goes on, and that it goes on only there.
//! - `forward`: has another box serve a request while this one reaches no endpoint.
//! - `stream`: relays a stream, and resumes it at another endpoint on failure.
//! - `reply`: the answers to callers.
//! - `returning`: detects callers that try again after a refusal.

use std::{collections::BTreeSet, marker::PhantomData, sync::Arc, time::Duration};

use hyper::{body::Incoming, header, Request, Response, StatusCode};

use crate::{
    board::view::View,
    core::{config, name, residency, route, unit},
    event,
    ops::entry::{
        arrival::{Arrivals, Bounds},
        body::Answer,
        buffer,
        call::Call,
        crash,
        dialect::{Dialect, Head},
        dispatchers, drain, now, reach,
        reply::Refusal,
        upstream, Limits, Shared,
    },
    util::{lock::lock, socket},
    wire::peer::Forwarded,
};

mod attempt;
mod continuation;
mod forward;
mod hedge;
mod opening;
mod outgoing;
mod pool;
mod reply;
mod request;
mod retries;
mod returning;
mod stream;

/// How long after its start a box has its routes and endpoints, if the voters start at the same
/// time.
const STARTUP_TIME: Duration = Duration::from_millis(1200);
/// The least wait stated to callers while this box has no routes.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How often idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The state of this box that serving requests of routes needs.
#[derive(Clone, Debug)]
pub(super) struct Context<D> {
    board: Shared,
    pool: pool::Pool,
    /// The connections to other boxes, for requests that these serve for this one.
    peers: upstream::Pool,
    limits: Limits,
    /// The memory for endpoints' answers.
    answers: Arc<buffer::Budget>,
    /// The bodies that are arriving.
    arrivals: Arrivals,
    longest: returning::Longest,
    /// When this box started, by the process's clock.
    started: Duration,
    dialect: PhantomData<D>,
}

/// A request with its route, team and service level.
#[derive(Debug)]
struct Routed {
    head: Head,
    route: Arc<route::Route>,
    team: Option<name::Team>,
    rank: unit::Tier,
    call: Call,
    /// When the final answer is due.
    until: Duration,
    outgoing: outgoing::Outgoing,
    revision: unit::Revision,
    /// What the box that received the request from its caller states, if that is another one.
    forwarded: Option<Forwarded>,
    /// Where the stream began that it takes up, if it does.
    continuation: continuation::Continuation,
}

impl<D: Dialect> Context<D> {
    pub(super) fn new(
        board: Shared,
        limits: Limits,
        answers: Arc<buffer::Budget>,
        arrivals: Arrivals,
    ) -> Self {
        Self {
            started: now(&board),
            board,
            pool: pool::Pool::default(),
            peers: upstream::Pool::new(socket::PROCESS),
            limits,
            answers,
            arrivals,
            longest: returning::Longest::default(),
            dialect: PhantomData,
        }
    }

    /// Closes connections that have been idle for too long, for ever.
    pub(super) async fn sweep(self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let known = |name: &name::Endpoint| {
                let registry = lock(&self.board.registry);
                registry.get(name).map(|record| record.incarnation)
            };
            self.pool.sweep(now(&self.board), known);
        }
    }

    /// Closes the idle connections to endpoints to which the links are lost, for ever. They may carry
    /// nothing even after new ones open again, and each would cost a request to find out.
    pub(super) async fn forget_lost(self) {
        let mut changes = self.board.reach_changed.subscribe();
        while changes.changed().await.is_ok() {
            let lost = lock(&self.board.links_to_endpoints).lost();
            if lost.is_empty() {
                continue;
            }
            let names: BTreeSet<_> = {
                let registry = lock(&self.board.registry);
                let records = registry.records();
                let records = records.filter(|record| lost.contains(&record.service));
                records.map(|record| record.name.clone()).collect()
            };
            self.pool.forget_all(|name| names.contains(name));
        }
    }

    /// Serves a caller's request to its final answer.
    pub(super) async fn serve(
        &self,
        request: Request<Incoming>,
        caller: &socket::Watch,
    ) -> Response<Answer> {
        self.serve_from(request, caller, None).await
    }

    /// Serves a request of a caller, or one that another box has forwarded.
    async fn serve_from(
        &self,
        request: Request<Incoming>,
        caller: &socket::Watch,
        forwarded: Option<Forwarded>,
    ) -> Response<Answer> {
        let is_forwarded = forwarded.is_some();
        let arrived = now(&self.board);
        let head = D::parse(request.headers());
        let id = head.id.clone();
        let routed = match self
            .route(request, head, arrived, (forwarded, caller))
            .await
        {
            Ok(routed) => routed,
            Err(refusal) => return self.refuse(&refusal, id.as_deref()),
        };
        if is_forwarded {
            if reach::is_lost(&self.board, &routed.call.key.service) {
                return self.give_back();
            }
            self.board.metrics.forwards_served.inc();
        } else {
            caller.grant(self.time_left(&routed));
        }
        if caller.is_closed() {
            // The caller left before its request was read, so nobody awaits the answer.
            let gone = Refusal::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "caller-gone",
                "the caller has left",
            );
            return self.refuse(&gone, id.as_deref());
        }
        let request = request::Request::new(self.clone(), routed);
        let serving = async {
            if request.is_stream() {
                stream::serve(request).await
            } else {
                request.serve_whole().await
            }
        };
        match drain::or_end(&self.board, serving).await {
            Some(response) => response,
            None => self.refuse(&drain::unfinished(), id.as_deref()),
        }
    }

    /// Returns the final answer to a request that was refused before any dispatcher was asked.
    fn refuse(&self, refusal: &Refusal, id: Option<&str>) -> Response<Answer> {
        let behind = lock(&self.board.catchup).lag(now(&self.board));
        event!(self.board.log, RequestEnded, "id" => id,
            "status" => refusal.status.as_u16(), "code" => refusal.code,
            "verdict" => %refusal.verdict, "revision" => %self.board.view.load().revision,
            "behind_ms" => behind.as_millis());
        reply::refusal::<D>(refusal, id)
    }

    /// Reads a request and determines its route, team and service level.
    async fn route(
        &self,
        request: Request<Incoming>,
        head: Head,
        arrived: Duration,
        (forwarded, connection): (Option<Forwarded>, &socket::Watch),
    ) -> Result<Routed, Refusal> {
        let view = self.board.view.load_full();
        let Some(routing) = view.document.routing.clone() else {
            let why = "this box has no routes yet; retry later";
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "not-ready", why);
            let uptime = arrived.saturating_sub(self.started);
            return Err(
                refusal.with_retry_after(STARTUP_TIME.saturating_sub(uptime).max(MIN_RETRY_AFTER))
            );
        };
        let (parts, body) = request.into_parts();
        let host = host_of(&parts).unwrap_or_default();
        let name = view.routes.route(host, parts.uri.path()).ok_or_else(|| {
            let why = "no route matches this host and path";
            Refusal::not_run(StatusCode::NOT_FOUND, "unknown-route", why)
        })?;
        let route = routing.routes.get(name).ok_or_else(|| {
            let why = "the route no longer exists";
            Refusal::not_run(StatusCode::NOT_FOUND, "unknown-route", why)
        })?;
        let (team, rights) = authenticate(&view, &routing, route, head.key.as_deref())?;
        let bounds = Bounds {
            bytes: routing.limits.body_bytes,
            time: self.limits.arrival_timeout,
        };
        let body = self.arrivals.receive(body, bounds, connection).await?;
        let public_team = || "public".parse().expect("the name is valid");
        let caller = team.clone().unwrap_or_else(public_team);
        let continuation = self.continuation(&head, route, &caller, forwarded.as_ref());
        let continuation = continuation.await?;
        let began_at = continuation.origin().map(|origin| &origin.service);
        let service = began_at.or_else(|| route.pick_service(rand::random()));
        let service = service.ok_or_else(|| {
            let why = "the route has no service";
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-service", why)
        })?;
        let content = crash::Content::new(&caller, &parts, body.clone());
        // The route's timeout counts from the arrival at the first box, which states what is left of it as the
        // deadline. Here another timeout may be in force already.
        let age = forwarded.as_ref().map_or(0, |forwarded| forwarded.age_ms);
        let age = Duration::from_millis(age);
        let timeout = match (&forwarded, head.deadline) {
            (Some(_), Some(left)) => left,
            _ => route.timeout().saturating_sub(age),
        };
        let time_limit = head.deadline.unwrap_or(Duration::MAX).min(timeout);
        let rank = view.routes.rank(route.tier, rights.tier);
        let mut call = call(
            &head,
            (caller, team.as_ref()),
            (name, service, route),
            rank,
            (arrived.saturating_sub(age), time_limit + age),
            content,
        );
        call.allowed = route.allowed.and(&rights.allowed);
        call.is_client_retry = match &forwarded {
            Some(forwarded) => forwarded.returned,
            None => self.longest.is_return(name, head.deadline),
        };
        Ok(Routed {
            route: Arc::new(route.clone()),
            team,
            rank,
            call,
            until: arrived + time_limit,
            outgoing: outgoing::Outgoing::new::<D>(parts, body),
            revision: view.revision,
            forwarded,
            continuation,
            head,
        })
    }
}

/// Returns the host that a request is addressed to.
fn host_of(parts: &hyper::http::request::Parts) -> Option<&str> {
    let header = parts.headers.get(header::HOST);
    let header = header.and_then(|value| value.to_str().ok());
    header.or_else(|| parts.uri.host())
}

/// The rights that a team gives its requests.
#[derive(Clone, Debug, Default)]
struct Rights {
    tier: unit::Tier,
    allowed: residency::Allowed,
}

/// Returns the team whose key a request carries, if any, and the rights that come with it.
fn authenticate(
    view: &View,
    routing: &route::Routing,
    route: &route::Route,
    key: Option<&str>,
) -> Result<(Option<name::Team>, Rights), Refusal> {
    let name = key.and_then(|key| view.routes.team(key));
    if let Some((name, team)) = name.and_then(|name| routing.teams.get_key_value(name)) {
        let rights = Rights {
            tier: team.tier,
            allowed: team.allowed.clone(),
        };
        return Ok((Some(name.clone()), rights));
    }
    if route.public || routing.teams.is_empty() {
        return Ok((None, Rights::default()));
    }
    let why = "the key is missing or belongs to no team";
    Err(Refusal::not_run(
        StatusCode::UNAUTHORIZED,
        "unauthorised",
        why,
    ))
}

/// Returns the request with its service level. The caller sets the allowed regions and whether it
/// is a retry.
fn call(
    head: &Head,
    (caller, team): (name::Team, Option<&name::Team>),
    (name, service, route): (&name::Class, &name::Service, &route::Route),
    rank: unit::Tier,
    (arrived, time_limit): (Duration, Duration),
    content: crash::Content,
) -> Call {
    let class = config::Class {
        tier: rank,
        target: route.target().min(time_limit),
        deadline: time_limit,
        preemptible: false,
        repeatable: route.kind.is_repeatable(),
        gap: route.gap_ms,
        ..Default::default()
    };
    Call {
        request: dispatchers::new_request(),
        team: caller,
        is_known: team.is_some(),
        key: config::ClassKey {
            service: service.clone(),
            class: name.clone(),
        },
        class,
        spill: false,
        arrived_at: arrived,
        prompt: head.prompt,
        prefix: None,
        placement_key: outgoing::placement_key(head),
        allowed: residency::Allowed::default(),
        source: residency::Source::Route {
            route: name.clone(),
            team: team.cloned(),
        },
        first_token_patience: Some(route.patience().min(time_limit)),
        is_client_retry: false,
        content,
    }
}
