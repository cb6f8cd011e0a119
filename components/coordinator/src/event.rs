//! Events that the coordinator's loop handles.

use std::time::Instant;

use cluster::peers;
use cluster::writes::Completion;
use disk::{Native, Wal};
use link::Frame;
use registry::Sample;
use registry::failover::{Command, Promotion, Status};
use tokio::sync::mpsc;

/// Identifies a stream from an entry; never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamId(pub u64);

/// Outcome of asking a server whether it is the primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ping {
    /// A connection was opened, before the server was asked.
    Connected,
    /// It is the primary.
    Primary {
        /// End of its log.
        sample: Sample,
        /// When the request was sent.
        asked_at: Instant,
    },
    /// It answered but is not the primary.
    NotPrimary,
    /// No answer in time, or the connection failed.
    Unanswered,
    /// The server closed the connection.
    Closed,
}

/// Something that happened outside the loop.
#[derive(Debug)]
pub enum Event {
    /// Event of a stream to or from another coordinator.
    Peer(peers::Event),
    /// An entry opened a stream.
    EntryOpened(StreamId, mpsc::Sender<Frame>),
    /// A message of an entry, or the end of its stream.
    Entry(StreamId, link::Event<wire::Subscribe>),
    /// An entry opened a stream for claims of tokens.
    RateOpened(StreamId, mpsc::Sender<wire::Issue>),
    /// A claim of an entry, or the end of its stream.
    Rate(StreamId, link::Event<wire::Claim>),
    /// A batch of disk writes has completed or failed.
    Disk(Completion<Wal<Native>>),
    /// Outcome of a command to a server.
    CommandAnswer {
        service: String,
        /// Identity of the server.
        id: String,
        command: Command,
        /// `None` if the command failed or was not answered in time.
        status: Option<Status>,
    },
    /// Outcome of a promotion call to the platform.
    PromotionAnswer {
        service: String,
        /// Fencing token of the promotion.
        token: u64,
        answer: Promotion,
    },
    /// A server was asked whether it is the primary, or its connection has ended.
    Ping {
        /// Identity of the server.
        id: String,
        ping: Ping,
    },
    /// A request to the HTTP endpoint.
    Http(observe::http::Request),
    /// The settings file has changed.
    Reload,
    /// SIGTERM or SIGINT.
    Stop,
}

impl From<peers::Event> for Event {
    fn from(event: peers::Event) -> Self {
        Self::Peer(event)
    }
}

impl From<observe::http::Request> for Event {
    fn from(request: observe::http::Request) -> Self {
        Self::Http(request)
    }
}
