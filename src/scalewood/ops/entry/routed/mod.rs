//! Requests of routes: from the caller's head to the final answer.
//!
//! - `outgoing`: the head and body that an endpoint gets.
//! - `pool`: connections to endpoints that are kept.
//! - `attempt`: attempts at endpoints, until one answers or none may follow.
//! - `stream`: passing a stream on, and going on with it elsewhere.
//! - `reply`: what callers are answered.
//! - `returning`: which callers come back after a refusal.

use std::{marker::PhantomData, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::{body::Incoming, header, Request, Response, StatusCode};

use crate::{
    board::view::View,
    core::{config, name, residency, retry, route, unit},
    event,
    ops::entry::{
        body::Answer,
        call::Call,
        crash, desk,
        dialect::{Dialect, Head},
        now,
        reply::Refusal,
        Limits, Shared,
    },
    util::{lock::lock, socket},
};

mod again;
mod attempt;
mod outgoing;
mod pool;
mod reply;
mod returning;
mod stream;

/// How long after its start a box has its routes and endpoints, where the voters have
/// started with it.
const STARTING: Duration = Duration::from_millis(1200);
/// The soonest that a caller is told to come back to a box without routes.
const AGAIN: Duration = Duration::from_millis(500);

/// How often connections that are at rest are looked at.
const SWEEP: Duration = Duration::from_secs(1);

/// The parts of this box that requests of routes need.
#[derive(Clone, Debug)]
pub(super) struct Context<D> {
    board: Shared,
    pool: pool::Pool,
    limits: Limits,
    retries: retry::Allowance,
    longest: returning::Longest,
    started: Duration,
    dialect: PhantomData<D>,
}

/// A request with its route, team and service level.
#[derive(Clone, Debug)]
struct Routed {
    head: Head,
    route: Arc<route::Route>,
    team: Option<name::Team>,
    rank: unit::Tier,
    call: Call,
    /// When its final answer is due.
    until: Duration,
    outgoing: outgoing::Outgoing,
    revision: unit::Revision,
}

impl<D: Dialect> Context<D> {
    pub(super) fn new(board: Shared, limits: Limits, retries: retry::Allowance) -> Self {
        Self {
            retries,
            started: now(&board),
            board,
            pool: pool::Pool::default(),
            limits,
            longest: returning::Longest::default(),
            dialect: PhantomData,
        }
    }

    /// Closes connections that are at rest for too long, for ever.
    pub(super) async fn sweep(self) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let known = |name: &name::Endpoint| {
                let registry = lock(&self.board.registry);
                registry.get(name).map(|record| record.incarnation)
            };
            self.pool.sweep(now(&self.board), known);
        }
    }

    /// Serves a request to its final answer.
    pub(super) async fn serve(
        &self,
        request: Request<Incoming>,
        caller: &socket::Watch,
    ) -> Response<Answer> {
        let arrived = now(&self.board);
        let head = D::head(request.headers());
        let id = head.id.clone();
        let routed = match self.route(request, head, arrived).await {
            Ok(routed) => routed,
            Err(refusal) => return self.refuse(&refusal, id.as_deref()),
        };
        if caller.is_closed() {
            // It left while its request waited to be read; there is nobody to answer.
            let gone = Refusal::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "caller-gone",
                "the caller has left",
            );
            return self.refuse(&gone, id.as_deref());
        }
        let request = attempt::Request::new(self.clone(), routed);
        if request.is_stream() {
            stream::serve(request).await
        } else {
            request.serve_whole().await
        }
    }

    /// The final answer of a request that no dispatcher was asked about.
    fn refuse(&self, refusal: &Refusal, id: Option<&str>) -> Response<Answer> {
        let behind = lock(&self.board.catchup).lag(now(&self.board));
        event!(self.board.log, RequestEnded, "id" => id,
            "status" => refusal.status.as_u16(), "code" => refusal.code,
            "verdict" => %refusal.verdict, "revision" => %self.board.view.load().revision,
            "behind_ms" => behind.as_millis());
        reply::refusal::<D>(refusal, id)
    }

    /// Finds out what a request is and how it is to be served.
    async fn route(
        &self,
        request: Request<Incoming>,
        head: Head,
        arrived: Duration,
    ) -> Result<Routed, Refusal> {
        let view = self.board.view.load_full();
        let Some(routing) = view.document.routing.clone() else {
            let why = "this box has no routes yet; ask again in a moment";
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "not-ready", why);
            let up = arrived.saturating_sub(self.started);
            return Err(refusal.after(STARTING.saturating_sub(up).max(AGAIN)));
        };
        let (parts, body) = request.into_parts();
        let host = host_of(&parts).unwrap_or_default();
        let name = view.table.route(host, parts.uri.path()).ok_or_else(|| {
            let why = "no route holds for this host and path";
            Refusal::not_run(StatusCode::NOT_FOUND, "unknown-route", why)
        })?;
        let route = routing.routes.get(name).ok_or_else(|| {
            let why = "the route is gone";
            Refusal::not_run(StatusCode::NOT_FOUND, "unknown-route", why)
        })?;
        let (team, rights) = authenticate(&view, &routing, route, head.key.as_deref())?;
        let body = read(body, routing.limits.body_bytes, self.limits.arrival).await?;
        let service = route.pick_service(rand::random()).ok_or_else(|| {
            let why = "the route leads to no service";
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-service", why)
        })?;
        let anybody = || "public".parse().expect("the name is valid");
        let caller = team.clone().unwrap_or_else(anybody);
        let content = crash::Content::new(&caller, &parts, body.clone());
        let held = head.deadline.unwrap_or(Duration::MAX).min(route.timeout());
        let rank = view.table.rank(route.tier, rights.tier);
        let mut call = call(
            &head,
            (caller, team.as_ref()),
            (name, service, route),
            rank,
            (arrived, held),
            content,
        );
        call.allowed = route.allowed.and(&rights.allowed);
        call.returned = self.longest.is_return(name, head.deadline);
        Ok(Routed {
            route: Arc::new(route.clone()),
            team,
            rank,
            call,
            until: arrived + held,
            outgoing: outgoing::Outgoing::new::<D>(parts, body),
            revision: view.revision,
            head,
        })
    }
}

