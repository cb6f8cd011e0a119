//! Running one statement of a session.

use std::time::Duration;

use crate::cache::Cache;
use crate::describe::{self, Field};
use crate::eval::{Action, Scope};
use crate::exec::{Executor, Reply, Stop};
use crate::failure::{Failure, Outcome, failure};
use crate::faults::Effect;
use crate::plan::Plan;
use crate::reply;
use crate::server::Server;
use crate::session::{Session, Stage, Work};
use crate::store::{Row, Transaction, View};
use crate::value::{Type, Value};

/// Longest time that `pg_sleep` takes.
const MAX_SLEEP: f64 = 86_400.0;

/// Result of a statement.
#[derive(Debug, Default)]
pub(crate) struct Done {
    pub(crate) fields: Option<Vec<Field>>,
    pub(crate) rows: Vec<Row>,
    /// Tag of the completed command; empty for an empty query.
    pub(crate) tag: String,
}

/// Why a statement has no result.
#[derive(Debug)]
pub(crate) enum Halt {
    Failed(Failure),
    /// It waits for a row lock.
    Locked,
    /// The session has ended.
    Closed,
}

impl From<Failure> for Halt {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// Checks that a transaction's state lets a statement run.
pub(crate) fn allowed(plan: &Plan, own: Option<&Transaction>) -> Outcome<()> {
    let ends = matches!(plan, Plan::Commit | Plan::Rollback | Plan::RollbackTo(_));
    if own.is_some_and(|own| own.failed) && !ends {
        return failure(
            "25P02",
            "current transaction is aborted, commands ignored until end of transaction block",
        );
    }
    Ok(())
}

/// The statement that a session works on, with its parameters.
fn current<'a>(
    cache: &'a mut Cache,
    session: &'a Session,
) -> Outcome<Option<(&'a Plan, &'a [Value])>> {
    let found = match session.job.as_ref().map(|job| &job.work) {
        Some(Work::Script { text, at }) => cache.script(text)?.get(*at).map(|p| (p, [].as_slice())),
        Some(Work::Execute { portal, .. }) => match session.portals.get(portal) {
            Some(portal) if portal.rest.is_none() => {
                let plan = cache.script(&portal.text)?.first();
                plan.map(|plan| (plan, portal.params.as_slice()))
            }
            _ => None,
        },
        None => None,
    };
    Ok(found)
}

impl Server {
    /// Whether the statement at hand may run now; otherwise it waits for its simulated time.
    pub(crate) fn admit(&mut self, id: u64) -> Outcome<bool> {
        let facts = match self.sessions.get(&id) {
            Some(session) => self.facts(session.pid),
            None => return Ok(false),
        };
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(false);
        };
        match session.job.as_ref().map(|job| job.stage) {
            Some(Stage::Ready) => return Ok(true),
            Some(Stage::Fresh) => {}
            _ => return Ok(false),
        }
        let Some((plan, params)) = current(&mut self.cache, session)? else {
            return Ok(true);
        };
        let charged = match plan {
            Plan::Select(select) => !select.control,
            Plan::Insert(_) | Plan::Update(_) | Plan::Delete(_) => true,
            _ => false,
        };
        if !charged {
            return Ok(true);
        }
        let mut service = self.config.statement;
        if let Plan::Select(select) = plan
            && let Some(sleep) = &select.sleep
        {
            allowed(plan, session.transaction.as_ref())?;
            let mut scope = Scope {
                facts,
                settings: &session.settings,
                params,
                actions: Vec::new(),
            };
            if let Value::Float(seconds) = scope.eval(sleep, None)?.cast(Type::Float8)? {
                service += Duration::from_secs_f64(seconds.clamp(0.0, MAX_SLEEP));
            }
        }
        if service == Duration::ZERO && self.slots.free() {
            return Ok(true);
        }
        if let Some(job) = &mut session.job {
            job.stage = Stage::Served;
        }
        self.slots.request(self.now, id, service);
        Ok(false)
    }

    /// Runs a statement of a script or portal.
    pub(crate) fn statement(
        &mut self,
        id: u64,
        text: &str,
        at: usize,
        params: &[Value],
        types: &[Type],
    ) -> Result<Done, Halt> {
        let facts = match self.sessions.get(&id) {
            Some(session) => self.facts(session.pid),
            None => return Err(Halt::Closed),
        };
        let Some(session) = self.sessions.get_mut(&id) else {
            return Err(Halt::Closed);
        };
        let Some(plan) = self.cache.script(text)?.get(at) else {
            return Ok(Done::default());
        };
        allowed(plan, session.transaction.as_ref())?;
        if !tabular(plan) {
            let plan = plan.clone();
            return self.control(id, &plan);
        }
        let own = session
            .transaction
            .get_or_insert_with(|| begin(&session.settings));
        let view = View {
            store: &self.store,
            own: Some(own),
        };
        let fields = describe::fields(plan, view, types)?;
        writable(plan, facts.recovery || own.read_only)?;
        let mut scope = Scope {
            facts,
            settings: &session.settings,
            params,
            actions: Vec::new(),
        };
        let mut executor = Executor {
            session: id,
            store: &mut self.store,
            locks: &mut self.locks,
            own,
            scope: &mut scope,
        };
        let done = match executor.run(plan) {
            Ok(reply) => done(plan, fields, reply),
            Err(stop) => return Err(self.halt(id, stop)),
        };
        for action in scope.actions {
            self.act(id, action)?;
        }
        Ok(done)
    }

    /// Notes what a statement waits for, unless the wait would never end.
    fn halt(&mut self, id: u64, stop: Stop) -> Halt {
        match stop {
            Stop::Failed(failure) => failure.into(),
            Stop::Locked(holder) if self.locks.wait(id, holder) => Halt::Locked,
            Stop::Locked(_) => Failure::new("40P01", "deadlock detected").into(),
        }
    }

    fn act(&mut self, id: u64, action: Action) -> Outcome<()> {
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
                            self.remove(replica);
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

    /// Sends the reported parameters that differ from what they were.
    pub(crate) fn report_changes(
        &mut self,
        id: u64,
        before: &std::collections::HashMap<String, String>,
    ) {
        let recovery = self.standby.recovery;
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        for (name, _) in crate::settings::REPORTED {
            let old = crate::settings::show(name, before, recovery);
            let new = crate::settings::show(name, &session.settings, recovery);
            if let (Ok(old), Ok(new)) = (old, new)
                && old != new
            {
                reply::parameter(&mut session.reply, name, &new);
            }
        }
    }
}

/// Refuses changes in a read-only transaction.
fn writable(plan: &Plan, read_only: bool) -> Outcome<()> {
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

/// Runs against tables or the server's functions, rather than on the session's own state.
fn tabular(plan: &Plan) -> bool {
    plan.writes() || matches!(plan, Plan::Select(_))
}

/// State of a transaction that a statement begins by itself.
pub(crate) fn begin(settings: &std::collections::HashMap<String, String>) -> Transaction {
    let default = settings.get("default_transaction_read_only");
    let mut own = Transaction::default();
    own.read_only = default.is_some_and(|value| matches!(value.as_str(), "on" | "true" | "1"));
    own
}

fn done(plan: &Plan, fields: Option<Vec<Field>>, reply: Reply) -> Done {
    let command = plan.command();
    let count = reply.count;
    let tag = match plan {
        Plan::Insert(_) => format!("INSERT 0 {count}"),
        Plan::Select(_) | Plan::Update(_) | Plan::Delete(_) => format!("{command} {count}"),
        _ => command.to_owned(),
    };
    Done {
        fields,
        rows: reply.rows,
        tag,
    }
}
