//! Metadata of operators' changes; findings and outcomes of commands.

use std::fmt;

use types::Revision;

/// Longest label; bounds the memory that request ids take in the replicated state.
pub const MAX_LABEL_BYTES: usize = 128;

/// Request id or operator name.
///
/// Invariant: 1 to [`MAX_LABEL_BYTES`] visible ASCII characters.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Label(String);

impl Label {
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Error for a text that is not a valid label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not 1 to {MAX_LABEL_BYTES} visible ASCII characters")
    }
}

impl std::error::Error for Error {}

impl TryFrom<String> for Label {
    type Error = Error;

    fn try_from(raw: String) -> Result<Self, Error> {
        let fits = (1..=MAX_LABEL_BYTES).contains(&raw.len());
        if fits && raw.bytes().all(|b| b.is_ascii_graphic()) {
            Ok(Self(raw))
        } else {
            Err(Error)
        }
    }
}

impl TryFrom<&str> for Label {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self, Error> {
        Self::try_from(raw.to_owned())
    }
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Metadata of an operator's change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Revision on which the operator based the change.
    pub base: Revision,
    /// Request id; a resent request has the same one.
    pub request: Label,
    pub operator: Label,
}

/// The last change of a node or of a target's state, with which a later one may conflict.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Winner {
    pub revision: Revision,
    pub request: Label,
    pub operator: Label,
}

/// One error in a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Where the error is: a path of the tree with a key, a target, a database or a field.
    pub path: String,
    pub text: String,
}

impl Finding {
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

/// All errors in a command.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    pub fn add(&mut self, path: impl Into<String>, text: impl Into<String>) {
        self.0.push(Finding::new(path, text));
    }

    /// The value of `result`; an error is added as a finding at `path`.
    pub fn ok_or_add<T, E: fmt::Display>(&mut self, path: &str, result: Result<T, E>) -> Option<T> {
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

/// Result of applying a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Applied; in force from this revision on.
    Applied(Revision),
    /// The catalog already is in the requested state.
    Unchanged,
    /// Another operator's change of the same node or target is later than the base revision.
    Conflict(Winner),
    /// Not valid, with all errors.
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
