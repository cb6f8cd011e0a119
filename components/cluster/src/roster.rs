//! Maintenance of the member list without an operator: which instances form a new cluster, join it,
//! become voters and are removed. Contains decisions only, no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use consensus::{Change, Member, Seat, member};
use types::Name;

use crate::convert::Introduction;

/// Time for which an instance counts as running after an introduction. Several are sent in this
/// time.
const INTRODUCTION_VALIDITY: Duration = Duration::from_millis(1500);
/// Silence after which a voter is replaced by a learner that has caught up. Shorter than the shortest
/// time between a repair and the next loss, so that a new instance is a voter by then.
const VOTER_SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Silence after which a learner is removed.
const LEARNER_SILENCE_LIMIT: Duration = Duration::from_secs(20);
/// Time for which streams are kept to an address after an instance last named it or introduced
/// itself with it.
const ADDRESS_VALIDITY: Duration = Duration::from_secs(20);

#[derive(Debug)]
struct Instance {
    introduction: Introduction,
    received_at: Instant,
    /// Whether the same disk was blank at the first start of the system in this or an earlier
    /// introduction.
    is_founder: bool,
}

/// Intended number of voters and the number of failure domains to place them in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Size {
    pub voters: usize,
    pub domains: usize,
}

impl Size {
    /// Maximum number of voters in one failure domain. The loss of a domain leaves a quorum if there
    /// are enough domains.
    fn max_voters_per_domain(self) -> usize {
        let minority = self.voters.saturating_sub(1) / 2;
        minority.max(self.voters.div_ceil(self.domains.max(1)))
    }
}

/// The other instances that this one knows, and the changes of the member list that follow.
#[derive(Debug)]
pub struct Roster {
    size: Size,
    seeds: Vec<SocketAddr>,
    /// Latest introduction of each instance.
    instances: BTreeMap<Name, Instance>,
    /// Time of the last message of any kind from each instance.
    last_contact: BTreeMap<Name, Instant>,
    /// Addresses named in introductions of others, with the time at which each was last named.
    reported_addresses: BTreeMap<SocketAddr, Instant>,
    /// Time at which this instance became leader; `None` if it is not. Silence before it does not
    /// count.
    leading_since: Option<Instant>,
}

impl Roster {
    #[must_use]
    pub fn new(size: Size, seeds: Vec<SocketAddr>) -> Self {
        Self {
            size,
            seeds,
            instances: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            reported_addresses: BTreeMap::new(),
            leading_since: None,
        }
    }

    /// Replaces the seeds. This does not change the member list.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    #[must_use]
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Sets the time at which this instance became leader, or `None` if it no longer is.
    pub fn set_leading_since(&mut self, since: Option<Instant>) {
        self.leading_since = since;
    }

    /// Handles an introduction. An instance remains a founder although its disk is no longer blank:
    /// once all founders know each other, the first one to create the member list writes it to its
    /// disk, and the others have to create the same list.
    pub fn on_introduction(&mut self, now: Instant, introduction: Introduction) {
        let instance = introduction.identity.instance.clone();
        let known_instance = self.instances.get(&instance);
        let was_founder = known_instance.is_some_and(|instance| {
            instance.is_founder && instance.introduction.identity == introduction.identity
        });
        let is_founder = (introduction.blank && introduction.founding) || was_founder;
        for address in &introduction.known_addresses {
            self.reported_addresses.insert(*address, now);
        }
        self.last_contact.insert(instance.clone(), now);
        let known_instance = Instance {
            introduction,
            received_at: now,
            is_founder,
        };
        self.instances.insert(instance, known_instance);
    }

    /// Handles a message of any kind from an instance.
    pub fn on_contact(&mut self, now: Instant, instance: &Name) {
        match self.last_contact.get_mut(instance) {
            Some(contact_at) => *contact_at = now,
            None => {
                self.last_contact.insert(instance.clone(), now);
            }
        }
    }

    /// Time of the last message from an instance.
    #[must_use]
    pub fn last_contact(&self, instance: &Name) -> Option<Instant> {
        self.last_contact.get(instance).copied()
    }

    /// Latest introduction of an instance.
    #[must_use]
    pub fn introduction_of(&self, instance: &str) -> Option<&Introduction> {
        self.instances
            .get(instance)
            .map(|known_instance| &known_instance.introduction)
    }

    /// Addresses to keep streams to: the seeds, the members, and instances that introduced themselves
    /// or were named by others recently.
    pub fn addresses(&mut self, now: Instant, members: &[Member]) -> BTreeSet<SocketAddr> {
        self.reported_addresses
            .retain(|_, reported_at| now < *reported_at + ADDRESS_VALIDITY);
        let recent = self
            .instances
            .values()
            .filter(|instance| now < instance.received_at + ADDRESS_VALIDITY);
        let mut addresses: BTreeSet<SocketAddr> = recent
            .map(|instance| instance.introduction.address)
            .collect();
        addresses.extend(self.seeds.iter().copied());
        addresses.extend(members.iter().map(|member| member.address));
        addresses.extend(self.reported_addresses.keys().copied());
        addresses
    }

    /// Addresses to name in introductions: the members, and instances that introduced themselves
    /// recently. Addresses that are only known from others are left out, as instances would pass the
    /// address of a removed instance on to each other forever.
    #[must_use]
    pub fn advertised_addresses(&self, now: Instant, members: &[Member]) -> Vec<SocketAddr> {
        let recent = self
            .instances
            .values()
            .filter(|instance| now < instance.received_at + INTRODUCTION_VALIDITY);
        let mut addresses: BTreeSet<SocketAddr> = recent
            .map(|instance| instance.introduction.address)
            .collect();
        addresses.extend(members.iter().map(|member| member.address));
        addresses.into_iter().collect()
    }

