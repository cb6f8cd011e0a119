//! The running entries, collected from the lists that all coordinators send of their streams. Entries
//! lend each other connections, across failure domains if the plan has tenants, and must agree on the
//! lenders.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use types::Name;
use wire::Neighbour;

/// Interval at which an instance sends its unchanged list again, as a message may be lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How long an entry counts as running after its stream has ended, so that it can open one to another
/// coordinator.
const ENTRY_GRACE: Duration = Duration::from_millis(1500);
/// Time after the start in which the lists of the other instances may still be missing.
const SETTLING_TIME: Duration = Duration::from_millis(800);

/// The entries of all coordinators.
#[derive(Debug)]
pub struct Neighbours {
    settled_at: Instant,
    repeat_at: Instant,
    /// Own list as it was sent to the other instances last.
    last_sent: Vec<Neighbour>,
    /// Latest list of each other instance, and when it arrived.
    received: BTreeMap<Name, (Instant, Vec<Neighbour>)>,
    /// Entries by name, and until when each counts as running.
    running: BTreeMap<String, (Instant, Neighbour)>,
    /// Lists that were published to the subscribed entries, by failure domain.
    published: BTreeMap<String, Vec<Neighbour>>,
}

impl Neighbours {
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            settled_at: now + SETTLING_TIME,
            repeat_at: now,
            last_sent: Vec::new(),
            received: BTreeMap::new(),
            running: BTreeMap::new(),
            published: BTreeMap::new(),
        }
    }

    /// Number of entries; `None` while lists of other instances may be missing.
    #[must_use]
    pub fn count(&self, now: Instant) -> Option<usize> {
        (now >= self.settled_at).then_some(self.running.len())
    }

    /// Replaces the list of another instance.
    pub fn on_list(&mut self, now: Instant, from: Name, entries: Vec<Neighbour>) {
        // An entry that is no longer listed stays in `running` for the grace period, as it may have
        // opened a stream to another instance.
        self.received.insert(from, (now, entries));
    }

    /// Removes an entry that stops, without a grace period.
    pub fn on_left(&mut self, instance: &str) {
        self.running.remove(instance);
    }

    /// The list to send to the other instances, if it has changed or is to be repeated.
    pub fn next_message(&mut self, now: Instant, own: &[Neighbour]) -> Option<Vec<Neighbour>> {
        if own == self.last_sent && now < self.repeat_at {
            return None;
        }
        self.repeat_at = now + REPEAT_INTERVAL;
        self.last_sent = own.to_vec();
        Some(self.last_sent.clone())
    }

    /// Updates the running entries and returns the failure domains whose lists have changed.
    pub fn update(
        &mut self,
        now: Instant,
        own: Vec<Neighbour>,
    ) -> BTreeMap<String, Vec<Neighbour>> {
        self.received
            .retain(|_, (at, _)| now < *at + REPEAT_INTERVAL + ENTRY_GRACE);
        let others = self
            .received
            .values()
            .flat_map(|(_, entries)| entries.clone());
        for entry in others.chain(own) {
            let name = entry.instance.clone();
            self.running.insert(name, (now + ENTRY_GRACE, entry));
        }
        self.running.retain(|_, (until, _)| now < *until);
        if now < self.settled_at {
            return BTreeMap::new();
        }
        let mut lists: BTreeMap<String, Vec<Neighbour>> = BTreeMap::new();
        for (_, entry) in self.running.values() {
            let list = lists.entry(entry.domain.clone()).or_default();
            list.push(entry.clone());
        }
        let mut changed = lists.clone();
        changed.retain(|domain, list| self.published.get(domain) != Some(list));
        self.published = lists;
        changed
    }

    /// Like [`Self::update`], but returns the list of all failure domains if it has changed.
    pub fn update_all(&mut self, now: Instant, own: Vec<Neighbour>) -> Option<Vec<Neighbour>> {
        let before = self.published.clone();
        self.update(now, own);
        (self.published != before).then(|| self.all())
    }

    /// The published lists of all failure domains as one.
    #[must_use]
    pub fn all(&self) -> Vec<Neighbour> {
        self.published.values().flatten().cloned().collect()
    }

    /// The published list of each failure domain.
    #[must_use]
    pub fn by_domain(&self) -> &BTreeMap<String, Vec<Neighbour>> {
        &self.published
    }

    /// The published list of a failure domain.
    #[must_use]
    pub fn in_domain(&self, domain: &str) -> Option<&Vec<Neighbour>> {
        self.published.get(domain)
    }
}
