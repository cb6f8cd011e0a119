//! Bounded cache of classes by text.

use std::collections::HashMap;
use std::num::NonZeroUsize;

use ahash::RandomState;

use crate::class::{Class, classify};
use crate::fingerprint::hash;

/// Longest text that is kept; longer ones are rare and would dominate the memory of the cache.
pub const TEXT_MAX: usize = 8 * 1024;

#[derive(Debug)]
struct Slot {
    hash: u64,
    text: Box<str>,
    class: Class,
    /// Set at each hit, cleared when the hand passes.
    used: bool,
}

/// Classes by text, evicted by the CLOCK rule.
#[derive(Debug)]
pub struct Cache {
    /// Invariant: maps the hash of each slot's text to the slot, and nothing else.
    index: HashMap<u64, usize, RandomState>,
    /// Invariant: at most `capacity` slots.
    slots: Vec<Slot>,
    capacity: usize,
    hand: usize,
    /// Class of the last text that was not kept.
    passing: Option<Class>,
}

impl Cache {
    /// An empty cache of at most `capacity` texts.
    #[must_use]
    pub fn new(capacity: NonZeroUsize) -> Self {
        Self {
            index: HashMap::default(),
            slots: Vec::new(),
            capacity: capacity.get(),
            hand: 0,
            passing: None,
        }
    }

    /// Number of texts kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// No text is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The class of `text`; a text that is kept costs one hash lookup.
    pub fn classify(&mut self, text: &str) -> &Class {
        if text.len() > TEXT_MAX {
            return self.passing.insert(classify(text));
        }
        let hash = hash(text);
        let at = match self.index.get(&hash) {
            Some(&at) if *self.slots[at].text == *text => at,
            // Another text with an equal hash gives up its slot.
            Some(&at) => self.store(Some(at), hash, text),
            None => self.store(None, hash, text),
        };
        let slot = &mut self.slots[at];
        slot.used = true;
        &slot.class
    }

    fn store(&mut self, at: Option<usize>, hash: u64, text: &str) -> usize {
        let slot = Slot {
            hash,
            text: text.into(),
            class: classify(text),
            used: false,
        };
        let at = match at {
            Some(at) => at,
            None if self.slots.len() < self.capacity => {
                self.slots.push(slot);
                self.index.insert(hash, self.slots.len() - 1);
                return self.slots.len() - 1;
            }
            None => self.evict(),
        };
        self.slots[at] = slot;
        self.index.insert(hash, at);
        at
    }

    /// Frees the first slot that was not used since the hand last passed it.
    fn evict(&mut self) -> usize {
        loop {
            let at = self.hand;
            self.hand = (at + 1) % self.slots.len();
            if !std::mem::take(&mut self.slots[at].used) {
                self.index.remove(&self.slots[at].hash);
                return at;
            }
        }
    }
}
