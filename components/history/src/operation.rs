//! Operations that callers ran on one database, with their results.

/// A stored row.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Row {
    pub key: u64,
    /// Value, unique to one write.
    pub value: u64,
}

/// What the caller knows about the effect of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The write was acknowledged.
    Done,
    /// The write was refused without being run.
    NotRun,
    /// No answer arrived, or the answer says that the outcome is unknown.
    Unknown,
}

/// All writes of one transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Session that sent it.
    pub session: u64,
    /// Value that the transaction gives to each of its keys.
    pub value: u64,
    /// Keys written. Invariant: distinct.
    pub keys: Vec<u64>,
    /// Arrival of the answer, in microseconds.
    pub answered_us: u64,
    pub outcome: Outcome,
}

/// A read that was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Read {
    /// Session that sent it.
    pub session: u64,
    /// Keys requested. Invariant: distinct.
    pub keys: Vec<u64>,
    /// Rows returned.
    pub rows: Vec<Row>,
    /// Time of sending, in microseconds.
    pub sent_us: u64,
    /// Largest age of data that the caller accepts, in microseconds. Without it only the session's
    /// own writes have to be returned.
    pub max_age_us: Option<u64>,
}

/// One operation of a history. The order of operations does not matter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    Write(Write),
    Read(Read),
    /// The rows of the database after the last write has ended.
    Final(Vec<Row>),
}
