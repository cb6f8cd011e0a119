//! Statements about transactions, parameters and the session itself.

use crate::describe::Field;
use crate::failure::{Failure, failure};
use crate::faults::Faults;
use crate::plan::Plan;
use crate::reply;
use crate::server::Server;
use crate::settings;
use crate::standby::TERMINATED;
use crate::statement::{Done, Halt, begin};
use crate::value::{Type, Value};
use crate::wal::Message;

impl Server {
    /// Runs a statement that touches no table.
    pub(crate) fn control(&mut self, id: u64, plan: &Plan) -> Result<Done, Halt> {
        let mut done = Done {
            tag: plan.command().to_owned(),
            ..Done::default()
        };
        match plan {
            Plan::Begin { read_only } => self.begin_transaction(id, *read_only),
            Plan::Commit | Plan::Rollback => done.tag = self.end_transaction(id, plan)?,
            Plan::Savepoint(name) => self.explicit(id, plan)?.savepoint(name),
            Plan::RollbackTo(name) => self.explicit(id, plan)?.rollback_to(name)?,
            Plan::Release(name) => self.explicit(id, plan)?.release(name)?,
            Plan::SetReadOnly(read_only) => {
                if let Some(own) = self
                    .sessions
                    .get_mut(&id)
                    .and_then(|s| s.transaction.as_mut())
                {
                    own.read_only = *read_only;
                }
            }
            Plan::Set { name, value, local } => {
                settings::check(name)?;
                self.change_settings(
                    id,
                    *local,
                    |own, _| {
                        own.insert(name.clone(), value.clone());
                    },
                    name,
                );
            }
            Plan::Reset(name) => self.reset(id, name.as_deref()),
            Plan::Show(name) => {
                let Some(session) = self.sessions.get(&id) else {
                    return Err(Halt::Closed);
                };
                let value = settings::show(name, &session.settings, self.standby.recovery)?;
                let name = settings::reported(name).unwrap_or(name).to_owned();
                let kind = Type::Text;
                done.fields = Some(vec![Field { name, kind }]);
                done.rows = vec![vec![Value::Text(value)]];
            }
            Plan::Discard => self.discard(id)?,
            Plan::Deallocate(name) => done.tag = self.deallocate(id, name.as_deref())?,
            Plan::AlterSystem { name, value } => {
                self.outside(id, "ALTER SYSTEM")?;
                self.alter_system(name, value)?;
            }
            other => return Err(Failure::unsupported(other.command()).into()),
        }
        Ok(done)
    }

    fn begin_transaction(&mut self, id: u64, read_only: bool) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.transaction.as_ref().is_some_and(|own| own.explicit) {
            let text = "there is already a transaction in progress";
            reply::warning(&mut session.reply, "25001", text);
        }
        let own = session
            .transaction
            .get_or_insert_with(|| begin(&session.settings));
        own.explicit = true;
        own.read_only |= read_only;
    }

    fn end_transaction(&mut self, id: u64, plan: &Plan) -> Result<String, Halt> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Err(Halt::Closed);
        };
        let explicit = session.transaction.as_ref().is_some_and(|own| own.explicit);
        if !explicit {
            let text = "there is no transaction in progress";
            reply::warning(&mut session.reply, "25P01", text);
        }
        let failed = session.transaction.as_ref().is_some_and(|own| own.failed);
        if failed || matches!(plan, Plan::Rollback) {
            self.rollback(id);
            return Ok("ROLLBACK".to_owned());
        }
        if self.commit(id) {
            Ok("COMMIT".to_owned())
        } else {
            Err(Halt::Closed)
        }
    }

    fn explicit(&mut self, id: u64, plan: &Plan) -> Result<&mut crate::store::Transaction, Halt> {
        let own = self
            .sessions
            .get_mut(&id)
            .and_then(|s| s.transaction.as_mut());
        own.filter(|own| own.explicit).ok_or_else(|| {
            let command = plan.command();
            let text = format!("{command} can only be used in transaction blocks");
            Failure::new("25P01", text).into()
        })
    }

    fn outside(&mut self, id: u64, command: &str) -> Result<(), Failure> {
        let own = self.sessions.get(&id).and_then(|s| s.transaction.as_ref());
        if own.is_some_and(|own| own.explicit) {
            let text = format!("{command} cannot run inside a transaction block");
            return failure("25001", text);
        }
        Ok(())
    }

    /// Changes a session's parameters; a rollback undoes the change.
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
        if let Some(own) = &mut session.transaction {
            own.settings.get_or_insert_with(|| before.clone());
            if local {
                own.local.push(name.to_owned());
            }
        }
        // SET LOCAL outside a transaction has no effect.
        if !local || session.transaction.is_some() {
            change(&mut session.settings, &session.base);
            self.report_changes(id, &before);
        }
    }

    fn reset(&mut self, id: u64, name: Option<&str>) {
        let change = |own: &mut Settings, base: &Settings| match name {
            None => own.clone_from(base),
            Some(name) => {
                own.remove(name);
                own.extend(base.get(name).map(|value| (name.to_owned(), value.clone())));
            }
        };
        self.change_settings(id, false, change, "");
    }

    fn discard(&mut self, id: u64) -> Result<(), Failure> {
        self.outside(id, "DISCARD ALL")?;
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

    /// Commits a session's transaction, if any; false when a fault has ended the session.
    pub(crate) fn commit(&mut self, id: u64) -> bool {
        let Some(session) = self.sessions.get_mut(&id) else {
            return false;
        };
        let Some(mut own) = session.transaction.take() else {
            return true;
        };
        let before = session.settings.clone();
        if let Some(saved) = own.settings.take() {
            for name in std::mem::take(&mut own.local) {
                session.settings.remove(&name);
                let value = saved.get(&name).cloned();
                session.settings.extend(value.map(|value| (name, value)));
            }
            self.report_changes(id, &before);
        }
        if own.has_changes() {
            if self.standby.recovery {
                // The server was demoted while the transaction was open.
                self.refuse(id, "57P01", TERMINATED);
                return false;
            }
            if Faults::strike(&mut self.faults.close_before_commit) {
                self.close_silently(id);
                return false;
            }
            self.publish(own);
            if Faults::strike(&mut self.faults.close_before_commit_reply) {
                self.close_silently(id);
                return false;
            }
        }
        self.unlock(id);
        true
    }

    /// Ends a session without its pending reply.
    fn close_silently(&mut self, id: u64) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.reply.clear();
        }
        self.remove(id);
    }

    /// Makes a transaction's changes visible and sends them to the replicas.
    fn publish(&mut self, own: crate::store::Transaction) {
        let record = self.wal.record(own.into_changes());
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
        let saved = session.transaction.take().and_then(|own| own.settings);
        if let Some(saved) = saved {
            let before = std::mem::replace(&mut session.settings, saved);
            self.report_changes(id, &before);
        }
        self.unlock(id);
    }

    /// Takes back what a failed statement's transaction has done so far.
    pub(crate) fn abort(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        match &mut session.transaction {
            Some(own) if own.explicit => {
                own.failed = true;
                // Locks from before a savepoint outlast a rollback to it.
                if !own.has_savepoint() {
                    self.unlock(id);
                }
            }
            Some(_) => self.rollback(id),
            None => {}
        }
    }
}

type Settings = std::collections::HashMap<String, String>;
