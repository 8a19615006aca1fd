//! An open attempt at an endpoint, and the messages that it receives from there.

use std::{
    task::{Context, Poll},
    time::Duration,
};

use tokio::sync::mpsc;

use crate::{
    core::{build, name},
    ops::entry::{turn::Turn, upstream::Failure},
};

/// What an attempt receives from its endpoint.
#[derive(Debug)]
pub(in crate::ops::entry) enum Message<P> {
    /// Something that shows that the endpoint is at work, such as the head of an answer.
    Progress,
    /// A part of the answer: from now on this attempt serves the request.
    Part(P),
    /// An error with which the endpoint answered. It is the answer if no other attempt is open.
    Error(P),
    /// The attempt has failed.
    Failed(Failure),
    /// The dispatcher preempts the run.
    Preempted,
}

/// Sends what an attempt receives.
pub(in crate::ops::entry) type Sink<P> = mpsc::Sender<Message<P>>;

/// A task that ends when this is dropped.
#[derive(Debug)]
pub(super) struct Task(pub(super) tokio::task::JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An attempt that has not ended.
#[derive(Debug)]
pub(in crate::ops::entry) struct Attempt<P> {
    pub(in crate::ops::entry) turn: Turn,
    /// The endpoint's build.
    pub(in crate::ops::entry) build: build::Build,
    /// The number of the request's attempts before this one.
    pub(in crate::ops::entry) serial: u32,
    pub(super) endpoint: name::Endpoint,
    pub(super) sent_at: Duration,
    /// When the endpoint sent something last.
    pub(super) heard_at: Duration,
    /// Since when the endpoint is reported silent, if it is.
    pub(super) silent_since: Option<Duration>,
    pub(super) messages: mpsc::Receiver<Message<P>>,
    /// Holds the connection.
    pub(super) _task: Task,
}

impl<P> Attempt<P> {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Message<P>> {
        if self.turn.poll_preempted(context).is_ready() {
            return Poll::Ready(Message::Preempted);
        }
        let received = self.messages.poll_recv(context);
        received.map(|message| message.unwrap_or(Message::Failed(Failure::BROKEN)))
    }
}

/// Waits for the next message of any attempt, and returns the attempt's index with it.
pub(super) async fn receive<P>(open: &mut [Attempt<P>]) -> (usize, Message<P>) {
    std::future::poll_fn(|context| {
        for (i, attempt) in open.iter_mut().enumerate() {
            if let Poll::Ready(message) = attempt.poll(context) {
                return Poll::Ready((i, message));
            }
        }
        Poll::Pending
    })
    .await
}
