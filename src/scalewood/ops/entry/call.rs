//! A caller's request after authentication: the team, the service, and the service level.

use std::time::Duration;

use hyper::{header, HeaderMap, StatusCode};

use crate::{
    board::{entry::Buckets, view::View},
    core::{attempt, build, config, dispatch, limit, name, policy, residency, unit},
    event,
    ops::entry::{
        crash,
        dialect::{self, Dialect as _},
        dispatchers, member, now,
        reply::Refusal,
        Shared,
    },
    util::{
        clock::{self, Clock as _},
        metric,
    },
};

/// The request header that selects the class.
const CLASS_HEADER: &str = "scalewood-class";

/// A request with its service level.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) request: attempt::Request,
    pub(super) team: name::Team,
    /// Whether a key identified the team; false for the name shared by all callers without a key.
    pub(super) is_known: bool,
    pub(super) key: config::ClassKey,
    pub(super) class: config::Class,
    /// Whether endpoints of another zone may serve it.
    pub(super) spill: bool,
    /// When it arrived, by the process's clock.
    pub(super) arrived_at: Duration,
    /// The length of the prompt, as estimated or as the caller stated.
    pub(super) prompt: unit::Tokens,
    /// The hash of the prompt's beginning, for requests to scalewood's own model API.
    pub(super) prefix: Option<dispatch::Prefix>,
    /// The shared prefix that the caller stated, for requests of routes.
    pub(super) placement_key: Option<dispatch::PlacementKey>,
    /// The regions that may serve it, by the configuration in force at its arrival.
    pub(super) allowed: residency::Allowed,
    /// The configuration entries from which the regions are derived again for later attempts.
    pub(super) source: residency::Source,
    /// How long the caller waits for the first token, if known.
    pub(super) first_token_patience: Option<Duration>,
    /// Whether it is probably a retry after a refusal.
    pub(super) is_client_retry: bool,
    /// The request's content, by which equal requests are recognised.
    pub(super) content: crash::Content,
}

/// A request's size, known before its service level is decided.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) prompt: unit::Tokens,
    pub(super) max_output: unit::Tokens,
}

/// A request's size, prompt prefix and content, from which its [`Call`] is made.
#[derive(Clone, Debug)]
pub(super) struct Input {
    pub(super) size: Size,
    pub(super) prefix: Option<dispatch::Prefix>,
    pub(super) content: crash::Content,
}

/// Returns the team whose token the request carries.
pub(super) fn authenticate(
    board: &Shared,
    view: &View,
    headers: &HeaderMap,
) -> Result<(name::Team, config::Team), Refusal> {
    let header = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let token = header.and_then(|text| text.strip_prefix("Bearer "));
    if let Some((name, team)) = token.and_then(|token| view.team(token)) {
        return Ok((name.clone(), team.clone()));
    }
    event!(board.log, TokenRefused, "what" => "caller");
    Err(Refusal::not_run(
        StatusCode::UNAUTHORIZED,
        "unauthorised",
        "the team's token is missing or wrong; send `Authorization: Bearer TOKEN`",
    ))
}

/// Decides a request's service level and applies the team's rate limits.
pub(super) fn accept(
    board: &Shared,
    view: &View,
    team: (name::Team, config::Team),
    service: &name::Service,
    headers: &HeaderMap,
    input: Input,
) -> Result<Call, Refusal> {
    let Input {
        size,
        prefix,
        content,
    } = input;
    let arrived = now(board);
    let (team, rights) = team;
    let key = class_key(&rights, service, headers)?;
    let (key, class, spill) = apply_policy(board, view, &team, key, size)?;
    board
        .metrics
        .offered
        .get_or_create(&metric::ClassLabel::from(&key))
        .inc();
    let source = residency::Source::Class {
        class: key.clone(),
        team: team.clone(),
    };
    let call = Call {
        request: dispatchers::new_request(),
        allowed: class.allowed.and(&rights.allowed),
        source,
        team,
        is_known: true,
        key,
        class,
        spill,
        arrived_at: arrived,
        prompt: size.prompt,
        prefix,
        placement_key: None,
        first_token_patience: None,
        is_client_retry: false,
        content,
    };
    admit(board, &call, &rights)?;
    Ok(call)
}

