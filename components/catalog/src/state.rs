//! The replicated state and the queries on it.

use std::collections::BTreeMap;

use types::target::{Announcement, State};
use types::{Name, Revision};

use crate::answers::Answers;
use crate::change::Winner;
use crate::database::Database;
use crate::generated::Values;
use crate::path::Path;
use crate::target::Target;
use crate::tree::Tree;

/// State that operators had set for a target before it was retired.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Tombstone {
    pub state: State,
    pub winner: Winner,
}

/// The replicated state.
///
/// Two catalogs of the same organisation that applied the same commands are equal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Catalog {
    pub(crate) revision: Revision,
    pub(crate) organisation: Name,
    pub(crate) tree: Tree,
    pub(crate) targets: BTreeMap<Name, Target>,
    /// Kept so that a decommissioned target that still announces itself gets no work.
    pub(crate) retired: BTreeMap<Name, Tombstone>,
    pub(crate) databases: BTreeMap<Name, Database>,
    /// Enrolled entry instances with their failure domains.
    pub(crate) entries: BTreeMap<Name, Name>,
    pub(crate) answers: Answers,
}

impl Catalog {
    /// An empty catalog of `organisation`.
    #[must_use]
    pub fn new(organisation: Name) -> Self {
        Self {
            revision: Revision::default(),
            organisation,
            tree: Tree::default(),
            targets: BTreeMap::new(),
            retired: BTreeMap::new(),
            databases: BTreeMap::new(),
            entries: BTreeMap::new(),
            answers: Answers::default(),
        }
    }

    /// Revision of the last command applied.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The organisation, which is the first name of every path.
    #[must_use]
    pub const fn organisation(&self) -> &Name {
        &self.organisation
    }

    #[must_use]
    pub const fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Effective settings at the organisation's node, where the lease settings are read.
    #[must_use]
    pub fn organisation_values(&self) -> Values {
        self.tree.effective(&Path::root(&self.organisation))
    }

    #[must_use]
    pub fn target(&self, name: &str) -> Option<&Target> {
        self.targets.get(name)
    }

    /// All targets, ordered by name.
    pub fn targets(&self) -> impl Iterator<Item = (&Name, &Target)> {
        self.targets.iter()
    }

    /// Path of the target called `name` in the settings tree.
    #[must_use]
    pub fn target_path(&self, name: &str) -> Option<Path> {
        let target = self.targets.get(name)?;
        Some(self.announced_path(&target.announcement))
    }

    #[must_use]
    pub fn database(&self, name: &str) -> Option<&Database> {
        self.databases.get(name)
    }

    /// All databases, ordered by name.
    pub fn databases(&self) -> impl Iterator<Item = (&Name, &Database)> {
        self.databases.iter()
    }

    /// Targets of the database called `name`, including the primary, ordered by name.
    pub fn members(&self, name: &str) -> impl Iterator<Item = (&Name, &Target)> {
        let database = self.databases.get(name);
        let names = database.into_iter().flat_map(|d| &d.members);
        names.filter_map(|name| self.targets.get_key_value(name))
    }

    /// Enrolled entry instances with their failure domains, ordered by name.
    pub fn entries(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.entries.iter()
    }

    /// Whether the entry instance called `name` is enrolled.
    #[must_use]
    pub fn is_enrolled(&self, name: &str) -> bool {
        self.entries.contains_key(name)
    }

    /// Whether `announcement` would be accepted and would change the catalog.
    ///
    /// Other announcements must not be proposed: targets repeat them, and each repetition would add
    /// an entry to the log.
    #[must_use]
    pub fn would_change(&self, announcement: &Announcement) -> bool {
        let known = self.targets.get(&announcement.target);
        known.is_none_or(|target| target.announcement != *announcement)
            && self.check_announcement(announcement).is_empty()
    }

    pub(crate) fn announced_path(&self, announcement: &Announcement) -> Path {
        Path::of_target(&self.organisation, announcement)
    }
}
