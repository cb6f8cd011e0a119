//! Answers that the entry gives without a target, refusals among them.

use bytes::Buf as _;
use pg::{Frames, Severity, Status};

use crate::batch::{Batch, End, Local};
use crate::caller::State;
use crate::connection_loss::TARGET_LOST;
use crate::event::CallerKey;
use crate::event_loop::Loop;
use crate::parameters;

/// SQLSTATE of statements in a failed transaction.
const IN_FAILED_TRANSACTION: &str = "25P02";

impl Loop {
    pub(crate) fn answer_locally(&mut self, key: CallerKey, batch: &Batch) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let bytes = caller.inbox.split_to(batch.length);
        let frames = Frames::new(&bytes, usize::MAX);
        let status = caller.status;
        let own = batch.work.local.clone().unwrap_or(Local::Rollback);
        let mut out = caller.out.split();
        let mut names = std::mem::take(&mut caller.names);
        let mut view = caller.view(&self.signer);
        let answered = parameters::answer(
            frames,
            &own,
            &mut view,
            &mut names,
            &mut self.statements,
            status,
            &mut out,
        );
        if !answered {
            self.metrics.common.refusals.add("parameter");
        }
        caller.names = names;
        caller.out.unsplit(out);
        self.dirty_callers.push(key);
        self.ready.push(key);
    }

    /// Answers a batch in a transaction whose target was lost. No statement may run outside the
    /// transaction that its caller believes to be in, and a COMMIT fails unless an earlier
    /// statement was refused: the caller would take its completion for that of its writes.
    pub(crate) fn answer_lost(&mut self, key: CallerKey, batch: &Batch) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let work = &batch.work;
        if work.statements == 0 {
            return self.answer_locally(key, batch);
        }
        let unreported = std::mem::take(&mut caller.unreported_loss);
        let ends = work.statements == 1 && (work.commits || work.rolls_back);
        if ends && work.executes {
            caller.transaction = None;
            caller.status = Status::Idle;
        } else if unreported {
            caller.status = Status::Failed;
        }
        if unreported && !work.rolls_back {
            let text =
                "not run: the target of the transaction was lost, and nothing of it was kept";
            return self.refuse_batch(key, batch, "transaction_lost", TARGET_LOST, text);
        }
        if ends {
            let mut batch = batch.clone();
            batch.work.local = Some(Local::Rollback);
            return self.answer_locally(key, &batch);
        }
        let text =
            "current transaction is aborted, commands ignored until end of transaction block";
        self.refuse_batch(key, batch, "transaction_lost", IN_FAILED_TRANSACTION, text);
    }

    /// Refuses a caller's waiting batch as not run.
    pub(crate) fn refuse(&mut self, key: CallerKey, label: &'static str, code: &str, text: &str) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        match std::mem::replace(&mut caller.state, State::Idle) {
            State::Routing(wait) | State::Queued(wait, ..) => {
                self.refuse_batch(key, &wait.batch, label, code, text);
            }
            state => caller.state = state,
        }
    }

    /// Refuses a batch at the front of a caller's buffer as not run.
    pub(crate) fn refuse_batch(
        &mut self,
        key: CallerKey,
        batch: &Batch,
        label: &'static str,
        code: &str,
        text: &str,
    ) {
        self.metrics.common.refusals.add(label);
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        caller.inbox.advance(batch.length);
        pg::error_response(&mut caller.out, Severity::Error, code, text);
        if caller.transaction.is_some() {
            caller.status = Status::Failed;
        }
        if batch.end == End::Flush {
            // The rest up to the Sync is skipped, as a server does after an error.
            caller.skip_to_sync(self.settings.max_frame);
        } else {
            pg::ready_for_query(&mut caller.out, caller.status);
        }
        caller.state = State::Idle;
        self.dirty_callers.push(key);
        self.ready.push(key);
    }
}
