//! The voter's thread: the only one that touches its journal.
//!
//! It takes all inputs that wait, steps the machine through them, makes the writes
//! last with a single sync, and only then sends messages and gives answers. A disk
//! that hangs stops this thread and nothing else.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::Path,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc, Arc, Mutex,
    },
    time::Duration,
};

use tokio::sync::{oneshot, watch};

use crate::{
    board::feed,
    core::{change, ledger, name, raft},
    event,
    ops::control::{self, link},
    store::{folder, journal},
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::control::{Envelope, Passed},
};

/// How often the machine is told that time has passed.
const TICK: Duration = Duration::from_millis(20);
/// The most inputs in one step.
const BATCH: usize = 256;

/// How often a disk that failed is tried again.
const AGAIN: Duration = Duration::from_millis(250);

type Ledger = ledger::Ledger;
type Keeper = journal::Keeper<folder::Folder, Ledger>;
type Outcome = raft::Outcome<change::Answer>;

/// What a voter's thread is told.
enum Command {
    Input(raft::Input<Ledger>),
    Stop(oneshot::Sender<()>),
}

/// What a voter's thread shows.
#[derive(Clone, Debug)]
pub struct Published {
    /// How the voter stands.
    pub status: raft::Status,
    /// The ledger.
    pub ledger: Arc<Ledger>,
    /// Until when it holds the control lease, by its clock.
    pub lease: Option<Duration>,
    /// Whether the ledger is what is in force, as far as one voter can know.
    pub current: bool,
}

type Waiters = Arc<Mutex<HashMap<raft::Ticket, oneshot::Sender<Outcome>>>>;

/// Speaks to a voter's thread.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::SyncSender<Command>,
    published: watch::Receiver<Published>,
    waiters: Waiters,
    tickets: Arc<AtomicU64>,
    pub(super) links: link::Links,
    clock: clock::System,
}

impl std::fmt::Debug for Command {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Command")
    }
}

impl Handle {
    /// What the voter shows now.
    pub fn published(&self) -> Published {
        self.published.borrow().clone()
    }

    /// How many voters there are.
    pub(super) fn voter_count(&self) -> usize {
        self.published.borrow().status.members.voters().count()
    }

    /// Waits for what the voter shows next.
    pub fn watch(&self) -> watch::Receiver<Published> {
        self.published.clone()
    }

    /// Takes a message of another voter, if it is for this one.
    pub fn message(&self, envelope: Envelope) {
        if envelope.to != self.published.borrow().status.node {
            return;
        }
        self.links.learn(&envelope.from, envelope.address);
        // A full queue loses the message, as a network would.
        let input = raft::Input::Message(envelope.from, envelope.message);
        let _ = self.commands.try_send(Command::Input(input));
    }

    /// Agrees on a change, here or by way of the leader.
    pub async fn change(
        &self,
        change: change::Change,
        operator: name::Operator,
    ) -> Passed<change::Answer> {
        match self.change_here(change.clone(), operator.clone()).await {
            Passed::NotLeader => {
                self.links
                    .pass_change(self.leader(), change, operator)
                    .await
            }
            passed => passed,
        }
    }

    /// Agrees on a change if this voter leads.
    pub async fn change_here(
        &self,
        change: change::Change,
        operator: name::Operator,
    ) -> Passed<change::Answer> {
        let published = self.published();
        if let Some(answer) = published.ledger.previous_answer(&change, &operator) {
            return Passed::Answer(answer);
        }
        let command = ledger::Command::Change(ledger::Proposal {
            change,
            operator,
            at_unix_ms: control::unix_ms(),
        });
        self.propose(command).await
    }

    /// Agrees on a command if this voter leads.
    pub(super) async fn propose(&self, command: ledger::Command) -> Passed<change::Answer> {
        match self
            .ask(|ticket| raft::Input::Propose(ticket, command))
            .await
        {
            raft::Outcome::Applied(answer) => Passed::Answer(answer),
            raft::Outcome::NotLeader(_) => Passed::NotLeader,
            raft::Outcome::Unknown => Passed::Unknown,
            raft::Outcome::Refused(why) => Passed::Refused(why),
        }
    }

