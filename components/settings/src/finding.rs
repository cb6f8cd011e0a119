//! What is wrong in a settings file.

use std::fmt;
use std::path::{Path, PathBuf};

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Settings file.
    pub file: PathBuf,
    /// JSON pointer into the file; empty for the file as a whole.
    pub path: String,
    /// What is wrong there.
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

/// All faults of a settings file, sorted by path.
///
/// Invariant: holds at least one finding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    findings: Vec<Finding>,
}

impl Report {
    /// The findings, in the order of their paths.
    #[must_use]
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }
}

/// Shows one finding a line.
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

/// Findings of a file while it is checked.
#[derive(Debug)]
pub(crate) struct Findings<'a> {
    file: &'a Path,
    found: Vec<Finding>,
}

impl<'a> Findings<'a> {
    pub(crate) fn new(file: &'a Path) -> Self {
        Self {
            file,
            found: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, path: impl Into<String>, text: impl Into<String>) {
        self.found.push(Finding {
            file: self.file.to_owned(),
            path: path.into(),
            text: text.into(),
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// The report of what was found; call it only if something was.
    pub(crate) fn report(mut self) -> Report {
        self.found
            .sort_by(|a, b| (&a.path, &a.text).cmp(&(&b.path, &b.text)));
        self.found.dedup();
        Report {
            findings: self.found,
        }
    }
}
