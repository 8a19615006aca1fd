//! The administration API: JSON over HTTP, served with warp.
//!
//! Every path but `/healthz` and `/metrics` requires an operator's bearer token. The HTTP status
//! states the outcome of a change: `409` not applied, `503` not run, `504` unknown.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use error_stack::{Report, ResultExt as _};
use hyper_util::service::TowerToHyperService;
use warp::{http::StatusCode, Filter, Rejection, Reply};

use crate::{
    core::{change, config, name, raft, region, secret, verdict},
    event,
    ops::{
        control::{metric, registry, server, Error, Handle},
        http,
    },
    util::clock,
    wire::{
        admin::{Config, Failure, History, Provider},
        control::Forwarded,
    },
};

/// The largest request body, in bytes: a document with 27,000 teams fits.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// The part of the process's descriptors for connections of operators: one of so many.
const DESCRIPTOR_SHARE: usize = 16;

/// The state that the API's handlers use.
#[derive(Clone, Debug)]
pub(super) struct Admin {
    pub(super) handle: Handle,
    pub(super) server: server::Server,
    pub(super) soft_state: registry::SoftState,
    pub(super) metrics: metric::Metrics,
    /// The availability zones that the settings name.
    pub(super) zones: region::Map,
    pub(super) clock: clock::System,
    pub(super) log: slog::Logger,
}

type Operators = Arc<BTreeMap<secret::Hash, name::Operator>>;

/// The rejection of a request without a valid token.
#[derive(Debug)]
struct Unauthorised;

impl warp::reject::Reject for Unauthorised {}

/// Starts serving the API in the background. Fails if the address can't be bound.
pub(super) async fn serve(
    address: SocketAddr,
    operators: BTreeMap<name::Operator, secret::Hash>,
    descriptors: usize,
    admin: Admin,
) -> Result<(), Report<Error>> {
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .change_context(Error)
        .attach_with(|| format!("{address} can't be listened on; is it in use?"))?;
    let operators = operators
        .into_iter()
        .map(|(name, hash)| (hash, name))
        .collect();
    let max = (descriptors / DESCRIPTOR_SHARE).max(1);
    let listener = http::Listener::new(listener, "operators", max, admin.log.clone());
    let listener = listener.change_context(Error)?;
    let service = TowerToHyperService::new(warp::service(routes(Arc::new(operators), admin)));
    tokio::spawn(listener.serve(move || service.clone()));
    Ok(())
}

fn routes(
    operators: Operators,
    admin: Admin,
) -> impl Filter<Extract = (impl Reply,), Error = std::convert::Infallible> + Clone {
    let log = admin.log.clone();
    let with_admin = warp::any().map(move || admin.clone());
    let operator = authorised(operators, log);
    let path = warp::path("admin").and(warp::path("v1"));
    let at = |name: &'static str| path.and(warp::path(name)).and(warp::path::end());
    // The path is matched before the method, so that an unknown path gets 404 and not 405.
    let get = |name: &'static str| at(name).and(warp::get());
    let post = |name: &'static str| at(name).and(warp::post());
    let body = warp::body::content_length_limit(MAX_BODY_BYTES).and(warp::body::bytes());
    let health = warp::get()
        .and(warp::path("healthz"))
        .and(warp::path::end())
        .map(|| "alive\n");
    let metrics = warp::get()
        .and(warp::path("metrics"))
        .and(warp::path::end())
        .and(with_admin.clone())
        .map(|a: Admin| a.metrics.render(&a.handle, &a.soft_state));
    let config = get("config")
        .and(operator.clone())
        .and(with_admin.clone())
        .map(|_, a: Admin| a.config());
    let history = get("history")
        .and(operator.clone())
        .and(with_admin.clone())
        .map(|_, a: Admin| a.history());
    let status = get("status")
        .and(operator.clone())
        .and(with_admin.clone())
        .map(|_, a: Admin| a.status());
    let provider = get("provider")
        .and(operator.clone())
        .and(with_admin.clone())
        .map(|_, a: Admin| a.provider());
    let cordons = get("cordons")
        .and(operator.clone())
        .and(with_admin.clone())
        .map(|_, a: Admin| a.cordons());
    let cordon = post("cordons")
        .and(operator.clone())
        .and(with_admin.clone())
        .and(body)
        .then(|operator, admin: Admin, bytes| async move { admin.cordon(operator, bytes).await });
    let held_back = get("held-back")
        .and(operator.clone())
        .and(with_admin.clone())
        .map(|_, a: Admin| a.held_back());
    let pardon = post("held-back")
        .and(operator.clone())
        .and(with_admin.clone())
        .and(body)
        .map(|operator, admin: Admin, bytes| admin.pardon(&operator, &bytes));
    let changes = post("changes")
        .and(operator.clone())
        .and(with_admin.clone())
        .and(body)
        .then(|operator, admin: Admin, bytes| async move { admin.change(operator, bytes).await });
    let voters =
        post("voters").and(operator).and(with_admin).and(body).then(
            |operator, admin: Admin, bytes| async move { admin.voters(operator, bytes).await },
        );
    health
        .or(metrics)
        .or(config)
        .or(history)
        .or(status)
        .or(provider)
        .or(cordons)
        .or(cordon)
        .or(held_back)
        .or(pardon)
        .or(changes)
        .or(voters)
        .recover(|rejection| async move { Ok::<_, std::convert::Infallible>(refusal(&rejection)) })
}

