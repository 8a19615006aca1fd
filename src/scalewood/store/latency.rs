//! How long operations on a data folder take, including those that have not ended.
//!
//! An operation that hangs blocks its thread, so that nothing would tell of it until it ends. It is
//! therefore noted before it begins, and another thread asks for what takes long.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, histogram::Histogram},
};

use crate::{
    store::media,
    util::{clock::Clock, lock::lock},
};

/// The duration from which on an operation is reported. While it goes on, it is reported again
/// each time its duration has doubled.
pub const THRESHOLD: Duration = Duration::from_secs(1);
/// The shortest interval between the first notices of two operations; those between are counted.
pub const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// The bucket bounds of the histogram of durations, in seconds.
const BUCKETS_SECONDS: [f64; 10] = [0.001, 0.005, 0.01, 0.025, 0.1, 0.25, 1.0, 2.5, 10.0, 30.0];

/// An operation on a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Bytes are appended.
    Write,
    /// Appended bytes are made durable.
    Sync,
    /// The file is written anew, synced and renamed.
    Replace,
}

impl Operation {
    /// Returns the operation's name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Operation::Write => "write",
            Operation::Sync => "sync",
            Operation::Replace => "replace",
        }
    }
}

/// The label of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OperationLabel {
    /// The operation's name.
    pub operation: &'static str,
}

/// The durations of operations that have ended, in seconds.
pub type Seconds = Family<OperationLabel, Histogram, fn() -> Histogram>;

/// Returns an empty histogram of durations.
fn duration_histogram() -> Histogram {
    Histogram::new(BUCKETS_SECONDS)
}

/// A notice of an operation that takes or took long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The file's name.
    pub file: String,
    /// The operation.
    pub operation: Operation,
    /// How long it took, or has taken until now.
    pub duration: Duration,
    /// Whether it has ended.
    pub has_ended: bool,
    /// The number of other operations that took long since the notice before and got none.
    pub untold: u64,
}

/// An operation that has not ended.
#[derive(Debug)]
struct Running {
    id: u64,
    file: String,
    operation: Operation,
    begun: Duration,
    /// The duration from which on the next notice is due.
    due: Duration,
    /// Whether there was a notice of it.
    is_told: bool,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    running: Vec<Running>,
    /// The notices of operations that have ended.
    ended: Vec<Notice>,
    /// When an operation got its first notice last.
    told_at: Option<Duration>,
    untold: u64,
}

impl State {
    /// Returns whether an operation may get its first notice now.
    fn may_tell(&self, now: Duration) -> bool {
        self.told_at.is_none_or(|at| now >= at + MIN_INTERVAL)
    }
}

/// Measures the operations on one data folder.
#[derive(Clone, Debug)]
pub struct Monitor<C> {
    clock: C,
    state: Arc<Mutex<State>>,
    seconds: Seconds,
}

impl<C: Clock> Monitor<C> {
    /// Returns a monitor that measures by this clock.
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            state: Arc::default(),
            seconds: Family::new_with_constructor(duration_histogram),
        }
    }

    /// Returns the durations of operations that have ended.
    pub fn seconds(&self) -> &Seconds {
        &self.seconds
    }

    /// Carries out an operation on a file and measures it.
    pub fn measure<T>(&self, file: &str, operation: Operation, carry_out: impl FnOnce() -> T) -> T {
        let _running = self.begin(file, operation);
        carry_out()
    }

    /// Notes that an operation begins; it ends when the guard is dropped.
    fn begin(&self, file: &str, operation: Operation) -> Guard<'_, C> {
        let begun = self.clock.now();
        let mut state = lock(&self.state);
        let id = state.next_id;
        state.next_id += 1;
        state.running.push(Running {
            id,
            file: file.to_owned(),
            operation,
            begun,
            due: THRESHOLD,
            is_told: false,
        });
        Guard { monitor: self, id }
    }

    /// Notes that an operation has ended.
    fn end(&self, id: u64) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let Some(at) = state.running.iter().position(|running| running.id == id) else {
            return;
        };
        let running = state.running.swap_remove(at);
        let duration = now.saturating_sub(running.begun);
        let label = OperationLabel {
            operation: running.operation.as_str(),
        };
        self.seconds
            .get_or_create(&label)
            .observe(duration.as_secs_f64());
        if duration < THRESHOLD {
            return;
        }
        if !running.is_told {
            if !state.may_tell(now) {
                state.untold += 1;
                return;
            }
            state.told_at = Some(now);
        }
        let notice = Notice {
            file: running.file,
            operation: running.operation,
            duration,
            has_ended: true,
            untold: std::mem::take(&mut state.untold),
        };
        state.ended.push(notice);
    }

    /// Returns for how long the oldest operation that has not ended has been under way.
    pub fn under_way(&self) -> Duration {
        let now = self.clock.now();
        let state = lock(&self.state);
        let begun = state.running.iter().map(|running| running.begun).min();
        begun.map_or(Duration::ZERO, |begun| now.saturating_sub(begun))
    }

    /// Takes the notices that are due.
    pub fn notices(&self) -> Vec<Notice> {
        let now = self.clock.now();
        let mut guard = lock(&self.state);
        let state = &mut *guard;
        let mut notices = std::mem::take(&mut state.ended);
        for at in 0..state.running.len() {
            let may_tell = state.may_tell(now);
            let running = &mut state.running[at];
            let duration = now.saturating_sub(running.begun);
            if duration < running.due || !(running.is_told || may_tell) {
                continue;
            }
            if !running.is_told {
                state.told_at = Some(now);
            }
            running.is_told = true;
            running.due = 2 * duration;
            notices.push(Notice {
                file: running.file.clone(),
                operation: running.operation,
                duration,
                has_ended: false,
                untold: std::mem::take(&mut state.untold),
            });
        }
        notices
    }
}

/// Ends the measurement of an operation on drop.
#[derive(Debug)]
struct Guard<'a, C: Clock> {
    monitor: &'a Monitor<C>,
    id: u64,
}

impl<C: Clock> Drop for Guard<'_, C> {
    fn drop(&mut self) {
        self.monitor.end(self.id);
    }
}

/// Files whose writes are measured.
#[derive(Debug)]
pub struct Media<M, C> {
    inner: M,
    monitor: Monitor<C>,
}

impl<M, C> Media<M, C> {
    /// Returns the files with a monitor that measures their writes.
    pub fn new(inner: M, monitor: Monitor<C>) -> Self {
        Self { inner, monitor }
    }
}

impl<M: media::Media, C: Clock> media::Media for Media<M, C> {
    type Reader = M::Reader;

    fn open(&self, name: &str) -> io::Result<Option<M::Reader>> {
        self.inner.open(name)
    }

    fn length(&self, name: &str) -> io::Result<Option<u64>> {
        self.inner.length(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let _running = self.monitor.begin(name, Operation::Write);
        self.inner.append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let _running = self.monitor.begin(name, Operation::Sync);
        self.inner.sync(name)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let _running = self.monitor.begin(name, Operation::Write);
        self.inner.truncate(name, length)
    }

    fn replace_by(
        &mut self,
        name: &str,
        parts: impl Iterator<Item = io::Result<Vec<u8>>>,
    ) -> io::Result<()> {
        let _running = self.monitor.begin(name, Operation::Replace);
        self.inner.replace_by(name, parts)
    }
}
