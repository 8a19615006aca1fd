//! Divides the memory of a box between what it holds for callers and the rest of the process, and between the kinds
//! of what it holds for callers.

use std::sync::Arc;

use crate::{
    core::unit,
    ops::entry::{buffer::Budget, Limits},
};

/// The part of the process's memory for callers, as a fraction.
const CALLERS: (usize, usize) = (5, 8);
/// The most of the memory for callers that their connections take.
const CONNECTIONS: (usize, usize) = (1, 2);
/// The most of the memory for callers that bodies of requests and connections take together. What is left is for
/// the answers to these requests.
const ADMITTED: (usize, usize) = (7, 8);
/// The parts of the memory for request bodies that a legal body has to fit into: a model request is also held as it
/// is sent to the engine, and joined while it is read; and one message takes a half at most.
const PARTS_PER_BODY: usize = 6;

/// The memory for callers, by purpose.
#[derive(Clone, Debug)]
pub(super) struct Memory {
    /// For connections: their buffers and tasks.
    pub(super) connections: Arc<Budget>,
    /// For the bodies of requests.
    pub(super) bodies: Arc<Budget>,
    /// For endpoints' answers.
    pub(super) answers: Arc<Budget>,
}

impl Memory {
    pub(super) fn new(limits: &Limits, log: &slog::Logger) -> Self {
        let of_callers = part(limits.memory, CALLERS);
        let callers = Budget::new(of_callers, log.clone());
        let admitted = part(of_callers, ADMITTED);
        let reserve = unit::Size(of_callers.0 - admitted.0);
        Self {
            connections: callers.part(part(of_callers, CONNECTIONS), reserve),
            bodies: callers.part(admitted, reserve),
            answers: callers.part(limits.answer_memory, unit::Size(0)),
        }
    }
}

/// Returns the least memory of a process that accepts bodies of a size.
pub(super) fn least_for(max_body: unit::Size) -> unit::Size {
    let (callers, admitted) = (CALLERS, ADMITTED);
    let bodies = max_body.0.saturating_mul(PARTS_PER_BODY);
    let of_callers = bodies / admitted.0 * admitted.1;
    unit::Size(of_callers / callers.0 * callers.1)
}

fn part(size: unit::Size, (count, of): (usize, usize)) -> unit::Size {
    unit::Size(size.0 / of * count)
}
