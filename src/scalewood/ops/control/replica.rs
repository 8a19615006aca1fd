//! The thread that runs a voter; no other thread accesses the voter's journal.
//!
//! It takes all queued inputs, steps the consensus state machine through them, makes the writes
//! durable with a single sync, and only then sends messages and answers. A disk that hangs blocks
//! this thread only.

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
    core::{
        change, departure, ledger, name,
        raft::{self, State as _},
    },
    event,
    ops::control::{self, link, memory},
    store::{folder, journal, latency},
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::control::{Envelope, Forwarded},
};

/// The interval between two `Tick` inputs to the consensus state machine.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// The most inputs that share one sync.
const MAX_BATCH: usize = 256;
/// The most bytes of inputs that are queued. A single larger input is queued too.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// The size of an input beside the message or command that it holds, in bytes; roughly.
const INPUT_BYTES: usize = 128;

/// The interval at which a journal whose disk failed is opened again.
const REOPEN_PERIOD: Duration = Duration::from_millis(250);

type Ledger = ledger::Ledger;
type Media = latency::Media<folder::Folder, clock::System>;
type Writer = journal::Writer<Media, Ledger>;
type Outcome = raft::Outcome<change::Answer>;

/// A command to a voter's thread.
enum Command {
    /// An input with its share of the queue's memory.
    Input(raft::Input<Ledger>, memory::Share),
    Stop(oneshot::Sender<()>),
}

/// The state of a voter that its thread publishes after each step.
#[derive(Clone, Debug)]
pub struct Published {
    /// The voter's view of the cluster.
    pub status: raft::Status,
    /// The ledger, with all entries applied that the voter knows to be committed.
    pub ledger: Arc<Ledger>,
    /// Until when it holds the leader's lease, by its monotonic clock; `None` if it does not.
    pub lease: Option<Duration>,
    /// Whether the ledger includes all that was committed before this voter started.
    pub is_caught_up: bool,
}

/// The callers that wait for the outcomes of their proposals.
type Waiters = Arc<Mutex<HashMap<raft::Ticket, oneshot::Sender<Outcome>>>>;

