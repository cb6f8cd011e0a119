//! One step of a change of primary.

use std::mem::discriminant;
use std::time::{Duration, Instant};

use catalog::{Catalog, Command, Database, Phase};
use types::target::State;
use types::{Lsn, Name, Point, Term};

use crate::change::{Action, Reason, Signals, Stage};
use crate::choice::{Ballot, Count};
use crate::health::Verdict;
use crate::work::{Clock, Work};

/// Interval of position queries. A planned switch holds writes while it asks, so it is short.
const QUERY: Duration = Duration::from_millis(20);

/// Interval of position queries while the database is open.
const PROBE: Duration = Duration::from_millis(100);

/// Interval at which a proposal, a promotion or a follow command without an answer is repeated.
const REPEAT: Duration = Duration::from_millis(500);

/// How long more answers are awaited than are needed, when nothing that was acknowledged depends
/// on them: a fuller choice loses fewer writes under `write.acks` 0.
const COLLECT: Duration = Duration::from_millis(200);

/// Longest hold. Callers wait in queues meanwhile, and the stated bound is 500 ms, of which
/// promotion and publication need a part.
const HOLD: Duration = Duration::from_millis(350);

/// Pause after a planned switch that was undone, so that callers are not held again at once.
const PAUSE: Duration = Duration::from_secs(10);

/// Time for the watchers of a new primary to learn of it with the next grants and to report.
const SETTLE: Duration = Duration::from_secs(1);

/// A step that takes longer than this is told to the operator.
const PATIENCE: Duration = Duration::from_secs(3);

/// Whether something last done at `last` is due again; notes that it is done now.
fn due(last: &mut Option<Instant>, now: Instant, interval: Duration) -> bool {
    let due = last.is_none_or(|last| now >= last + interval);
    if due {
        *last = Some(now);
    }
    due
}

/// Whether two proposals are for the same step, so that the later one waits for the first.
fn is_same_step(last: &Command, next: &Command) -> bool {
    match (last, next) {
        (Command::Fence { hold: a, .. }, Command::Fence { hold: b, .. }) => a == b,
        _ => discriminant(last) == discriminant(next),
    }
}

/// One step: everything that decides and everything that it may change.
pub(crate) struct Turn<'a> {
    pub now: Instant,
    pub name: &'a Name,
    pub catalog: &'a Catalog,
    pub database: &'a Database,
    pub signals: &'a Signals,
    pub work: &'a mut Work,
    pub clock: &'a mut Clock,
    pub pause: &'a mut Option<Instant>,
    pub out: &'a mut Vec<Action>,
}

