//! Events of the coordinator's loop.

use cluster::peers;
use cluster::writes::Completion;
use disk::{Native, Wal};
use link::Frame;
use registry::Sample;
use registry::failover::{Command, Promotion, Status};
use tokio::sync::mpsc;

/// Identity of a stream from an entry, never used twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamId(pub u64);

/// What a server said.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ping {
    /// It leads, and its log ends here.
    Leads(Sample),
    /// It answers but does not lead.
    Follows,
    /// It does not answer.
    Silent,
    /// It has closed the connection.
    Closed,
}

/// Something that happened outside the loop.
#[derive(Debug)]
pub enum Event {
    /// Streams to other coordinators.
    Peer(peers::Event),
    /// An entry opened a stream.
    EntryOpen(StreamId, mpsc::Sender<Frame>),
    /// A message of an entry, or the end of its stream.
    Entry(StreamId, link::Event<wire::Subscribe>),
    /// A batch of writes has ended.
    Disk(Completion<Wal<Native>>),
    /// A server answered a command, or did not.
    Answer {
        /// Its service.
        service: String,
        /// The server.
        id: String,
        /// The command.
        command: Command,
        /// The answer.
        status: Option<Status>,
    },
    /// The platform answered a promotion, or did not.
    Promoted {
        /// The service.
        service: String,
        /// Token of the promotion.
        token: u64,
        /// The answer.
        answer: Promotion,
    },
    /// A server was asked whether it leads.
    Ping {
        /// The server.
        id: String,
        /// What it said.
        ping: Ping,
    },
    /// A request on the HTTP endpoint.
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
