//! What callers did and saw on one database.

/// A stored row.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Row {
    /// Key.
    pub key: u64,
    /// Value, which only one write has.
    pub value: u64,
}

/// What the caller knows of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was acknowledged.
    Done,
    /// It was refused as not run.
    NotRun,
    /// There was no answer, or one that leaves it open.
    Unknown,
}

/// A write of one transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Session that made it.
    pub session: u64,
    /// Value that the transaction gives to each of its keys.
    pub value: u64,
    /// Keys written. Invariant: distinct.
    pub keys: Vec<u64>,
    /// Microseconds at which the answer arrived.
    pub answered_us: u64,
    /// What is known of it.
    pub outcome: Outcome,
}

/// A read that was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Read {
    /// Session that made it.
    pub session: u64,
    /// Keys asked for. Invariant: distinct.
    pub keys: Vec<u64>,
    /// Rows returned.
    pub rows: Vec<Row>,
    /// Microseconds at which it was sent.
    pub sent_us: u64,
    /// Age that the caller accepts; without it only the session's own writes bind.
    pub max_age_us: Option<u64>,
}

/// One operation of a history. Their order does not matter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// A write with its outcome.
    Write(Write),
    /// An answered read.
    Read(Read),
    /// The rows after everything has ended.
    Final(Vec<Row>),
}
