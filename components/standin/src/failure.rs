//! Errors as a PostgreSQL server reports them.

/// An error with its SQLSTATE.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) code: &'static str,
    pub(crate) text: String,
}

pub(crate) type Outcome<T> = Result<T, Failure>;

/// Builds the error of a statement.
pub(crate) fn failure<T>(code: &'static str, text: impl Into<String>) -> Outcome<T> {
    Err(Failure::new(code, text))
}

impl Failure {
    pub(crate) fn new(code: &'static str, text: impl Into<String>) -> Self {
        Self {
            code,
            text: text.into(),
        }
    }

    pub(crate) fn unsupported(what: impl std::fmt::Display) -> Self {
        Self::new("0A000", format!("{what} is not supported"))
    }

    pub(crate) fn canceled() -> Self {
        Self::new("57014", "canceling statement due to user request")
    }
}
