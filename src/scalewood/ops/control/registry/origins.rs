//! The origins of streams that boxes report to voters.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future;
use jsonrpsee::ws_client::WsClient;

use super::SoftState;
use crate::{
    core::{
        build, name,
        origin::{Answer, Begun, Found},
    },
    util::{clock::Clock as _, lock::lock},
    wire::registry::{Question, RegistryClient as _},
};

/// How long another voter may take to answer; shorter than what a box waits for this one.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

impl SoftState {
    /// Records where streams began.
    pub(super) fn remember(&self, begun: &[Begun]) {
        let now = self.clock.now();
        let mut origins = lock(&self.origins);
        for begun in begun {
            let until = now.saturating_add(Duration::from_millis(begun.keep_ms));
            for key in &begun.keys {
                origins.record(*key, &begun.origin, until, now);
            }
        }
    }

    /// Answers a box or another voter where a stream began, after asking the other voters if the
    /// question says so and this one does not know; there are `voters` in all.
    pub(super) async fn origin(&self, question: Question, voters: usize) -> Answer {
        let own = self.own_answer(&question);
        if !question.asks_others || own.found != Found::Unknown {
            return own;
        }
        let question = Question {
            asks_others: false,
            ..question
        };
        let clients: Vec<_> = lock(&self.clients).values().cloned().collect();
        let answers = clients.iter().map(|client| ask(client, &question));
        let answers = future::join_all(answers).await;
        let heard_all = answers.len() + 1 >= voters && answers.iter().all(Option::is_some);
        let answers = answers.into_iter().flatten();
        let combined = answers.fold(own, |combined, answer| Answer {
            found: combined.found.and(answer.found),
            sole_build: combined
                .sole_build
                .filter(|build| Some(build) == answer.sole_build.as_ref()),
        });
        Answer {
            sole_build: combined.sole_build.filter(|_| heard_all),
            ..combined
        }
    }

    fn own_answer(&self, question: &Question) -> Answer {
        let now = self.clock.now();
        let within = Duration::from_millis(question.within_ms);
        let found = question.key.map(|key| lock(&self.origins).find(key, now));
        let sole = question.service.as_ref();
        Answer {
            found: found.unwrap_or_default(),
            sole_build: sole.and_then(|service| self.sole_build(service, within)),
        }
    }

    /// Returns the only build of a service that this voter has known of within a time, if there was
    /// exactly one and it knows all builds of that time.
    fn sole_build(&self, service: &name::Service, within: Duration) -> Option<build::Build> {
        let since = self.clock.now().saturating_sub(within);
        if self.knows_builds_since.is_some_and(|from| since < from) {
            return None;
        }
        let mut builds = lock(&self.registry).builds_since(service, since);
        builds.pop().filter(|_| builds.is_empty())
    }

    /// Records or forgets the connection to another voter.
    pub(in crate::ops::control) fn set_client(
        &self,
        voter: SocketAddr,
        client: Option<Arc<WsClient>>,
    ) {
        let mut clients = lock(&self.clients);
        match client {
            Some(client) => drop(clients.insert(voter, client)),
            None => drop(clients.remove(&voter)),
        }
    }
}

/// Asks another voter; `None` if it does not answer in time.
async fn ask(client: &Arc<WsClient>, question: &Question) -> Option<Answer> {
    let asked = client.origin(question.clone());
    tokio::time::timeout(ANSWER_TIMEOUT, asked).await.ok()?.ok()
}
