//! Messages of callers and servers, independent of their encoding.

use std::fmt;

use bytes::BytesMut;
use types::Point;

/// Whether a statement changes data.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Access {
    Read,
    Write,
}

/// A statement of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Statement<'a> {
    Begin {
        /// The transaction contains no writes.
        read_only: bool,
    },
    Commit,
    Rollback,
    Read,
    Write,
    /// Sets a session variable.
    Set {
        name: &'a str,
        value: &'a str,
    },
    /// Prepares a shape of statements under a name.
    Prepare {
        /// Name within the session.
        name: &'a str,
        /// What statements of the shape do.
        access: Access,
        shape: &'a str,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name within the session.
        name: &'a str,
        arguments: &'a str,
    },
    /// Removes a prepared name.
    Deallocate {
        /// Name within the session.
        name: &'a str,
    },
    /// A statement of no known kind.
    Unknown,
}

/// A message of a caller.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Request<'a> {
    /// Opens a session.
    Startup {
        database: &'a str,
        /// Key of the caller's tenant, or any text where none is needed.
        key: &'a str,
    },
    /// A statement.
    Query {
        /// The caller's id of the attempt.
        id: &'a str,
        /// The statement as it was sent.
        text: &'a str,
        /// The parsed statement.
        statement: Statement<'a>,
    },
    /// Ends the session.
    Terminate,
}

impl fmt::Debug for Request<'_> {
    /// Shows no key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Startup { database, .. } => f
                .debug_struct("Startup")
                .field("database", database)
                .finish_non_exhaustive(),
            Self::Query {
                id,
                text,
                statement,
            } => f
                .debug_struct("Query")
                .field("id", id)
                .field("text", text)
                .field("statement", statement)
                .finish(),
            Self::Terminate => f.write_str("Terminate"),
        }
    }
}

/// Transaction state of a session or of a connection to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed and can only be ended.
    Failed,
}

/// Error codes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Code {
    /// Not run: no capacity at present.
    Busy,
    /// Not run, or rolled back: the transaction is gone.
    Aborted,
    /// Not run: the log lacks the requested position.
    Lagging,
    /// Not run: the server does not lead.
    ReadOnly,
    /// Not run: the server is not the requested one.
    WrongServer,
    /// Not run: the server has no connection left.
    ConnectionLimit,
    /// Not run: the prepared name is unknown.
    NotPrepared,
    /// The statement ran and failed.
    Failed,
    /// The statement took too long and may have run.
    Timeout,
    /// The answer is lost and the statement may have run.
    Unknown,
    /// The database does not exist.
    NoDatabase,
    /// No tenant holds the caller's key.
    Denied,
    /// A message is too large, or a session has too many variables or prepared names.
    TooLarge,
    /// The message is invalid, or not allowed in the state of the session.
    Malformed,
    /// Any other error.
    Other,
}

impl Code {
    /// Whether a server that answers with this code has not run the statement.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy | Self::Lagging | Self::ReadOnly | Self::WrongServer | Self::NotPrepared
        )
    }

    /// Label in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Lagging => "behind",
            Self::ReadOnly => "read_only",
            Self::WrongServer => "wrong_server",
            Self::ConnectionLimit => "connection_limit",
            Self::NotPrepared => "not_prepared",
            Self::Failed => "failed",
            Self::Timeout => "timeout",
            Self::Unknown => "unknown",
            Self::NoDatabase => "no_database",
            Self::Denied => "denied",
            Self::TooLarge => "too_large",
            Self::Malformed => "malformed",
            Self::Other => "other",
        }
    }
}

/// A message of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer<'a> {
    /// A row of the result.
    Row,
    /// The statement has run. Servers send it after the last row.
    Complete,
    /// The statement has failed.
    Error {
        code: Code,
        /// The server's error message.
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

/// Why bytes are not a valid message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invalid {
    /// The message is larger than allowed.
    TooLarge,
    /// The message cannot be decoded.
    Malformed,
}

/// A command that the proxy itself sends to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command<'a> {
    /// Begins a transaction.
    Begin {
        /// The transaction contains no writes, so that a replica may serve it.
        read_only: bool,
        /// Position that the server must have applied.
        after: Option<Point>,
    },
    /// Rolls the open transaction back.
    Rollback,
    /// Sets a session variable.
    Set { name: &'a str, value: &'a str },
    /// Clears all variables and prepared statements.
    Reset,
    /// Prepares a shape under a number of the proxy.
    Prepare {
        number: u32,
        /// What statements of the shape do.
        access: Access,
        shape: &'a str,
    },
}

/// A caller's statement that is forwarded to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Forward<'a> {
    /// The caller's id of the attempt.
    pub id: &'a str,
    /// Position that the server must have applied.
    pub after: Option<Point>,
    pub body: Body<'a>,
}

/// Content of a forwarded statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body<'a> {
    /// The caller's own text.
    Text(&'a str),
    /// A prepared statement, under the number that the proxy gave its shape.
    Execute {
        number: u32,
        /// The caller's arguments.
        arguments: &'a str,
    },
}

/// Decodes and encodes the messages of one protocol, between callers and the proxy and between the
/// proxy and servers.
pub trait Protocol: 'static {
    /// Decodes the first message of a caller and returns it with its length, or `None` if it is
    /// incomplete.
    ///
    /// # Errors
    /// Fails if the message is invalid or larger than `max_bytes`.
    fn decode_request(
        bytes: &[u8],
        max_bytes: usize,
    ) -> Result<Option<(usize, Request<'_>)>, Invalid>;

    /// Decodes the first message of a server and returns it with its length, or `None` if it is
    /// incomplete.
    ///
    /// # Errors
    /// Fails if the message is invalid or larger than `max_bytes`.
    fn decode_answer(
        bytes: &[u8],
        max_bytes: usize,
    ) -> Result<Option<(usize, Answer<'_>)>, Invalid>;

    /// Encodes the message that opens a connection to the server `id` of a service, in the name of
    /// a tenant or, without one, of the proxy itself.
    fn encode_startup(out: &mut BytesMut, service: &str, tenant: Option<&str>, id: &str);

    /// Encodes a command of the proxy itself.
    fn encode_command(out: &mut BytesMut, command: Command<'_>);

    /// Encodes a caller's statement for a server.
    fn encode_forward(out: &mut BytesMut, statement: Forward<'_>);

    /// Encodes the success of a statement that the proxy has answered itself.
    fn encode_complete(out: &mut BytesMut);

    /// Encodes an error for a caller.
    fn encode_error(out: &mut BytesMut, code: Code, text: &str);

    /// Encodes the end of an answer to a caller.
    fn encode_ready(out: &mut BytesMut, state: State, point: Option<Point>);
}
