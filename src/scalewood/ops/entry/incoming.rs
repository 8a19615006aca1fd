//! The body of an endpoint's answer while it is received, within the memory for answers.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::{
    core::unit,
    ops::entry::{
        buffer::{Account, Budget, Held},
        rope::Rope,
        upstream::Failure,
    },
};

/// What of a body is received at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A stream of events, which are taken as they end.
    Stream,
    /// A body that is taken as a whole.
    Whole,
}

/// What was received of a body.
#[derive(Debug)]
pub(super) enum Part {
    /// Whole events of a stream.
    Events(Held),
    /// More of a body that is taken as a whole.
    Data,
    /// Nothing, since there is no memory before the caller has taken earlier events.
    Blocked,
    /// The regular end.
    End,
}

/// A body that is being received. If a future of its methods is dropped, nothing is lost.
#[derive(Debug)]
pub(super) struct Body {
    rest: Incoming,
    account: Arc<Account>,
    /// The most data that may be received before a part of it can be taken.
    max: unit::Size,
    /// Data that was received and not taken.
    data: Rope,
    events: Events,
    /// Data for which there was no memory.
    blocked: Option<Bytes>,
}

impl Body {
    /// Receives a body: at most `max` bytes as a whole, or for each event.
    pub(super) fn new(rest: Incoming, budget: &Arc<Budget>, max: unit::Size) -> Self {
        let account = Account::new(budget);
        Self {
            rest,
            max,
            data: Rope::new(&account),
            account,
            events: Events::default(),
            blocked: None,
        }
    }

    /// Returns the memory that the answer holds.
    pub(super) fn account(&self) -> &Arc<Account> {
        &self.account
    }

    /// Waits for the first whole event of a stream, or the first bytes of another body, or the regular end.
    pub(super) async fn begin(&mut self, kind: Kind) -> Result<(), Failure> {
        loop {
            let has_begun = match kind {
                Kind::Stream => self.events.end.is_some(),
                Kind::Whole => self.data.len() > 0,
            };
            if has_begun {
                return Ok(());
            }
            match self.receive().await? {
                Received::Data => {}
                Received::Blocked => return Err(Failure::BROKEN),
                Received::End => return self.check_end(kind),
            }
        }
    }

    /// Waits for the next part.
    pub(super) async fn part(&mut self, kind: Kind) -> Result<Part, Failure> {
        loop {
            if kind == Kind::Stream {
                if let Some(end) = self.events.end.take() {
                    let events = self.data.take(end);
                    self.events.keep(self.data.len());
                    return Ok(Part::Events(events));
                }
            }
            match self.receive().await? {
                Received::Data if kind == Kind::Whole => return Ok(Part::Data),
                Received::Data => {}
                Received::Blocked => return Ok(Part::Blocked),
                Received::End => return self.check_end(kind).map(|()| Part::End),
            }
        }
    }

    /// Receives a body to its end.
    pub(super) async fn whole(&mut self) -> Result<Held, Failure> {
        while let Part::Data = self.part(Kind::Whole).await? {}
        Ok(self.take_all())
    }

    /// Takes all data that was received.
    pub(super) fn take_all(&mut self) -> Held {
        self.data.take(self.data.len())
    }

    /// Checks that a body may end here: a stream ends between two events.
    fn check_end(&self, kind: Kind) -> Result<(), Failure> {
        let may_end = kind == Kind::Whole || self.data.is_blank();
        may_end.then_some(()).ok_or(Failure::BROKEN)
    }

    /// Receives more data.
    async fn receive(&mut self) -> Result<Received, Failure> {
        let data = loop {
            if let Some(data) = self.blocked.take() {
                break data;
            }
            let Some(frame) = self.rest.frame().await else {
                return Ok(Received::End);
            };
            // Trailers are not passed on.
            self.blocked = frame.map_err(|_| Failure::BROKEN)?.into_data().ok();
        };
        let before = self.data.len();
        let is_overlong = before + data.len() > self.max.0;
        if !is_overlong && self.data.push(&data).is_ok() {
            self.events.record(before, &data);
            return Ok(Received::Data);
        }
        if is_overlong || self.data.is_all() {
            self.data.log_overlong(data.len());
            return Err(Failure::BROKEN);
        }
        self.blocked = Some(data);
        Ok(Received::Blocked)
    }
}

/// What was received at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Received {
    Data,
    Blocked,
    End,
}

/// The ends of events, of which there are two.
const ENDS_OF_EVENTS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
/// The most bytes of the end of an event that may arrive before the rest of it.
const MAX_SPLIT: usize = 3;

/// Finds where the events end in data that arrives bit by bit.
#[derive(Debug, Default)]
struct Events {
    /// The position after the last whole event.
    end: Option<usize>,
    /// The last bytes of the data, of which the end of an event may be a part.
    last: Vec<u8>,
}

impl Events {
    /// Records data that follows the first `before` bytes.
    fn record(&mut self, before: usize, data: &[u8]) {
        let seam = [&self.last, &data[..data.len().min(MAX_SPLIT)]].concat();
        let at_seam = end_of_events(&seam).and_then(|at| at.checked_sub(self.last.len()));
        let at_seam = at_seam.filter(|at| *at > 0);
        let found = end_of_events(data).max(at_seam).map(|at| before + at);
        self.end = found.or(self.end);
        let begin = data.len().saturating_sub(MAX_SPLIT);
        self.last.extend_from_slice(&data[begin..]);
        let spare = self.last.len().saturating_sub(MAX_SPLIT);
        self.last.drain(..spare);
    }

    /// Forgets all but the last bytes that are left of the data.
    fn keep(&mut self, count: usize) {
        let taken = self.last.len().saturating_sub(count);
        self.last.drain(..taken);
    }
}

/// Returns the position after the last whole event of some data.
fn end_of_events(data: &[u8]) -> Option<usize> {
    let last = |end: &&[u8]| {
        let mut windows = data.windows(end.len());
        windows
            .rposition(|window| window == *end)
            .map(|at| at + end.len())
    };
    ENDS_OF_EVENTS.iter().filter_map(last).max()
}

/// Reads a body whose bytes don't matter to its end; returns whether it had one within `max` bytes.
pub(super) async fn discard(mut body: Incoming, max: unit::Size) -> bool {
    let mut count = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        count += frame.data_ref().map_or(0, Bytes::len);
        if count > max.0 {
            return false;
        }
    }
    true
}

/// Reads the beginning of a body, some bytes or a little more.
pub(super) async fn beginning(mut body: Incoming, bytes: unit::Size) -> Result<Bytes, Failure> {
    let mut begun = Vec::new();
    while begun.len() < bytes.0 {
        let Some(frame) = body.frame().await else {
            break;
        };
        let frame = frame.map_err(|_| Failure::BROKEN)?;
        if let Some(data) = frame.data_ref() {
            begun.extend_from_slice(data);
        }
    }
    Ok(begun.into())
}
