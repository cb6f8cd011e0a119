//! Choice of the next primary.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use catalog::{Catalog, Database, Target};
use types::database::Relation;
use types::target::State;
use types::{Lsn, Name, Point, Term};

/// A target's answer to a query of its position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Term and lsn: replayed by a replica, written by a primary.
    pub point: Point,
    /// Whether the target is a replica.
    pub recovering: bool,
}

/// Answers needed and had.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Count {
    pub needed: usize,
    pub had: usize,
    pub replicas: usize,
}

/// Answers of one change, with what the catalog says of those who gave them.
pub(crate) struct Ballot<'a> {
    pub name: &'a str,
    pub catalog: &'a Catalog,
    pub database: &'a Database,
    pub answers: &'a BTreeMap<Name, Position>,
}

impl<'a> Ballot<'a> {
    /// Members other than the old primary.
    fn replicas(&self) -> impl Iterator<Item = (&'a Name, &'a Target)> {
        let old = self.database.primary();
        let members = self.catalog.members(self.name);
        members.filter(move |(name, _)| Some(*name) != old)
    }

    /// Replicas with an answer that says something of acknowledged writes.
    ///
    /// Position 0 is that of an emptied disk: it has forgotten what it once confirmed, so that
    /// counting it would let a change go on without a replica that covers an acknowledged write. A
    /// replica on a discarded tail or on an unknown term does not follow this history.
    fn valid(&self) -> impl Iterator<Item = (&'a Name, &'a Target, Point)> {
        let history = self.database.history();
        let answers = self.answers;
        self.replicas().filter_map(move |(name, target)| {
            let Position { point, recovering } = *answers.get(name)?;
            let follows = matches!(history.relation(point), Relation::Requires(_));
            let valid = recovering && point.lsn > Lsn(0) && point.term > Term(0) && follows;
            valid.then_some((name, target, point))
        })
    }

    /// With `acks` of n replicas covering each acknowledged write, any n − acks + 1 of them hold
    /// one that covers it.
    pub fn count(&self) -> Count {
        let replicas = self.replicas().count();
        let acks = self.database.acks() as usize;
        let needed = match acks {
            0 => 1,
            acks => (replicas + 1).saturating_sub(acks).max(1),
        };
        Count {
            needed,
            had: self.valid().count(),
            replicas,
        }
    }

    /// The most advanced replica. Among equals, those that are serving come first, then those in
    /// the old primary's domain, then the first by name.
    ///
    /// A draining replica that is ahead of every serving one still wins: the others may lack
    /// acknowledged writes. As it then is a draining primary, a planned switch follows.
    pub fn best(&self) -> Option<(&'a Name, Point)> {
        let old = self.database.primary();
        let old = old.and_then(|name| self.catalog.target(name.as_str()));
        let domain = old.map(|target| &target.announcement().domain);
        let rank = |(name, target, point): &(&Name, &Target, Point)| {
            let serving = target.state() == State::Serving;
            let near = Some(&target.announcement().domain) == domain;
            (
                point.term,
                point.lsn,
                serving,
                near,
                Reverse((*name).clone()),
            )
        };
        let best = self.valid().max_by_key(rank);
        best.map(|(name, _, point)| (name, point))
    }

    /// The best of the serving replicas that cover `lsn` of the present term.
    pub fn covering(&self, lsn: Lsn) -> Option<(&'a Name, Point)> {
        let old = self.database.primary();
        let old = old.and_then(|name| self.catalog.target(name.as_str()));
        let domain = old.map(|target| &target.announcement().domain);
        let term = self.database.term();
        let fits = |(_, target, point): &(&Name, &Target, Point)| {
            let covers = Some(point.term) == term && point.lsn >= lsn;
            covers && target.state() == State::Serving
        };
        let rank = |(name, target, _): &(&Name, &Target, Point)| {
            let near = Some(&target.announcement().domain) == domain;
            (near, Reverse((*name).clone()))
        };
        let best = self.valid().filter(fits).max_by_key(rank);
        best.map(|(name, _, point)| (name, point))
    }

    /// Position of the old primary, if it answers as the primary of the present term.
    pub fn written(&self) -> Option<Lsn> {
        let Position { point, recovering } = *self.answers.get(self.database.primary()?)?;
        let own = !recovering && Some(point.term) == self.database.term();
        own.then_some(point.lsn)
    }
}
