//! Locks that outlive a panic, and state in shards.
//!
//! A panic while a lock is held means a broken invariant in one request or
//! controller; the others go on with the state as it is.
//!
//! Debug builds check that no two threads can wait for each other.

use std::{
    collections::HashMap,
    hash::{BuildHasher, Hash, RandomState},
    ops::{Deref, DerefMut},
    sync::{Mutex, MutexGuard, PoisonError},
};

#[cfg(debug_assertions)]
mod order;

/// What a mutex holds, while it is locked.
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

/// Locks a mutex, also after a panic elsewhere.
///
/// # Panics
///
/// Panics in debug builds if another thread may hold it and wait for one that this thread holds.
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

/// Shards of a map; enough that a few threads seldom meet.
const SHARDS: usize = 32;

/// A map in shards, each under its own lock.
#[derive(Debug)]
pub struct Sharded<K, V> {
    shards: Vec<Mutex<HashMap<K, V>>>,
    hasher: RandomState,
}

impl<K: Hash + Eq, V> Default for Sharded<K, V> {
    fn default() -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
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
        let index = self.hasher.hash_one(key) % SHARDS as u64;
        lock(&self.shards[index as usize])
    }

    /// Visits each shard in turn, under its lock.
    pub fn each(&self, mut visit: impl FnMut(&mut HashMap<K, V>)) {
        for shard in &self.shards {
            visit(&mut lock(shard));
        }
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