impl Turn<'_> {
    pub fn run(&mut self) {
        self.work.expire(self.now);
        match (self.database.phase(), self.database.writable_primary()) {
            (Phase::Steady, None) => self.adopt(),
            (Phase::Steady, Some((primary, term))) => self.watch(primary, term),
            (Phase::Fenced { term, hold: true }, _) => self.hold(*term),
            (Phase::Fenced { term, hold: false }, _) => self.fenced(*term),
            (Phase::Chosen { term, target }, _) => self.promote(*term, target),
        }
    }

    fn ballot(&self) -> Ballot<'_> {
        Ballot {
            name: self.name.as_str(),
            catalog: self.catalog,
            database: self.database,
            answers: &self.work.answers,
        }
    }

    fn propose(&mut self, command: Command) {
        let last = self.work.proposed.as_ref();
        let pending = |(at, last): &(Instant, Command)| {
            self.now < *at + REPEAT && is_same_step(last, &command)
        };
        if !last.is_some_and(pending) {
            self.work.proposed = Some((self.now, command.clone()));
            self.out.push(Action::Propose(command));
        }
    }

    fn report(&mut self, reason: Reason) {
        self.work.report(reason, self.out);
    }

    fn is_late(&self) -> bool {
        self.now >= self.work.entered + PATIENCE
    }

    /// Asks the members of the database; the old primary only if `all`.
    fn ask(&mut self, all: bool, interval: Duration) {
        if !due(&mut self.work.asked, self.now, interval) {
            return;
        }
        self.work.opened.get_or_insert(self.now);
        let round = self.work.since;
        let old = self.database.primary();
        for (target, _) in self.catalog.members(self.name.as_str()) {
            if all || Some(target) != old {
                let target = target.clone();
                self.out.push(Action::Query { target, round });
            }
        }
    }

    fn has_collected(&self) -> bool {
        let opened = self.work.opened;
        opened.is_some_and(|opened| self.now >= opened + COLLECT)
    }

    /// Names the first primary: the one target that says it is the primary.
    fn adopt(&mut self) {
        self.ask(true, PROBE);
        let members = self.catalog.members(self.name.as_str()).count();
        // A target without an answer may be the primary.
        if self.work.answers.len() < members && !self.is_late() {
            return;
        }
        let answers = &self.work.answers;
        let newest = answers.values().map(|p| p.point.term).max();
        let mut primaries = answers.iter().filter(|(_, p)| !p.recovering);
        // A lone primary behind a replica's term is an old one that came back.
        let found = match (primaries.next(), primaries.next()) {
            (Some((name, p)), None) if Some(p.point.term) == newest => {
                Some((name.clone(), p.point))
            }
            _ => None,
        };
        match found {
            Some((target, point)) => self.propose(Command::Open {
                database: self.name.clone(),
                term: point.term,
                target,
                start: point.lsn,
            }),
            None if self.is_late() => self.report(Reason::NoSinglePrimary),
            None => {}
        }
    }

    /// Looks for a reason to change a steady database, and finishes the last change.
    fn watch(&mut self, primary: &Name, term: Term) {
        if self.signals.fenced
            && let Some(promoted) = self.clock.promoted.take()
        {
            let took = self.now - promoted;
            self.out.push(Action::Observe(Stage::Publish, took));
        }
        self.follow(primary);
        let state = self.catalog.target(primary.as_str()).map(|t| t.state());
        match self.signals.verdict {
            Verdict::Failed { silent } if self.may_fail() => self.fail(term, silent),
            Verdict::Healthy => {
                self.clock.failed = None;
                self.work.healthy = true;
                if state != Some(State::Serving) {
                    self.plan(term);
                }
            }
            Verdict::Failed { .. } | Verdict::Unknown => {}
        }
    }

    /// Silence counts once the primary was seen healthy in this phase, or had time to be.
    fn may_fail(&self) -> bool {
        self.work.healthy || self.now >= self.work.entered + SETTLE
    }

    /// Points replicas at the primary. Repeated by each new leader, since an earlier one may have
    /// been lost just after the change.
    fn follow(&mut self, primary: &Name) {
        if !due(&mut self.work.followed, self.now, REPEAT) {
            return;
        }
        for (target, _) in self.catalog.members(self.name.as_str()) {
            // An old primary gets the setting as well: a server applies it when it starts as a
            // replica, and it is needed as one for the next change.
            if target != primary && !self.work.following.contains(target) {
                self.out.push(Action::Follow {
                    target: target.clone(),
                    primary: primary.clone(),
                });
            }
        }
    }

    fn fail(&mut self, term: Term, silent: Duration) {
        if self.catalog.members(self.name.as_str()).count() < 2 {
            // A fence would only delay the primary's return.
            return self.report(Reason::NoReplica);
        }
        if self.clock.failed.is_none() {
            self.clock.failed = Some(self.now);
            self.out.push(Action::Observe(Stage::Detect, silent));
        }
        self.fence(term, false, "the primary does not answer");
    }

    fn fence(&mut self, last: Term, hold: bool, reason: &str) {
        self.propose(Command::Fence {
            database: self.name.clone(),
            term: Term(last.0.saturating_add(1)),
            hold,
            reason: reason.to_owned(),
        });
    }

    /// Starts a planned switch once a serving replica is close behind, so that the hold is short.
    fn plan(&mut self, term: Term) {
        if self.pause.is_some_and(|pause| self.now < pause) {
            return;
        }
        let mut members = self.catalog.members(self.name.as_str());
        if !members.any(|(_, target)| target.state() == State::Serving) {
            return;
        }
        self.ask(true, PROBE);
        let written = self.ballot().written();
        let Some((marked, lsn)) = self.work.mark else {
            self.work.mark = written.map(|lsn| (self.now, lsn));
            return;
        };
        let close = self.ballot().covering(lsn).is_some();
        if close && self.now < marked + HOLD {
            self.fence(term, true, "the primary is to go");
        } else if self.now >= marked + HOLD {
            self.work.mark = None;
        }
    }

    fn note_fenced(&mut self) {
        if self.clock.fenced.is_none() {
            self.clock.fenced = Some(self.now);
            if let Some(failed) = self.clock.failed.take() {
                let took = self.now - failed;
                self.out.push(Action::Observe(Stage::Fence, took));
            }
        }
    }

    /// A planned switch: a replica has to cover all that the old primary wrote.
    fn hold(&mut self, term: Term) {
        if matches!(self.signals.verdict, Verdict::Failed { .. }) {
            return self.release(term, "the primary failed during the switch");
        }
        if self.signals.fenced {
            self.note_fenced();
            self.ask(true, QUERY);
            let ballot = self.ballot();
            let target = ballot.written().and_then(|lsn| ballot.covering(lsn));
            if let Some((target, point)) = target {
                return self.choose(term, target.clone(), point);
            }
        }
        if self.now >= self.work.entered + HOLD {
            self.end_hold(term);
        }
    }

    /// Ends a planned switch that takes too long.
    fn end_hold(&mut self, term: Term) {
        let answers = self.ballot().written().is_some();
        if self.signals.verdict != Verdict::Healthy && !answers {
            return self.release(term, "the primary is not known to be healthy");
        }
        *self.pause = Some(self.now + PAUSE);
        self.undo();
        self.report(Reason::Undone);
    }

    /// Undoes the fence.
    ///
    /// The old primary is re-opened under its own term, not under the fence's: its timeline does
    /// not change without a promotion, and positions are compared by timeline, so that a new term
    /// on the old timeline would make later positions look lost. Re-opening is safe as long as
    /// nobody was chosen: a promotion is sent in phase `Chosen` only, so that no other target took
    /// writes, and the catalog refuses to re-open once a choice is committed.
    fn undo(&mut self) {
        let (Some(target), Some(last)) = (self.database.primary(), self.database.term()) else {
            return;
        };
        *self.clock = Clock::new();
        self.propose(Command::Open {
            database: self.name.clone(),
            term: last,
            target: target.clone(),
            start: Lsn(0),
        });
    }

    /// Turns a planned switch into an unplanned change.
    fn release(&mut self, term: Term, reason: &str) {
        self.propose(Command::Fence {
            database: self.name.clone(),
            term,
            hold: false,
            reason: reason.to_owned(),
        });
    }

    /// An unplanned change: the most advanced of enough replicas becomes primary.
    fn fenced(&mut self, term: Term) {
        if !self.signals.fenced {
            return;
        }
        self.note_fenced();
        let late = self.is_late();
        self.ask(late, QUERY);
        let ballot = self.ballot();
        let (count, best) = (ballot.count(), ballot.best());
        if count.had < count.needed {
            // The old primary came back and lacks nothing: better than no primary at all.
            let complete = ballot.written() >= best.map(|(_, point)| point.lsn);
            let back = self.signals.verdict == Verdict::Healthy && ballot.written().is_some();
            if late && back && complete {
                return self.undo();
            }
            if late {
                let Count { needed, had, .. } = count;
                self.report(Reason::TooFew { needed, had });
            }
            return;
        }
        let settled = self.database.least_acks() > 0 || count.had == count.replicas;
        if let Some((best, point)) = best.filter(|_| settled || self.has_collected()) {
            self.choose(term, best.clone(), point);
        }
    }

    fn choose(&mut self, term: Term, target: Name, point: Point) {
        self.propose(Command::Choose {
            database: self.name.clone(),
            term,
            target,
            point,
        });
    }

    /// Promotes the chosen target, and no other: it may have been promoted by an earlier leader.
    fn promote(&mut self, term: Term, target: &Name) {
        if let Some(start) = self.work.start {
            return self.propose(Command::Open {
                database: self.name.clone(),
                term,
                target: target.clone(),
                start,
            });
        }
        if due(&mut self.work.sent, self.now, REPEAT) {
            let target = target.clone();
            self.out.push(Action::Promote { target, term });
        }
        if self.is_late() {
            self.report(Reason::NoPromotion(target.clone()));
        }
    }
}
