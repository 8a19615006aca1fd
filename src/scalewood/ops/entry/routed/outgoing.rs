//! Builds the request that is sent to an endpoint: the caller's own, without hop-by-hop and
//! reserved headers, and with the system's instructions.

use hyper::{header, http::request, HeaderMap, Method, Request, Uri};

use crate::{
    core::{dispatch, rendezvous, unit},
    ops::entry::{
        dialect::{self, Dialect, Head, Instruction},
        payload::{self, Payload},
        upstream::Failure,
    },
};

/// Hop-by-hop headers, and headers that hyper sets.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// A caller's request without the headers that are not forwarded.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Payload,
}

impl Outgoing {
    /// Removes hop-by-hop headers and [`Dialect::RESERVED_HEADERS`] from a caller's request.
    pub(super) fn new<D: Dialect>(parts: request::Parts, body: Payload) -> Self {
        let target = parts.uri.path_and_query().cloned();
        let mut headers = end_to_end(parts.headers);
        dialect::strip_reserved::<D>(&mut headers);
        Self {
            method: parts.method,
            target: target.map_or_else(Uri::default, Uri::from),
            headers,
            body,
        }
    }

    /// Returns the request with the instructions for an endpoint.
    pub(super) fn request<D: Dialect>(
        &self,
        instruction: &Instruction<'_>,
    ) -> Result<Request<payload::Body>, Failure> {
        self.request_with(|headers| D::instruct(headers, instruction))
    }

    /// Returns the request with the headers that a function has added to.
    pub(super) fn request_with(
        &self,
        add: impl FnOnce(&mut HeaderMap),
    ) -> Result<Request<payload::Body>, Failure> {
        let mut headers = self.headers.clone();
        add(&mut headers);
        let request = Request::builder()
            .method(self.method.clone())
            .uri(self.target.clone())
            .body(self.body.body());
        let mut request = request.map_err(|_| Failure::REFUSED)?;
        *request.headers_mut() = headers;
        Ok(request)
    }
}

/// Removes hop-by-hop headers, including those that `connection` names.
pub(super) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in &named {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers
}

/// Returns the shared prefix by which a dispatcher chooses the endpoint of a prompt: all its parts
/// but the last. Returns `None` if the prompt has fewer than two.
pub(super) fn placement_key(head: &Head) -> Option<dispatch::PlacementKey> {
    let (_, shared) = head.parts.split_last()?;
    if shared.is_empty() {
        return None;
    }
    let ids: Vec<String> = shared.iter().map(|part| format!("{:x}", part.id)).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let tokens = shared.iter().map(|part| part.tokens.0).sum();
    Some(dispatch::PlacementKey {
        prefix: dispatch::Prefix(rendezvous::hash(&ids)),
        shared: unit::Tokens(tokens),
    })
}
