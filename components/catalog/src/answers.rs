//! The first answer to each request id, returned again when a client resends the request.

use std::collections::{BTreeMap, VecDeque};

use crate::change::{Label, Outcome};

/// Answers kept. A request that is resent after this many later requests is treated as new.
pub const MAX_ANSWERS: usize = 10_000;

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Answer {
    /// CRC-32 of the answered command.
    pub digest: u32,
    pub outcome: Outcome,
}

/// The latest answers by request id.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Answers {
    by_request: BTreeMap<Label, Answer>,
    /// Invariant: the keys of `by_request`, oldest first.
    order: VecDeque<Label>,
}

impl Answers {
    pub fn get(&self, request: &Label) -> Option<&Answer> {
        self.by_request.get(request)
    }

    /// Adds the answer to `request` unless there is one already; drops the oldest beyond
    /// [`MAX_ANSWERS`].
    pub fn insert_first(&mut self, request: &Label, answer: Answer) {
        if self.by_request.contains_key(request) {
            return;
        }
        if self.order.len() == MAX_ANSWERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
        self.order.push_back(request.clone());
        self.by_request.insert(request.clone(), answer);
    }

    /// Answers, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (&Label, &Answer)> {
        self.order
            .iter()
            .filter_map(|request| self.by_request.get_key_value(request))
    }
}
