//! Bytes in blocks of bounded size, within a permit for their memory.
//!
//! Large buffers that grow are copied again and again, and leave gaps in the heap that no permit covers. Blocks of
//! like sizes are reused.

use std::{collections::VecDeque, sync::Arc};

use bytes::{Bytes, BytesMut};

use crate::ops::entry::buffer::{Account, Full, Held, Permit};

/// The size of the first block.
const MIN_BLOCK_BYTES: usize = 1 << 10;
/// The size of a block of much data.
const MAX_BLOCK_BYTES: usize = 16 << 10;

/// Data that grows at its end and is taken from its beginning.
#[derive(Debug)]
pub(super) struct Rope {
    blocks: VecDeque<BytesMut>,
    len: usize,
    account: Arc<Account>,
    /// The permit for the capacity of all blocks.
    permit: Permit,
}

impl Rope {
    pub(super) fn new(account: &Arc<Account>) -> Self {
        Self {
            blocks: VecDeque::new(),
            len: 0,
            account: account.clone(),
            permit: account.permit(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether it holds nothing but white space.
    pub(super) fn is_blank(&self) -> bool {
        let mut blocks = self.blocks.iter();
        blocks.all(|block| block.iter().all(u8::is_ascii_whitespace))
    }

    /// Returns whether the account holds nothing else.
    pub(super) fn is_all(&self) -> bool {
        self.permit.is_all()
    }

    /// Adds data, if there is memory.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), Full> {
        let spare = |block: &BytesMut| block.capacity() - block.len();
        let fits = self.blocks.back().map_or(0, spare).min(data.len());
        let (begin, rest) = data.split_at(fits);
        let size = (self.len + rest.len()).next_power_of_two();
        let size = size.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        self.permit.grow(rest.len().div_ceil(size) * size)?;
        if let Some(last) = self.blocks.back_mut() {
            last.extend_from_slice(begin);
        }
        for part in rest.chunks(size) {
            let mut block = BytesMut::with_capacity(size);
            block.extend_from_slice(part);
            self.blocks.push_back(block);
        }
        self.len += data.len();
        Ok(())
    }

    /// Returns all data in its blocks, and the permit for their memory.
    pub(super) fn into_blocks(self) -> (Vec<Bytes>, Permit) {
        let blocks = self.blocks.into_iter().map(BytesMut::freeze);
        (blocks.collect(), self.permit)
    }

    /// Takes the first `count` bytes, or all if there are fewer.
    pub(super) fn take(&mut self, count: usize) -> Held {
        let count = count.min(self.len);
        self.len -= count;
        let (mut blocks, mut taken, mut permit) = (VecDeque::new(), 0, self.account.permit());
        while taken < count {
            let (block, more) = self.take_from_first(count - taken);
            taken += block.len();
            blocks.push_back(block);
            permit.join(more);
        }
        Held::new(blocks, permit)
    }

    /// Takes `count` bytes of the first block, or all if there are fewer.
    fn take_from_first(&mut self, count: usize) -> (Bytes, Permit) {
        let Some(first) = self.blocks.front_mut() else {
            return (Bytes::new(), self.account.permit());
        };
        let taken = first.split_to(count.min(first.len())).freeze();
        let permit = self.permit.split(taken.len());
        if first.is_empty() {
            let spare = first.capacity();
            if spare == 0 || self.blocks.len() > 1 {
                self.blocks.pop_front();
                drop(self.permit.split(spare));
            }
        }
        (taken, permit)
    }

    /// Logs that the data is given up, since it can't grow by a number of bytes.
    pub(super) fn log_overlong(&self, bytes: usize) {
        self.permit.log_overlong(bytes);
    }
}
