//! Events of the event loop.

use cluster::writes::Completion;
use disk::{Native, Wal};
use failover::Position;
use tokio::sync::mpsc;
use types::{Lsn, Name, Revision, Term};

/// Identifies a stream from an entry; never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamId(pub u64);

/// An event from outside the event loop.
#[derive(Debug)]
pub enum Event {
    /// A stream to another control instance was opened.
    PeerOpened(Name, mpsc::Sender<wire::Peer>),
    /// A dial of another control instance failed, or the stream to it has ended.
    PeerClosed(Name),
    /// A stream from another control instance has ended; that instance opens the next one.
    IncomingPeerClosed,
    /// A message from another control instance.
    PeerMessage(wire::Peer),
    /// An entry opened a stream.
    EntryOpened(StreamId, mpsc::Sender<wire::Down>),
    /// A message from an entry, or the end of its stream.
    EntryStream(StreamId, link::Event<wire::Up>),
    /// A batch of disk writes has ended.
    DiskBatch(Completion<Wal<Native>>),
    /// A target answered a position query.
    Position {
        database: Name,
        target: Name,
        /// Round of the query.
        round: Revision,
        position: Position,
    },
    /// A target was promoted to primary.
    Promoted {
        database: Name,
        target: Name,
        term: Term,
        /// Position where the term began.
        start: Lsn,
    },
    /// A replica follows a primary.
    Following {
        database: Name,
        /// The replica.
        target: Name,
        primary: Name,
    },
    /// A command to a target failed; the failover machine that requested it repeats it. Holds the
    /// kind of the command.
    CommandFailed(&'static str),
    Http(observe::http::Request),
    /// SIGTERM or SIGINT.
    Stop,
}

impl From<observe::http::Request> for Event {
    fn from(request: observe::http::Request) -> Self {
        Self::Http(request)
    }
}
