//! Execution of a statement of a session.

use std::time::Duration;

use crate::cache::Cache;
use crate::describe::{self, Field};
use crate::eval::{Action, Scope};
use crate::exec::{Executor, Interruption, Output};
use crate::failure::{Failure, Outcome, failure};
use crate::faults::Effect;
use crate::plan::Plan;
use crate::reply;
use crate::server::Server;
use crate::session::{Request, Session, Stage};
use crate::store::{Row, Transaction, View};
use crate::value::{Type, Value};

/// Longest sleep of `pg_sleep`.
const MAX_SLEEP_SECONDS: f64 = 86_400.0;

/// Result of a statement.
#[derive(Debug, Default)]
pub(crate) struct Completion {
    pub(crate) fields: Option<Vec<Field>>,
    pub(crate) rows: Vec<Row>,
    /// Command tag; empty for an empty query.
    pub(crate) tag: String,
}

/// Why a statement has no result.
#[derive(Debug)]
pub(crate) enum Error {
    Failed(Failure),
    /// The statement waits for a row lock.
    Locked,
    /// The session has ended.
    Closed,
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// Checks that a statement is allowed in the current state of the transaction.
pub(crate) fn check_transaction_state(
    plan: &Plan,
    transaction: Option<&Transaction>,
) -> Outcome<()> {
    let ends_transaction = matches!(plan, Plan::Commit | Plan::Rollback | Plan::RollbackTo(_));
    if transaction.is_some_and(|transaction| transaction.failed) && !ends_transaction {
        return failure(
            "25P02",
            "current transaction is aborted, commands ignored until end of transaction block",
        );
    }
    Ok(())
}

/// The current statement of a session, with its parameters.
fn current_statement<'a>(
    cache: &'a mut Cache,
    session: &'a Session,
) -> Outcome<Option<(&'a Plan, &'a [Value])>> {
    let statement = match session.job.as_ref().map(|job| &job.request) {
        Some(Request::Script { sql, index }) => {
            cache.script(sql)?.get(*index).map(|p| (p, [].as_slice()))
        }
        Some(Request::Execute { portal, .. }) => match session.portals.get(portal) {
            Some(portal) if portal.remainder.is_none() => {
                let plan = cache.script(&portal.sql)?.first();
                plan.map(|plan| (plan, portal.parameters.as_slice()))
            }
            _ => None,
        },
        None => None,
    };
    Ok(statement)
}

