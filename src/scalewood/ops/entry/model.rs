//! Streamed answers of model engines.
//!
//! A stream is forwarded event by event, and the delivered text is kept. If the engine fails or the
//! run is preempted, another engine continues from there: it gets the delivered text as the
//! beginning of the answer. The caller sees one stream under one id. A stream that can't be resumed
//! ends with an error event and a closed connection, never as if it were complete.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::{Buf as _, Bytes};
use eventsource_stream::Eventsource as _;
use futures_util::{stream, Stream, StreamExt as _};
use hyper::{body::Incoming, header, Response, StatusCode};
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::{
    core::{build, dispatch, invariant, unit, verdict},
    ops::entry::{
        answer_head,
        body::{self, Answer, Piece, Truncated},
        buffer::Account,
        call::{self, Call},
        crash::Target,
        dialect::Disposition,
        hedge::{self, Message},
        incoming::{self, Body, Kind},
        now,
        observer::Observer,
        plain::{self, Context},
        prompt::Prompt,
        reply::Refusal,
        turn::Turn,
        upstream::{self, Failure},
    },
};

/// The data of a stream's last event.
const END_MARK: &str = "[DONE]";
/// How much of the body of an engine's error is read; its beginning is passed on.
const MAX_ERROR_BODY: unit::Size = unit::Size(4 << 10);

/// The parts of a stream that all attempts together have delivered to the caller.
#[derive(Clone, Debug, Default)]
pub(super) struct Transcript {
    pub(super) text: String,
    /// The number of events with text, each of which counts as one token.
    pub(super) tokens: unit::Tokens,
    /// The stream's id as the caller sees it: that of the first attempt.
    id: Option<Value>,
    /// The serial number of the attempt whose events are forwarded.
    attempt: Option<u32>,
    /// The number of tokens of that attempt.
    own: unit::Tokens,
    /// The build of the engine that wrote the first event. Only engines of this build go on.
    build: Option<build::Build>,
}

/// The fields of a stream's event that are read.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl Chunk {
    /// Returns the event's text if it has any.
    fn text(&self) -> Option<&str> {
        let choice = self.choices.first()?;
        let text = choice.delta.content.as_deref().or(choice.text.as_deref());
        text.filter(|text| !text.is_empty())
    }

    /// Returns whether the event only opens an answer: it has neither text nor a finish reason.
    fn is_opening(&self) -> bool {
        let ends = self
            .choices
            .iter()
            .any(|choice| choice.finish_reason.is_some());
        self.text().is_none() && !ends && !self.choices.is_empty()
    }
}

/// Serves a streamed request: returns the response once the first event arrives, or the refusal if
/// the request ends before that.
pub(super) async fn serve(
    context: &Context,
    call: &Call,
    path: &'static str,
    prompt: Prompt,
) -> Result<Response<Answer>, Refusal> {
    let (pieces, receiver) = mpsc::channel(body::MAX_QUEUED_PIECES);
    let (head, opened) = oneshot::channel();
    let run = Run {
        context: context.clone(),
        call: call.clone(),
        path,
        prompt,
        transcript: Transcript::default(),
        observer: Observer::new(&context.board, call),
        queued: Account::new(&context.answers),
        pieces: pieces.clone(),
        head: Some(head),
    };
    tokio::spawn(async move {
        tokio::select! {
            () = run.serve() => {}
            // The caller disconnected: dropping the run cancels it and frees its slot.
            () = pieces.closed() => {}
        }
    });
    match opened.await {
        Ok(Ok(())) => Ok(stream_response(call, receiver)),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(Refusal {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            code: "internal",
            message: "the request's task stopped unexpectedly; this is a bug in scalewood".into(),
            verdict: verdict::Verdict::MayHaveRun,
            retry_after: None,
        }),
    }
}

/// Returns the response that streams the pieces of a receiver.
fn stream_response(call: &Call, receiver: mpsc::Receiver<Piece>) -> Response<Answer> {
    let mut response = Response::new(Answer::Stream(receiver));
    let kind = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    let cache = header::HeaderValue::from_static("no-cache");
    response.headers_mut().insert(header::CACHE_CONTROL, cache);
    plain::add_headers(&mut response, call);
    response
}

/// A streamed request that is being served.
struct Run {
    context: Context,
    call: Call,
    path: &'static str,
    prompt: Prompt,
    transcript: Transcript,
    observer: Observer,
    /// The memory of pieces that the caller has not taken.
    queued: Arc<Account>,
    pieces: mpsc::Sender<Piece>,
    /// Reports to the handler whether the answer starts or is refused; `None` once reported.
    head: Option<oneshot::Sender<Result<(), Refusal>>>,
}

/// A part of a stream.
#[derive(Debug)]
enum Part {
    Event(Event),
    /// The end mark.
    End,
    /// The engine answered with another status than 200.
    ErrorStatus(StatusCode, Bytes),
}

/// An event of a stream.
#[derive(Debug)]
struct Event {
    data: String,
    text: Option<String>,
    /// Whether its attempt goes on with what an earlier one has delivered.
    is_resumed: bool,
}

