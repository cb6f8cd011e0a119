//! Utility statements: transactions, parameters and prepared statements.

use crate::describe::Field;
use crate::failure::{Failure, failure};
use crate::faults::Faults;
use crate::plan::Plan;
use crate::reply;
use crate::server::Server;
use crate::settings;
use crate::standby::TERMINATED_MESSAGE;
use crate::statement::{Completion, Error, new_transaction};
use crate::value::{Type, Value};
use crate::wal::Message;

impl Server {
    /// Runs a utility statement.
    pub(crate) fn run_utility(&mut self, id: u64, plan: &Plan) -> Result<Completion, Error> {
        let mut completion = Completion {
            tag: plan.command().to_owned(),
            ..Completion::default()
        };
        match plan {
            Plan::Begin { read_only } => self.begin_transaction(id, *read_only),
            Plan::Commit | Plan::Rollback => completion.tag = self.end_transaction(id, plan)?,
            Plan::Savepoint(name) => self.explicit_transaction(id, plan)?.savepoint(name),
            Plan::RollbackTo(name) => self.explicit_transaction(id, plan)?.rollback_to(name)?,
            Plan::Release(name) => self.explicit_transaction(id, plan)?.release(name)?,
            Plan::SetReadOnly(read_only) => {
                if let Some(transaction) = self
                    .sessions
                    .get_mut(&id)
                    .and_then(|s| s.transaction.as_mut())
                {
                    transaction.read_only = *read_only;
                }
            }
            Plan::Set { name, value, local } => {
                settings::check_settable(name)?;
                self.change_settings(
                    id,
                    *local,
                    |settings, _| {
                        settings.insert(name.clone(), value.clone());
                    },
                    name,
                );
            }
            Plan::Reset(name) => self.reset(id, name.as_deref()),
            Plan::Show(name) => {
                let Some(session) = self.sessions.get(&id) else {
                    return Err(Error::Closed);
                };
                let value = settings::show(name, &session.settings, self.standby.in_recovery)?;
                let name = settings::reported_name(name).unwrap_or(name).to_owned();
                let kind = Type::Text;
                completion.fields = Some(vec![Field { name, kind }]);
                completion.rows = vec![vec![Value::Text(value)]];
            }
            Plan::Discard => self.discard(id)?,
            Plan::Deallocate(name) => completion.tag = self.deallocate(id, name.as_deref())?,
            Plan::AlterSystem { name, value } => {
                self.check_outside_transaction(id, "ALTER SYSTEM")?;
                self.alter_system(name, value)?;
            }
            other => return Err(Failure::unsupported(other.command()).into()),
        }
        Ok(completion)
    }

