//! Streams that go on after an event: where they began, and that they go on only there.

use std::time::Duration;

use hyper::{header::HeaderValue, HeaderMap, StatusCode};
use tokio::task::JoinHandle;

use crate::{
    core::{
        name,
        origin::{Found, Key, Origin},
        route,
    },
    ops::entry::{
        dialect::{Dialect, Head},
        origin,
        reply::Refusal,
        routed::{
            attempt::{Opened, Via},
            request::Request,
            Context,
        },
    },
    wire::peer::{Forwarded, ORIGIN_HEADER},
};

/// What is known of the origin of the stream that a request asks for.
#[derive(Debug)]
pub(super) enum Continuation {
    /// The stream begins with this request.
    Begins,
    /// It began there.
    Known(Origin),
    /// It most likely began there; voters are being asked.
    Assumed(Origin, JoinHandle<Found>),
}

impl Continuation {
    /// Returns the origin, if there is one.
    pub(super) fn origin(&self) -> Option<&Origin> {
        match self {
            Self::Begins => None,
            Self::Known(origin) | Self::Assumed(origin, _) => Some(origin),
        }
    }

    /// Splits it into the origin and the answer of the voters that is still to come.
    pub(super) fn into_parts(self) -> (Option<Origin>, Option<JoinHandle<Found>>) {
        match self {
            Self::Begins => (None, None),
            Self::Known(origin) => (Some(origin), None),
            Self::Assumed(origin, lookup) => (Some(origin), Some(lookup)),
        }
    }
}

impl<D: Dialect> Context<D> {
    /// Determines where a stream began that a request takes up.
    pub(super) async fn continuation(
        &self,
        head: &Head,
        route: &route::Route,
        team: &name::Team,
        forwarded: Option<&Forwarded>,
    ) -> Result<Continuation, Refusal> {
        if !route.kind.is_stream() {
            return Ok(Continuation::Begins);
        }
        if let Some(origin) = forwarded.and_then(|forwarded| forwarded.origin.clone()) {
            return check_service(route, origin).map(Continuation::Known);
        }
        if head.last_event_id.is_none() {
            return Ok(Continuation::Begins);
        }
        // A box that forwards a stream which began within its own answer names no other request.
        let own = head.id.as_ref().filter(|_| forwarded.is_some());
        let key = head.resumes.as_ref().or(own);
        let key = key.map(|id| Key::new(team, id));
        let within = origin::keep_time(route.timeout());
        match key.map_or(Found::Unknown, |key| origin::find_here(&self.board, key)) {
            Found::Began(origin) => {
                let origin = self.confirm_record(key, origin, within).await?;
                return check_service(route, origin).map(Continuation::Known);
            }
            Found::Ambiguous => return Err(unknown()),
            Found::Unknown => {}
        }
        let service = match &route.shares[..] {
            [only] => Some(only.service.clone()),
            _ => None,
        };
        let asked = origin::find(self.board.clone(), key, service.clone(), within);
        let sole = service.and_then(|service| {
            let build = origin::sole_build(&self.board, &service, within)?;
            Some(Origin { service, build })
        });
        if let Some(origin) = sole {
            // The endpoint begins its work while voters are asked.
            return Ok(Continuation::Assumed(origin, tokio::spawn(asked)));
        }
        match asked.await {
            Found::Began(origin) => check_service(route, origin).map(Continuation::Known),
            Found::Ambiguous | Found::Unknown => Err(unknown()),
        }
    }
}

impl<D: Dialect> Context<D> {
    /// Checks this box's own record of a stream against those of the voters, if other builds serve: its
    /// caller may have used its id for a stream at another box too.
    async fn confirm_record(
        &self,
        key: Option<Key>,
        origin: Origin,
        within: Duration,
    ) -> Result<Origin, Refusal> {
        let sole = origin::sole_build(&self.board, &origin.service, within);
        if sole.as_ref() == Some(&origin.build) {
            return Ok(origin);
        }
        let known = origin::ask_all(&self.board, key, None, within).await;
        match Found::Began(origin).and(known) {
            Found::Began(origin) => Ok(origin),
            Found::Ambiguous | Found::Unknown => Err(unknown()),
        }
    }
}