/// Returns the requested class, or the team's default: its first class of the service.
fn class_key(
    rights: &config::Team,
    service: &name::Service,
    headers: &HeaderMap,
) -> Result<config::ClassKey, Refusal> {
    let own = |key: &&config::ClassKey| key.service == *service;
    let Some(header) = headers.get(CLASS_HEADER) else {
        return rights.classes.iter().find(own).cloned().ok_or_else(|| {
            let why = format!("the team may not use service {service}; ask an operator");
            Refusal::not_run(StatusCode::FORBIDDEN, "forbidden", why)
        });
    };
    let asked = header.to_str().unwrap_or_default();
    let found = rights
        .classes
        .iter()
        .filter(own)
        .find(|key| key.class.as_str() == asked);
    found.cloned().ok_or_else(|| {
        let asked: String = asked.chars().take(name::MAX_LEN).collect();
        let why = format!("the team may not use class `{asked}` of service {service}, or the class does not exist; omit {CLASS_HEADER} for the default");
        Refusal::not_run(StatusCode::FORBIDDEN, "unknown-class", why)
    })
}

/// Applies the service's policy. If the policy fails, the class is used as configured, and the
/// request may spill to other zones.
fn apply_policy(
    board: &Shared,
    view: &View,
    team: &name::Team,
    key: config::ClassKey,
    size: Size,
) -> Result<(config::ClassKey, config::Class, bool), Refusal> {
    let missing = || {
        Refusal::not_run(
            StatusCode::FORBIDDEN,
            "unknown-class",
            "the class has been removed from the configuration",
        )
    };
    let class = view.document.classes.get(&key).ok_or_else(missing)?.clone();
    let Some(program) = view.program(&key.service) else {
        return Ok((key, class, true));
    };
    let facts = policy::Facts {
        team: team.as_str(),
        class: &key.class,
        service: &key.service,
        hour: clock::hour(board.clock.unix_ms()),
        prompt: size.prompt,
        max_output: size.max_output,
        load: load(board, &key.service),
    };
    let decided = program.decide(&facts).and_then(|decision| {
        let picked = decision.class.clone().unwrap_or_else(|| key.class.clone());
        let picked = config::ClassKey {
            service: key.service.clone(),
            class: picked,
        };
        let base = view.document.classes.get(&picked).cloned();
        base.map(|base| (picked, base, decision))
            .ok_or_else(policy::Error::unknown_class)
    });
    match decided {
        Ok((picked, base, decision)) => {
            let spill = decision.spill.unwrap_or(true);
            Ok((picked, decision.override_class(base), spill))
        }
        Err(error) => {
            board.metrics.policy_failures.inc();
            event!(board.log, PolicyFailed, "service" => %key.service, "why" => %error);
            Ok((key, class, true))
        }
    }
}

/// Returns the number of waiting requests per slot of a service in this zone, or 0 if unknown.
fn load(board: &Shared, service: &name::Service) -> f64 {
    let (slots, _, waiting) = member::load_in_zone(board, service).map_or((1, 0, 0), |l| l.counts);
    f64::from(waiting) / f64::from(slots.max(1))
}

/// Charges the request and its prompt tokens to the team's rate limits, or refuses the request if
/// it exceeds one of them.
fn admit(board: &Shared, call: &Call, rights: &config::Team) -> Result<(), Refusal> {
    if rights.requests.is_none() && rights.tokens.is_none() {
        return Ok(());
    }
    let now = now(board);
    let mut shard = board.team_buckets.shard(&call.team);
    let buckets = shard.entry(call.team.clone()).or_insert(Buckets {
        requests: None,
        tokens: None,
    });
    if let Some(rate) = rights.tokens {
        let bucket = buckets
            .tokens
            .get_or_insert_with(|| limit::Bucket::full(rate, now));
        // Prompts are far shorter than 2^52 tokens, so the conversion is exact.
        let prompt = call.prompt.0 as f64;
        bucket
            .take(prompt, rate, now)
            .map_err(|wait| over_limit("tokens", wait))?;
    }
    if let Some(rate) = rights.requests {
        let bucket = buckets
            .requests
            .get_or_insert_with(|| limit::Bucket::full(rate, now));
        bucket
            .take(1.0, rate, now)
            .map_err(|wait| over_limit("requests", wait))?;
    }
    Ok(())
}

