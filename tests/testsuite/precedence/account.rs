//! The outcomes of requests by class, and the spans in which a class lost requests while larger,
//! less urgent ones began.

use std::{fmt, time::Duration};

/// The length of the spans that are checked.
const SPAN: Duration = Duration::from_secs(5);
/// The time between the beginnings of consecutive spans.
const SPAN_INTERVAL: Duration = Duration::from_millis(250);
/// The fewest lost requests of a class that make a span a breach.
const MIN_LOST: usize = 10;
/// The lost requests must be more than one in this many of those sent.
const SENT_PER_LOST: usize = 12;
/// A less urgent request must not begin if it is more than this many times as large as the mean of
/// the losing class's requests.
const MAX_SIZE_RATIO: u64 = 2;

/// A request of a caller, with all its attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    /// The index of its class; 0 is the most urgent one.
    pub(crate) class: usize,
    /// When its first attempt was sent.
    pub(crate) at: Duration,
    /// The size of its prompt, in tokens.
    pub(crate) tokens: u64,
    /// Whether any of its attempts was answered.
    pub(crate) served: bool,
}

/// The start of a request on an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Begun {
    /// The index of its class.
    pub(crate) class: usize,
    /// When it began.
    pub(crate) at: Duration,
    /// The size of its prompt, in tokens.
    pub(crate) tokens: u64,
}

/// A span in which a class lost requests while larger, less urgent ones began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Breach {
    /// The beginning of the span.
    pub(crate) from: Duration,
    /// The index of the class that lost requests.
    pub(crate) class: usize,
    /// The number of its requests that were sent in the span.
    pub(crate) sent: usize,
    /// The number of these that were not answered.
    pub(crate) lost: usize,
    /// The number of larger, less urgent requests that began in the span.
    pub(crate) begun: usize,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "of {} requests of class {} from {:.2?} on {} were not answered, while {} larger, \
             less urgent ones began",
            self.sent, self.class, self.from, self.lost, self.begun
        )
    }
}

/// All requests that were sent, and all that began.
#[derive(Debug, Default)]
pub(crate) struct Account {
    pub(crate) sent: Vec<Sent>,
    pub(crate) begun: Vec<Begun>,
}

impl Account {
    /// Returns how many requests of a class were sent, and how many of them were not answered.
    pub(crate) fn losses(&self, class: usize) -> (usize, usize) {
        let of_class = self.sent.iter().filter(|sent| sent.class == class);
        let lost = of_class.clone().filter(|sent| !sent.served).count();
        (of_class.count(), lost)
    }

    /// Returns the breaches among all spans, which begin 250 ms apart.
    pub(crate) fn breaches(&self) -> Vec<Breach> {
        let end = self.sent.iter().map(|sent| sent.at).max();
        let classes = self.sent.iter().map(|sent| sent.class + 1).max();
        let mut breaches = Vec::new();
        let mut from = self.sent.iter().map(|s| s.at).min().unwrap_or_default();
        while Some(from + SPAN) <= end {
            let broken = (0..classes.unwrap_or(0)).filter_map(|class| self.breach(class, from));
            breaches.extend(broken);
            from += SPAN_INTERVAL;
        }
        breaches
    }

    fn breach(&self, class: usize, from: Duration) -> Option<Breach> {
        let within = |at: Duration| at >= from && at < from + SPAN;
        let sent = self.sent.iter();
        let sent: Vec<_> = sent.filter(|s| s.class == class && within(s.at)).collect();
        let lost: Vec<_> = sent.iter().filter(|sent| !sent.served).collect();
        if lost.len() < MIN_LOST || lost.len() * SENT_PER_LOST <= sent.len() {
            return None;
        }
        let mean = sent.iter().map(|sent| sent.tokens).sum::<u64>() / sent.len() as u64;
        let larger = |begun: &&Begun| begun.class > class && begun.tokens > mean * MAX_SIZE_RATIO;
        let begun = self.begun.iter().filter(|begun| within(begun.at));
        let begun = begun.filter(larger).count();
        (begun > 0).then_some(Breach {
            from,
            class,
            sent: sent.len(),
            lost: lost.len(),
            begun,
        })
    }
}