    fn begin_transaction(&mut self, id: u64, read_only: bool) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.explicit)
        {
            let text = "there is already a transaction in progress";
            reply::warning(&mut session.write_buffer, "25001", text);
        }
        let transaction = session
            .transaction
            .get_or_insert_with(|| new_transaction(&session.settings));
        transaction.explicit = true;
        transaction.read_only |= read_only;
    }

    fn end_transaction(&mut self, id: u64, plan: &Plan) -> Result<String, Error> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Err(Error::Closed);
        };
        let explicit = session
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.explicit);
        if !explicit {
            let text = "there is no transaction in progress";
            reply::warning(&mut session.write_buffer, "25P01", text);
        }
        let failed = session
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.failed);
        if failed || matches!(plan, Plan::Rollback) {
            self.rollback(id);
            return Ok("ROLLBACK".to_owned());
        }
        if self.commit(id) {
            Ok("COMMIT".to_owned())
        } else {
            Err(Error::Closed)
        }
    }

    fn explicit_transaction(
        &mut self,
        id: u64,
        plan: &Plan,
    ) -> Result<&mut crate::store::Transaction, Error> {
        let transaction = self
            .sessions
            .get_mut(&id)
            .and_then(|s| s.transaction.as_mut());
        transaction
            .filter(|transaction| transaction.explicit)
            .ok_or_else(|| {
                let command = plan.command();
                let text = format!("{command} can only be used in transaction blocks");
                Failure::new("25P01", text).into()
            })
    }

    fn check_outside_transaction(&mut self, id: u64, command: &str) -> Result<(), Failure> {
        let transaction = self.sessions.get(&id).and_then(|s| s.transaction.as_ref());
        if transaction.is_some_and(|transaction| transaction.explicit) {
            let text = format!("{command} cannot run inside a transaction block");
            return failure("25001", text);
        }
        Ok(())
    }

    /// Changes a session's parameters; a rollback restores them.
    fn change_settings(
        &mut self,
        id: u64,
        local: bool,
        change: impl FnOnce(&mut Settings, &Settings),
        name: &str,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let before = session.settings.clone();
        if let Some(transaction) = &mut session.transaction {
            transaction
                .saved_settings
                .get_or_insert_with(|| before.clone());
            if local {
                transaction.local_settings.push(name.to_owned());
            }
        }
        // SET LOCAL outside a transaction has no effect.
        if !local || session.transaction.is_some() {
            change(&mut session.settings, &session.default_settings);
            self.report_changes(id, &before);
        }
    }

    fn reset(&mut self, id: u64, name: Option<&str>) {
        let change = |settings: &mut Settings, defaults: &Settings| match name {
            None => settings.clone_from(defaults),
            Some(name) => {
                settings.remove(name);
                settings.extend(
                    defaults
                        .get(name)
                        .map(|value| (name.to_owned(), value.clone())),
                );
            }
        };
        self.change_settings(id, false, change, "");
    }

    fn discard(&mut self, id: u64) -> Result<(), Failure> {
        self.check_outside_transaction(id, "DISCARD ALL")?;
        self.reset(id, None);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.statements.clear();
            session.portals.clear();
        }
        Ok(())
    }

    fn deallocate(&mut self, id: u64, name: Option<&str>) -> Result<String, Failure> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(String::new());
        };
        let Some(name) = name else {
            session.statements.clear();
            return Ok("DEALLOCATE ALL".to_owned());
        };
        if session.statements.remove(name).is_none() {
            let text = format!("prepared statement \"{name}\" does not exist");
            return failure("26000", text);
        }
        Ok("DEALLOCATE".to_owned())
    }

    /// Commits a session's transaction, if any; false if the session has ended instead.
    pub(crate) fn commit(&mut self, id: u64) -> bool {
        let Some(session) = self.sessions.get_mut(&id) else {
            return false;
        };
        let Some(mut transaction) = session.transaction.take() else {
            return true;
        };
        let before = session.settings.clone();
        if let Some(saved) = transaction.saved_settings.take() {
            for name in std::mem::take(&mut transaction.local_settings) {
                session.settings.remove(&name);
                let value = saved.get(&name).cloned();
                session.settings.extend(value.map(|value| (name, value)));
            }
            self.report_changes(id, &before);
        }
        if transaction.has_changes() {
            if self.standby.in_recovery {
                // The server was demoted after the transaction had started.
                self.terminate(id, "57P01", TERMINATED_MESSAGE);
                return false;
            }
            if Faults::consume(&mut self.faults.close_before_commit) {
                self.close_without_reply(id);
                return false;
            }
            self.publish(transaction);
            if Faults::consume(&mut self.faults.close_before_commit_reply) {
                self.close_without_reply(id);
                return false;
            }
        }
        self.release_locks(id);
        true
    }

    /// Ends a session without sending its buffered replies.
    fn close_without_reply(&mut self, id: u64) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.write_buffer.clear();
        }
        self.remove_session(id);
    }

    /// Makes a transaction's changes visible and sends them to the replicas.
    fn publish(&mut self, transaction: crate::store::Transaction) {
        let record = self.wal.build_record(transaction.into_changes());
        for change in &record.changes {
            self.store.apply(change.clone());
        }
        if !self.replicas.is_empty() {
            let message = Message::Record(record.clone());
            self.broadcast(&message);
        }
        self.wal.push(record);
    }

    pub(crate) fn rollback(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let saved = session
            .transaction
            .take()
            .and_then(|transaction| transaction.saved_settings);
        if let Some(saved) = saved {
            let before = std::mem::replace(&mut session.settings, saved);
            self.report_changes(id, &before);
        }
        self.release_locks(id);
    }

    /// Aborts the transaction of a failed statement; an explicit one then waits for its ROLLBACK.
    pub(crate) fn abort(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        match &mut session.transaction {
            Some(transaction) if transaction.explicit => {
                transaction.failed = true;
                // A rollback to a savepoint keeps the locks that were acquired before it.
                if !transaction.has_savepoint() {
                    self.release_locks(id);
                }
            }
            Some(_) => self.rollback(id),
            None => {}
        }
    }
}

type Settings = std::collections::HashMap<String, String>;