/// The host that a request is for.
fn host_of(parts: &hyper::http::request::Parts) -> Option<&str> {
    let header = parts.headers.get(header::HOST);
    let header = header.and_then(|value| value.to_str().ok());
    header.or_else(|| parts.uri.host())
}

/// What a team lends its requests.
#[derive(Clone, Debug, Default)]
struct Rights {
    tier: unit::Tier,
    allowed: residency::Allowed,
}

/// The team whose key a request carries, and what that lends it.
fn authenticate(
    view: &View,
    routing: &route::Routing,
    route: &route::Route,
    key: Option<&str>,
) -> Result<(Option<name::Team>, Rights), Refusal> {
    let name = key.and_then(|key| view.table.team(key));
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

/// The request as dispatchers see it.
fn call(
    head: &Head,
    (caller, team): (name::Team, Option<&name::Team>),
    (name, service, route): (&name::Class, &name::Service, &route::Route),
    rank: unit::Tier,
    (arrived, held): (Duration, Duration),
    content: crash::Content,
) -> Call {
    let class = config::Class {
        tier: rank,
        target: route.target().min(held),
        deadline: held,
        preemptible: false,
        repeatable: route.kind.is_repeatable(),
        gap: route.gap_ms,
        ..Default::default()
    };
    Call {
        request: desk::new_request(),
        team: caller,
        is_known: team.is_some(),
        key: config::ClassKey {
            service: service.clone(),
            class: name.clone(),
        },
        class,
        spill: false,
        arrived,
        prompt: head.prompt,
        prefix: None,
        placed: outgoing::placed(head),
        allowed: residency::Allowed::default(),
        source: residency::Source::Route {
            route: name.clone(),
            team: team.cloned(),
        },
        patience: Some(route.patience().min(held)),
        returned: false,
        content,
    }
}

/// Reads a request's body, within the limits.
async fn read(body: Incoming, most: usize, within: Duration) -> Result<Bytes, Refusal> {
    let whole = Limited::new(body, most).collect();
    match tokio::time::timeout(within, whole).await {
        Err(_) => Err(Refusal::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "slow-body",
            "the body did not arrive in time; send it faster",
        )),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "large-body",
            "the body is over the limit; send less",
        )),
        Ok(Err(_)) => Err(Refusal::not_run(
            StatusCode::BAD_REQUEST,
            "broken-body",
            "the body broke off; send it whole",
        )),
    }
}