impl Server {
    /// Whether the current statement may run now; otherwise it waits for a slot and for its
    /// simulated execution time.
    pub(crate) fn admit(&mut self, id: u64) -> Outcome<bool> {
        let status = match self.sessions.get(&id) {
            Some(session) => self.status(session.pid),
            None => return Ok(false),
        };
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(false);
        };
        match session.job.as_ref().map(|job| job.stage) {
            Some(Stage::Ready) => return Ok(true),
            Some(Stage::New) => {}
            _ => return Ok(false),
        }
        let Some((plan, params)) = current_statement(&mut self.cache, session)? else {
            return Ok(true);
        };
        let needs_slot = match plan {
            Plan::Select(select) => !select.administrative,
            Plan::Insert(_) | Plan::Update(_) | Plan::Delete(_) => true,
            _ => false,
        };
        if !needs_slot {
            return Ok(true);
        }
        let mut service_time = self.config.statement;
        if let Plan::Select(select) = plan
            && let Some(sleep) = &select.sleep
        {
            check_transaction_state(plan, session.transaction.as_ref())?;
            let mut scope = Scope {
                status,
                settings: &session.settings,
                params,
                actions: Vec::new(),
            };
            if let Value::Float(seconds) = scope.eval(sleep, None)?.cast(Type::Float8)? {
                service_time += Duration::from_secs_f64(seconds.clamp(0.0, MAX_SLEEP_SECONDS));
            }
        }
        if service_time == Duration::ZERO && self.slots.has_free_slot() {
            return Ok(true);
        }
        if let Some(job) = &mut session.job {
            job.stage = Stage::Delayed;
        }
        self.slots.request(self.now, id, service_time);
        Ok(false)
    }

    /// Runs a statement of a script or portal.
    pub(crate) fn run_statement(
        &mut self,
        id: u64,
        sql: &str,
        index: usize,
        params: &[Value],
        parameter_types: &[Type],
    ) -> Result<Completion, Error> {
        let status = match self.sessions.get(&id) {
            Some(session) => self.status(session.pid),
            None => return Err(Error::Closed),
        };
        let Some(session) = self.sessions.get_mut(&id) else {
            return Err(Error::Closed);
        };
        let Some(plan) = self.cache.script(sql)?.get(index) else {
            return Ok(Completion::default());
        };
        check_transaction_state(plan, session.transaction.as_ref())?;
        if !uses_executor(plan) {
            let plan = plan.clone();
            return self.run_utility(id, &plan);
        }
        let transaction = session
            .transaction
            .get_or_insert_with(|| new_transaction(&session.settings));
        let view = View {
            store: &self.store,
            transaction: Some(transaction),
        };
        let fields = describe::fields(plan, view, parameter_types)?;
        check_writable(plan, status.in_recovery || transaction.read_only)?;
        let mut scope = Scope {
            status,
            settings: &session.settings,
            params,
            actions: Vec::new(),
        };
        let mut executor = Executor {
            session: id,
            store: &mut self.store,
            locks: &mut self.locks,
            transaction,
            scope: &mut scope,
        };
        let completion = match executor.run(plan) {
            Ok(output) => completion(plan, fields, output),
            Err(interruption) => return Err(self.on_interruption(id, interruption)),
        };
        for action in scope.actions {
            self.apply_action(id, action)?;
        }
        Ok(completion)
    }

    /// Registers the wait for a lock, or reports a deadlock.
    fn on_interruption(&mut self, id: u64, interruption: Interruption) -> Error {
        match interruption {
            Interruption::Failed(failure) => failure.into(),
            Interruption::WaitingFor(holder) if self.locks.start_waiting(id, holder) => {
                Error::Locked
            }
            Interruption::WaitingFor(_) => Failure::new("40P01", "deadlock detected").into(),
        }
    }

    fn apply_action(&mut self, id: u64, action: Action) -> Outcome<()> {
        match action {
            Action::Promote => self.promote(),
            Action::Reload => self.reload(id),
            Action::Fault(name, value) => {
                let target = &self.config.target;
                tracing::info!(%target, fault = name, value, "fault set");
                match self.faults.set(self.now, &name, value) {
                    Effect::None => {}
                    Effect::SetLag(lag) => self.standby.lag = lag,
                    Effect::DropReplicas => {
                        for replica in std::mem::take(&mut self.replicas) {
                            self.remove_session(replica);
                        }
                    }
                    Effect::Unknown => {
                        return failure("22023", format!("unknown fault \"{name}\""));
                    }
                }
                self.timers.insert((self.now, crate::server::Timer::Replay));
            }
        }
        Ok(())
    }

    /// Reports the parameters that differ from `before` to the client.
    pub(crate) fn report_changes(
        &mut self,
        id: u64,
        before: &std::collections::HashMap<String, String>,
    ) {
        let in_recovery = self.standby.in_recovery;
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        for (name, _) in crate::settings::REPORTED {
            let old_value = crate::settings::show(name, before, in_recovery);
            let new_value = crate::settings::show(name, &session.settings, in_recovery);
            if let (Ok(old_value), Ok(new_value)) = (old_value, new_value)
                && old_value != new_value
            {
                reply::parameter_status(&mut session.write_buffer, name, &new_value);
            }
        }
    }
}

/// Checks that a statement does not write in a read-only transaction.
fn check_writable(plan: &Plan, read_only: bool) -> Outcome<()> {
    if !read_only || !plan.writes() {
        return Ok(());
    }
    let command = match plan {
        Plan::Select(_) => "SELECT FOR UPDATE",
        other => other.command(),
    };
    let text = format!("cannot execute {command} in a read-only transaction");
    failure("25006", text)
}

/// Whether the executor runs a statement; the others are utility statements.
fn uses_executor(plan: &Plan) -> bool {
    plan.writes() || matches!(plan, Plan::Select(_))
}

/// A new transaction with the access mode of the session.
pub(crate) fn new_transaction(settings: &std::collections::HashMap<String, String>) -> Transaction {
    let default_read_only = settings.get("default_transaction_read_only");
    let mut transaction = Transaction::default();
    transaction.read_only =
        default_read_only.is_some_and(|value| matches!(value.as_str(), "on" | "true" | "1"));
    transaction
}

fn completion(plan: &Plan, fields: Option<Vec<Field>>, output: Output) -> Completion {
    let command = plan.command();
    let count = output.count;
    let tag = match plan {
        Plan::Insert(_) => format!("INSERT 0 {count}"),
        Plan::Select(_) | Plan::Update(_) | Plan::Delete(_) => format!("{command} {count}"),
        _ => command.to_owned(),
    };
    Completion {
        fields,
        rows: output.rows,
        tag,
    }
}