/// Returns the refusal of a request over one of the team's rate limits.
fn over_limit(what: &str, wait: Duration) -> Refusal {
    let why = format!("the team is over its limit of {what} per second; retry later");
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "over-limit", why).with_retry_after(wait)
}

/// Charges the tokens of an answer to the team's token limit, if it has one.
pub(super) fn charge(board: &Shared, call: &Call, tokens: unit::Tokens) {
    let view = board.view.load();
    let Some(rate) = view
        .document
        .teams
        .get(&call.team)
        .and_then(|team| team.tokens)
    else {
        return;
    };
    let now = now(board);
    let mut shard = board.team_buckets.shard(&call.team);
    if let Some(bucket) = shard.get_mut(&call.team).and_then(|b| b.tokens.as_mut()) {
        // Answers are far shorter than 2^52 tokens, so the conversion is exact.
        bucket.charge(tokens.0 as f64, rate, now);
    }
}

impl Call {
    /// Returns the request for a slot that is sent to the dispatcher for the first attempt.
    pub(super) fn first_ask(&self, board: &Shared, preemptible: bool) -> dispatch::Ask {
        dispatch::Ask {
            attempt: attempt::Attempt::first(self.request),
            class: self.key.class.clone(),
            tier: self.class.tier,
            age: now(board).saturating_sub(self.arrived_at),
            target: self.class.target,
            deadline: self.class.deadline,
            patience: self.first_token_patience,
            is_client_retry: self.is_client_retry,
            prompt: self.prompt,
            delivered: unit::Tokens(0),
            prefix: self.prefix,
            placement_key: self.placement_key,
            allowed: self.allowed.clone(),
            preemptible: preemptible && self.class.preemptible,
            preempted: 0,
            build: None,
            is_hedge: false,
            avoid: None,
            hold: None,
            backoffs: Vec::new(),
        }
    }

    /// Returns the zone whose dispatcher is asked for a slot, at a build if the request goes on with a
    /// stream.
    pub(super) fn zone(&self, board: &Shared, build: Option<&build::Build>) -> name::Zone {
        if self.spill {
            let document = &board.view.load().document;
            let allowed = self.source.in_force(document, &self.allowed);
            let criteria = dispatchers::Criteria {
                allowed: &allowed,
                build,
                tier: self.class.tier,
                target: self.class.target,
            };
            dispatchers::zone_for(board, &self.key.service, criteria)
        } else {
            board.own.zone.clone()
        }
    }

    /// Returns the refusal of a request that a dispatcher shed.
    pub(super) fn shed_refusal(&self, reason: dispatch::Reason, retry: Duration) -> Refusal {
        let why = match reason {
            dispatch::Reason::Deadline => "it would wait past its class's deadline; retry later",
            dispatch::Reason::Full => "too many requests are waiting; retry later",
            dispatch::Reason::Overload => {
                "all endpoints have too many prompt tokens to process; retry later"
            }
            dispatch::Reason::NoEndpoint => "the service has no endpoint in the zone; retry later",
            dispatch::Reason::Cordoned => {
                "the service's endpoints are in cordoned zones; retry later"
            }
            dispatch::Reason::Residency => {
                "no endpoint is in a region that may serve the request; retry later"
            }
            dispatch::Reason::Build => {
                "no endpoint of the build that began the stream serves; send the request again"
            }
        };
        let retry = match reason {
            dispatch::Reason::Overload => dialect::Native::overload_wait(retry),
            _ => retry,
        };
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason.as_str(), why)
            .with_retry_after(retry)
    }
}