/// Returns the origin if a route still goes to its service.
fn check_service(route: &route::Route, origin: Origin) -> Result<Origin, Refusal> {
    let goes_there = route.shares.iter().any(|s| s.service == origin.service);
    goes_there.then_some(origin).ok_or_else(ended)
}

/// Returns the refusal of a stream whose origin is not known.
fn unknown() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "stream-unknown",
        "it is not known where this stream began, so it can't go on; send the request without the last event's id",
    )
}

/// Returns the refusal of a stream that can't go on where it began.
fn ended() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "stream-ended",
        "this stream can't go on where it began; send the request without the last event's id",
    )
}

impl<D: Dialect> Request<D> {
    /// Returns whether an attempt may go on with the stream at endpoints from here: it can't go on at
    /// another service than the one that this request was dispatched to.
    pub(super) fn check_origin_service(&self) -> Result<(), Refusal> {
        let service = &self.routed.call.key.service;
        let is_here = |origin: &Origin| origin.service == *service;
        let may = self.origin.as_ref().is_none_or(is_here);
        may.then_some(()).ok_or_else(ended)
    }

    /// Waits for the voters' answer if the origin was only assumed.
    pub(super) async fn settle_origin(&mut self) -> Result<(), Refusal> {
        let Some(lookup) = &mut self.lookup else {
            return Ok(());
        };
        let found = lookup.await;
        self.lookup = None;
        match found {
            Ok(Found::Began(origin)) if Some(&origin) == self.origin.as_ref() => Ok(()),
            Ok(Found::Began(_)) => Err(ended()),
            Ok(Found::Ambiguous | Found::Unknown) | Err(_) => Err(unknown()),
        }
    }

    /// Checks that an answer comes from where the stream began. Records its origin if it begins with this
    /// answer, and that it goes on otherwise.
    pub(super) async fn confirm_origin(&mut self, opened: &mut Opened) -> Result<(), Refusal> {
        let stated = match &opened.via {
            Via::Endpoint { .. } => Some(Origin {
                service: self.routed.call.key.service.clone(),
                build: D::build(&opened.parts.headers).unwrap_or_else(|| self.sent_build.clone()),
            }),
            Via::Box(_) => take_stated(&mut opened.parts.headers),
        };
        self.settle_origin().await?;
        match (&self.origin, stated) {
            (None, stated) => self.keep_to(stated),
            (Some(origin), Some(stated)) if *origin == stated => {}
            (Some(_), _) => return Err(ended()),
        }
        self.record_origin();
        Ok(())
    }

    /// Records where the stream began, so that it can be taken up at other boxes.
    fn record_origin(&self) {
        let routed = &self.routed;
        let head = &routed.head;
        let id = head.resumes.as_ref().or(head.id.as_ref());
        let (Some(id), Some(origin)) = (id, &self.origin) else {
            return;
        };
        if routed.route.kind.is_repeatable() {
            let key = Key::new(&routed.call.team, id);
            let keep = origin::keep_time(routed.route.timeout());
            origin::record(&self.context.board, key, origin, keep);
        }
    }
}

/// Removes from a box's answer where the stream began, and returns it.
fn take_stated(headers: &mut HeaderMap) -> Option<Origin> {
    let stated = headers.remove(ORIGIN_HEADER)?;
    serde_json::from_slice(stated.as_bytes()).ok()
}

/// Adds to the answer to a forwarded request where its stream began.
pub(super) fn state(headers: &mut HeaderMap, origin: &Origin) {
    let text = serde_json::to_string(origin).ok();
    if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(ORIGIN_HEADER, value);
    }
}
