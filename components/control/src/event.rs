//! Events of the control loop.

use cluster::writes::Completion;
use disk::{Native, Wal};
use failover::Position;
use tokio::sync::mpsc;
use types::{Lsn, Name, Revision, Term};

/// Identity of a stream from an entry, never used twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamId(pub u64);

/// Something that happened outside the loop.
#[derive(Debug)]
pub enum Event {
    /// A stream to a control instance is open.
    PeerOpen(Name, mpsc::Sender<wire::Peer>),
    /// A dial of a control instance failed, or the stream to it has ended.
    PeerClosed(Name),
    /// A stream from a control instance has ended; that instance opens the next one.
    PeerEnded,
    /// A message of a control instance.
    Peer(wire::Peer),
    /// An entry opened a stream.
    EntryOpen(StreamId, mpsc::Sender<wire::Down>),
    /// A message of an entry, or the end of its stream.
    Entry(StreamId, link::Event<wire::Up>),
    /// A batch of writes has ended.
    Disk(Completion<Wal<Native>>),
    /// A target answered a position query of a round.
    Position {
        /// The database.
        database: Name,
        /// The target.
        target: Name,
        /// Round of the query.
        round: Revision,
        /// Its answer.
        position: Position,
    },
    /// A target is primary of a term.
    Promoted {
        /// The database.
        database: Name,
        /// The target.
        target: Name,
        /// Its term.
        term: Term,
        /// Where the term began.
        start: Lsn,
    },
    /// A replica follows a primary.
    Following {
        /// The database.
        database: Name,
        /// The replica.
        target: Name,
        /// The primary.
        primary: Name,
    },
    /// A command to a target failed; it is repeated by the machine that asked for it.
    CommandFailed(&'static str),
    /// A request on the HTTP endpoint.
    Http(observe::http::Request),
    /// SIGTERM or SIGINT.
    Stop,
}

impl From<observe::http::Request> for Event {
    fn from(request: observe::http::Request) -> Self {
        Self::Http(request)
    }
}
