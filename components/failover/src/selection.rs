//! Selection of the next primary.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use catalog::{Catalog, Database, Target};
use types::database::Relation;
use types::target::State;
use types::{Lsn, Name, Point, Term};

/// A target's answer to a position query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Last position that a replica has replayed or a primary has written.
    pub point: Point,
    /// Whether the target is a replica.
    pub recovering: bool,
}

/// Numbers of answers needed and received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Count {
    pub needed: usize,
    pub valid: usize,
    /// Members other than the old primary.
    pub replicas: usize,
}

/// Position answers of one change of primary, and the catalog's data on the targets that gave them.
pub(crate) struct Selection<'a> {
    pub name: &'a str,
    pub catalog: &'a Catalog,
    pub database: &'a Database,
    pub answers: &'a BTreeMap<Name, Position>,
}

impl<'a> Selection<'a> {
    /// Members other than the old primary.
    fn replicas(&self) -> impl Iterator<Item = (&'a Name, &'a Target)> {
        let old = self.database.primary();
        let members = self.catalog.members(self.name);
        members.filter(move |(name, _)| Some(*name) != old)
    }

    /// Replicas whose answer shows which acknowledged writes they have.
    ///
    /// Position 0 means that the disk was emptied: the replica lost writes that it had
    /// acknowledged, and counting it could lead to a promotion without any replica that covers an
    /// acknowledged write. A replica on a discarded tail or on an unknown term does not follow this
    /// history.
    fn valid_answers(&self) -> impl Iterator<Item = (&'a Name, &'a Target, Point)> {
        let history = self.database.history();
        let answers = self.answers;
        self.replicas().filter_map(move |(name, target)| {
            let Position { point, recovering } = *answers.get(name)?;
            let follows = matches!(history.relation(point), Relation::Requires(_));
            let is_valid = recovering && point.lsn > Lsn(0) && point.term > Term(0) && follows;
            is_valid.then_some((name, target, point))
        })
    }

    /// If `acks` of n replicas cover each acknowledged write, any n − acks + 1 replicas include one
    /// that covers it.
    pub fn count_answers(&self) -> Count {
        let replicas = self.replicas().count();
        let acks = self.database.min_acks() as usize;
        let needed = match acks {
            0 => 1,
            acks => (replicas + 1).saturating_sub(acks).max(1),
        };
        Count {
            needed,
            valid: self.valid_answers().count(),
            replicas,
        }
    }

    /// The most advanced replica. Among equals, serving ones are preferred, then those in the old
    /// primary's failure domain, then the first by name.
    ///
    /// A draining replica that is ahead of every serving one is still selected: the others may lack
    /// acknowledged writes. It then is a draining primary, so that a planned switch follows.
    pub fn most_advanced(&self) -> Option<(&'a Name, Point)> {
        let old = self.database.primary();
        let old = old.and_then(|name| self.catalog.target(name.as_str()));
        let domain = old.map(|target| &target.announcement().domain);
        let rank = |(name, target, point): &(&Name, &Target, Point)| {
            let serving = target.state() == State::Serving;
            let same_domain = Some(&target.announcement().domain) == domain;
            (
                point.term,
                point.lsn,
                serving,
                same_domain,
                Reverse((*name).clone()),
            )
        };
        let best = self.valid_answers().max_by_key(rank);
        best.map(|(name, _, point)| (name, point))
    }

    /// A serving replica that covers `lsn` of the current term, preferably in the old primary's
    /// failure domain.
    pub fn best_covering(&self, lsn: Lsn) -> Option<(&'a Name, Point)> {
        let old = self.database.primary();
        let old = old.and_then(|name| self.catalog.target(name.as_str()));
        let domain = old.map(|target| &target.announcement().domain);
        let term = self.database.term();
        let is_eligible = |(_, target, point): &(&Name, &Target, Point)| {
            let covers = Some(point.term) == term && point.lsn >= lsn;
            covers && target.state() == State::Serving
        };
        let rank = |(name, target, _): &(&Name, &Target, Point)| {
            let same_domain = Some(&target.announcement().domain) == domain;
            (same_domain, Reverse((*name).clone()))
        };
        let best = self.valid_answers().filter(is_eligible).max_by_key(rank);
        best.map(|(name, _, point)| (name, point))
    }

    /// Position of the old primary, if it answers as the primary of the current term.
    pub fn old_primary_lsn(&self) -> Option<Lsn> {
        let Position { point, recovering } = *self.answers.get(self.database.primary()?)?;
        let is_current_primary = !recovering && Some(point.term) == self.database.term();
        is_current_primary.then_some(point.lsn)
    }
}
