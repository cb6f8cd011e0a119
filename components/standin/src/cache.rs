//! Parsed statements by text.

use std::collections::HashMap;

use crate::failure::Outcome;
use crate::parse;
use crate::plan::Plan;

/// Most texts and bytes of text that are kept; reaching either empties the cache.
const MAX_TEXTS: usize = 4096;
const MAX_BYTES: usize = 16 << 20;

/// Bounded cache of parsed scripts.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    scripts: HashMap<String, Vec<Plan>>,
    bytes: usize,
}

impl Cache {
    pub(crate) fn script(&mut self, text: &str) -> Outcome<&[Plan]> {
        if !self.scripts.contains_key(text) {
            let plans = parse::script(text)?;
            if self.scripts.len() >= MAX_TEXTS || self.bytes + text.len() > MAX_BYTES {
                self.scripts.clear();
                self.bytes = 0;
            }
            self.bytes += text.len();
            self.scripts.insert(text.to_owned(), plans);
        }
        Ok(self.scripts.get(text).map_or(&[], Vec::as_slice))
    }
}