impl Run {
    /// Serves the request until it is complete or has failed, or until the caller disconnects.
    async fn serve(mut self) {
        let mut attempts = hedge::Attempts::new(
            &self.context.board,
            &self.call,
            self.context.limits.max_silence,
        );
        loop {
            match attempts.next(&mut self).await {
                Ok(Part::Event(event)) => {
                    if !self.forward(&mut attempts, event).await {
                        return;
                    }
                }
                Ok(Part::End) => {
                    // If the caller disconnected, dropping the attempt releases its slot.
                    if self.send("data: [DONE]\n\n".into()).await {
                        attempts.end(dispatch::End::Done);
                        call::charge(&self.context.board, &self.call, self.transcript.tokens);
                        self.observer.done(self.transcript.tokens);
                    }
                    return;
                }
                Ok(Part::ErrorStatus(status, body)) => {
                    attempts.end(dispatch::End::Done);
                    return self.fail(engine_error(status, &body)).await;
                }
                Err(refusal) => {
                    let refusal = self.explain(refusal);
                    return self.fail(refusal).await;
                }
            }
        }
    }

    /// Returns the refusal of a stream that broke and can't be resumed, instead of another one.
    fn explain(&self, refusal: Refusal) -> Refusal {
        if self.may_go_on() {
            return refusal;
        }
        Refusal {
            status: StatusCode::BAD_GATEWAY,
            code: "stream-broke",
            message: "the stream broke and can't be resumed; send the request again".into(),
            verdict: refusal.verdict,
            retry_after: Some(Duration::from_secs(1)),
        }
    }

    /// Returns the deadline of the next attempt, counted from the request's arrival. A resumed
    /// stream gets its class's full deadline again, since its caller was served in part.
    fn deadline_from_arrival(&self) -> Duration {
        let class = &self.call.class;
        if self.transcript.tokens.0 == 0 {
            return class.deadline;
        }
        now(&self.context.board).saturating_sub(self.call.arrived_at) + class.deadline
    }

    /// Returns whether another attempt could go on with what was delivered so far.
    fn may_go_on(&self) -> bool {
        self.transcript.tokens.0 == 0 || self.prompt.is_resumable()
    }

    /// Ends the request with an error. The error is the response if the stream has not started,
    /// else an event, after which the connection is closed.
    async fn fail(&mut self, refusal: Refusal) {
        self.observer.refused(&refusal);
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(refusal));
            return;
        }
        let event = format!("data: {}\n\n", String::from_utf8_lossy(&refusal.json()));
        let _ = self.pieces.send(Ok(event.into())).await;
        let _ = self.pieces.send(Err(Truncated)).await;
    }

    /// Forwards an event to the caller. Returns false if the caller disconnected.
    async fn forward(&mut self, attempts: &mut hedge::Attempts<Part>, event: Event) -> bool {
        let piece = self.piece(&event.data, event.is_resumed);
        if let Some(attempt) = attempts.serving() {
            self.check_attempt(attempt.serial);
            let build = &attempt.build;
            self.transcript.build.get_or_insert_with(|| build.clone());
            if event.text.is_some() {
                self.record_token(&mut attempt.turn);
            }
        }
        if !self.send(piece).await {
            return false;
        }
        if let Some(text) = event.text {
            self.transcript.text.push_str(&text);
            self.transcript.tokens.0 += 1;
        }
        true
    }

    /// Records a token of the current attempt.
    fn record_token(&mut self, turn: &mut Turn) {
        let own = &mut self.transcript.own;
        own.0 += 1;
        if own.0 == 1 {
            turn.report_first_token();
        }
        turn.report_progress(*own);
        self.observer.token();
    }

    /// Checks that no events are forwarded from an attempt after those of a later one.
    fn check_attempt(&mut self, serial: u32) {
        let last = self.transcript.attempt;
        if last != Some(serial) {
            self.transcript.attempt = Some(serial);
            self.transcript.own = unit::Tokens(0);
        }
        let is_later = last.is_none_or(|last| last <= serial);
        invariant::check(is_later, invariant::Rule::AttemptChain, || {
            let request = self.call.request;
            format!("a piece of {request}, attempt {serial}, follows one of attempt {last:?}")
        });
    }

    /// Returns an event for the caller, with its id replaced by that of the first attempt. Only the
    /// event that sets the id and those of a resumed stream are parsed.
    fn piece(&mut self, data: &str, resumed: bool) -> Bytes {
        if !resumed && self.transcript.id.is_some() {
            return format!("data: {data}\n\n").into();
        }
        let Ok(mut value) = serde_json::from_str::<Value>(data) else {
            return format!("data: {data}\n\n").into();
        };
        match (&self.transcript.id, value.get_mut("id")) {
            (Some(id), Some(own)) => own.clone_from(id),
            (None, Some(own)) => self.transcript.id = Some(own.clone()),
            (_, None) => {}
        }
        format!("data: {value}\n\n").into()
    }

    /// Sends a piece to the caller. Returns false if the caller disconnected.
    async fn send(&mut self, piece: Bytes) -> bool {
        if let Some(head) = self.head.take() {
            if head.send(Ok(())).is_err() {
                return false;
            }
        }
        let piece = self.queued.hold(piece).await;
        self.pieces.send(Ok(piece)).await.is_ok()
    }
}

