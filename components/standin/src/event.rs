//! Events that the I/O tasks send to the event loop.

use std::net::SocketAddr;

use pgwire::messages::PgWireFrontendMessage;
use tokio::sync::mpsc::UnboundedSender;

use crate::wal;

#[derive(Debug)]
pub(crate) enum Event {
    /// Messages of the client of a session, in the order received.
    Messages(u64, Vec<PgWireFrontendMessage>),
    /// The connection of a session has ended.
    Closed(u64),
    /// A message from the primary, with the number of the replication connection.
    Upstream(u64, wal::Message),
    /// The replication connection with this number has ended.
    UpstreamClosed(u64),
    /// An announcement to an entry has ended; true if the entry accepted it.
    Announced(SocketAddr, bool),
}

pub(crate) type Events = UnboundedSender<Event>;
