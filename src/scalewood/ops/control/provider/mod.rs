//! The provider: who runs the machines, takes reports of usage and adds endpoints on demand.
//!
//! Which paths, headers and bodies it speaks is a [`Dialect`]. Its calls belong to one holder
//! at a time (`core::fencing`), and go out over one connection that is kept.

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

/// Under which right a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The process that holds.
    pub caller: String,
    /// Its token.
    pub token: fencing::Token,
}

/// What the provider said to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It took it.
    Taken,
    /// It has taken too many calls: the same one may be made later.
    Busy,
    /// It has heard a later holder.
    Outdated,
    /// What was asked for is not to be had now.
    NoneLeft,
    /// Anything else: the same call may be made later.
    Failed,
}

/// The paths, headers and bodies that a provider speaks.
pub trait Dialect: Clone + fmt::Debug + Send + Sync + 'static {
    /// The report of a window's usage.
    fn usage(
        authority: &Authority,
        window: usage::Window,
        counts: &usage::Counts,
    ) -> Request<Full<Bytes>>;

    /// What the answer to a report says.
    fn reported(status: StatusCode) -> Said;

    /// An order of a service's endpoints.
    fn scale(
        authority: &Authority,
        service: &name::Service,
        order: &scaling::Order,
    ) -> Request<Full<Bytes>>;

    /// What the answer to an order says.
    fn scaled(status: StatusCode) -> Said;
}

/// The product's own paths, headers and bodies.
impl Dialect for crate::ops::control::publish::Native {
    fn usage(
        authority: &Authority,
        window: usage::Window,
        counts: &usage::Counts,
    ) -> Request<Full<Bytes>> {
        let body = serde_json::json!({ "window": window, "counts": counts });
        post("/v1/usage", authority, ("x-holder", "x-token"), &body)
    }

    fn reported(status: StatusCode) -> Said {
        match status {
            StatusCode::TOO_MANY_REQUESTS => Said::Busy,
            StatusCode::PRECONDITION_FAILED => Said::Outdated,
            status if status.is_success() => Said::Taken,
            _ => Said::Failed,
        }
    }

    fn scale(
        authority: &Authority,
        service: &name::Service,
        order: &scaling::Order,
    ) -> Request<Full<Bytes>> {
        let body = serde_json::json!({ "service": service, "order": order });
        post("/v1/endpoints", authority, ("x-holder", "x-token"), &body)
    }

    fn scaled(status: StatusCode) -> Said {
        match status {
            StatusCode::CONFLICT => Said::NoneLeft,
            status => Self::reported(status),
        }
    }
}

/// A call with a JSON body, with the holder and its token in the headers named.
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
    // A name that is no header text would leave the call without a holder, and be refused.
    if let Ok(name) = header::HeaderValue::from_str(&authority.caller) {
        headers.insert(holder, name);
    }
    request
}

/// Where the provider is and which tasks can be done for it; says which can't. A task that is not
/// known here, of a later version, say, is passed over.
pub(super) fn tasks(
    settings: &Settings,
    log: &slog::Logger,
) -> Option<(SocketAddr, BTreeSet<Task>)> {
    let named = settings.tasks.split(',').map(str::trim);
    let mut tasks = BTreeSet::new();
    for name in named.filter(|name| !name.is_empty()) {
        let task = name.parse::<Task>();
        let why = match &task {
            Ok(task) => settings.hindrance(*task).map(str::to_owned),
            Err(why) => Some(why.clone()),
        };
        match (task, why) {
            (Ok(task), None) => drop(tasks.insert(task)),
            (_, why) => event!(log, TaskOff, "task" => name, "why" => why),
        }
    }
    let address = settings.address.parse().ok()?;
    (!tasks.is_empty()).then_some((address, tasks))
}
