//! Exchanges with the other boxes what each has at the endpoints, by way of a voter.
//!
//! All boxes use the first voter that they reach, so they mostly use the same one; where
//! a zone is cut off, its boxes use the one there. While no voter answers, the
//! dispatchers guess from what this box has.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use jsonrpsee::ws_client::WsClient;

use crate::{
    core::{dispatch, load},
    event,
    ops::entry::{desk, directory::Followed, now, Shared},
    util::lock::lock,
    wire::registry::RegistryClient as _,
};

/// How often loads are exchanged at most.
const PERIOD: Duration = Duration::from_millis(100);
/// What each box that takes part adds to that, so that a voter bears any number of them.
const PERIOD_PER_BOX: Duration = Duration::from_millis(4);
/// How long an exchange may take.
const ANSWER: Duration = Duration::from_millis(400);
/// How long a voter that did not answer is left alone.
const LEFT_ALONE: Duration = Duration::from_secs(2);

/// Exchanges for ever.
pub(super) async fn run(board: Shared, followed: Followed) {
    let mut partner = Partner::new(board);
    loop {
        partner.exchange(&followed).await;
        let boxes = partner.board.sharers.load(Ordering::Relaxed);
        tokio::time::sleep(PERIOD.max(PERIOD_PER_BOX * boxes)).await;
    }
}

/// The state of the exchange with one voter.
struct Partner {
    board: Shared,
    /// The voter, once it has answered.
    voter: Option<SocketAddr>,
    /// A voter that did not answer, and until when it is left alone.
    left_alone: Option<(SocketAddr, Duration)>,
    /// What the voter knows of this box.
    told: load::Loads,
    /// What the other boxes have.
    others: load::Loads,
}

impl Partner {
    fn new(board: Shared) -> Self {
        Self {
            board,
            voter: None,
            left_alone: None,
            told: load::Loads::new(),
            others: load::Loads::new(),
        }
    }

    /// The first voter that is reached.
    fn choose(&self, followed: &Followed) -> Option<(SocketAddr, Arc<WsClient>)> {
        let now = now(&self.board);
        let left_alone = self.left_alone.filter(|(_, until)| now < *until);
        let left_alone = left_alone.map(|(voter, _)| voter);
        let followed = lock(followed);
        let reached = followed
            .iter()
            .filter_map(|(voter, client)| Some((*voter, client.clone()?)));
        let mut usable = reached.filter(|(voter, _)| Some(*voter) != left_alone);
        usable.next()
    }

    async fn exchange(&mut self, followed: &Followed) {
        let Some((voter, client)) = self.choose(followed) else {
            return self.lose();
        };
        if self.voter != Some(voter) {
            self.lose();
        }
        let anew = self.voter.is_none();
        let own = own_loads(&self.board);
        let told = load::News {
            loads: load::difference(&self.told, &own),
            placements: own_placements(&self.board),
        };
        let call = client.exchange(self.board.own.name.clone(), anew, told);
        match tokio::time::timeout(ANSWER, call).await {
            Ok(Ok(Some(news))) => {
                if anew {
                    event!(self.board.log, LoadsShared, "voter" => %voter);
                }
                self.voter = Some(voter);
                self.told = own;
                self.take(news, anew);
            }
            Ok(Ok(None)) => self.lose(),
            Ok(Err(_)) | Err(_) => {
                self.left_alone = Some((voter, now(&self.board) + LEFT_ALONE));
                self.lose();
            }
        }
    }

    fn take(&mut self, news: load::News, anew: bool) {
        if !news.placements.is_empty() {
            self.tell(&dispatch::Input::Placed(news.placements));
        }
        if news.loads.is_empty() && !anew {
            return;
        }
        load::merge(&mut self.others, news.loads);
        self.tell(&dispatch::Input::Others(Some(self.others.clone())));
    }

    /// What was heard counts no more.
    fn lose(&mut self) {
        if let Some(voter) = self.voter.take() {
            event!(self.board.log, LoadsGuessed, "voter" => %voter);
            self.tell(&dispatch::Input::Others(None));
        }
        self.told.clear();
        self.others.clear();
    }

    fn tell(&self, input: &dispatch::Input) {
        for service in desk::held(&self.board) {
            desk::input(&self.board, &service, input.clone());
        }
    }
}

fn own_loads(board: &Shared) -> load::Loads {
    let mut loads = load::Loads::new();
    board.dispatchers.each(|shard| {
        for dispatcher in shard.values() {
            loads.extend(dispatcher.loads());
        }
    });
    loads
}

/// What was placed here since it was last asked for.
fn own_placements(board: &Shared) -> Vec<load::Placement> {
    let mut placements = Vec::new();
    board.dispatchers.each(|shard| {
        for dispatcher in shard.values_mut() {
            placements.extend(dispatcher.take_placements());
        }
    });
    placements
}
