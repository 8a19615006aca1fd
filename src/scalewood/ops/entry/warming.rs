//! The endpoints that warm up after a start, as known to this box.

use std::time::Duration;

use crate::{
    board::view::View,
    core::{dispatch, name, registry, warm_up},
    event,
    ops::entry::{now, Shared},
    util::{lock::lock, metric::ServiceLabel},
};

/// Marks the warming endpoints of a service in the specs that its dispatcher is configured with.
pub(super) fn set_warming(
    board: &Shared,
    view: &View,
    service: &name::Service,
    registry: &registry::Registry,
    input: &mut dispatch::Input,
) {
    let (dispatch::Input::Configure(specs, _) | dispatch::Input::EndpointsChanged(specs, _)) =
        input
    else {
        return;
    };
    let routing = view.document.routing.as_deref();
    let routed = routing.and_then(|routing| routing.services.get(service));
    let rate = routed.and_then(|service| service.warm_up);
    let Some(rate) = rate.filter(warm_up::Rate::is_usable) else {
        return;
    };
    let now = now(board);
    for spec in specs {
        let Some(state) = registry.warm_up(&spec.name) else {
            continue;
        };
        let uncordoned = lock(&board.uncordoned).uncordoned_at(&spec.zone);
        let Some((until, source)) = state.ends_at(&rate, uncordoned, now) else {
            continue;
        };
        spec.admission.warming = Some(warm_up::Warming::new(
            until,
            &rate,
            &board.own.warm_up_leeway,
        ));
        record(board, &spec.name, until, source, state.report_age(now));
    }
}

/// Records the end of a warm-up, and logs a warm-up that was not known yet.
fn record(
    board: &Shared,
    endpoint: &name::Endpoint,
    until: Duration,
    source: warm_up::Source,
    age: Option<Duration>,
) {
    let now = now(board);
    let known = lock(&board.warming).insert(endpoint.clone(), until);
    if known.is_some_and(|until| now < until) {
        return;
    }
    if let Some(age) = age {
        board.metrics.warming_report_age.observe(age.as_secs_f64());
    }
    event!(board.log, WarmUpBegun, "endpoint" => %endpoint, "source" => %source,
        "left_ms" => until.saturating_sub(now).as_millis(),
        "age_ms" => age.map(|age| age.as_millis()));
}

/// Adds to the metrics the requests that the dispatchers of this box sent to warming endpoints, and
/// those that they kept back from warming endpoints and from endpoints with a limit.
pub(super) fn update_metrics(board: &Shared) {
    board.dispatchers.for_each(|shard| {
        for (service, dispatcher) in shard.iter_mut() {
            let diverted = u64::from(dispatcher.take_limit_diversions());
            board.metrics.limit_kept_back.inc_by(diverted);
            let (sent, kept_back) = dispatcher.take_warm_up_counts();
            if sent == 0 && kept_back == 0 {
                continue;
            }
            let label = ServiceLabel {
                service: service.to_string(),
            };
            let metrics = &board.metrics;
            let count = metrics.warming_sent.get_or_create(&label);
            count.inc_by(sent.into());
            let count = metrics.warming_kept_back.get_or_create(&label);
            count.inc_by(kept_back.into());
        }
    });
}

/// Removes and logs the warm-ups that have ended, and updates the metric of warming endpoints.
pub(super) fn remove_ended(board: &Shared) {
    let now = now(board);
    let registry = lock(&board.registry);
    lock(&board.warming).retain(|endpoint, until| {
        let state = registry.warm_up(endpoint);
        let is_active = now < *until && state.is_some();
        if !is_active {
            let age = state.and_then(|state| state.report_age(now));
            event!(board.log, WarmUpEnded, "endpoint" => %endpoint,
                "age_ms" => age.map(|age| age.as_millis()));
        }
        is_active
    });
    let warming = lock(&board.warming).len();
    let warming = i64::try_from(warming).unwrap_or(i64::MAX);
    board.metrics.endpoints_warming.set(warming);
}