    /// Agrees on a routing, here or by way of the leader.
    pub async fn publish(&self, publication: ledger::Publication) -> Passed<change::Answer> {
        match self.publish_here(publication.clone()).await {
            Passed::NotLeader => {
                let passed = self.links.pass_publication(self.leader(), publication);
                passed.await
            }
            passed => passed,
        }
    }

    /// Agrees on a routing if this voter leads.
    pub async fn publish_here(&self, publication: ledger::Publication) -> Passed<change::Answer> {
        self.propose(ledger::Command::Publish(publication)).await
    }

    /// The text of the routing in force, from here or by way of the leader.
    pub async fn read(&self) -> Passed<Option<Arc<str>>> {
        match self.read_here() {
            Passed::NotLeader => self.links.pass_read(self.leader()).await,
            passed => passed,
        }
    }

    /// The text of the routing in force, if this voter leads under a lease now.
    pub fn read_here(&self) -> Passed<Option<Arc<str>>> {
        let published = self.published();
        if published
            .lease
            .is_none_or(|until| until <= self.clock.now())
        {
            return Passed::NotLeader;
        }
        Passed::Answer(published.ledger.routing_source().cloned())
    }

    /// Has a node made a member if this voter leads; else tells who does.
    pub fn join(&self, node: raft::Node, address: SocketAddr) -> Option<SocketAddr> {
        let status = self.published.borrow().status.clone();
        if status.leader.as_ref() == Some(&status.node) {
            self.links.learn(&node, address);
            let _ = self
                .commands
                .try_send(Command::Input(raft::Input::Join(node, address)));
            return None;
        }
        let leader = status.leader?;
        let mut addresses = status.members.addresses();
        addresses.find(|(n, _)| **n == leader).map(|(_, a)| *a)
    }

    /// Agrees on a change of the voters, here or by way of the leader.
    pub async fn members(&self, request: raft::MembersRequest) -> Passed<()> {
        match self.members_here(request.clone()).await {
            Passed::NotLeader => self.links.pass_members(self.leader(), request).await,
            passed => passed,
        }
    }

    /// Agrees on a change of the voters if this voter leads.
    pub async fn members_here(&self, request: raft::MembersRequest) -> Passed<()> {
        match self
            .ask(|ticket| raft::Input::Members(ticket, request))
            .await
        {
            // A membership entry has no answer of its own.
            raft::Outcome::Refused(why) if why.is_empty() => Passed::Answer(()),
            raft::Outcome::Applied(_) => Passed::Answer(()),
            raft::Outcome::NotLeader(_) => Passed::NotLeader,
            raft::Outcome::Unknown => Passed::Unknown,
            raft::Outcome::Refused(why) => Passed::Refused(why),
        }
    }

    pub(super) fn leader(&self) -> Option<raft::Node> {
        self.published.borrow().status.leader.clone()
    }

