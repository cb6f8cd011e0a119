//! Bounded cache of classifications by statement text.

use std::collections::HashMap;
use std::num::NonZeroUsize;

use ahash::RandomState;

use crate::classification::{Classification, classify};
use crate::fingerprint::hash;

/// Maximum size of a cached text. Longer ones are rare and would dominate the memory of the cache.
pub const MAX_TEXT_BYTES: usize = 8 * 1024;

#[derive(Debug)]
struct Slot {
    hash: u64,
    text: Box<str>,
    class: Classification,
    /// Set at each hit, cleared when the clock hand passes.
    recently_used: bool,
}

/// Cache of classifications by statement text, with CLOCK eviction.
#[derive(Debug)]
pub struct Cache {
    /// Invariant: contains exactly the hash of each slot's text, with the position of the slot.
    index: HashMap<u64, usize, RandomState>,
    /// Invariant: at most `capacity` slots.
    slots: Vec<Slot>,
    capacity: usize,
    clock_hand: usize,
    /// Classification of the last text that was too long for the cache.
    uncached: Option<Classification>,
}

impl Cache {
    /// Creates a cache of at most `capacity` texts.
    #[must_use]
    pub fn new(capacity: NonZeroUsize) -> Self {
        Self {
            index: HashMap::default(),
            slots: Vec::new(),
            capacity: capacity.get(),
            clock_hand: 0,
            uncached: None,
        }
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the classification of `text`, which costs one hash lookup if the text is cached.
    pub fn classify(&mut self, text: &str) -> &Classification {
        if text.len() > MAX_TEXT_BYTES {
            return self.uncached.insert(classify(text));
        }
        let hash = hash(text);
        let position = match self.index.get(&hash) {
            Some(&position) if *self.slots[position].text == *text => position,
            // A text with the same hash is replaced.
            Some(&position) => self.insert(Some(position), hash, text),
            None => self.insert(None, hash, text),
        };
        let slot = &mut self.slots[position];
        slot.recently_used = true;
        &slot.class
    }

    fn insert(&mut self, position: Option<usize>, hash: u64, text: &str) -> usize {
        let slot = Slot {
            hash,
            text: text.into(),
            class: classify(text),
            recently_used: false,
        };
        let position = match position {
            Some(position) => position,
            None if self.slots.len() < self.capacity => {
                self.slots.push(slot);
                self.index.insert(hash, self.slots.len() - 1);
                return self.slots.len() - 1;
            }
            None => self.evict(),
        };
        self.slots[position] = slot;
        self.index.insert(hash, position);
        position
    }

    /// Frees the first slot that was not used since the clock hand last passed it.
    fn evict(&mut self) -> usize {
        loop {
            let position = self.clock_hand;
            self.clock_hand = (position + 1) % self.slots.len();
            if !std::mem::take(&mut self.slots[position].recently_used) {
                self.index.remove(&self.slots[position].hash);
                return position;
            }
        }
    }
}
