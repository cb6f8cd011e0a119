//! Acknowledgements of writes: held back until the lease, the term and the replicas allow them.

use std::time::Instant;

use bytes::BytesMut;
use pg::{Severity, Status};
use session::Session;
use types::target::{Role, State as TargetState};
use types::{Name, Point, Term};

use crate::caller::State;
use crate::database::Ack;
use crate::event::CallerKey;
use crate::event_loop::Loop;
use crate::server::Server;
use crate::timer::Timer;

/// SQLSTATE of a write whose outcome is not known.
const UNKNOWN: &str = "08007";
/// Length of a ReadyForQuery, which ends every answer that is held back.
const READY_BYTES: usize = 6;

impl Loop {
    /// The primary has answered a write: decides whether the caller gets the answer now, later, or
    /// only that the outcome is not known.
    pub(crate) fn acknowledge(
        &mut self,
        now: Instant,
        key: CallerKey,
        probe: Option<relay::probe::Answer>,
        held: BytesMut,
    ) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let Some(database) = self.databases.get_mut(&caller.database) else {
            return;
        };
        let Some(answer) = probe.filter(|answer| answer.role == Role::Primary) else {
            return self.report_unknown(key, "no_position");
        };
        let Point { term, lsn } = answer.point;
        if let Err(reason) = self.control.may_acknowledge(now, &caller.database, term) {
            return self.report_unknown(key, reason);
        }
        if database.settings.acks == 0 {
            return self.confirm(now, key, answer.point, held);
        }
        let deadline = now + database.settings.ack_timeout;
        database.acks.push(Ack {
            caller: key,
            term,
            lsn,
            since: now,
            deadline,
            held,
        });
        caller.state = State::Acknowledging;
        self.timers
            .add(deadline, Timer::Acks(caller.database.clone()));
        let name = caller.database.clone();
        self.on_acks(now, &name);
        self.watch_replicas(now, &name);
    }

    /// Acknowledges the writes of a database that enough replicas cover, and gives up those whose
    /// deadline has passed.
    pub(crate) fn on_acks(&mut self, now: Instant, name: &Name) {
        let Some(database) = self.databases.get_mut(name) else {
            return;
        };
        if database.acks.is_empty() {
            return;
        }
        let replicas = database.servers.iter().map(|index| &self.servers[*index]);
        // A leaving replica stops counting before the choice of a primary stops asking it.
        let counted =
            replicas.filter(|server| server.known && server.state(now) != TargetState::Leaving);
        let points: Vec<Point> = counted
            .filter(|server| matches!(server.watch.last, Some((Role::Replica, _))))
            .filter_map(Server::point)
            .collect();
        let wanted = database.settings.acks;
        let covered = |ack: &Ack| {
            points
                .iter()
                .filter(|p| p.term == ack.term && p.lsn >= ack.lsn)
                .count()
                >= wanted
        };
        let mut acks = std::mem::take(&mut database.acks);
        let mut waiting = Vec::with_capacity(acks.len());
        let mut ended = Vec::new();
        for ack in acks.drain(..) {
            if covered(&ack) || ack.deadline <= now {
                ended.push((covered(&ack), ack));
            } else {
                waiting.push(ack);
            }
        }
        database.acks = waiting;
        for (covered, ack) in ended {
            let point = Point {
                term: ack.term,
                lsn: ack.lsn,
            };
            let allowed = self.control.may_acknowledge(now, name, ack.term);
            self.metrics
                .ack_wait
                .observe((now - ack.since).as_secs_f64());
            match (covered, allowed) {
                (true, Ok(())) => self.confirm(now, ack.caller, point, ack.held),
                (_, Err(reason)) => self.report_unknown(ack.caller, reason),
                (false, Ok(())) => self.report_unknown(ack.caller, "ack_timeout"),
            }
        }
    }

    /// Gives up the writes of earlier terms, whose fate a promotion has decided.
    pub(crate) fn drop_acks_before(&mut self, name: &Name, term: Option<Term>) {
        let Some(database) = self.databases.get_mut(name) else {
            return;
        };
        let old = |ack: &Ack| Some(ack.term) != term;
        let acks = std::mem::take(&mut database.acks);
        let (given_up, kept) = acks.into_iter().partition(old);
        database.acks = kept;
        for ack in given_up {
            self.report_unknown(ack.caller, "term");
        }
    }

    /// Tells a caller that its write is done, with the session's token before ReadyForQuery.
    pub(crate) fn confirm(&mut self, now: Instant, key: CallerKey, point: Point, held: BytesMut) {
        self.metrics.acknowledged.inc();
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let (answers, ready) = held.split_at(held.len().saturating_sub(READY_BYTES));
        caller.out.extend_from_slice(answers);
        if let Session::Token(token) = &mut caller.session {
            match token.advance(&caller.database, point) {
                Ok(()) => pg::parameter_status(
                    &mut caller.out,
                    "limpettally.session",
                    &self.signer.sign(token),
                ),
                // A session of more databases than a token holds reads from primaries from here on.
                Err(_) => {
                    caller.session = Session::Name(caller.database.clone());
                }
            }
        }
        caller.out.extend_from_slice(ready);
        caller.state = State::Idle;
        let database = caller.database.clone();
        self.report_if_held(now, &database);
        self.dirty_callers.push(key);
        self.ready.push(key);
    }

    /// Tells a caller that its write may or may not be done.
    pub(crate) fn report_unknown(&mut self, key: CallerKey, reason: &'static str) {
        self.metrics.unknown.add(reason);
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let text =
            format!("the outcome of the write is not known ({reason}); it may be done or not");
        pg::error_response(&mut caller.out, Severity::Error, UNKNOWN, &text);
        pg::ready_for_query(&mut caller.out, Status::Idle);
        caller.status = Status::Idle;
        caller.transaction = None;
        caller.state = State::Idle;
        self.dirty_callers.push(key);
        self.ready.push(key);
    }
}