    async fn ask(&self, input: impl FnOnce(raft::Ticket) -> raft::Input<Ledger>) -> Outcome {
        let ticket = raft::Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiters).insert(ticket, sender);
        if self
            .commands
            .try_send(Command::Input(input(ticket)))
            .is_err()
        {
            lock(&self.waiters).remove(&ticket);
            return raft::Outcome::Refused("the voter is overloaded; try again".into());
        }
        let outcome = tokio::time::timeout(control::PROPOSAL, receiver).await;
        lock(&self.waiters).remove(&ticket);
        match outcome {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => raft::Outcome::Unknown,
        }
    }

    /// Hands the lead on and stops the thread.
    pub async fn leave(&mut self) {
        let (sender, receiver) = oneshot::channel();
        if self.commands.try_send(Command::Stop(sender)).is_ok() {
            let _ = tokio::time::timeout(control::PROPOSAL, receiver).await;
        }
        // The last messages are with the links; let them go out.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Starts a voter's thread, from its journal and the last entry that it knows to be
/// committed. The receiver tells why it failed, if it does.
pub(super) fn start(
    settings: &control::Settings,
    node: raft::Node,
    keeper: Keeper,
    committed: raft::Index,
    feed: Arc<feed::Feed>,
    clock: clock::System,
    log: slog::Logger,
) -> (Handle, oneshot::Receiver<String>) {
    let (commands, receiver) = mpsc::sync_channel(4096);
    let (fail, failed) = oneshot::channel();
    let kept = keeper.kept().clone();
    let mut voter = raft::Voter::new(
        settings.agree.clone(),
        node,
        kept,
        rand::random(),
        clock.now(),
    );
    voter.apply_known_committed(committed);
    let first = Published {
        status: voter.status(),
        ledger: Arc::new(voter.state().clone()),
        lease: None,
        current: false,
    };
    let (publish, published) = watch::channel(first);
    let waiters = Waiters::default();
    let links = link::Links::new(settings.listen, log.clone());
    let handle = Handle {
        commands,
        published,
        waiters: waiters.clone(),
        tickets: Arc::default(),
        links: links.clone(),
        clock,
    };
    let thread = Thread {
        voter,
        settings: settings.clone(),
        keeper: Some(keeper),
        feed,
        clock,
        log,
        publish,
        waiters,
        links,
        led: false,
    };
    std::thread::spawn(move || {
        if let Err(error) = thread.run(&receiver) {
            let _ = fail.send(error.to_string());
        }
    });
    (handle, failed)
}

/// Opens a journal again after its disk failed.
fn reopen(path: &Path) -> Result<Keeper, journal::Error> {
    let folder = folder::Folder::open(path)?;
    let opened = journal::Journal::open(folder)?;
    Ok(journal::Keeper::new(opened.journal, opened.kept))
}

struct Thread {
    voter: raft::Voter<Ledger>,
    settings: control::Settings,
    /// The journal; none while the disk can't be used.
    keeper: Option<Keeper>,
    feed: Arc<feed::Feed>,
    clock: clock::System,
    log: slog::Logger,
    publish: watch::Sender<Published>,
    waiters: Waiters,
    links: link::Links,
    led: bool,
}

impl Thread {
    fn run(mut self, commands: &mpsc::Receiver<Command>) -> Result<(), journal::Error> {
        self.publish_feed();
        let mut ticked = Duration::ZERO;
        loop {
            let mut output = raft::Output::default();
            let mut stop = None;
            let first = commands.recv_timeout(TICK);
            if matches!(first, Err(mpsc::RecvTimeoutError::Disconnected)) {
                return Ok(());
            }
            for command in first.into_iter().chain(commands.try_iter()).take(BATCH) {
                match command {
                    Command::Input(input) => {
                        output.merge(self.voter.step(input, self.clock.now()));
                    }
                    Command::Stop(sender) => stop = Some(sender),
                }
            }
            if stop.is_some() {
                output.merge(self.voter.step(raft::Input::Stop, self.clock.now()));
            }
            if self.clock.now() >= ticked + TICK {
                ticked = self.clock.now();
                output.merge(self.voter.step(raft::Input::Tick, ticked));
            }
            if let Err(error) = self.carry_out(output) {
                event!(self.log, StoreFailed, "why" => %error);
                if !self.recover(commands) {
                    return Ok(());
                }
            }
            if let Some(sender) = stop {
                let _ = sender.send(());
                return Ok(());
            }
        }
    }

    /// After a failed write: takes no part until the disk can be used again, then goes
    /// on from what it holds, as after a start. False if the process stops meanwhile.
    fn recover(&mut self, commands: &mpsc::Receiver<Command>) -> bool {
        self.keeper = None;
        lock(&self.waiters).clear();
        self.publish.send_modify(|published| {
            published.status.leader = None;
            published.lease = None;
            published.current = false;
        });
        loop {
            let until = self.clock.now() + AGAIN;
            loop {
                let left = until.saturating_sub(self.clock.now());
                match commands.recv_timeout(left) {
                    Ok(Command::Stop(sender)) => {
                        let _ = sender.send(());
                        return false;
                    }
                    // A message is lost by this, as in a network; who asked gets no answer.
                    Ok(Command::Input(input)) => self.drop_input(&input),
                    Err(mpsc::RecvTimeoutError::Timeout) => break,
                    Err(mpsc::RecvTimeoutError::Disconnected) => return false,
                }
            }
            if let Ok(keeper) = reopen(&self.settings.data) {
                self.restart(keeper);
                return true;
            }
        }
    }

    fn drop_input(&self, input: &raft::Input<Ledger>) {
        if let raft::Input::Propose(ticket, _) | raft::Input::Members(ticket, _) = input {
            lock(&self.waiters).remove(ticket);
        }
    }

    fn restart(&mut self, keeper: Keeper) {
        let node = self.voter.node().clone();
        let kept = keeper.kept().clone();
        let settings = self.settings.agree.clone();
        self.voter = raft::Voter::new(settings, node, kept, rand::random(), self.clock.now());
        event!(self.log, StoreRecovered, "bytes" => keeper.journal().len());
        self.keeper = Some(keeper);
    }

    /// Does what steps want done, in the order that makes it safe.
    fn carry_out(&mut self, output: raft::Output<Ledger>) -> Result<(), journal::Error> {
        if let Some(keeper) = &mut self.keeper {
            if keeper.keep(output.writes)? {
                event!(self.log, StoreCompacted, "bytes" => keeper.journal().len());
            }
        }
        self.publish();
        self.links.send(&self.voter.status(), output.messages);
        let mut waiters = lock(&self.waiters);
        for (ticket, outcome) in output.answers {
            if let Some(waiter) = waiters.remove(&ticket) {
                let _ = waiter.send(outcome);
            }
        }
        Ok(())
    }

    fn publish(&mut self) {
        self.publish_feed();
        let status = self.voter.status();
        let lease = self.voter.lease();
        let current = self.voter.is_current(self.clock.now());
        if self.led != self.voter.is_leader() {
            self.led = self.voter.is_leader();
            if self.led {
                event!(self.log, BecameLeader, "term" => %status.term);
            } else {
                event!(self.log, LostLead, "term" => %status.term);
            }
        }
        let voter = &self.voter;
        let log = &self.log;
        self.publish.send_if_modified(|published| {
            let moved = published.status.committed != status.committed;
            let changed = published.status != status
                || published.lease != lease
                || published.current != current;
            if published.status.members != status.members {
                event!(log, VoterChanged, "voters" => status.members.voters().count(),
                    "learners" => status.members.learners().count());
            }
            if moved {
                published.ledger = Arc::new(voter.state().clone());
            }
            published.status = status;
            published.lease = lease;
            published.current = current;
            changed
        });
    }

    /// Brings the feed up to what was agreed. After a start that is what is known to have been
    /// committed before: boxes that have nothing serve by it until a leader is elected, and
    /// the others have it or a later one already.
    fn publish_feed(&self) {
        let ledger = self.voter.state();
        let have = self.feed.current().revision;
        let has_recalled = have.0 == 0;
        if !(self.voter.is_caught_up() || has_recalled) || ledger.revision() <= have {
            return;
        }
        match ledger.steps_since(have) {
            Some(newer) if have.0 > 0 => {
                for step in newer {
                    self.feed.publish_step(step);
                }
            }
            _ => drop(
                self.feed
                    .publish_whole(ledger.revision(), ledger.document().clone()),
            ),
        }
    }
}