/// Extracts the operator to whom a request's token belongs.
fn authorised(
    operators: Operators,
    log: slog::Logger,
) -> impl Filter<Extract = (name::Operator,), Error = Rejection> + Clone {
    warp::header::optional::<String>("authorization").and_then(move |header: Option<String>| {
        let token = header
            .as_deref()
            .and_then(|text| text.strip_prefix("Bearer "));
        let operator = token.and_then(|token| operators.get(&secret::Hash::of(token)).cloned());
        if operator.is_none() {
            event!(log, TokenRefused, "what" => "administration");
        }
        async move { operator.ok_or_else(|| warp::reject::custom(Unauthorised)) }
    })
}

/// Returns the answer to a request that no route accepted.
fn refusal(rejection: &Rejection) -> warp::reply::Response {
    if rejection.find::<Unauthorised>().is_some() {
        let why = "the operator's token is missing or wrong; send `Authorization: Bearer TOKEN`";
        return failure(StatusCode::UNAUTHORIZED, why, verdict::Verdict::NotRun);
    }
    if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        let why = format!("the body is over {MAX_BODY_BYTES} bytes; split the change into parts");
        return failure(StatusCode::PAYLOAD_TOO_LARGE, why, verdict::Verdict::NotRun);
    }
    if rejection.find::<warp::reject::LengthRequired>().is_some() {
        let why = "the request has no body length; send Content-Length";
        return failure(StatusCode::LENGTH_REQUIRED, why, verdict::Verdict::NotRun);
    }
    if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        let why = "this path does not support the method; see docs/OPERATIONS.md";
        return failure(
            StatusCode::METHOD_NOT_ALLOWED,
            why,
            verdict::Verdict::NotRun,
        );
    }
    let why = "there is nothing at this path; see docs/OPERATIONS.md";
    failure(StatusCode::NOT_FOUND, why, verdict::Verdict::NotRun)
}

pub(super) fn failure(
    status: StatusCode,
    why: impl Into<String>,
    verdict: verdict::Verdict,
) -> warp::reply::Response {
    let body = Failure {
        error: why.into(),
        verdict,
    };
    warp::reply::with_status(warp::reply::json(&body), status).into_response()
}

impl Admin {
    fn config(&self) -> warp::reply::Response {
        let Some(ledger) = self.handle.newest_ledger() else {
            return behind();
        };
        let document = config::Document::clone(ledger.document());
        warp::reply::json(&Config {
            revision: ledger.revision(),
            document,
        })
        .into_response()
    }

