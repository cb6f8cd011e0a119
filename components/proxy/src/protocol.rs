//! What callers and servers speak, apart from its encoding.

use bytes::BytesMut;
use types::Point;

/// Whether a statement changes data.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Access {
    /// It reads.
    Read,
    /// It writes.
    Write,
}

/// A statement of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Statement<'a> {
    /// Begins a transaction.
    Begin {
        /// It will only read.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Sets a value of the session.
    Set {
        /// Its name.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Names a shape of statements for later use in the session.
    Prepare {
        /// Name within the session.
        name: &'a str,
        /// What statements of the shape do.
        access: Access,
        /// The shape.
        shape: &'a str,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name within the session.
        name: &'a str,
        /// Its arguments.
        arguments: &'a str,
    },
    /// Forgets a prepared name.
    Deallocate {
        /// Name within the session.
        name: &'a str,
    },
    /// None of these.
    Unknown,
}

/// A message of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Request<'a> {
    /// Opens a session.
    Startup {
        /// Database that the caller names.
        database: &'a str,
    },
    /// A statement.
    Query {
        /// The caller's name for the attempt.
        id: &'a str,
        /// The statement as it was sent.
        text: &'a str,
        /// What it says.
        statement: Statement<'a>,
    },
    /// Ends the session.
    Terminate,
}

/// State of a session or of a connection to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed and can only be ended.
    Failed,
}

/// Reasons of errors.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Code {
    /// Not run: no capacity at present.
    Busy,
    /// Not run, or rolled back: the transaction is gone.
    Aborted,
    /// Not run: the log lacks the position that was asked for.
    Behind,
    /// Not run: the server does not lead.
    ReadOnly,
    /// Not run: the server is another one.
    WrongServer,
    /// Not run: the server has no connection to give.
    ConnectionLimit,
    /// Not run: the prepared name is unknown.
    NotPrepared,
    /// Run, and failed.
    Failed,
    /// Run or not: it took too long.
    Timeout,
    /// Run or not: the answer is lost.
    Unknown,
    /// No such database.
    NoDatabase,
    /// A message or a collection is too large.
    TooLarge,
    /// The message can't be read, or does not fit the session's state.
    Malformed,
    /// Any other.
    Other,
}

impl Code {
    /// Whether a server that answers so has not run the statement.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy | Self::Behind | Self::ReadOnly | Self::WrongServer | Self::NotPrepared
        )
    }

    /// Label in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Behind => "behind",
            Self::ReadOnly => "read_only",
            Self::WrongServer => "wrong_server",
            Self::ConnectionLimit => "connection_limit",
            Self::NotPrepared => "not_prepared",
            Self::Failed => "failed",
            Self::Timeout => "timeout",
            Self::Unknown => "unknown",
            Self::NoDatabase => "no_database",
            Self::TooLarge => "too_large",
            Self::Malformed => "malformed",
            Self::Other => "other",
        }
    }
}

/// A message of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer<'a> {
    /// A row.
    Row,
    /// The statement has run.
    Done,
    /// The statement has failed.
    Error {
        /// Why.
        code: Code,
        /// The server's words.
        text: &'a str,
    },
    /// Ends the answer.
    Ready {
        /// State of the connection.
        state: State,
        /// End of the server's log.
        point: Option<Point>,
    },
}

/// Bytes that the protocol does not allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invalid {
    /// A message is larger than allowed.
    TooLarge,
    /// A message can't be read.
    Malformed,
}

/// A statement of the entry's own for a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command<'a> {
    /// Begins a transaction.
    Begin {
        /// It will only read, so that a replica may take it.
        read_only: bool,
        /// Position that the server must have applied.
        after: Option<Point>,
    },
    /// Rolls back.
    Rollback,
    /// Sets a value.
    Set {
        /// Its name.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Clears all values and prepared statements.
    Reset,
    /// Prepares a shape under the entry's own number.
    Prepare {
        /// The number.
        number: u32,
        /// What it does.
        access: Access,
        /// The shape.
        shape: &'a str,
    },
}

/// A statement of a caller that is passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Forward<'a> {
    /// The caller's name for the attempt.
    pub id: &'a str,
    /// Position that the server must have applied.
    pub after: Option<Point>,
    /// What is passed on.
    pub body: Body<'a>,
}

/// Content of a passed-on statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body<'a> {
    /// The caller's own text.
    Text(&'a str),
    /// A prepared statement under the entry's own number.
    Execute {
        /// The number.
        number: u32,
        /// The caller's arguments.
        arguments: &'a str,
    },
}

/// Decodes and encodes messages of one protocol, on both sides of the entry.
pub trait Protocol: 'static {
    /// The first complete message of a caller with its length; none if more bytes are needed.
    ///
    /// # Errors
    /// Fails on bytes that the protocol does not allow.
    fn request(bytes: &[u8], max: usize) -> Result<Option<(usize, Request<'_>)>, Invalid>;

    /// The first complete message of a server with its length; none if more bytes are needed.
    ///
    /// # Errors
    /// Fails on bytes that the protocol does not allow.
    fn answer(bytes: &[u8], max: usize) -> Result<Option<(usize, Answer<'_>)>, Invalid>;

    /// Opens a connection to the server `id` of a service.
    fn connect(out: &mut BytesMut, service: &str, id: &str);

    /// Writes a statement of the entry's own.
    fn command(out: &mut BytesMut, command: Command<'_>);

    /// Writes a caller's statement.
    fn forward(out: &mut BytesMut, statement: Forward<'_>);

    /// Tells a caller that a statement which the entry has answered itself is done.
    fn done(out: &mut BytesMut);

    /// Tells a caller that a statement has failed.
    fn error(out: &mut BytesMut, code: Code, text: &str);

    /// Ends an answer to a caller.
    fn ready(out: &mut BytesMut, state: State, point: Option<Point>);
}
