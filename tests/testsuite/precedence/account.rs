//! What became of requests by class, and whether a class got nothing while larger, less urgent
//! requests began.

use std::{fmt, time::Duration};

/// The span that is looked at. Each span of that length counts.
const WINDOW: Duration = Duration::from_secs(5);
/// How far apart the spans that are looked at begin.
const STEP: Duration = Duration::from_millis(250);
/// From how many requests that got nothing on a span is broken, and which part of those that
/// were sent they have to be over.
const FEW: usize = 10;
const PART: usize = 12;
/// How many times as large as the mean of those that got nothing a request is that must not begin.
const LARGER: u64 = 2;

/// A request of a caller, with all its attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    /// Its class; the most urgent is 0.
    pub(crate) class: usize,
    /// When its first attempt was sent.
    pub(crate) at: Duration,
    /// Its size.
    pub(crate) tokens: u64,
    /// Whether it was answered in the end.
    pub(crate) served: bool,
}

/// A request that an endpoint began for the first time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Begun {
    /// Its class.
    pub(crate) class: usize,
    /// When.
    pub(crate) at: Duration,
    /// Its size.
    pub(crate) tokens: u64,
}

/// A span in which a class got nothing while larger, less urgent requests began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Breach {
    /// When it begins.
    pub(crate) from: Duration,
    /// The class.
    pub(crate) class: usize,
    /// Its requests that were sent in the span.
    pub(crate) sent: usize,
    /// Those that got nothing.
    pub(crate) lost: usize,
    /// The larger, less urgent ones that began in the span.
    pub(crate) begun: usize,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "of {} requests of class {} from {:.2?} on {} got nothing, while {} larger, less urgent \
             ones began",
            self.sent, self.class, self.from, self.lost, self.begun
        )
    }
}

/// All that was sent and begun.
#[derive(Debug, Default)]
pub(crate) struct Account {
    pub(crate) sent: Vec<Sent>,
    pub(crate) begun: Vec<Begun>,
}

impl Account {
    /// How many requests of a class were sent, and how many of them got nothing.
    pub(crate) fn losses(&self, class: usize) -> (usize, usize) {
        let of_class = self.sent.iter().filter(|sent| sent.class == class);
        let lost = of_class.clone().filter(|sent| !sent.served).count();
        (of_class.count(), lost)
    }

    /// All spans, a quarter of a second apart, that are broken.
    pub(crate) fn breaches(&self) -> Vec<Breach> {
        let end = self.sent.iter().map(|sent| sent.at).max();
        let classes = self.sent.iter().map(|sent| sent.class + 1).max();
        let mut breaches = Vec::new();
        let mut from = self.sent.iter().map(|s| s.at).min().unwrap_or_default();
        while Some(from + WINDOW) <= end {
            let broken = (0..classes.unwrap_or(0)).filter_map(|class| self.breach(class, from));
            breaches.extend(broken);
            from += STEP;
        }
        breaches
    }

    fn breach(&self, class: usize, from: Duration) -> Option<Breach> {
        let within = |at: Duration| at >= from && at < from + WINDOW;
        let sent = self.sent.iter();
        let sent: Vec<_> = sent.filter(|s| s.class == class && within(s.at)).collect();
        let lost: Vec<_> = sent.iter().filter(|sent| !sent.served).collect();
        if lost.len() < FEW || lost.len() * PART <= sent.len() {
            return None;
        }
        let mean = sent.iter().map(|sent| sent.tokens).sum::<u64>() / sent.len() as u64;
        let larger = |begun: &&Begun| begun.class > class && begun.tokens > mean * LARGER;
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
