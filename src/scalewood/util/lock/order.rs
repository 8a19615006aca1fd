//! Detection of inconsistent lock orders.
//!
//! Two threads that take two locks in opposite orders deadlock, but only if they do so at the same
//! moment. This module records each order in which locks were ever taken in this process, so the
//! first opposite order is found even if no other thread runs. Locks are identified by the type of
//! the data that they protect; two locks of the same type have no order.

use std::{
    any,
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, PoisonError},
};

use crate::core::invariant;

/// The name of the type that a lock protects.
type Name = &'static str;

/// For each lock, the locks that were ever taken while it was held.
static TAKEN_UNDER: Mutex<BTreeMap<Name, BTreeSet<Name>>> = Mutex::new(BTreeMap::new());

thread_local! {
    /// The locks that this thread holds.
    static HELD: RefCell<Vec<Name>> = const { RefCell::new(Vec::new()) };
}

/// A lock that this thread holds or is about to take.
#[derive(Debug)]
pub(super) struct Held(Name);

impl Held {
    /// Records that this thread is about to take the lock of a `T`, and checks the order against
    /// all that were recorded before.
    #[track_caller]
    pub(super) fn new<T>() -> Self {
        let name = any::type_name::<T>();
        let before = HELD.with_borrow(Clone::clone);
        for held in before.into_iter().filter(|held| *held != name) {
            let is_opposite = record_order(held, name);
            invariant::check(!is_opposite, invariant::Rule::LockOrder, || {
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

/// Records that the lock `name` is taken while `held` is held. Returns whether the opposite order
/// was recorded before, directly or through other locks; false if this order is not new.
fn record_order(held: Name, name: Name) -> bool {
    let mut after = TAKEN_UNDER.lock().unwrap_or_else(PoisonError::into_inner);
    let is_new = after.entry(held).or_default().insert(name);
    is_new && reaches(&after, name, held, &mut BTreeSet::new())
}

/// Returns whether `to` was taken under `from`, directly or through locks not yet in `seen`.
fn reaches(
    after: &BTreeMap<Name, BTreeSet<Name>>,
    from: Name,
    to: Name,
    seen: &mut BTreeSet<Name>,
) -> bool {
    let next = after.get(from).into_iter().flatten();
    next.into_iter()
        .any(|name| *name == to || (seen.insert(name) && reaches(after, name, to, seen)))
}
