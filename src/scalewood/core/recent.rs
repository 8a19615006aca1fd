//! A queue of the most recent items, bounded by their number and by their size.

use std::{collections::VecDeque, sync::Arc};

use serde::{de::DeserializeOwned, Deserialize, Deserializer, Serialize, Serializer};

use crate::core::json;

/// The most recent items: at most `MAX_ITEMS`, of at most `MAX_BYTES` as JSON. The newest is always
/// kept. Items are shared, so a clone is cheap.
#[derive(Clone, Debug)]
pub struct Recent<T, const MAX_ITEMS: usize, const MAX_BYTES: usize> {
    /// The items with their sizes, the oldest first.
    items: VecDeque<(Arc<T>, usize)>,
    bytes: usize,
}

impl<T, const MAX_ITEMS: usize, const MAX_BYTES: usize> Default
    for Recent<T, MAX_ITEMS, MAX_BYTES>
{
    fn default() -> Self {
        Self {
            items: VecDeque::new(),
            bytes: 0,
        }
    }
}

impl<T: Serialize, const MAX_ITEMS: usize, const MAX_BYTES: usize> Recent<T, MAX_ITEMS, MAX_BYTES> {
    /// Adds an item, and drops the oldest ones over the limits.
    pub fn push(&mut self, item: T) {
        let bytes = json::size(&item);
        self.items.push_back((Arc::new(item), bytes));
        self.bytes += bytes;
        while self.items.len() > 1 && (self.items.len() > MAX_ITEMS || self.bytes > MAX_BYTES) {
            if let Some((_, bytes)) = self.items.pop_front() {
                self.bytes -= bytes;
            }
        }
    }

    /// Returns the items, the oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Arc<T>> {
        self.items.iter().map(|(item, _)| item)
    }

    /// Returns the size of all items as JSON, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl<T: Serialize, const MAX_ITEMS: usize, const MAX_BYTES: usize> Serialize
    for Recent<T, MAX_ITEMS, MAX_BYTES>
{
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}

impl<'de, T: Serialize + DeserializeOwned, const MAX_ITEMS: usize, const MAX_BYTES: usize>
    Deserialize<'de> for Recent<T, MAX_ITEMS, MAX_BYTES>
{
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut recent = Self::default();
        Vec::deserialize(deserializer)?
            .into_iter()
            .for_each(|item| recent.push(item));
        Ok(recent)
    }
}
