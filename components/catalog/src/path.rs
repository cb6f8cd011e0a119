//! Paths of the settings tree.

use std::borrow::Borrow;
use std::fmt;

use types::Name;
use types::target::Announcement;

use crate::change::Findings;

/// Levels of the tree: organisation, region, failure domain, service, database, group, target.
pub const MAX_LEVELS: usize = 7;

/// Path of a node in the settings tree.
///
/// Invariant: 1 to [`MAX_LEVELS`] names. A path with fewer names stands for the whole subtree below
/// it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Path(Vec<Name>);

impl Path {
    #[must_use]
    pub fn root(organisation: &Name) -> Self {
        Self(vec![organisation.clone()])
    }

    /// The path of the target that `announcement` describes.
    #[must_use]
    pub fn of_target(organisation: &Name, announcement: &Announcement) -> Self {
        Self(
            target_names(organisation, announcement)
                .map(Clone::clone)
                .to_vec(),
        )
    }

    /// The names, starting with the organisation.
    #[must_use]
    pub fn names(&self) -> &[Name] {
        &self.0
    }

    /// Whether this path is, or is a prefix of, the path of the target that `announcement`
    /// describes.
    #[must_use]
    pub fn covers(&self, organisation: &Name, announcement: &Announcement) -> bool {
        let target = target_names(organisation, announcement);
        self.0.iter().zip(target).all(|(own, other)| own == other)
    }

    /// Parses a path such as `a/b/c`; adds every error to `findings`.
    pub(crate) fn parse(raw: &str, findings: &mut Findings) -> Option<Self> {
        let count_before = findings.0.len();
        let names: Vec<Name> = raw
            .split('/')
            .filter_map(|name| findings.ok_or_add(raw, Name::try_from(name)))
            .collect();
        if raw.split('/').nth(MAX_LEVELS).is_some() {
            findings.add(raw, format!("more than {MAX_LEVELS} levels"));
        }
        (findings.0.len() == count_before).then_some(Self(names))
    }
}

const fn target_names<'a>(
    organisation: &'a Name,
    announcement: &'a Announcement,
) -> [&'a Name; MAX_LEVELS] {
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
