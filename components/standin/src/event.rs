//! What I/O tasks tell the loop.

use std::net::SocketAddr;

use pgwire::messages::PgWireFrontendMessage;
use tokio::sync::mpsc::UnboundedSender;

use crate::wal;

/// An event of an I/O task.
#[derive(Debug)]
pub(crate) enum Event {
    /// Messages of a client, in order.
    Messages(u64, Vec<PgWireFrontendMessage>),
    /// A client's connection has ended.
    Closed(u64),
    /// A message of the primary; the number tells connections apart.
    Upstream(u64, wal::Message),
    /// The connection to the primary has ended.
    Lost(u64),
    /// An announcement was accepted or not.
    Announced(SocketAddr, bool),
}

pub(crate) type Events = UnboundedSender<Event>;
