//! Polls the load of configured endpoints, and whether they are about to leave.
//!
//! Only the box that dispatches a service polls its endpoints, so the cost does not grow with
//! the number of boxes. The protocol is that of common model servers: `GET /health` answers 200
//! while new work is accepted, and 503 before the endpoint leaves; `GET /load` returns the number
//! of requests in the endpoint. Both lag behind the real state.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::{Response, StatusCode};
use serde::Deserialize;

use crate::{
    core::{dispatch, name},
    event,
    ops::entry::{answer_head, crash::Target, dispatchers, plain, upstream, Shared},
    util::socket,
};

/// The pause between two polls of the endpoints.
const POLL_PAUSE: Duration = Duration::from_millis(500);
/// How long connecting to an endpoint may take, and how long its whole poll may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest body of an answer.
const MAX_BODY_BYTES: usize = 16 << 10;

/// The body of the answer to `GET /load`.
#[derive(Debug, Deserialize)]
struct Load {
    server_load: u32,
}

/// The state that an endpoint reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Status {
    leaving: bool,
    /// The number of requests in the endpoint.
    load: u32,
}

/// Polls the endpoints of the services dispatched here, for ever.
pub(super) async fn run(board: Shared) {
    let mut leaving = HashMap::new();
    loop {
        for service in dispatchers::services(&board) {
            poll(&board, &service, &mut leaving).await;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

async fn poll(
    board: &Shared,
    service: &name::Service,
    leaving: &mut HashMap<name::Endpoint, bool>,
) {
    let view = board.view.load_full();
    let asked = view
        .endpoints(service, &board.own.zone)
        // An endpoint that asked for a backoff or limits its rate is left alone: polls are requests
        // too.
        .filter(|(name, _)| {
            board.remaining_backoff(name).is_none() && board.limit_of(name).is_none()
        })
        .map(|(name, endpoint)| async move {
            let target = plain::target(board, name, endpoint.address);
            let state = tokio::time::timeout(ANSWER_TIMEOUT, ask(board, service, &target)).await;
            (name, endpoint, state.ok().flatten())
        });
    for (name, endpoint, state) in futures_util::future::join_all(asked).await {
        let Some(state) = state else { continue };
        let backlog = state.load.saturating_sub(endpoint.slots.0);
        dispatchers::apply_input(
            board,
            service,
            dispatch::Input::Backlog(name.clone(), backlog),
        );
        let was_leaving = leaving.insert(name.clone(), state.leaving).unwrap_or(false);
        if state.leaving && !was_leaving {
            event!(board.log, EndpointLeaving, "endpoint" => %name);
        }
        // Passed on after each poll, since the dispatcher may be a new one.
        let leaves = state.leaving || endpoint.leaving;
        dispatchers::apply_input(
            board,
            service,
            dispatch::Input::Leaving(name.clone(), leaves),
        );
    }
}

async fn ask(board: &Shared, service: &name::Service, target: &Target) -> Option<Status> {
    let health = get(target.address, "/health").await?;
    answer_head::observe_health(board, service, target, &health);
    let load = get(target.address, "/load").await?;
    answer_head::observe_health(board, service, target, &load);
    let read: Option<Load> = serde_json::from_slice(load.body()).ok();
    Some(Status {
        leaving: health.status() == StatusCode::SERVICE_UNAVAILABLE,
        load: read.map_or(0, |load| load.server_load),
    })
}

async fn get(address: SocketAddr, path: &str) -> Option<Response<Bytes>> {
    let dialled = upstream::dial::<Empty<Bytes>>(address, ANSWER_TIMEOUT, socket::ENDPOINT);
    let mut sender = dialled.await.ok()?;
    let request = hyper::Request::get(path).header("host", address.to_string());
    let request = request.body(Empty::new()).ok()?;
    let response = upstream::answer_to(&mut sender, request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.ok()?.to_bytes();
    Some(Response::from_parts(head, body))
}
