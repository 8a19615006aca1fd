//! Locks that ignore poisoning, and maps in shards.
//!
//! A panic while a lock is held means that one request or controller broke an invariant; the
//! others continue with the state as it is.
//!
//! Debug builds check the order of locks, so that no two threads can deadlock.

use std::{
    collections::HashMap,
    hash::{BuildHasher, Hash, RandomState},
    ops::{Deref, DerefMut},
    sync::{Mutex, MutexGuard, PoisonError},
};

#[cfg(debug_assertions)]
mod order;

/// A guard that gives access to the data of a locked mutex.
#[derive(Debug)]
pub struct Guard<'a, T> {
    inner: MutexGuard<'a, T>,
    #[cfg(debug_assertions)]
    _held: order::Held,
}

impl<T> Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}

/// Locks a mutex, even if a thread has panicked while holding it.
///
/// # Panics
///
/// Panics in debug builds if the lock was ever taken in the opposite order to a lock that this
/// thread holds, which could deadlock.
#[track_caller]
pub fn lock<T>(mutex: &Mutex<T>) -> Guard<'_, T> {
    #[cfg(debug_assertions)]
    let held = order::Held::new::<T>();
    Guard {
        inner: mutex.lock().unwrap_or_else(PoisonError::into_inner),
        #[cfg(debug_assertions)]
        _held: held,
    }
}

/// The number of shards of a map, so that a few threads rarely contend for one.
const SHARD_COUNT: usize = 32;

/// A hash map that is split into shards with a lock each.
#[derive(Debug)]
pub struct Sharded<K, V> {
    shards: Vec<Mutex<HashMap<K, V>>>,
    hasher: RandomState,
}

impl<K: Hash + Eq, V> Default for Sharded<K, V> {
    fn default() -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self {
            shards,
            hasher: RandomState::new(),
        }
    }
}

impl<K: Hash + Eq, V> Sharded<K, V> {
    /// Locks the shard that a key belongs to.
    pub fn shard(&self, key: &K) -> Guard<'_, HashMap<K, V>> {
        // The remainder is below the number of shards, so the cast is exact.
        let index = self.hasher.hash_one(key) % SHARD_COUNT as u64;
        lock(&self.shards[index as usize])
    }

    /// Calls a function on each shard in turn, while that shard is locked.
    pub fn for_each(&self, mut visit: impl FnMut(&mut HashMap<K, V>)) {
        for shard in &self.shards {
            visit(&mut lock(shard));
        }
    }

    /// Returns the number of entries in all shards, which are counted one after another.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Returns whether all shards are empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
