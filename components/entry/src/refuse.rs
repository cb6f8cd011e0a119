//! Answers that the entry gives without a target: to statements about its own parameters, in lost
//! transactions, and refusals.

use bytes::Buf as _;
use pg::{Frames, Severity, Status};

use crate::batch::{Batch, Builtin, End};
use crate::caller::State;
use crate::connection_loss::TARGET_LOST_CODE;
use crate::event::CallerKey;
use crate::event_loop::Loop;
use crate::parameters;

/// SQLSTATE of statements in a failed transaction.
const FAILED_TRANSACTION_CODE: &str = "25P02";

impl Loop {
    pub(crate) fn answer_locally(&mut self, key: CallerKey, batch: &Batch) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let bytes = caller.inbox.split_to(batch.length);
        let frames = Frames::new(&bytes, usize::MAX);
        let status = caller.status;
        let statement = batch.summary.builtin.clone().unwrap_or(Builtin::Rollback);
        let mut out = caller.out.split();
        let mut names = std::mem::take(&mut caller.statement_names);
        let mut view = caller.view(&self.signer);
        let answered = parameters::answer(
            frames,
            &statement,
            &mut view,
            &mut names,
            &mut self.statements,
            status,
            &mut out,
        );
        if !answered {
            self.metrics.common.refusals.add("parameter");
        }
        caller.statement_names = names;
        caller.out.unsplit(out);
        self.dirty_callers.push(key);
        self.ready_callers.push(key);
    }

    /// Answers a batch in a transaction whose target was lost. No statement may run outside the
    /// transaction that its caller believes to be in. A COMMIT fails unless an earlier statement
    /// was refused: otherwise the caller would take its completion for that of its writes.
    pub(crate) fn answer_in_lost_transaction(&mut self, key: CallerKey, batch: &Batch) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let summary = &batch.summary;
        if summary.statement_count == 0 {
            return self.answer_locally(key, batch);
        }
        let unreported = std::mem::take(&mut caller.unreported_loss);
        let ends = summary.statement_count == 1 && (summary.commits || summary.rolls_back);
        if ends && summary.executes {
            caller.transaction = None;
            caller.status = Status::Idle;
        } else if unreported {
            caller.status = Status::Failed;
        }
        if unreported && !summary.rolls_back {
            let text =
                "not run: the target of the transaction was lost, and nothing of it was kept";
            return self.refuse_batch(key, batch, "transaction_lost", TARGET_LOST_CODE, text);
        }
        if ends {
            let mut batch = batch.clone();
            batch.summary.builtin = Some(Builtin::Rollback);
            return self.answer_locally(key, &batch);
        }
        let text =
            "current transaction is aborted, commands ignored until end of transaction block";
        self.refuse_batch(
            key,
            batch,
            "transaction_lost",
            FAILED_TRANSACTION_CODE,
            text,
        );
    }

    /// Refuses a caller's waiting batch, which has not run.
    pub(crate) fn refuse(&mut self, key: CallerKey, label: &'static str, code: &str, text: &str) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        match std::mem::replace(&mut caller.state, State::Idle) {
            State::Routing(job) | State::Queued(job, ..) => {
                self.refuse_batch(key, &job.batch, label, code, text);
            }
            state => caller.state = state,
        }
    }

    /// Refuses a batch at the front of a caller's input buffer, which has not run.
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
            // The messages up to the Sync are skipped, as a PostgreSQL server does after an error.
            caller.skip_to_sync(self.settings.max_frame);
        } else {
            pg::ready_for_query(&mut caller.out, caller.status);
        }
        caller.state = State::Idle;
        self.dirty_callers.push(key);
        self.ready_callers.push(key);
    }
}
