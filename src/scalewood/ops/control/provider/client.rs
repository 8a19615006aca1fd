//! Calls to the provider, one at a time, over one connection that is kept.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rand::Rng as _;

use super::{Authority, Hold, Said, Settings};
use crate::{
    core::{backoff, limit, unit},
    event,
    ops::control::guarded,
    util::clock::{self, Clock as _},
};

/// How long a call may wait for its answer: the provider may be slow.
const ANSWER: Duration = Duration::from_secs(2);
/// The wait after a call that failed, which doubles up to the longest one.
const AGAIN: Duration = Duration::from_millis(250);
const LONGEST_AGAIN: Duration = Duration::from_secs(1);
/// The longest that the provider is left alone by its own word: what is due to it, reports of usage
/// and orders, is late after some minutes.
const LONGEST_REST: Duration = Duration::from_secs(60);
/// How long a call is held back that goes beyond the rate.
const BUSY: Duration = Duration::from_millis(100);

/// Calls the provider, one call at a time.
#[derive(Debug)]
pub(in crate::ops::control) struct Client {
    hold: Hold,
    address: SocketAddr,
    caller: String,
    rate: unit::Rate,
    bucket: limit::Bucket,
    connection: Option<guarded::Connection>,
    again: Duration,
    /// Until when the provider wants no calls.
    rests_until: Duration,
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
            again: AGAIN,
            rests_until: Duration::ZERO,
            clock,
            log: hold.log.clone(),
            hold,
        }
    }

    /// Whether this voter leads, so that it may be about to act.
    pub(in crate::ops::control) fn leads(&self) -> bool {
        self.hold.leads()
    }

    /// The right under which a call may be made now.
    pub(in crate::ops::control) fn authority(&self) -> Option<Authority> {
        let token = self.hold.token()?;
        Some(Authority {
            caller: self.caller.clone(),
            token,
        })
    }

    /// Makes a call, and waits a while if it failed; `what` names it in the log.
    pub(in crate::ops::control) async fn call(
        &mut self,
        authority: &Authority,
        request: Request<Full<Bytes>>,
        said: fn(StatusCode) -> Said,
        what: &str,
    ) -> Said {
        let rests = self.clock.now() < self.rests_until;
        if rests || self.bucket.take(1.0, self.rate, self.clock.now()).is_err() {
            tokio::time::sleep(BUSY).await;
            return Said::Busy;
        }
        let asked = self.clock.now();
        let answer = self.send(authority, request).await;
        let (outcome, why) = match answer {
            Ok(answer) => {
                self.hear(answer.rest);
                (said(answer.status), answer.status.as_str().to_owned())
            }
            Err(failure) => (Said::Failed, failure.as_str().to_owned()),
        };
        let took = self.clock.now().saturating_sub(asked);
        event!(self.log, ProviderCalled, "what" => what, "token" => authority.token.0,
            "outcome" => ?outcome, "why" => why, "took_ms" => took.as_millis());
        match outcome {
            Said::Taken | Said::NoneLeft => self.again = AGAIN,
            Said::Busy | Said::Outdated | Said::Failed => self.pause().await,
        }
        outcome
    }

    /// Notes for how long the provider wants no calls.
    fn hear(&mut self, asked: backoff::Parsed) {
        if let backoff::Parsed::For(length) = asked {
            self.rests_until = self.clock.now() + length.min(LONGEST_REST);
        }
    }

    /// Waits before the next call, longer each time; others that failed with it wait otherwise.
    async fn pause(&mut self) {
        let wait = self.again.mul_f64(rand::rng().random_range(0.5..1.0));
        self.again = (self.again * 2).min(LONGEST_AGAIN);
        tokio::time::sleep(wait).await;
    }

    async fn send(
        &mut self,
        authority: &Authority,
        request: Request<Full<Bytes>>,
    ) -> Result<guarded::Answer, guarded::Failure> {
        let kept = self.connection.take().filter(guarded::Connection::is_open);
        let mut connection = match kept {
            Some(connection) => connection,
            None => guarded::Connection::open(self.address).await?,
        };
        let holds = |long| self.hold.lasts(authority.token, long);
        let unix_ms = self.clock.unix_ms();
        let answer = connection.call(request, holds, ANSWER, unix_ms).await?;
        self.connection = Some(connection);
        Ok(answer)
    }
}