    fn history(&self) -> warp::reply::Response {
        let Some(ledger) = self.handle.newest_ledger() else {
            return behind();
        };
        let records = ledger.records().collect();
        warp::reply::json(&History { records }).into_response()
    }

    fn status(&self) -> warp::reply::Response {
        warp::reply::json(&self.server.status()).into_response()
    }

    fn provider(&self) -> warp::reply::Response {
        let Some(ledger) = self.handle.newest_ledger() else {
            return behind();
        };
        warp::reply::json(&Provider {
            holder: ledger.holder().cloned(),
            usage: ledger.usage().windows().clone(),
            last_scaling_counts: ledger.last_scaling_counts().clone(),
        })
        .into_response()
    }

    async fn change(&self, operator: name::Operator, bytes: bytes::Bytes) -> warp::reply::Response {
        let change: change::Change = match serde_json::from_slice(&bytes) {
            Ok(change) => change,
            Err(error) => return malformed(&error),
        };
        let id = change.id.clone();
        let outcome = self.handle.change(change, operator.clone()).await;
        match &outcome {
            Forwarded::Answer(change::Answer::Accepted { revision }) => {
                event!(self.log, ChangeAccepted, "change" => %id, "operator" => %operator,
                    "revision" => %revision);
            }
            Forwarded::Answer(change::Answer::NotApplied { .. }) => {
                event!(self.log, ChangeRefused, "change" => %id, "operator" => %operator);
            }
            _ => {}
        }
        answer(outcome, |answer| match &answer {
            change::Answer::Accepted { .. } => (StatusCode::OK, warp::reply::json(&answer)),
            change::Answer::NotApplied { .. } => (StatusCode::CONFLICT, warp::reply::json(&answer)),
        })
    }

    async fn voters(&self, operator: name::Operator, bytes: bytes::Bytes) -> warp::reply::Response {
        let request: raft::MembersRequest = match serde_json::from_slice(&bytes) {
            Ok(request) => request,
            Err(error) => return malformed(&error),
        };
        event!(self.log, VoterChanged, "operator" => %operator, "request" => ?request);
        answer(self.handle.change_members(request).await, |()| {
            (
                StatusCode::OK,
                warp::reply::json(&serde_json::json!({ "outcome": "accepted" })),
            )
        })
    }
}

/// Returns the answer of a voter whose configuration may be out of date.
pub(super) fn behind() -> warp::reply::Response {
    let why = "this voter is not the leader, so its state may be out of date; ask the leader, or \
               try again in a second if there is none";
    failure(
        StatusCode::SERVICE_UNAVAILABLE,
        why,
        verdict::Verdict::NotRun,
    )
}

pub(super) fn malformed(error: &serde_json::Error) -> warp::reply::Response {
    let why = format!("the body is not valid for this path: {error}; see docs/OPERATIONS.md");
    failure(StatusCode::BAD_REQUEST, why, verdict::Verdict::NotRun)
}

pub(super) fn answer<A>(
    outcome: Forwarded<A>,
    decided: impl FnOnce(A) -> (StatusCode, warp::reply::Json),
) -> warp::reply::Response {
    match outcome {
        Forwarded::Answer(answer) => {
            let (status, body) = decided(answer);
            warp::reply::with_status(body, status).into_response()
        }
        Forwarded::NotLeader => {
            let why = "no leader can be reached from this voter; try again in a second";
            failure(
                StatusCode::SERVICE_UNAVAILABLE,
                why,
                verdict::Verdict::NotRun,
            )
        }
        Forwarded::Unknown => {
            let why = "it is not known whether the change was accepted; send it again under the \
                       same id to find out";
            failure(
                StatusCode::GATEWAY_TIMEOUT,
                why,
                verdict::Verdict::MayHaveRun,
            )
        }
        Forwarded::Refused(why) => failure(StatusCode::CONFLICT, why, verdict::Verdict::NotRun),
    }
}
