//! Which entries there are, by what all coordinators tell of their streams. Entries of a failure
//! domain lend each other connections and have to agree on who lends.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use types::Name;
use wire::Neighbour;

/// Interval at which an instance repeats its entries to the others.
const REPEAT: Duration = Duration::from_secs(2);
/// How long an entry counts after its stream has ended. It opens one elsewhere within that time.
const GRACE: Duration = Duration::from_millis(1500);
/// Time after the start in which an instance has not heard of all entries yet.
const SETTLING: Duration = Duration::from_millis(800);

/// The entries of the system.
#[derive(Debug)]
pub struct Neighbours {
    settled_at: Instant,
    repeat_at: Instant,
    /// What was told to the others last.
    told: Vec<Neighbour>,
    /// What the others told last, and when.
    others: BTreeMap<Name, (Instant, Vec<Neighbour>)>,
    /// Every entry with the moment up to which it counts, by its name.
    present: BTreeMap<String, (Instant, Neighbour)>,
    /// Lists that the own entries were told, by failure domain.
    published: BTreeMap<String, Vec<Neighbour>>,
}

impl Neighbours {
    /// Knows of none.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            settled_at: now + SETTLING,
            repeat_at: now,
            told: Vec::new(),
            others: BTreeMap::new(),
            present: BTreeMap::new(),
            published: BTreeMap::new(),
        }
    }

    /// Number of entries; none before this instance can know all.
    #[must_use]
    pub fn count(&self, now: Instant) -> Option<usize> {
        (now >= self.settled_at).then_some(self.present.len())
    }

    /// Another instance told of its entries.
    pub fn on_told(&mut self, now: Instant, from: Name, entries: Vec<Neighbour>) {
        // One that this instance told of before has left, or has opened a stream elsewhere.
        self.others.insert(from, (now, entries));
    }

    /// An entry stops.
    pub fn on_left(&mut self, instance: &str) {
        self.present.remove(instance);
    }

    /// What the others are to be told, if that is due.
    pub fn due(&mut self, now: Instant, own: &[Neighbour]) -> Option<Vec<Neighbour>> {
        if own == self.told && now < self.repeat_at {
            return None;
        }
        self.repeat_at = now + REPEAT;
        self.told = own.to_vec();
        Some(self.told.clone())
    }

    /// Follows what is known, and returns the failure domains whose lists have changed.
    pub fn follow(
        &mut self,
        now: Instant,
        own: Vec<Neighbour>,
    ) -> BTreeMap<String, Vec<Neighbour>> {
        self.others.retain(|_, (at, _)| now < *at + REPEAT + GRACE);
        let others = self
            .others
            .values()
            .flat_map(|(_, entries)| entries.clone());
        for entry in others.chain(own) {
            let name = entry.instance.clone();
            self.present.insert(name, (now + GRACE, entry));
        }
        self.present.retain(|_, (until, _)| now < *until);
        if now < self.settled_at {
            return BTreeMap::new();
        }
        let mut lists: BTreeMap<String, Vec<Neighbour>> = BTreeMap::new();
        for (_, entry) in self.present.values() {
            let list = lists.entry(entry.domain.clone()).or_default();
            list.push(entry.clone());
        }
        let mut changed = lists.clone();
        changed.retain(|domain, list| self.published.get(domain) != Some(list));
        self.published = lists;
        changed
    }

    /// The list of a failure domain, for an entry that has just subscribed.
    #[must_use]
    pub fn of(&self, domain: &str) -> Option<&Vec<Neighbour>> {
        self.published.get(domain)
    }
}
