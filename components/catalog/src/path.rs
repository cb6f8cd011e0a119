//! Paths of the settings tree.

use std::borrow::Borrow;
use std::fmt;

use types::Name;
use types::target::Announcement;

use crate::change::Findings;

/// Levels of the tree: organisation, region, domain, service, database, group, target.
pub const LEVELS: usize = 7;

/// Node of the settings tree.
///
/// Invariant: 1 to [`LEVELS`] names; a shorter path is a prefix and stands for all beneath it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Path(Vec<Name>);

impl Path {
    /// The node of an organisation.
    #[must_use]
    pub fn root(organisation: &Name) -> Self {
        Self(vec![organisation.clone()])
    }

    /// The node of the target that `announcement` describes.
    #[must_use]
    pub fn of(organisation: &Name, announcement: &Announcement) -> Self {
        Self(parts(organisation, announcement).map(Clone::clone).to_vec())
    }

    /// Names from the organisation down.
    #[must_use]
    pub fn names(&self) -> &[Name] {
        &self.0
    }

    /// Whether the target that `announcement` describes is this node or lies beneath it.
    #[must_use]
    pub fn covers(&self, organisation: &Name, announcement: &Announcement) -> bool {
        let parts = parts(organisation, announcement);
        self.0.iter().zip(parts).all(|(own, part)| own == part)
    }

    /// Parses `a/b/c` and adds everything that is wrong with it to `findings`.
    pub(crate) fn parse(raw: &str, findings: &mut Findings) -> Option<Self> {
        let before = findings.0.len();
        let names: Vec<Name> = raw
            .split('/')
            .filter_map(|part| findings.take(raw, Name::try_from(part)))
            .collect();
        if raw.split('/').nth(LEVELS).is_some() {
            findings.add(raw, format!("more than {LEVELS} levels"));
        }
        (findings.0.len() == before).then_some(Self(names))
    }
}

const fn parts<'a>(organisation: &'a Name, announcement: &'a Announcement) -> [&'a Name; LEVELS] {
    [
        organisation,
        &announcement.region,
        &announcement.domain,
        &announcement.service,
        &announcement.database,
        &announcement.group,
        &announcement.target,
    ]
}

impl TryFrom<&str> for Path {
    type Error = Findings;

    fn try_from(raw: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        Self::parse(raw, &mut findings).ok_or(findings)
    }
}

impl Borrow<[Name]> for Path {
    fn borrow(&self) -> &[Name] {
        &self.0
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, name) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "/" };
            write!(f, "{separator}{name}")?;
        }
        Ok(())
    }
}