impl hedge::Request for Run {
    type Part = Part;

    fn ask(&self) -> dispatch::Ask {
        dispatch::Ask {
            // A stream that has begun must not be shed because of the time it took so far.
            deadline: self.deadline_from_arrival(),
            delivered: self.transcript.tokens,
            build: self.transcript.build.clone(),
            ..self
                .call
                .first_ask(&self.context.board, self.prompt.is_resumable())
        }
    }

    fn is_repeatable(&self) -> bool {
        self.call.class.repeatable && self.may_go_on()
    }

    fn deadline(&self) -> Duration {
        self.call.arrived_at + self.deadline_from_arrival()
    }

    fn check(&self, _so_far: verdict::Verdict) -> Result<(), Refusal> {
        Ok(())
    }

    fn repeat(&mut self) {
        // The engine has to process the prompt and the delivered text again.
        let again = self.call.prompt.0 + self.transcript.tokens.0;
        self.observer.wasted(unit::Tokens(again));
    }

    fn send(
        &self,
        target: Target,
        is_permitted: impl Fn() -> bool + Send + 'static,
        sink: hedge::Sink<Part>,
    ) -> impl Future<Output = Result<(), Failure>> + Send + 'static {
        let body = self.prompt.body(&self.call, &self.transcript);
        let outgoing = self.prompt.request(self.path, body);
        let request = outgoing.request(target.address, &self.call);
        let (context, call) = (self.context.clone(), self.call.clone());
        let is_resumed = self.transcript.tokens.0 > 0;
        async move {
            let timeouts = (context.limits.connect_timeout, hedge::NO_LIMIT);
            let sent = context
                .pool
                .send(target.address, request?, timeouts, is_permitted);
            let answered = sent.await?;
            plain::names_call(&answered, &call)?;
            // The connection is not reused, because a stream is seldom read to its last byte.
            let upstream::Answered {
                sender: _sender,
                response,
                ..
            } = answered;
            let (board, service) = (&context.board, &call.key.service);
            let disposition = answer_head::observe_native(board, service, &target, &response);
            if disposition == Disposition::Refused {
                return Err(Failure::REFUSED);
            }
            let _ = sink.send(Message::Progress).await;
            read(&context, response, is_resumed, &sink).await
        }
    }
}

/// Reads an engine's answer to its end and sends its parts to a sink.
async fn read(
    context: &Context,
    response: Response<Incoming>,
    is_resumed: bool,
    sink: &hedge::Sink<Part>,
) -> Result<(), Failure> {
    let status = response.status();
    if status != StatusCode::OK {
        let body = incoming::beginning(response.into_body(), MAX_ERROR_BODY).await?;
        let _ = sink
            .send(Message::Error(Part::ErrorStatus(status, body)))
            .await;
        return Ok(());
    }
    let (body, limits) = (response.into_body(), &context.limits);
    let body = Body::new(body, &context.answers, limits.max_answer);
    let mut events = std::pin::pin!(whole_events(body).eventsource());
    let mut has_text = false;
    loop {
        let Some(Ok(event)) = events.next().await else {
            return Err(Failure::BROKEN);
        };
        if event.data == END_MARK {
            let _ = sink.send(Message::Part(Part::End)).await;
            return Ok(());
        }
        let chunk: Chunk = serde_json::from_str(&event.data).map_err(|_| Failure::BROKEN)?;
        let text = chunk.text().map(str::to_owned);
        let message = if is_resumed && !has_text && chunk.is_opening() {
            // The caller got the opening event from an earlier attempt.
            Message::Progress
        } else {
            let data = event.data;
            has_text |= text.is_some();
            Message::Part(Part::Event(Event {
                data,
                text,
                is_resumed,
            }))
        };
        if sink.send(message).await.is_err() {
            return Ok(());
        }
    }
}

/// Returns the data of a stream, cut between events. It ends where the stream ends or breaks off.
fn whole_events(body: Body) -> impl Stream<Item = Result<Bytes, Failure>> {
    stream::unfold(body, |mut body| async move {
        let events = match body.part(Kind::Stream).await {
            Ok(incoming::Part::Events(mut events)) => Ok(events.copy_to_bytes(events.remaining())),
            Ok(_) => return None,
            Err(failure) => Err(failure),
        };
        Some((events, body))
    })
}

/// Returns the refusal for an engine's error answer, with the first 512 characters of its body.
fn engine_error(status: StatusCode, body: &Bytes) -> Refusal {
    let text: String = String::from_utf8_lossy(body).chars().take(512).collect();
    let verdict = verdict::Verdict::MayHaveRun;
    let message = format!("the engine answered {status}: {text}");
    Refusal {
        status,
        code: "engine-error",
        message,
        verdict,
        retry_after: None,
    }
}
