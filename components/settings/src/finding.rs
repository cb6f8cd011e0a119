//! Findings of the check of a settings file.

use std::fmt;
use std::path::{Path, PathBuf};

/// One error in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    pub file: PathBuf,
    /// JSON pointer into the file; empty for the file as a whole.
    pub path: String,
    /// Description of the error.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file.display())?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.text)
    }
}

/// All errors in a settings file, sorted by path.
///
/// Invariant: holds at least one finding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    findings: Vec<Finding>,
}

impl Report {
    /// The findings, sorted by path.
    #[must_use]
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }
}

/// Writes one finding per line.
impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Report {}

/// Collects the findings of a file during its check.
#[derive(Debug)]
pub(crate) struct Findings<'a> {
    file: &'a Path,
    findings: Vec<Finding>,
}

impl<'a> Findings<'a> {
    pub(crate) fn new(file: &'a Path) -> Self {
        Self {
            file,
            findings: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, path: impl Into<String>, text: impl Into<String>) {
        self.findings.push(Finding {
            file: self.file.to_owned(),
            path: path.into(),
            text: text.into(),
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Sorts the findings and removes duplicates. Call it only after at least one finding, since a
    /// report is never empty.
    pub(crate) fn report(mut self) -> Report {
        self.findings
            .sort_by(|a, b| (&a.path, &a.text).cmp(&(&b.path, &b.text)));
        self.findings.dedup();
        Report {
            findings: self.findings,
        }
    }
}