    /// Initial member list, once every seed is known to be a founder. Only seeds form a new cluster,
    /// and only at the first start of the whole system.
    #[must_use]
    pub fn initial_members(&self, local: &Introduction) -> Option<Vec<Member>> {
        if !local.founding || !self.seeds.contains(&local.address) {
            return None;
        }
        let founding_member = |address: &SocketAddr| {
            let identity = if *address == local.address {
                local.identity.clone()
            } else {
                let instances = self.instances.values();
                let mut founders = instances.filter(|instance| {
                    instance.is_founder && instance.introduction.address == *address
                });
                founders.next()?.introduction.identity.clone()
            };
            Some(Member::new(identity, *address, Seat::Voter))
        };
        let mut founders = self
            .seeds
            .iter()
            .map(founding_member)
            .collect::<Option<Vec<_>>>()?;
        founders.sort_by(|a, b| a.instance.cmp(&b.instance));
        Some(founders)
    }

    /// Next change of the member list that the leader should propose, if any. `is_ready` tells whether
    /// a learner has caught up.
    #[must_use]
    pub fn next_change(
        &self,
        now: Instant,
        local: &Introduction,
        members: &[Member],
        is_ready: impl Fn(&Member) -> bool,
    ) -> Option<Change> {
        self.join(now, members)
            .or_else(|| self.promote(local, members, &is_ready))
            .or_else(|| self.remove_silent_voter(now, local, members, &is_ready))
            .or_else(|| self.remove_silent_learner(now, local, members))
    }

    /// Adds a running instance that is not in the member list, or is there with another disk.
    fn join(&self, now: Instant, members: &[Member]) -> Option<Change> {
        self.instances.values().find_map(|instance| {
            let identity = &instance.introduction.identity;
            let is_running = now < instance.received_at + INTRODUCTION_VALIDITY;
            let should_join = is_running && member::find(members, identity).is_none();
            should_join.then(|| Change::Join(identity.clone(), instance.introduction.address))
        })
    }

    /// Promotes a learner while there are fewer voters than intended.
    fn promote(
        &self,
        local: &Introduction,
        members: &[Member],
        is_ready: impl Fn(&Member) -> bool,
    ) -> Option<Change> {
        let voters = members.iter().filter(|member| member.seat == Seat::Voter);
        if voters.clone().count() >= self.size.voters {
            return None;
        }
        self.promotable_learner(local, members, is_ready)
            .map(|member| Change::Promote(member.identity()))
    }

    /// The ready learner whose failure domain has the fewest voters, if the domain may have one more.
    fn promotable_learner<'a>(
        &self,
        local: &Introduction,
        members: &'a [Member],
        is_ready: impl Fn(&Member) -> bool,
    ) -> Option<&'a Member> {
        let voters_in = |domain: Option<&Name>| {
            let voters = members.iter().filter(|member| member.seat == Seat::Voter);
            voters
                .filter(|member| self.domain_of(local, member) == domain)
                .count()
        };
        let learners = members.iter().filter(|member| member.seat == Seat::Learner);
        let ready = learners.filter(|member| is_ready(member));
        let with_voter_counts =
            ready.map(|member| (voters_in(self.domain_of(local, member)), member));
        let eligible =
            with_voter_counts.filter(|(count, _)| *count < self.size.max_voters_per_domain());
        eligible
            .min_by_key(|(count, _)| *count)
            .map(|(_, member)| member)
    }

    /// Removes a silent voter if a ready learner can replace it.
    fn remove_silent_voter(
        &self,
        now: Instant,
        local: &Introduction,
        members: &[Member],
        is_ready: impl Fn(&Member) -> bool,
    ) -> Option<Change> {
        let silent = members.iter().find(|member| {
            member.seat == Seat::Voter && self.is_silent(now, local, member, VOTER_SILENCE_LIMIT)
        })?;
        let remaining: Vec<Member> = members
            .iter()
            .filter(|member| member.instance != silent.instance)
            .cloned()
            .collect();
        self.promotable_learner(local, &remaining, is_ready)?;
        Some(Change::Remove(silent.identity()))
    }

    fn remove_silent_learner(
        &self,
        now: Instant,
        local: &Introduction,
        members: &[Member],
    ) -> Option<Change> {
        let silent = members.iter().find(|member| {
            member.seat == Seat::Learner
                && self.is_silent(now, local, member, LEARNER_SILENCE_LIMIT)
        })?;
        Some(Change::Remove(silent.identity()))
    }

    fn is_silent(
        &self,
        now: Instant,
        local: &Introduction,
        member: &Member,
        silence_limit: Duration,
    ) -> bool {
        if member.has_identity(&local.identity) {
            return false;
        }
        let Some(since) = self.leading_since else {
            return false;
        };
        let contact = self.last_contact.get(&member.instance).copied();
        now >= contact.map_or(since, |contact| contact.max(since)) + silence_limit
    }

    fn domain_of<'a>(&'a self, local: &'a Introduction, member: &Member) -> Option<&'a Name> {
        if member.has_identity(&local.identity) {
            return Some(&local.domain);
        }
        self.introduction_of(member.instance.as_str())
            .map(|introduction| &introduction.domain)
    }
}
