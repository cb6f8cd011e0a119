//! Simple and extended queries.

use std::collections::VecDeque;

use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::extendedquery::{CloseComplete, PortalSuspended};
use pgwire::messages::response::EmptyQueryResponse;

use crate::failure::Failure;
use crate::reply;
use crate::server::Server;
use crate::session::{Job, Phase, Portal, Rest, Stage, Work};
use crate::statement::{Done, Halt};

impl Server {
    /// Lets a session work until it has to wait.
    pub(crate) fn advance(&mut self, id: u64) {
        while let Some(session) = self.sessions.get_mut(&id) {
            match session.phase {
                Phase::Opening | Phase::Replica => return,
                Phase::New | Phase::Open => {}
            }
            if session.job.is_some() {
                if !self.work(id) {
                    break;
                }
                continue;
            }
            let Some(message) = session.inbox.pop_front() else {
                break;
            };
            if session.phase == Phase::New {
                self.on_first(id, message);
            } else {
                self.on_message(id, message);
            }
        }
        self.flush(id);
        if self.sessions.get(&id).is_some_and(|s| s.gone && s.idle()) {
            self.remove(id);
        }
    }

    fn on_message(&mut self, id: u64, message: PgWireFrontendMessage) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        match &message {
            PgWireFrontendMessage::Sync(_) => return self.sync(id),
            PgWireFrontendMessage::Terminate(_) => return self.remove(id),
            _ if session.skipping => return,
            _ => {}
        }
        let done = match message {
            PgWireFrontendMessage::Query(query) => {
                self.begin_work(
                    id,
                    Work::Script {
                        text: query.query,
                        at: 0,
                    },
                );
                Ok(())
            }
            PgWireFrontendMessage::Parse(parse) => self.parse(id, parse),
            PgWireFrontendMessage::Bind(bind) => self.bind(id, bind),
            PgWireFrontendMessage::Describe(describe) => {
                let name = describe.name.unwrap_or_default();
                self.describe(id, describe.target_type, &name)
            }
            PgWireFrontendMessage::Execute(execute) => {
                let portal = execute.name.unwrap_or_default();
                let most = usize::try_from(execute.max_rows).unwrap_or(0);
                self.begin_work(id, Work::Execute { portal, most });
                Ok(())
            }
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == b'S' {
                    session.statements.remove(&name);
                } else {
                    session.portals.remove(&name);
                }
                reply::put(&mut session.reply, &CloseComplete::new());
                Ok(())
            }
            PgWireFrontendMessage::Flush(_) => Ok(()),
            // The server never asks for copied data; what comes after a failed COPY is ignored.
            PgWireFrontendMessage::CopyData(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_) => Ok(()),
            _ => return self.refuse(id, "08P01", "unexpected message"),
        };
        if let Err(failure) = done {
            self.fail(id, &failure);
        }
    }

    fn begin_work(&mut self, id: u64, work: Work) {
        if let Some(session) = self.sessions.get_mut(&id) {
            let stage = Stage::Fresh;
            session.job = Some(Job { work, stage });
        }
    }

    /// Reports an error and ends the work that it belongs to.
    pub(crate) fn fail(&mut self, id: u64, failure: &Failure) {
        self.abort(id);
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        reply::error(&mut session.reply, failure);
        match session.job.take() {
            Some(Job {
                work: Work::Script { .. },
                ..
            }) => {
                let status = session.status();
                reply::ready(&mut session.reply, status);
            }
            _ => session.skipping = true,
        }
    }

    fn sync(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.skipping = false;
        let explicit = session.transaction.as_ref().is_some_and(|own| own.explicit);
        if !explicit {
            session.portals.clear();
            if !self.commit(id) {
                return;
            }
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            let status = session.status();
            reply::ready(&mut session.reply, status);
        }
    }

    /// Goes on with the job at hand; false when it has to wait or the session has ended.
    fn work(&mut self, id: u64) -> bool {
        match self.admit(id) {
            Ok(true) => {}
            Ok(false) => return false,
            Err(failure) => {
                self.fail(id, &failure);
                return true;
            }
        }
        let job = self.sessions.get_mut(&id).and_then(|s| s.job.take());
        match job.map(|job| job.work) {
            Some(Work::Script { text, at }) => self.script(id, text, at),
            Some(Work::Execute { portal, most }) => self.execute(id, portal, most),
            None => false,
        }
    }

    fn resume(&mut self, id: u64, work: Work, stage: Stage) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.job = Some(Job { work, stage });
        }
    }

    fn script(&mut self, id: u64, text: String, at: usize) -> bool {
        let count = match self.cache.script(&text) {
            Ok(plans) => plans.len(),
            Err(failure) => {
                self.resume(id, Work::Script { text, at }, Stage::Ready);
                self.fail(id, &failure);
                return true;
            }
        };
        if at >= count {
            return self.end_script(id, count == 0);
        }
        match self.statement(id, &text, at, &[], &[]) {
            Ok(done) => {
                self.show(id, &done);
                self.resume(id, Work::Script { text, at: at + 1 }, Stage::Fresh);
                true
            }
            Err(Halt::Locked) => {
                self.resume(id, Work::Script { text, at }, Stage::Locked);
                false
            }
            Err(Halt::Closed) => false,
            Err(Halt::Failed(failure)) => {
                self.resume(id, Work::Script { text, at }, Stage::Ready);
                self.fail(id, &failure);
                true
            }
        }
    }

    /// Writes the complete result of a simple query's statement.
    fn show(&mut self, id: u64, done: &Done) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let out = &mut session.reply;
        if let Some(fields) = &done.fields {
            reply::fields(out, Some(fields), &[]);
            for row in &done.rows {
                reply::row(out, row, fields, &[]);
            }
        }
        reply::tag(out, &done.tag);
    }

    fn end_script(&mut self, id: u64, empty: bool) -> bool {
        let Some(session) = self.sessions.get_mut(&id) else {
            return false;
        };
        if empty {
            reply::put(&mut session.reply, &EmptyQueryResponse::new());
        }
        let explicit = session.transaction.as_ref().is_some_and(|own| own.explicit);
        if !explicit && !self.commit(id) {
            return false;
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            let status = session.status();
            reply::ready(&mut session.reply, status);
        }
        true
    }

    fn execute(&mut self, id: u64, name: String, most: usize) -> bool {
        let taken = self
            .sessions
            .get_mut(&id)
            .and_then(|s| s.portals.remove(&name));
        let Some(mut portal) = taken else {
            let text = format!("portal \"{name}\" does not exist");
            self.fail(id, &Failure::new("34000", text));
            return true;
        };
        let mut tag = None;
        if portal.rest.is_none() {
            match self.statement(id, &portal.text, 0, &portal.params, &portal.types) {
                Ok(done) => {
                    let rows = done.rows.into();
                    portal.rest = done.fields.map(|fields| Rest { fields, rows });
                    tag = Some(done.tag);
                }
                Err(halt) => return self.halted(id, name, most, portal, halt),
            }
        }
        let Some(session) = self.sessions.get_mut(&id) else {
            return false;
        };
        let out = &mut session.reply;
        let empty = Rest {
            fields: Vec::new(),
            rows: VecDeque::new(),
        };
        let rest = portal.rest.get_or_insert(empty);
        let most = if most == 0 { usize::MAX } else { most };
        let count = most.min(rest.rows.len());
        for row in rest.rows.drain(..count) {
            reply::row(out, &row, &rest.fields, &portal.formats);
        }
        if !rest.rows.is_empty() {
            reply::put(out, &PortalSuspended::new());
        } else {
            let tag = tag.unwrap_or_else(|| format!("SELECT {count}"));
            if tag.is_empty() {
                reply::put(out, &EmptyQueryResponse::new());
            } else {
                reply::tag(out, &tag);
            }
        }
        session.portals.insert(name, portal);
        true
    }

    fn halted(&mut self, id: u64, name: String, most: usize, portal: Portal, halt: Halt) -> bool {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.portals.insert(name.clone(), portal);
        }
        match halt {
            Halt::Locked => {
                let work = Work::Execute { portal: name, most };
                self.resume(id, work, Stage::Locked);
                false
            }
            Halt::Closed => false,
            Halt::Failed(failure) => {
                self.fail(id, &failure);
                true
            }
        }
    }
}
