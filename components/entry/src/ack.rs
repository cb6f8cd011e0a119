//! Acknowledgement of writes, held back until the lease, the term and the replicas allow it.

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
use crate::target::Target;
use crate::timer::Timer;

/// SQLSTATE of a write whose outcome is unknown.
const UNKNOWN_OUTCOME_CODE: &str = "08007";
/// Length of a ReadyForQuery message, which ends every answer that is held back.
const READY_FOR_QUERY_BYTES: usize = 6;

impl Loop {
    /// Handles the primary's answer to a write: sends it to the caller now, holds it until replicas
    /// confirm the write, or reports that the outcome is unknown.
    pub(crate) fn on_write_answered(
        &mut self,
        now: Instant,
        key: CallerKey,
        position: Option<relay::probe::Answer>,
        held: BytesMut,
    ) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let Some(database) = self.databases.get_mut(&caller.database) else {
            return;
        };
        let Some(answer) = position.filter(|answer| answer.role == Role::Primary) else {
            return self.report_unknown_outcome(key, "no_position");
        };
        let Point { term, lsn } = answer.point;
        if let Err(reason) = self.control.may_acknowledge(now, &caller.database, term) {
            return self.report_unknown_outcome(key, reason);
        }
        if database.settings.required_acks == 0 {
            return self.send_acknowledgement(now, key, answer.point, held);
        }
        let deadline = now + database.settings.ack_timeout;
        database.pending_acks.push(Ack {
            caller: key,
            term,
            lsn,
            committed_at: now,
            deadline,
            held,
        });
        caller.state = State::Acknowledging;
        self.timers
            .add(deadline, Timer::Acks(caller.database.clone()));
        let name = caller.database.clone();
        self.resolve_acks(now, &name);
        self.probe_replicas(now, &name);
    }

    /// Acknowledges the writes of a database that enough replicas have confirmed, and reports an
    /// unknown outcome for those whose deadline has passed.
    pub(crate) fn resolve_acks(&mut self, now: Instant, name: &Name) {
        let Some(database) = self.databases.get_mut(name) else {
            return;
        };
        if database.pending_acks.is_empty() {
            return;
        }
        let replicas = database.targets.iter().map(|index| &self.targets[*index]);
        // A leaving replica stops counting here before the selection of a primary stops asking it.
        let counted_replicas = replicas
            .filter(|target| target.in_catalog && target.state(now) != TargetState::Leaving);
        let points: Vec<Point> = counted_replicas
            .filter(|target| matches!(target.probe.last_answer, Some((Role::Replica, _))))
            .filter_map(Target::point)
            .collect();
        let required_acks = database.settings.required_acks;
        let covered = |ack: &Ack| {
            points
                .iter()
                .filter(|p| p.term == ack.term && p.lsn >= ack.lsn)
                .count()
                >= required_acks
        };
        let mut acks = std::mem::take(&mut database.pending_acks);
        let mut waiting = Vec::with_capacity(acks.len());
        let mut ended = Vec::new();
        for ack in acks.drain(..) {
            if covered(&ack) || ack.deadline <= now {
                ended.push((covered(&ack), ack));
            } else {
                waiting.push(ack);
            }
        }
        database.pending_acks = waiting;
        for (covered, ack) in ended {
            let point = Point {
                term: ack.term,
                lsn: ack.lsn,
            };
            let allowed = self.control.may_acknowledge(now, name, ack.term);
            self.metrics
                .ack_wait
                .observe((now - ack.committed_at).as_secs_f64());
            match (covered, allowed) {
                (true, Ok(())) => self.send_acknowledgement(now, ack.caller, point, ack.held),
                (_, Err(reason)) => self.report_unknown_outcome(ack.caller, reason),
                (false, Ok(())) => self.report_unknown_outcome(ack.caller, "ack_timeout"),
            }
        }
    }

    /// Reports an unknown outcome for writes of earlier terms: the promotion has decided whether
    /// they survive.
    pub(crate) fn drop_stale_acks(&mut self, name: &Name, term: Option<Term>) {
        let Some(database) = self.databases.get_mut(name) else {
            return;
        };
        let is_stale = |ack: &Ack| Some(ack.term) != term;
        let acks = std::mem::take(&mut database.pending_acks);
        let (stale, kept) = acks.into_iter().partition(is_stale);
        database.pending_acks = kept;
        for ack in stale {
            self.report_unknown_outcome(ack.caller, "term");
        }
    }

    /// Sends the held answer to the caller, with the updated session token before ReadyForQuery.
    pub(crate) fn send_acknowledgement(
        &mut self,
        now: Instant,
        key: CallerKey,
        point: Point,
        held: BytesMut,
    ) {
        self.metrics.acknowledged.inc();
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let (answers, ready) = held.split_at(held.len().saturating_sub(READY_FOR_QUERY_BYTES));
        caller.out.extend_from_slice(answers);
        if let Session::Token(token) = &mut caller.session {
            match token.advance(&caller.database, point) {
                Ok(()) => pg::parameter_status(
                    &mut caller.out,
                    "limpettally.session",
                    &self.signer.sign(token),
                ),
                // The token has no room for another database: the session reads from primaries from
                // here on.
                Err(_) => {
                    caller.session = Session::Name(caller.database.clone());
                }
            }
        }
        caller.out.extend_from_slice(ready);
        caller.state = State::Idle;
        let database = caller.database.clone();
        self.renew_if_held(now, &database);
        self.dirty_callers.push(key);
        self.ready_callers.push(key);
    }

    /// Tells a caller that its write may or may not have taken effect.
    pub(crate) fn report_unknown_outcome(&mut self, key: CallerKey, reason: &'static str) {
        self.metrics.unknown_outcomes.add(reason);
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let text =
            format!("the outcome of the write is not known ({reason}); it may be done or not");
        pg::error_response(
            &mut caller.out,
            Severity::Error,
            UNKNOWN_OUTCOME_CODE,
            &text,
        );
        pg::ready_for_query(&mut caller.out, Status::Idle);
        caller.status = Status::Idle;
        caller.transaction = None;
        caller.state = State::Idle;
        self.dirty_callers.push(key);
        self.ready_callers.push(key);
    }
}
