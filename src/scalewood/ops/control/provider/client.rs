//! Calls to the provider, one at a time, over one persistent connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rand::Rng as _;

use super::{Authority, Hold, Outcome, Settings};
use crate::{
    core::{backoff, limit, unit},
    event,
    ops::control::guarded,
    util::clock::{self, Clock as _},
};

/// The timeout for the answer to a call: the provider may be slow.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The wait after a failed call. It doubles with each further failure, up to `MAX_RETRY_WAIT`.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(250);
const MAX_RETRY_WAIT: Duration = Duration::from_secs(1);
/// The longest `Retry-After` that is obeyed: usage reports and orders are overdue after some
/// minutes.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// The wait before a call that the rate limit or a backoff does not allow is reported as busy.
const RATE_LIMIT_WAIT: Duration = Duration::from_millis(100);

/// Calls the provider, one call at a time.
#[derive(Debug)]
pub(in crate::ops::control) struct Client {
    hold: Hold,
    address: SocketAddr,
    caller: String,
    rate: unit::Rate,
    bucket: limit::Bucket,
    connection: Option<guarded::Connection>,
    retry_wait: Duration,
    /// The time until which the provider wants no calls.
    backoff_until: Duration,
    clock: clock::System,
    log: slog::Logger,
}

impl Client {
    pub(in crate::ops::control) fn new(
        hold: Hold,
        address: SocketAddr,
        settings: &Settings,
    ) -> Self {
        let clock = hold.clock;
        Self {
            address,
            caller: settings.caller.clone(),
            rate: settings.rate,
            bucket: limit::Bucket::full(settings.rate, clock.now()),
            connection: None,
            retry_wait: MIN_RETRY_WAIT,
            backoff_until: Duration::ZERO,
            clock,
            log: hold.log.clone(),
            hold,
        }
    }

    /// Returns whether this voter leads, so that it may become the holder soon.
    pub(in crate::ops::control) fn leads(&self) -> bool {
        self.hold.leads()
    }

    /// Returns the authority to make a call now, if this voter has it.
    pub(in crate::ops::control) fn authority(&self) -> Option<Authority> {
        let token = self.hold.token()?;
        Some(Authority {
            caller: self.caller.clone(),
            token,
        })
    }

    /// Makes a call; waits before returning if it failed or was not allowed yet. `what` names the
    /// call in the log.
    pub(in crate::ops::control) async fn call(
        &mut self,
        authority: &Authority,
        request: Request<Full<Bytes>>,
        classify: fn(StatusCode) -> Outcome,
        what: &str,
    ) -> Outcome {
        let is_backing_off = self.clock.now() < self.backoff_until;
        if is_backing_off || self.bucket.take(1.0, self.rate, self.clock.now()).is_err() {
            tokio::time::sleep(RATE_LIMIT_WAIT).await;
            return Outcome::Busy;
        }
        let asked_at = self.clock.now();
        let answer = self.send(authority, request).await;
        let (outcome, why) = match answer {
            Ok(answer) => {
                self.record_backoff(answer.backoff);
                (classify(answer.status), answer.status.as_str().to_owned())
            }
            Err(failure) => (Outcome::Failed, failure.as_str().to_owned()),
        };
        let took = self.clock.now().saturating_sub(asked_at);
        event!(self.log, ProviderCalled, "what" => what, "token" => authority.token.0,
            "outcome" => ?outcome, "why" => why, "took_ms" => took.as_millis());
        match outcome {
            Outcome::Taken | Outcome::NoneLeft => self.retry_wait = MIN_RETRY_WAIT,
            Outcome::Busy | Outcome::Outdated | Outcome::Failed => self.back_off().await,
        }
        outcome
    }

    /// Records the time for which the provider wants no calls.
    fn record_backoff(&mut self, parsed: backoff::Parsed) {
        if let backoff::Parsed::For(length) = parsed {
            self.backoff_until = self.clock.now() + length.min(MAX_BACKOFF);
        }
    }

    /// Waits before the next call, longer after each failure. The wait is random, so that callers
    /// that failed at the same moment do not retry at the same moment.
    async fn back_off(&mut self) {
        let wait = self.retry_wait.mul_f64(rand::rng().random_range(0.5..1.0));
        self.retry_wait = (self.retry_wait * 2).min(MAX_RETRY_WAIT);
        tokio::time::sleep(wait).await;
    }

    async fn send(
        &mut self,
        authority: &Authority,
        request: Request<Full<Bytes>>,
    ) -> Result<guarded::Answer, guarded::Failure> {
        let reusable = self.connection.take().filter(guarded::Connection::is_open);
        let mut connection = match reusable {
            Some(connection) => connection,
            None => guarded::Connection::open(self.address).await?,
        };
        let holds = |duration| self.hold.is_valid_for(authority.token, duration);
        let unix_ms = self.clock.unix_ms();
        let answer = connection
            .call(request, holds, ANSWER_TIMEOUT, unix_ms)
            .await?;
        self.connection = Some(connection);
        Ok(answer)
    }
}
