//! Consistency check of the connections to servers: each one must be in exactly one state, and the
//! counts of each server must agree with its connections.

use crate::conn::{Conn, Purpose};
use crate::event::ConnKey;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::session::Stage;
use clock::Clock;

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Number of connections that are missing from their server's list or are not in exactly one of
    /// these states, plus the deviations of the servers' counts: idle, used by a session, lent,
    /// requested from a lender, or awaiting an answer.
    /// A value above 0 means that connections are lost to statements until they are closed.
    pub(crate) fn unaccounted(&self) -> usize {
        let unused = self
            .conns
            .iter()
            .filter(|(key, conn)| !self.is_accounted(*key, conn));
        unused.count() + self.count_deviation()
    }

    fn is_accounted(&self, key: ConnKey, conn: &Conn) -> bool {
        let server = &self.servers[conn.server];
        let is_idle = server.idle.contains(&key);
        let is_used = conn.session.is_some_and(|session| {
            self.sessions.get(session).is_some_and(|session| {
                let stage = session.query.as_ref().map(|query| query.stage);
                let in_query = matches!(
                    stage,
                    Some(Stage::Preparing(used) | Stage::Sent(used)) if used == key
                );
                let transaction = session.transaction.as_ref();
                in_query || transaction.is_some_and(|transaction| transaction.conn == Some(key))
            })
        });
        let is_lent = conn
            .lent_to
            .is_some_and(|(stream, loan)| self.lent_conn(stream, loan) == Some(key));
        let is_requested = conn.loan.is_some_and(|loan| !loan.granted);
        let awaits_answer = conn.session.is_none() && !conn.pending.is_empty();
        server.conns.contains(&key)
            && [is_idle, is_used, is_lent, is_requested, awaits_answer]
                .iter()
                .filter(|holds| **holds)
                .count()
                == 1
    }

    /// Sum of the differences between the counts of each server and its connections.
    fn count_deviation(&self) -> usize {
        let mut deviation = 0;
        for server in &self.servers {
            let conns = server.conns.iter().filter_map(|key| self.conns.get(*key));
            let (mut total, mut running, mut borrowed, mut opening) = (0, 0, 0, 0);
            for conn in conns {
                let requested = conn.loan.is_some_and(|loan| !loan.granted);
                let starting = conn.pending.front() == Some(&Purpose::Startup);
                total += 1;
                running += usize::from(conn.session.is_some() || conn.lent_to.is_some());
                borrowed += usize::from(conn.loan.is_some());
                opening += usize::from(requested || starting);
            }
            deviation += server.conns.len().abs_diff(total)
                + server.running.abs_diff(running)
                + server.borrowed.abs_diff(borrowed)
                + server.opening.abs_diff(opening);
        }
        deviation
    }
}
