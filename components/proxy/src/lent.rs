//! Content of lent connections, which is passed on and counted.

use std::time::Instant;

use bytes::{Buf as _, BytesMut};
use clock::Clock;
use wire::Lend;

use crate::event::ConnKey;
use crate::process::Loop;
use crate::protocol::{Answer, Code, Protocol};

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Forwards a server's bytes to the borrower of the connection. Returns false if it is not
    /// lent.
    pub(crate) fn forward_to_borrower(
        &mut self,
        now: Instant,
        key: ConnKey,
        bytes: &BytesMut,
    ) -> bool {
        let Some(conn) = self.conns.get(key) else {
            return false;
        };
        let Some((stream, loan)) = conn.lent_to else {
            return false;
        };
        let index = conn.server;
        self.servers[index].on_lent_bytes(now);
        let message = Lend::Receive {
            loan,
            bytes: bytes.to_vec().into(),
        };
        self.borrowers.send(now, stream, message);
        self.count_lent_answers(now, key, bytes);
        true
    }

    /// Counts the answers in a server's bytes for a borrower, and learns from them whether the server
    /// has slots.
    fn count_lent_answers(&mut self, now: Instant, key: ConnKey, bytes: &[u8]) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        conn.inbox.extend_from_slice(bytes);
        let server = &mut self.servers[conn.server];
        let was_busy = conn.lent_pending > 0;
        while let Ok(Some((len, answer))) = P::decode_answer(&conn.inbox, self.settings.max_message)
        {
            match answer {
                Answer::Ready { .. } => conn.lent_pending = conn.lent_pending.saturating_sub(1),
                Answer::Row => server.window.on_served(),
                Answer::Error {
                    code: Code::Busy, ..
                } => server.window.on_rejected(now),
                Answer::Complete | Answer::Error { .. } => {}
            }
            conn.inbox.advance(len);
        }
        if was_busy && conn.lent_pending == 0 {
            self.due_services.push(server.service);
        }
    }
}

/// Number of requests in the bytes that a borrower has sent. A borrower sends whole messages only.
pub fn count_requests<P: Protocol>(mut bytes: &[u8], max_message: usize) -> usize {
    let mut count = 0;
    while let Ok(Some((len, _))) = P::decode_request(bytes, max_message) {
        bytes = &bytes[len..];
        count += 1;
    }
    count
}
