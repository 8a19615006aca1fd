//! The provider: the operator of the machines, which receives usage reports and adds endpoints on
//! demand.
//!
//! A [`Dialect`] defines the paths, headers and bodies of its API. Only one holder at a time may
//! call it (`core::fencing`), over one persistent connection.

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{header, Request, StatusCode};

use crate::{
    core::{fencing, name, scaling, usage},
    event,
};

mod client;
mod hold;
mod settings;

pub(super) use client::Client;
pub(super) use hold::Hold;
pub use settings::{Settings, Task};

/// The authority under which a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The name of the calling process, which is the holder.
    pub caller: String,
    /// Its fencing token.
    pub token: fencing::Token,
}

/// The outcome of a call to the provider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The provider accepted the call.
    Taken,
    /// The rate limit is used up, here or at the provider: the same call may be made later.
    Busy,
    /// The provider has received a call with a later holder's token.
    Outdated,
    /// The provider has no such endpoints available now.
    NoneLeft,
    /// Any other failure: the same call may be made later.
    Failed,
}

/// The paths, headers and bodies of a provider's API.
pub trait Dialect: Clone + fmt::Debug + Send + Sync + 'static {
    /// Returns the request that reports a window's usage.
    fn usage_request(
        authority: &Authority,
        window: usage::Window,
        counts: &usage::Counts,
    ) -> Request<Full<Bytes>>;

    /// Classifies the answer to a report.
    fn classify_report(status: StatusCode) -> Outcome;

    /// Returns the request that orders endpoints of a service.
    fn scale_request(
        authority: &Authority,
        service: &name::Service,
        order: &scaling::Order,
    ) -> Request<Full<Bytes>>;

    /// Classifies the answer to an order.
    fn classify_scale(status: StatusCode) -> Outcome;
}

/// The paths, headers and bodies of Scalewood's native dialect.
impl Dialect for crate::ops::control::publish::Native {
    fn usage_request(
        authority: &Authority,
        window: usage::Window,
        counts: &usage::Counts,
    ) -> Request<Full<Bytes>> {
        let body = serde_json::json!({ "window": window, "counts": counts });
        post("/v1/usage", authority, ("x-holder", "x-token"), &body)
    }

    fn classify_report(status: StatusCode) -> Outcome {
        match status {
            StatusCode::TOO_MANY_REQUESTS => Outcome::Busy,
            StatusCode::PRECONDITION_FAILED => Outcome::Outdated,
            status if status.is_success() => Outcome::Taken,
            _ => Outcome::Failed,
        }
    }

    fn scale_request(
        authority: &Authority,
        service: &name::Service,
        order: &scaling::Order,
    ) -> Request<Full<Bytes>> {
        let body = serde_json::json!({ "service": service, "order": order });
        post("/v1/endpoints", authority, ("x-holder", "x-token"), &body)
    }

    fn classify_scale(status: StatusCode) -> Outcome {
        match status {
            StatusCode::CONFLICT => Outcome::NoneLeft,
            status => Self::classify_report(status),
        }
    }
}

/// Returns a `POST` request with a JSON body, with the caller and its fencing token in the named
/// headers.
pub fn post(
    path: &'static str,
    authority: &Authority,
    (holder, token): (&'static str, &'static str),
    body: &serde_json::Value,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = hyper::Method::POST;
    *request.uri_mut() = hyper::Uri::from_static(path);
    let headers = request.headers_mut();
    let json = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    headers.insert(token, header::HeaderValue::from(authority.token.0));
    // A name that is not valid in a header is left out; the provider then refuses the call.
    if let Ok(name) = header::HeaderValue::from_str(&authority.caller) {
        headers.insert(holder, name);
    }
    request
}

/// Returns the provider's address and the tasks that can be done for it, and logs those that can't.
/// A task that is unknown here, such as one of a later version, is skipped.
pub(super) fn tasks(
    settings: &Settings,
    log: &slog::Logger,
) -> Option<(SocketAddr, BTreeSet<Task>)> {
    let named = settings.tasks.split(',').map(str::trim);
    let mut tasks = BTreeSet::new();
    for name in named.filter(|name| !name.is_empty()) {
        let task = name.parse::<Task>();
        let why = match &task {
            Ok(task) => settings.obstacle(*task).map(str::to_owned),
            Err(why) => Some(why.clone()),
        };
        match (task, why) {
            (Ok(task), None) => drop(tasks.insert(task)),
            (_, why) => event!(log, TaskNotAllowed, "task" => name, "why" => why),
        }
    }
    let address = settings.address.parse().ok()?;
    (!tasks.is_empty()).then_some((address, tasks))
}
