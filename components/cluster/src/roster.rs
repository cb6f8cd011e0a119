//! Upkeep of the member list without an operator: who founds, who joins, who becomes a voter, and
//! who is removed. Decisions only.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use consensus::{Change, Member, Seat, member};
use types::Name;

use crate::convert::Introduction;

/// How long an introduction counts as a sign of life; several are sent in this time.
const PRESENT: Duration = Duration::from_millis(1500);
/// Silence after which a ready learner takes a voter's place. Shorter than the time after which
/// another loss may follow a repair, so that a new instance is a voter by then.
const VOTER_SILENCE: Duration = Duration::from_secs(2);
/// Silence after which a learner is removed.
const LEARNER_SILENCE: Duration = Duration::from_secs(20);
/// How long an address that was only heard of is dialled.
const RUMOUR: Duration = Duration::from_secs(20);

#[derive(Debug)]
struct Heard {
    intro: Introduction,
    at: Instant,
    /// The same disk was blank in this or an earlier introduction.
    founder: bool,
}

/// How many voters there are to be, and where.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Size {
    /// Voters.
    pub voters: usize,
    /// Failure domains that the system has.
    pub domains: usize,
}

impl Size {
    /// Voters that one failure domain may hold, so that the loss of a domain leaves a quorum
    /// wherever the number of domains allows it.
    fn most_in_domain(self) -> usize {
        let minority = self.voters.saturating_sub(1) / 2;
        minority.max(self.voters.div_ceil(self.domains.max(1)))
    }
}

/// The instances that this one knows.
#[derive(Debug)]
pub struct Roster {
    size: Size,
    seeds: Vec<SocketAddr>,
    heard: BTreeMap<Name, Heard>,
    /// Last message of any kind from each instance.
    contact: BTreeMap<Name, Instant>,
    /// Addresses named by others, and when last.
    rumours: BTreeMap<SocketAddr, Instant>,
    /// Since when this instance leads; silence counts from then at the earliest.
    leading_since: Option<Instant>,
}

impl Roster {
    /// Knows the seeds only.
    #[must_use]
    pub fn new(size: Size, seeds: Vec<SocketAddr>) -> Self {
        Self {
            size,
            seeds,
            heard: BTreeMap::new(),
            contact: BTreeMap::new(),
            rumours: BTreeMap::new(),
            leading_since: None,
        }
    }

    /// Takes other seeds. The member list does not change by it.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// The seeds.
    #[must_use]
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// This instance has become leader, or is one no longer.
    pub fn set_leading(&mut self, since: Option<Instant>) {
        self.leading_since = since;
    }

    /// Takes an introduction. A disk that was blank stays a founder: once all founders know each
    /// other, the first of them to go ahead is blank no longer, and the others have to make the same
    /// list.
    pub fn on_introduction(&mut self, now: Instant, intro: Introduction) {
        let instance = intro.identity.instance.clone();
        let known = self.heard.get(&instance);
        let was_founder = known.is_some_and(|it| it.founder && it.intro.identity == intro.identity);
        let founder = (intro.blank && intro.founding) || was_founder;
        for address in &intro.known {
            self.rumours.insert(*address, now);
        }
        self.contact.insert(instance.clone(), now);
        let heard = Heard {
            intro,
            at: now,
            founder,
        };
        self.heard.insert(instance, heard);
    }

    /// A message of an instance arrived.
    pub fn on_contact(&mut self, now: Instant, instance: &Name) {
        match self.contact.get_mut(instance) {
            Some(at) => *at = now,
            None => {
                self.contact.insert(instance.clone(), now);
            }
        }
    }

    /// When an instance was heard of last.
    #[must_use]
    pub fn contact(&self, instance: &Name) -> Option<Instant> {
        self.contact.get(instance).copied()
    }

    /// The latest introduction of an instance.
    #[must_use]
    pub fn of(&self, instance: &str) -> Option<&Introduction> {
        self.heard.get(instance).map(|heard| &heard.intro)
    }

    /// Addresses to keep streams to: the seeds, the members, and whoever was heard of lately.
    pub fn addresses(&mut self, now: Instant, members: &[Member]) -> BTreeSet<SocketAddr> {
        self.rumours.retain(|_, at| now < *at + RUMOUR);
        let present = self.heard.values().filter(|it| now < it.at + RUMOUR);
        let mut all: BTreeSet<SocketAddr> = present.map(|it| it.intro.address).collect();
        all.extend(self.seeds.iter().copied());
        all.extend(members.iter().map(|member| member.address));
        all.extend(self.rumours.keys().copied());
        all
    }

    /// Addresses that this instance can vouch for: members, and instances that introduced
    /// themselves lately. Rumours are not passed on, or they would never end.
    #[must_use]
    pub fn known(&self, now: Instant, members: &[Member]) -> Vec<SocketAddr> {
        let present = self.heard.values().filter(|it| now < it.at + PRESENT);
        let mut all: BTreeSet<SocketAddr> = present.map(|it| it.intro.address).collect();
        all.extend(members.iter().map(|member| member.address));
        all.into_iter().collect()
    }

