//! Decisions of one step of a change of primary.

use std::mem::discriminant;
use std::time::{Duration, Instant};

use catalog::{Catalog, Command, Database, Phase};
use types::target::State;
use types::{Lsn, Name, Point, Term};

use crate::change::{Action, Signals, Stage, Stall};
use crate::health::Verdict;
use crate::selection::{Count, Selection};
use crate::state::{Progress, Times};

/// Interval of position queries while writes are fenced or held, which is why it is short.
const FENCED_QUERY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of position queries while the database is steady.
const STEADY_QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which an unanswered proposal, promotion or follow command is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time to wait for more answers than needed under `write.acks` 0. No acknowledged write depends on
/// them, but choosing among more replicas loses fewer writes.
const EXTRA_ANSWERS_WAIT: Duration = Duration::from_millis(200);

/// Longest time for which a planned switch holds writes before the choice. Callers wait in queues
/// meanwhile; the documented bound is 500 ms, of which promotion and publication need a part.
const MAX_HOLD_TIME: Duration = Duration::from_millis(350);

/// Delay of the next planned switch after one that was undone, so that callers are not held again
/// at once.
const UNDONE_SWITCH_PAUSE: Duration = Duration::from_secs(10);

/// Time for the watchers to learn of a new primary with their next grants and to report on it.
const NEW_PRIMARY_GRACE: Duration = Duration::from_secs(1);

/// Time in a phase after which missing progress is reported to the operator.
const STALL_THRESHOLD: Duration = Duration::from_secs(3);

/// Whether an action last done at `last` is due again; if so, sets `last` to `now`.
fn start_if_due(last: &mut Option<Instant>, now: Instant, interval: Duration) -> bool {
    let is_due = last.is_none_or(|last| now >= last + interval);
    if is_due {
        *last = Some(now);
    }
    is_due
}

/// Whether `next` only repeats the proposal `last`, and so has to wait for the retry interval.
fn is_same_step(last: &Command, next: &Command) -> bool {
    match (last, next) {
        (Command::Fence { hold: a, .. }, Command::Fence { hold: b, .. }) => a == b,
        _ => discriminant(last) == discriminant(next),
    }
}

/// One step, with the data that it reads and the state that it may change.
pub(crate) struct Step<'a> {
    pub now: Instant,
    pub name: &'a Name,
    pub catalog: &'a Catalog,
    pub database: &'a Database,
    pub signals: &'a Signals,
    pub state: &'a mut Progress,
    pub times: &'a mut Times,
    pub no_switch_before: &'a mut Option<Instant>,
    pub out: &'a mut Vec<Action>,
}

