//! Errors that are reported to clients.

/// An error message with its SQLSTATE.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) sqlstate: &'static str,
    pub(crate) message: String,
}

pub(crate) type Outcome<T> = Result<T, Failure>;

/// Returns an error with the given SQLSTATE.
pub(crate) fn failure<T>(sqlstate: &'static str, message: impl Into<String>) -> Outcome<T> {
    Err(Failure::new(sqlstate, message))
}

impl Failure {
    pub(crate) fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self {
            sqlstate,
            message: message.into(),
        }
    }

    pub(crate) fn unsupported(feature: impl std::fmt::Display) -> Self {
        Self::new("0A000", format!("{feature} is not supported"))
    }

    pub(crate) fn canceled() -> Self {
        Self::new("57014", "canceling statement due to user request")
    }
}
