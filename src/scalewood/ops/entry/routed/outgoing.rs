//! The head and body that an endpoint gets: the caller's own, less what concerns one
//! connection, and with the system's instruction.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{header, http::request, HeaderMap, Method, Request, Uri};

use crate::{
    core::{dispatch, rendezvous, unit},
    ops::entry::{
        dialect::{self, Dialect, Head, Instruction},
        upstream::Failure,
    },
};

/// Headers that concern one connection only, or that hyper sets.
const HOP: [&str; 11] = [
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

/// What is sent to an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl Outgoing {
    /// Takes a caller's request without what only the system may tell an endpoint.
    pub(super) fn new<D: Dialect>(parts: request::Parts, body: Bytes) -> Self {
        let target = parts.uri.path_and_query().cloned();
        let mut headers = end_to_end(parts.headers);
        dialect::strip::<D>(&mut headers);
        Self {
            method: parts.method,
            target: target.map_or_else(Uri::default, Uri::from),
            headers,
            body,
        }
    }

    /// The request for an endpoint.
    pub(super) fn request<D: Dialect>(
        &self,
        instruction: &Instruction<'_>,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let mut headers = self.headers.clone();
        D::instruct(&mut headers, instruction);
        let request = Request::builder()
            .method(self.method.clone())
            .uri(self.target.clone())
            .body(Full::new(self.body.clone()));
        let mut request = request.map_err(|_| Failure::REFUSED)?;
        *request.headers_mut() = headers;
        Ok(request)
    }
}

/// Headers without those that concern one connection only.
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
    for name in HOP {
        headers.remove(name);
    }
    headers
}

/// Where a prompt belongs: by the parts that other requests may share, all but the last.
pub(super) fn placed(head: &Head) -> Option<dispatch::Placed> {
    let (_, shared) = head.parts.split_last()?;
    if shared.is_empty() {
        return None;
    }
    let ids: Vec<String> = shared.iter().map(|part| format!("{:x}", part.id)).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let tokens = shared.iter().map(|part| part.tokens.0).sum();
    Some(dispatch::Placed {
        prefix: dispatch::Prefix(rendezvous::hash(&ids)),
        shared: unit::Tokens(tokens),
    })
}
