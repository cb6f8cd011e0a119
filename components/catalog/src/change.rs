//! Changes by operators, their findings and outcomes.

use std::fmt;

use types::Revision;

/// Longest label, in bytes; bounds what request ids take in the replicated state.
pub const MAX_LABEL: usize = 128;

/// Request id or operator name.
///
/// Invariant: 1 to [`MAX_LABEL`] visible ASCII characters.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Label(String);

impl Label {
    /// The label as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A text that is no label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not 1 to {MAX_LABEL} visible ASCII characters")
    }
}

impl std::error::Error for Invalid {}

impl TryFrom<String> for Label {
    type Error = Invalid;

    fn try_from(raw: String) -> Result<Self, Invalid> {
        let fits = (1..=MAX_LABEL).contains(&raw.len());
        if fits && raw.bytes().all(|b| b.is_ascii_graphic()) {
            Ok(Self(raw))
        } else {
            Err(Invalid)
        }
    }
}

impl TryFrom<&str> for Label {
    type Error = Invalid;

    fn try_from(raw: &str) -> Result<Self, Invalid> {
        Self::try_from(raw.to_owned())
    }
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What an operator's change carries besides its content.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Revision that the operator saw.
    pub base: Revision,
    /// Request id; a resend carries the same one.
    pub request: Label,
    /// Who asks for the change.
    pub operator: Label,
}

/// The change that last touched a place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Winner {
    /// Revision of the change.
    pub revision: Revision,
    /// Its request id.
    pub request: Label,
    /// Its operator.
    pub operator: Label,
}

/// What is wrong at one place of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Place: a path of the tree with its key, a target, a database or a field.
    pub path: String,
    /// What is wrong there.
    pub text: String,
}

impl Finding {
    /// A finding at `path`.
    #[must_use]
    pub fn new(path: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            text: text.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

/// Everything that is wrong with a command.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, path: impl Into<String>, text: impl Into<String>) {
        self.0.push(Finding::new(path, text));
    }

    /// The value of `result`; its error becomes a finding at `path`.
    pub fn take<T, E: fmt::Display>(&mut self, path: &str, result: Result<T, E>) -> Option<T> {
        result
            .map_err(|error| self.add(path, error.to_string()))
            .ok()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Answer of the catalog to a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// In force from this revision on.
    Applied(Revision),
    /// The catalog already says so.
    Unchanged,
    /// A change later than the base revision touched the same place.
    Conflict(Winner),
    /// Not valid; everything that is wrong with it.
    Refused(Vec<Finding>),
}

impl fmt::Display for Winner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            revision,
            request,
            operator,
        } = self;
        write!(f, "{request} by {operator} at revision {}", revision.0)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Applied(revision) => write!(f, "in force from revision {}", revision.0),
            Self::Unchanged => f.write_str("unchanged"),
            Self::Conflict(winner) => write!(f, "conflict with {winner}"),
            Self::Refused(findings) => {
                f.write_str("refused")?;
                findings
                    .iter()
                    .try_for_each(|finding| write!(f, "; {finding}"))
            }
        }
    }
}

impl Outcome {
    /// A refusal with one finding.
    pub(crate) fn refused(path: impl Into<String>, text: impl Into<String>) -> Self {
        Self::Refused(vec![Finding::new(path, text)])
    }
}