    /// The first member list, once every seed is known to have a blank disk. Only seeds found a
    /// cluster, and only at the first start of the whole system.
    #[must_use]
    pub fn founders(&self, me: &Introduction) -> Option<Vec<Member>> {
        if !me.founding || !self.seeds.contains(&me.address) {
            return None;
        }
        let founder = |address: &SocketAddr| {
            let identity = if *address == me.address {
                me.identity.clone()
            } else {
                let heard = self.heard.values();
                let mut founders = heard.filter(|it| it.founder && it.intro.address == *address);
                founders.next()?.intro.identity.clone()
            };
            Some(Member::new(identity, *address, Seat::Voter))
        };
        let mut founders = self.seeds.iter().map(founder).collect::<Option<Vec<_>>>()?;
        founders.sort_by(|a, b| a.instance.cmp(&b.instance));
        Some(founders)
    }

    /// The next change of the member list that a leader should make, if any. `is_ready` says
    /// whether a learner has caught up.
    #[must_use]
    pub fn change(
        &self,
        now: Instant,
        me: &Introduction,
        members: &[Member],
        is_ready: impl Fn(&Member) -> bool,
    ) -> Option<Change> {
        self.join(now, members)
            .or_else(|| self.promote(me, members, &is_ready))
            .or_else(|| self.replace(now, me, members, &is_ready))
            .or_else(|| self.forget(now, me, members))
    }

    /// An instance that is there but in no list, or there with another disk.
    fn join(&self, now: Instant, members: &[Member]) -> Option<Change> {
        self.heard.values().find_map(|heard| {
            let identity = &heard.intro.identity;
            let present = now < heard.at + PRESENT;
            let joins = present && member::find(members, identity).is_none();
            joins.then(|| Change::Join(identity.clone(), heard.intro.address))
        })
    }

    fn promote(
        &self,
        me: &Introduction,
        members: &[Member],
        is_ready: impl Fn(&Member) -> bool,
    ) -> Option<Change> {
        let voters = members.iter().filter(|m| m.seat == Seat::Voter);
        if voters.clone().count() >= self.size.voters {
            return None;
        }
        self.candidate(me, members, is_ready)
            .map(|member| Change::Promote(member.identity()))
    }

    /// The ready learner whose domain has the fewest voters, if that domain may have one more.
    fn candidate<'a>(
        &self,
        me: &Introduction,
        members: &'a [Member],
        is_ready: impl Fn(&Member) -> bool,
    ) -> Option<&'a Member> {
        let voters_in = |domain: Option<&Name>| {
            let voters = members.iter().filter(|m| m.seat == Seat::Voter);
            voters.filter(|m| self.domain(me, m) == domain).count()
        };
        let learners = members.iter().filter(|m| m.seat == Seat::Learner);
        let ready = learners.filter(|m| is_ready(m));
        let counted = ready.map(|m| (voters_in(self.domain(me, m)), m));
        let fitting = counted.filter(|(count, _)| *count < self.size.most_in_domain());
        fitting.min_by_key(|(count, _)| *count).map(|(_, m)| m)
    }

    /// Removes a silent voter whose place a ready learner can take.
    fn replace(
        &self,
        now: Instant,
        me: &Introduction,
        members: &[Member],
        is_ready: impl Fn(&Member) -> bool,
    ) -> Option<Change> {
        let silent = members
            .iter()
            .find(|m| m.seat == Seat::Voter && self.is_silent(now, me, m, VOTER_SILENCE))?;
        let rest: Vec<Member> = members
            .iter()
            .filter(|m| m.instance != silent.instance)
            .cloned()
            .collect();
        self.candidate(me, &rest, is_ready)?;
        Some(Change::Remove(silent.identity()))
    }

    fn forget(&self, now: Instant, me: &Introduction, members: &[Member]) -> Option<Change> {
        let silent = members
            .iter()
            .find(|m| m.seat == Seat::Learner && self.is_silent(now, me, m, LEARNER_SILENCE))?;
        Some(Change::Remove(silent.identity()))
    }

    fn is_silent(&self, now: Instant, me: &Introduction, member: &Member, limit: Duration) -> bool {
        if member.has_identity(&me.identity) {
            return false;
        }
        let Some(since) = self.leading_since else {
            return false;
        };
        let contact = self.contact.get(&member.instance).copied();
        now >= contact.map_or(since, |at| at.max(since)) + limit
    }

    fn domain<'a>(&'a self, me: &'a Introduction, member: &Member) -> Option<&'a Name> {
        if member.has_identity(&me.identity) {
            return Some(&me.domain);
        }
        self.of(member.instance.as_str()).map(|intro| &intro.domain)
    }
}
