//! What the issuer knows of its contact to a holder.

use std::collections::VecDeque;

use clock::Moment;

use crate::message::{CHECK_INTERVAL, CONTACT_TIMEOUT, Claim, PROMPT_TIME};

/// Highest number of answers of which it is unknown whether they arrived. A holder sends a claim each
/// half second without answers, and its share has expired after half of these.
const MAX_UNCONFIRMED: usize = 64;

/// A holder that has sent a claim.
#[derive(Debug)]
pub struct Account {
    /// Number of its last claim.
    pub number: u64,
    pub heard_at: Moment,
    /// Arrival of the last claim whose answer has arrived in turn.
    confirmed_at: Option<Moment>,
    /// Numbers and arrivals of the claims since.
    answered: VecDeque<(u64, Moment)>,
    /// Whether it may spend its shares soon: no answer is known to have arrived.
    pub is_silent: bool,
    /// Whether it may have a share.
    pub has_share: bool,
}

impl Account {
    pub fn new(now: Moment) -> Self {
        Self {
            number: 0,
            heard_at: now,
            confirmed_at: None,
            answered: VecDeque::new(),
            is_silent: true,
            has_share: false,
        }
    }

    /// The account of the same proxy on another stream, on which it has sent nothing so far.
    pub fn successor(&self, now: Moment) -> Self {
        Self {
            heard_at: self.heard_at,
            has_share: self.has_share,
            ..Self::new(now)
        }
    }

    /// Records a claim: whether it is a new one.
    pub fn hear<T>(&mut self, now: Moment, claim: &Claim<T>) -> bool {
        self.heard_at = now;
        if claim.number <= self.number {
            return false;
        }
        self.number = claim.number;
        while let Some((number, at)) = self
            .answered
            .pop_front_if(|first| first.0 <= claim.received)
        {
            if number == claim.received {
                self.confirmed_at = Some(at);
            }
        }
        if self.answered.len() == MAX_UNCONFIRMED {
            self.answered.pop_front();
        }
        self.answered.push_back((claim.number, now));
        true
    }

    /// When it counts as silent, if no other answer is known to have arrived. A claim was sent up to
    /// `PROMPT_TIME` before it arrived, the holder spends its shares `CONTACT_TIMEOUT` after that, and a
    /// check may be late by `CHECK_INTERVAL`.
    pub fn silent_at(&self) -> Option<Moment> {
        let silence = CONTACT_TIMEOUT - PROMPT_TIME - CHECK_INTERVAL;
        Some(self.confirmed_at?.later(silence))
    }
}