/// A handle to a voter's thread.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::SyncSender<Command>,
    /// The memory of the queued inputs.
    memory: Arc<memory::Budget>,
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
    /// Returns the published state.
    pub fn published(&self) -> Published {
        self.published.borrow().clone()
    }

    /// Returns the ledger if it is certain to be the newest, because this voter leads under a
    /// lease. The lease is checked now, since a process that was stopped finds what it published
    /// before.
    pub fn newest_ledger(&self) -> Option<Arc<Ledger>> {
        let published = self.published();
        let holds = published
            .lease
            .is_some_and(|until| until > self.clock.now());
        holds.then_some(published.ledger)
    }

    /// Returns the number of voters.
    pub(super) fn voter_count(&self) -> usize {
        self.published.borrow().status.members.voters().count()
    }

    /// Returns the position of this node among the voters, 0 if it is none of them.
    pub(super) fn voter_position(&self) -> usize {
        let published = self.published.borrow();
        let status = &published.status;
        let position = status
            .members
            .voters()
            .position(|voter| *voter == status.node);
        position.unwrap_or_default()
    }

    /// Returns a receiver that is notified when the published state changes.
    pub fn watch(&self) -> watch::Receiver<Published> {
        self.published.clone()
    }

    /// Queues a message from another voter. One for another node, such as an earlier identity of
    /// this box, is ignored.
    pub fn receive(&self, envelope: Envelope) {
        if envelope.to != self.published.borrow().status.node {
            return;
        }
        self.links.learn(&envelope.from, envelope.address);
        // If the queue is full the message is lost, which the protocol tolerates.
        let _ = self.queue(raft::Input::Message(envelope.from, envelope.message));
    }

    /// Queues an input; returns `None` if the queue is full.
    fn queue(&self, input: raft::Input<Ledger>) -> Option<()> {
        let content = match &input {
            raft::Input::Message(_, message) => message.bytes(),
            raft::Input::Propose(_, command) => Ledger::command_bytes(command),
            _ => 0,
        };
        let share = self.memory.take(INPUT_BYTES + content)?;
        self.commands.try_send(Command::Input(input, share)).ok()
    }

    /// Commits a change, through the leader if that is another voter.
    pub async fn change(
        &self,
        change: change::Change,
        operator: name::Operator,
    ) -> Forwarded<change::Answer> {
        match self.change_here(change.clone(), operator.clone()).await {
            Forwarded::NotLeader => {
                self.links
                    .forward_change(self.leader(), change, operator)
                    .await
            }
            outcome => outcome,
        }
    }

    /// Commits a change if this voter leads.
    pub async fn change_here(
        &self,
        change: change::Change,
        operator: name::Operator,
    ) -> Forwarded<change::Answer> {
        let published = self.published();
        if let Some(answer) = published.ledger.previous_answer(&change, &operator) {
            return Forwarded::Answer(answer);
        }
        let command = ledger::Command::Change(ledger::Proposal {
            change,
            operator,
            at_unix_ms: control::unix_ms(),
        });
        self.propose(command).await
    }

    /// Commits a command if this voter leads.
    pub(super) async fn propose(&self, command: ledger::Command) -> Forwarded<change::Answer> {
        match self
            .ask(|ticket| raft::Input::Propose(ticket, command))
            .await
        {
            raft::Outcome::Applied(answer) => Forwarded::Answer(answer),
            raft::Outcome::NotLeader(_) => Forwarded::NotLeader,
            raft::Outcome::Unknown => Forwarded::Unknown,
            raft::Outcome::Refused(why) => Forwarded::Refused(why),
        }
    }

    /// Commits a routing, through the leader if that is another voter.
    pub async fn publish(&self, publication: ledger::Publication) -> Forwarded<change::Answer> {
        match self.publish_here(publication.clone()).await {
            Forwarded::NotLeader => {
                let forwarded = self.links.forward_publication(self.leader(), publication);
                forwarded.await
            }
            outcome => outcome,
        }
    }

    /// Commits a routing if this voter leads.
    pub async fn publish_here(
        &self,
        publication: ledger::Publication,
    ) -> Forwarded<change::Answer> {
        self.propose(ledger::Command::Publish(publication)).await
    }

    /// Commits the departure of an endpoint, through the leader if that is another voter.
    pub async fn depart(&self, departure: departure::Departure) -> Forwarded<change::Answer> {
        match self.depart_here(departure.clone()).await {
            Forwarded::NotLeader => {
                let forwarded = self.links.forward_departure(self.leader(), departure);
                forwarded.await
            }
            outcome => outcome,
        }
    }

    /// Commits the departure of an endpoint if this voter leads.
    pub async fn depart_here(&self, departure: departure::Departure) -> Forwarded<change::Answer> {
        let ledger = self.published().ledger;
        if ledger.departures().includes(&departure) {
            let revision = ledger.revision();
            return Forwarded::Answer(change::Answer::Accepted { revision });
        }
        self.propose(ledger::Command::Depart(departure)).await
    }

    /// Returns the text of the current routing as the leader has it.
    pub async fn read(&self) -> Forwarded<Option<Arc<str>>> {
        match self.read_here() {
            Forwarded::NotLeader => self.links.forward_read(self.leader()).await,
            outcome => outcome,
        }
    }

    /// Returns the text of the current routing if this voter leads under a valid lease.
    pub fn read_here(&self) -> Forwarded<Option<Arc<str>>> {
        match self.newest_ledger() {
            Some(ledger) => Forwarded::Answer(ledger.routing_source().cloned()),
            None => Forwarded::NotLeader,
        }
    }

    /// Starts to add a node to the members if this voter leads; otherwise returns the leader's
    /// address, if it is known.
    pub fn join(&self, node: raft::Node, address: SocketAddr) -> Option<SocketAddr> {
        let status = self.published.borrow().status.clone();
        if status.leader.as_ref() == Some(&status.node) {
            self.links.learn(&node, address);
            let _ = self.queue(raft::Input::Join(node, address));
            return None;
        }
        let leader = status.leader?;
        let mut addresses = status.members.addresses();
        addresses.find(|(n, _)| **n == leader).map(|(_, a)| *a)
    }

    /// Commits a membership change, through the leader if that is another voter.
    pub async fn change_members(&self, request: raft::MembersRequest) -> Forwarded<()> {
        match self.change_members_here(request.clone()).await {
            Forwarded::NotLeader => self.links.forward_members(self.leader(), request).await,
            outcome => outcome,
        }
    }

    /// Commits a membership change if this voter leads.
    pub async fn change_members_here(&self, request: raft::MembersRequest) -> Forwarded<()> {
        match self
            .ask(|ticket| raft::Input::Members(ticket, request))
            .await
        {
            // A committed membership change is reported as a refusal without a reason, since its
            // entry has no answer.
            raft::Outcome::Refused(why) if why.is_empty() => Forwarded::Answer(()),
            raft::Outcome::Applied(_) => Forwarded::Answer(()),
            raft::Outcome::NotLeader(_) => Forwarded::NotLeader,
            raft::Outcome::Unknown => Forwarded::Unknown,
            raft::Outcome::Refused(why) => Forwarded::Refused(why),
        }
    }

    /// Returns the node that this voter considers the leader.
    pub(super) fn leader(&self) -> Option<raft::Node> {
        self.published.borrow().status.leader.clone()
    }

    /// Queues an input with a new ticket, and waits for its outcome.
    async fn ask(&self, input: impl FnOnce(raft::Ticket) -> raft::Input<Ledger>) -> Outcome {
        let ticket = raft::Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiters).insert(ticket, sender);
        if self.queue(input(ticket)).is_none() {
            lock(&self.waiters).remove(&ticket);
            return raft::Outcome::Refused("the voter is overloaded; try again".into());
        }
        let outcome = tokio::time::timeout(control::PROPOSAL_TIMEOUT, receiver).await;
        lock(&self.waiters).remove(&ticket);
        match outcome {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => raft::Outcome::Unknown,
        }
    }

    /// Transfers the leadership, if this voter leads, and stops the thread.
    pub async fn leave(&mut self) {
        let (sender, receiver) = oneshot::channel();
        if self.commands.try_send(Command::Stop(sender)).is_ok() {
            let _ = tokio::time::timeout(control::PROPOSAL_TIMEOUT, receiver).await;
        }
        // Gives the links time to send the messages that are still queued.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// What a voter starts from.
#[derive(Debug)]
pub(super) struct Stored {
    /// The journal.
    pub(super) writer: Writer,
    /// Measures the writes to the data folder.
    pub(super) monitor: latency::Monitor<clock::System>,
}

/// Starts a voter's thread from what is stored. The receiver yields the reason if the thread fails.
pub(super) fn start(
    settings: &control::Settings,
    node: raft::Node,
    stored: Stored,
    feed: Arc<feed::Feed>,
    clock: clock::System,
    log: slog::Logger,
) -> (Handle, oneshot::Receiver<String>) {
    let (commands, receiver) = mpsc::sync_channel(4096);
    let (fail, failed) = oneshot::channel();
    let persisted = stored.writer.persisted().clone();
    let voter = raft::Voter::new(
        settings.raft.clone(),
        node,
        persisted,
        rand::random(),
        clock.now(),
    );
    let first = Published {
        status: voter.status(),
        ledger: Arc::new(voter.state().clone()),
        lease: None,
        is_caught_up: false,
    };
    let (publish, published) = watch::channel(first);
    let waiters = Waiters::default();
    let links = link::Links::new(settings.listen, log.clone());
    let handle = Handle {
        commands,
        memory: memory::Budget::new(MAX_QUEUED_BYTES),
        published,
        waiters: waiters.clone(),
        tickets: Arc::default(),
        links: links.clone(),
        clock,
    };
    let thread = Thread {
        voter,
        settings: settings.clone(),
        writer: Some(stored.writer),
        monitor: stored.monitor,
        feed,
        clock,
        log,
        publish,
        waiters,
        links,
        was_leader: false,
    };
    std::thread::spawn(move || {
        if let Err(error) = thread.run(&receiver) {
            let _ = fail.send(error.to_string());
        }
    });
    (handle, failed)
}

/// Opens the journal again after its disk failed.
fn reopen(
    path: &Path,
    monitor: &latency::Monitor<clock::System>,
) -> Result<Writer, journal::Error> {
    let folder = folder::Folder::open(path)?;
    let opened = journal::Journal::open(latency::Media::new(folder, monitor.clone()))?;
    Ok(journal::Writer::new(opened.journal, opened.persisted))
}

/// The state of the thread.
struct Thread {
    voter: raft::Voter<Ledger>,
    settings: control::Settings,
    /// The journal, or `None` while its disk can't be used.
    writer: Option<Writer>,
    monitor: latency::Monitor<clock::System>,
    feed: Arc<feed::Feed>,
    clock: clock::System,
    log: slog::Logger,
    publish: watch::Sender<Published>,
    waiters: Waiters,
    links: link::Links,
    /// Whether this voter led after the previous step.
    was_leader: bool,
}

impl Thread {
    fn run(mut self, commands: &mpsc::Receiver<Command>) -> Result<(), journal::Error> {
        let mut ticked_at = Duration::ZERO;
        loop {
            let mut output = raft::Output::default();
            let mut stop = None;
            let first = commands.recv_timeout(TICK_PERIOD);
            if matches!(first, Err(mpsc::RecvTimeoutError::Disconnected)) {
                return Ok(());
            }
            for command in first.into_iter().chain(commands.try_iter()).take(MAX_BATCH) {
                match command {
                    Command::Input(input, _share) => {
                        output.merge(self.voter.step(input, self.clock.now()));
                    }
                    Command::Stop(sender) => stop = Some(sender),
                }
            }
            if stop.is_some() {
                output.merge(self.voter.step(raft::Input::Stop, self.clock.now()));
            }
            if self.clock.now() >= ticked_at + TICK_PERIOD {
                ticked_at = self.clock.now();
                output.merge(self.voter.step(raft::Input::Tick, ticked_at));
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

    /// Recovers from a failed write: the voter does not take part until its disk can be used
    /// again, then restarts from what is stored there. Returns false if the process stops first.
    fn recover(&mut self, commands: &mpsc::Receiver<Command>) -> bool {
        self.writer = None;
        lock(&self.waiters).clear();
        self.publish.send_modify(|published| {
            published.status.leader = None;
            published.lease = None;
            published.is_caught_up = false;
        });
        loop {
            let until = self.clock.now() + REOPEN_PERIOD;
            loop {
                let left = until.saturating_sub(self.clock.now());
                match commands.recv_timeout(left) {
                    Ok(Command::Stop(sender)) => {
                        let _ = sender.send(());
                        return false;
                    }
                    // Messages may be lost, and the caller of a proposal is told that its outcome
                    // is unknown.
                    Ok(Command::Input(input, _share)) => self.drop_input(&input),
                    Err(mpsc::RecvTimeoutError::Timeout) => break,
                    Err(mpsc::RecvTimeoutError::Disconnected) => return false,
                }
            }
            if let Ok(writer) = reopen(&self.settings.data, &self.monitor) {
                self.restart(writer);
                return true;
            }
        }
    }

    /// Drops an input; the waiter of a proposal sees its channel close.
    fn drop_input(&self, input: &raft::Input<Ledger>) {
        if let raft::Input::Propose(ticket, _) | raft::Input::Members(ticket, _) = input {
            lock(&self.waiters).remove(ticket);
        }
    }

    /// Replaces the voter by one that starts from the stored state.
    fn restart(&mut self, writer: Writer) {
        let node = self.voter.node().clone();
        let persisted = writer.persisted().clone();
        let settings = self.settings.raft.clone();
        self.voter = raft::Voter::new(settings, node, persisted, rand::random(), self.clock.now());
        event!(self.log, StoreRecovered, "bytes" => writer.journal().len());
        self.writer = Some(writer);
    }

    /// Carries out the effects of steps: first the durable writes, then the messages and answers
    /// that depend on them.
    fn carry_out(&mut self, output: raft::Output<Ledger>) -> Result<(), journal::Error> {
        if let Some(writer) = &mut self.writer {
            if writer.write(output.writes)? {
                event!(self.log, StoreCompacted, "bytes" => writer.journal().len());
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

    /// Publishes the voter's state, and logs changes of the leadership and the membership.
    fn publish(&mut self) {
        let status = self.voter.status();
        let lease = self.voter.lease();
        let is_caught_up = self.voter.is_caught_up();
        if self.was_leader != self.voter.is_leader() {
            self.was_leader = self.voter.is_leader();
            if self.was_leader {
                event!(self.log, BecameLeader, "term" => %status.term);
            } else {
                event!(self.log, LostLead, "term" => %status.term);
            }
        }
        let voter = &self.voter;
        let log = &self.log;
        self.publish.send_if_modified(|published| {
            let has_new_commits = published.status.committed != status.committed;
            let changed = published.status != status
                || published.lease != lease
                || published.is_caught_up != is_caught_up;
            if published.status.members != status.members {
                event!(log, VoterChanged, "voters" => status.members.voters().count(),
                    "learners" => status.members.learners().count());
            }
            if has_new_commits {
                published.ledger = Arc::new(voter.state().clone());
            }
            published.status = status;
            published.lease = lease;
            published.is_caught_up = is_caught_up;
            changed
        });
        self.publish_feed();
    }

    /// Publishes committed configurations in the feed, once a leader has said what is committed.
    /// Before that, the journal may lack entries that were acknowledged, and may hold others that
    /// were not.
    fn publish_feed(&self) {
        let ledger = self.voter.state();
        let published = self.feed.current().revision;
        if !self.voter.is_caught_up() || ledger.revision() <= published {
            return;
        }
        match ledger.steps_since(published) {
            Some(newer) if published.0 > 0 => {
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