impl Step<'_> {
    pub fn run(&mut self) {
        self.state.expire_answers(self.now);
        match (self.database.phase(), self.database.writable_primary()) {
            (Phase::Steady, None) => self.adopt_primary(),
            (Phase::Steady, Some((primary, term))) => self.monitor_primary(primary, term),
            (Phase::Fenced { term, hold: true }, _) => self.continue_switch(*term),
            (Phase::Fenced { term, hold: false }, _) => self.continue_failover(*term),
            (Phase::Chosen { term, target }, _) => self.promote_chosen(*term, target),
        }
    }

    fn selection(&self) -> Selection<'_> {
        Selection {
            name: self.name.as_str(),
            catalog: self.catalog,
            database: self.database,
            answers: &self.state.answers,
        }
    }

    fn propose(&mut self, command: Command) {
        let last = self.state.last_proposal.as_ref();
        let is_pending = |(at, last): &(Instant, Command)| {
            self.now < *at + RETRY_INTERVAL && is_same_step(last, &command)
        };
        if !last.is_some_and(is_pending) {
            self.state.last_proposal = Some((self.now, command.clone()));
            self.out.push(Action::Propose(command));
        }
    }

    fn report_stall(&mut self, reason: Stall) {
        self.state.report_stall(reason, self.out);
    }

    fn is_overdue(&self) -> bool {
        self.now >= self.state.entered_at + STALL_THRESHOLD
    }

    /// Queries the positions of the database's members, without the old primary unless
    /// `include_old_primary` is set.
    fn query_positions(&mut self, include_old_primary: bool, interval: Duration) {
        if !start_if_due(&mut self.state.last_query, self.now, interval) {
            return;
        }
        self.state.first_query.get_or_insert(self.now);
        let round = self.state.since;
        let old = self.database.primary();
        for (target, _) in self.catalog.members(self.name.as_str()) {
            if include_old_primary || Some(target) != old {
                let target = target.clone();
                self.out.push(Action::QueryPosition { target, round });
            }
        }
    }

    fn has_waited_for_answers(&self) -> bool {
        let first_query = self.state.first_query;
        first_query.is_some_and(|first_query| self.now >= first_query + EXTRA_ANSWERS_WAIT)
    }

    /// Opens a new database with the only target that reports to be the primary.
    fn adopt_primary(&mut self) {
        self.query_positions(true, STEADY_QUERY_INTERVAL);
        let members = self.catalog.members(self.name.as_str()).count();
        // A target without an answer may be the primary.
        if self.state.answers.len() < members && !self.is_overdue() {
            return;
        }
        let answers = &self.state.answers;
        let newest = answers.values().map(|position| position.point.term).max();
        let mut primaries = answers.iter().filter(|(_, position)| !position.recovering);
        // A single primary on an earlier term than a replica is an old primary that came back.
        let single_primary = match (primaries.next(), primaries.next()) {
            (Some((name, position)), None) if Some(position.point.term) == newest => {
                Some((name.clone(), position.point))
            }
            _ => None,
        };
        match single_primary {
            Some((target, point)) => self.propose(Command::Open {
                database: self.name.clone(),
                term: point.term,
                target,
                start: point.lsn,
            }),
            None if self.is_overdue() => self.report_stall(Stall::NoSinglePrimary),
            None => {}
        }
    }

    /// Completes the last change, and starts a new one if the primary failed or is to be replaced.
    fn monitor_primary(&mut self, primary: &Name, term: Term) {
        if self.signals.fenced
            && let Some(promoted) = self.times.promoted_at.take()
        {
            let duration = self.now - promoted;
            self.out
                .push(Action::ObserveStage(Stage::Publish, duration));
        }
        self.repoint_replicas(primary);
        let primary_state = self.catalog.target(primary.as_str()).map(|t| t.state());
        match self.signals.verdict {
            Verdict::Failed { silence } if self.trusts_silence() => self.fail_over(term, silence),
            Verdict::Healthy => {
                self.times.failed_at = None;
                self.state.seen_healthy = true;
                if primary_state != Some(State::Serving) {
                    self.start_switch_if_close(term);
                }
            }
            Verdict::Failed { .. } | Verdict::Unknown => {}
        }
    }

    /// Whether reported silence may start a failover: the primary was healthy in this phase, or the
    /// watchers have had time to report on it.
    fn trusts_silence(&self) -> bool {
        self.state.seen_healthy || self.now >= self.state.entered_at + NEW_PRIMARY_GRACE
    }

    /// Points the replicas at the primary. Each new leader does this again, since the previous one
    /// may have been lost just after the change.
    fn repoint_replicas(&mut self, primary: &Name) {
        if !start_if_due(&mut self.state.last_follow, self.now, RETRY_INTERVAL) {
            return;
        }
        for (target, _) in self.catalog.members(self.name.as_str()) {
            // The old primary gets the command as well: its server applies the setting when it
            // starts as a replica, and the next change needs it as one.
            if target != primary && !self.state.followers.contains(target) {
                self.out.push(Action::Follow {
                    target: target.clone(),
                    primary: primary.clone(),
                });
            }
        }
    }

    fn fail_over(&mut self, term: Term, silence: Duration) {
        if self.catalog.members(self.name.as_str()).count() < 2 {
            // Without a replica, a fence would only delay the return of the primary.
            return self.report_stall(Stall::NoReplica);
        }
        if self.times.failed_at.is_none() {
            self.times.failed_at = Some(self.now);
            self.out.push(Action::ObserveStage(Stage::Detect, silence));
        }
        self.propose_fence(term, false, "the primary does not answer");
    }

    fn propose_fence(&mut self, last: Term, hold: bool, reason: &str) {
        self.propose(Command::Fence {
            database: self.name.clone(),
            term: Term(last.0.saturating_add(1)),
            hold,
            reason: reason.to_owned(),
        });
    }

    /// Starts a planned switch once a serving replica has reached a recent position of the primary,
    /// so that writes are held only briefly.
    fn start_switch_if_close(&mut self, term: Term) {
        if self
            .no_switch_before
            .is_some_and(|earliest| self.now < earliest)
        {
            return;
        }
        let mut members = self.catalog.members(self.name.as_str());
        if !members.any(|(_, target)| target.state() == State::Serving) {
            return;
        }
        self.query_positions(true, STEADY_QUERY_INTERVAL);
        let primary_lsn = self.selection().old_primary_lsn();
        let Some((measured_at, lsn)) = self.state.catch_up_lsn else {
            self.state.catch_up_lsn = primary_lsn.map(|lsn| (self.now, lsn));
            return;
        };
        let is_close = self.selection().best_covering(lsn).is_some();
        if is_close && self.now < measured_at + MAX_HOLD_TIME {
            self.propose_fence(term, true, "the primary is to go");
        } else if self.now >= measured_at + MAX_HOLD_TIME {
            self.state.catch_up_lsn = None;
        }
    }

    fn record_fenced(&mut self) {
        if self.times.fenced_at.is_none() {
            self.times.fenced_at = Some(self.now);
            if let Some(failed) = self.times.failed_at.take() {
                let duration = self.now - failed;
                self.out.push(Action::ObserveStage(Stage::Fence, duration));
            }
        }
    }

    /// Planned switch: chooses a replica that covers all that the old primary wrote.
    fn continue_switch(&mut self, term: Term) {
        if matches!(self.signals.verdict, Verdict::Failed { .. }) {
            return self.convert_to_failover(term, "the primary failed during the switch");
        }
        if self.signals.fenced {
            self.record_fenced();
            self.query_positions(true, FENCED_QUERY_INTERVAL);
            let selection = self.selection();
            let target = selection
                .old_primary_lsn()
                .and_then(|lsn| selection.best_covering(lsn));
            if let Some((target, point)) = target {
                return self.propose_choice(term, target.clone(), point);
            }
        }
        if self.now >= self.state.entered_at + MAX_HOLD_TIME {
            self.abort_switch(term);
        }
    }

    /// Aborts a planned switch that holds writes for too long.
    fn abort_switch(&mut self, term: Term) {
        let primary_answers = self.selection().old_primary_lsn().is_some();
        if self.signals.verdict != Verdict::Healthy && !primary_answers {
            return self.convert_to_failover(term, "the primary is not known to be healthy");
        }
        *self.no_switch_before = Some(self.now + UNDONE_SWITCH_PAUSE);
        self.reopen_old_primary();
        self.report_stall(Stall::SwitchUndone);
    }

    /// Undoes the fence.
    ///
    /// The old primary is re-opened under its own term, not under that of the fence: its timeline
    /// does not change without a promotion, and positions are compared by timeline, so that a new
    /// term on the old timeline would make later positions look lost. Re-opening is safe as long as
    /// no target was chosen: promotions are sent in phase `Chosen` only, so that no other target
    /// accepted writes, and the catalog refuses to re-open once a choice is committed.
    fn reopen_old_primary(&mut self) {
        let (Some(target), Some(last)) = (self.database.primary(), self.database.term()) else {
            return;
        };
        *self.times = Times::new();
        self.propose(Command::Open {
            database: self.name.clone(),
            term: last,
            target: target.clone(),
            start: Lsn(0),
        });
    }

    /// Turns a planned switch into a failover, which does not need the old primary.
    fn convert_to_failover(&mut self, term: Term, reason: &str) {
        self.propose(Command::Fence {
            database: self.name.clone(),
            term,
            hold: false,
            reason: reason.to_owned(),
        });
    }

    /// Failover: chooses the most advanced replica once enough replicas have answered.
    fn continue_failover(&mut self, term: Term) {
        if !self.signals.fenced {
            return;
        }
        self.record_fenced();
        let overdue = self.is_overdue();
        self.query_positions(overdue, FENCED_QUERY_INTERVAL);
        let selection = self.selection();
        let (count, best) = (selection.count_answers(), selection.most_advanced());
        if count.valid < count.needed {
            // An old primary that came back and lacks no write is better than no primary.
            let lacks_nothing = selection.old_primary_lsn() >= best.map(|(_, point)| point.lsn);
            let is_back =
                self.signals.verdict == Verdict::Healthy && selection.old_primary_lsn().is_some();
            if overdue && is_back && lacks_nothing {
                return self.reopen_old_primary();
            }
            if overdue {
                let Count { needed, valid, .. } = count;
                self.report_stall(Stall::TooFewReplicas { needed, valid });
            }
            return;
        }
        let enough_answers = self.database.min_acks() > 0 || count.valid == count.replicas;
        if let Some((best, point)) =
            best.filter(|_| enough_answers || self.has_waited_for_answers())
        {
            self.propose_choice(term, best.clone(), point);
        }
    }

    fn propose_choice(&mut self, term: Term, target: Name, point: Point) {
        self.propose(Command::Choose {
            database: self.name.clone(),
            term,
            target,
            point,
        });
    }

    /// Promotes the chosen target and no other, as an earlier leader may have promoted it already.
    fn promote_chosen(&mut self, term: Term, target: &Name) {
        if let Some(start) = self.state.term_start {
            return self.propose(Command::Open {
                database: self.name.clone(),
                term,
                target: target.clone(),
                start,
            });
        }
        if start_if_due(&mut self.state.last_promotion, self.now, RETRY_INTERVAL) {
            let target = target.clone();
            self.out.push(Action::Promote { target, term });
        }
        if self.is_overdue() {
            self.report_stall(Stall::PromotionUnanswered(target.clone()));
        }
    }
}
