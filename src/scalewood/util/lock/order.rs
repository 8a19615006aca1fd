//! The order in which locks are taken.
//!
//! Two threads that take two locks in opposite orders wait for each other for ever, but only if
//! they do it in the same moment. Here each order that was ever taken in this process is noted, so that
//! the first opposite one is found, whether or not any other thread is about. Locks are told apart by
//! the type of what they hold; two of one type have no order.

use std::{
    any,
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, PoisonError},
};

use crate::core::invariant;

type Name = &'static str;

/// The locks that were ever taken while another one was held, by that one.
static AFTER: Mutex<BTreeMap<Name, BTreeSet<Name>>> = Mutex::new(BTreeMap::new());

thread_local! {
    /// The locks that this thread holds.
    static HELD: RefCell<Vec<Name>> = const { RefCell::new(Vec::new()) };
}

/// A lock that this thread holds or is about to take.
#[derive(Debug)]
pub(super) struct Held(Name);

impl Held {
    #[track_caller]
    pub(super) fn new<T>() -> Self {
        let name = any::type_name::<T>();
        let before = HELD.with_borrow(Clone::clone);
        for held in before.into_iter().filter(|held| *held != name) {
            let opposite = note(held, name);
            invariant::check(!opposite, invariant::Rule::LockOrder, || {
                format!("{name} is locked while {held} is, and elsewhere the other way round")
            });
        }
        HELD.with_borrow_mut(|held| held.push(name));
        Self(name)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        HELD.with_borrow_mut(|held| {
            if let Some(at) = held.iter().rposition(|name| *name == self.0) {
                held.remove(at);
            }
        });
    }
}

/// Notes that a lock is taken while another one is held; whether that one was ever taken after it,
/// directly or by way of others.
fn note(held: Name, name: Name) -> bool {
    let mut after = AFTER.lock().unwrap_or_else(PoisonError::into_inner);
    let is_new = after.entry(held).or_default().insert(name);
    is_new && leads(&after, name, held, &mut BTreeSet::new())
}

fn leads(
    after: &BTreeMap<Name, BTreeSet<Name>>,
    from: Name,
    to: Name,
    seen: &mut BTreeSet<Name>,
) -> bool {
    let next = after.get(from).into_iter().flatten();
    next.into_iter()
        .any(|name| *name == to || (seen.insert(name) && leads(after, name, to, seen)))
}
