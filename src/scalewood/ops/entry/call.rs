//! A caller's request, understood: who asks, for what, and how it is to be served.

use std::time::Duration;

use hyper::{header, HeaderMap, StatusCode};

use crate::{
    board::{entry::Buckets, view::View},
    core::{attempt, config, dispatch, limit, name, policy, residency, unit},
    event,
    ops::entry::{crash, desk, member, now, reply::Refusal, Shared},
    util::{
        clock::{self, Clock as _},
        metric,
    },
};

/// The header that names the class.
const CLASS: &str = "scalewood-class";

/// A request with its service level.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) request: attempt::Request,
    pub(super) team: name::Team,
    /// Whether the team is known by a key, and not a name for all callers without one.
    pub(super) is_known: bool,
    pub(super) key: config::ClassKey,
    pub(super) class: config::Class,
    /// Whether another zone may serve it.
    pub(super) spill: bool,
    pub(super) arrived: Duration,
    pub(super) prompt: unit::Tokens,
    pub(super) prefix: Option<dispatch::Prefix>,
    pub(super) placed: Option<dispatch::Placed>,
    /// Where it may be served, by the configuration as it arrived.
    pub(super) allowed: residency::Allowed,
    /// What says where it may be served, by the configuration in force later.
    pub(super) source: residency::Source,
    /// How long the caller waits for the first token, where that is known.
    pub(super) patience: Option<Duration>,
    /// Whether the caller was likely refused before and has come back.
    pub(super) returned: bool,
    /// What the caller sent.
    pub(super) content: crash::Content,
}

/// What is known of a request before its level is decided.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) prompt: unit::Tokens,
    pub(super) max_output: unit::Tokens,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) size: Size,
    pub(super) prefix: Option<dispatch::Prefix>,
    pub(super) content: crash::Content,
}

/// The team whose token a request carries.
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

/// Decides a request's service level.
pub(super) fn level(
    board: &Shared,
    view: &View,
    team: (name::Team, config::Team),
    service: &name::Service,
    headers: &HeaderMap,
    asked: Asked,
) -> Result<Call, Refusal> {
    let Asked {
        size,
        prefix,
        content,
    } = asked;
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
        request: desk::new_request(),
        allowed: class.allowed.and(&rights.allowed),
        source,
        team,
        is_known: true,
        key,
        class,
        spill,
        arrived,
        prompt: size.prompt,
        prefix,
        placed: None,
        patience: None,
        returned: false,
        content,
    };
    admit(board, &call, &rights)?;
    Ok(call)
}

/// The class that is asked for, or the team's default.
fn class_key(
    rights: &config::Team,
    service: &name::Service,
    headers: &HeaderMap,
) -> Result<config::ClassKey, Refusal> {
    let own = |key: &&config::ClassKey| key.service == *service;
    let Some(header) = headers.get(CLASS) else {
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
        let why = format!("the team may not use class `{asked}` of service {service}, or there is none; leave {CLASS} out for the default");
        Refusal::not_run(StatusCode::FORBIDDEN, "unknown-class", why)
    })
}

/// Runs the service's policy; if it fails, the class's own level stands.
fn apply_policy(
    board: &Shared,
    view: &View,
    team: &name::Team,
    key: config::ClassKey,
    size: Size,
) -> Result<(config::ClassKey, config::Class, bool), Refusal> {
    let missing = || Refusal::not_run(StatusCode::FORBIDDEN, "unknown-class", "the class is gone");
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

/// Waiting requests for each slot of a service here.
fn load(board: &Shared, service: &name::Service) -> f64 {
    let (slots, _, waiting) = member::load_here(board, service).map_or((1, 0, 0), |l| l.counts);
    f64::from(waiting) / f64::from(slots.max(1))
}

/// Applies the team's limits.
fn admit(board: &Shared, call: &Call, rights: &config::Team) -> Result<(), Refusal> {
    if rights.requests.is_none() && rights.tokens.is_none() {
        return Ok(());
    }
    let now = now(board);
    let mut shard = board.limits.shard(&call.team);
    let buckets = shard.entry(call.team.clone()).or_insert(Buckets {
        requests: None,
        tokens: None,
    });
    if let Some(rate) = rights.tokens {
        let bucket = buckets
            .tokens
            .get_or_insert_with(|| limit::Bucket::full(rate, now));
        // Prompts are far shorter than 2^52 tokens, so the cast is exact.
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

fn over_limit(what: &str, wait: Duration) -> Refusal {
    let why = format!("the team has used its {what} a second; come back later");
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "over-limit", why).after(wait)
}

/// Charges a team for the tokens of an answer.
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
    let mut shard = board.limits.shard(&call.team);
    if let Some(bucket) = shard.get_mut(&call.team).and_then(|b| b.tokens.as_mut()) {
        // Answers are far shorter than 2^52 tokens, so the cast is exact.
        bucket.charge(tokens.0 as f64, rate, now);
    }
}

impl Call {
    /// The first ask for a slot.
    pub(super) fn ask(&self, board: &Shared, preemptible: bool) -> dispatch::Ask {
        dispatch::Ask {
            attempt: attempt::Attempt::first(self.request),
            class: self.key.class.clone(),
            tier: self.class.tier,
            age: now(board).saturating_sub(self.arrived),
            target: self.class.target,
            deadline: self.class.deadline,
            patience: self.patience,
            returned: self.returned,
            prompt: self.prompt,
            delivered: unit::Tokens(0),
            prefix: self.prefix,
            placed: self.placed,
            allowed: self.allowed.clone(),
            preemptible: preemptible && self.class.preemptible,
            preempted: 0,
            avoid: None,
            hold: None,
            backoffs: Vec::new(),
        }
    }

    /// The zone whose dispatcher is asked.
    pub(super) fn zone(&self, board: &Shared) -> name::Zone {
        if self.spill {
            let document = &board.view.load().document;
            let allowed = self.source.in_force(document, &self.allowed);
            let wanted = desk::Wanted {
                allowed: &allowed,
                tier: self.class.tier,
                target: self.class.target,
            };
            desk::zone_for(board, &self.key.service, wanted)
        } else {
            board.own.zone.clone()
        }
    }

    /// The refusal of a request that was shed.
    pub(super) fn shed(&self, reason: dispatch::Reason, retry: Duration) -> Refusal {
        let why = match reason {
            dispatch::Reason::Deadline => {
                "it would wait past its class's deadline; come back later"
            }
            dispatch::Reason::Full => "too many requests wait; come back later",
            dispatch::Reason::Overload => "all endpoints have too much to read; come back later",
            dispatch::Reason::NoEndpoint => "the service has no endpoint here; come back later",
            dispatch::Reason::Cordoned => "its endpoints are in cordoned zones; come back later",
            dispatch::Reason::Residency => {
                "no endpoint is in a region where it may be served; come back later"
            }
        };
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason.as_str(), why).after(retry)
    }
}
