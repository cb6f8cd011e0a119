//! Messages of a client and the execution of its queries.

use std::collections::VecDeque;

use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::extendedquery::{CloseComplete, PortalSuspended};
use pgwire::messages::response::EmptyQueryResponse;

use crate::failure::Failure;
use crate::reply;
use crate::server::Server;
use crate::session::{Job, Phase, Portal, Remainder, Request, Stage};
use crate::statement::{Completion, Error};

impl Server {
    /// Handles the messages of a session until it has to wait.
    pub(crate) fn advance(&mut self, id: u64) {
        while let Some(session) = self.sessions.get_mut(&id) {
            match session.phase {
                Phase::Opening | Phase::Replica => return,
                Phase::New | Phase::Open => {}
            }
            if session.job.is_some() {
                if !self.run_job(id) {
                    break;
                }
                continue;
            }
            let Some(message) = session.inbox.pop_front() else {
                break;
            };
            if session.phase == Phase::New {
                self.on_startup_message(id, message);
            } else {
                self.on_message(id, message);
            }
        }
        self.flush(id);
        if self
            .sessions
            .get(&id)
            .is_some_and(|s| s.disconnected && s.is_idle())
        {
            self.remove_session(id);
        }
    }

    fn on_message(&mut self, id: u64, message: PgWireFrontendMessage) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        match &message {
            PgWireFrontendMessage::Sync(_) => return self.on_sync(id),
            PgWireFrontendMessage::Terminate(_) => return self.remove_session(id),
            _ if session.skip_until_sync => return,
            _ => {}
        }
        let outcome = match message {
            PgWireFrontendMessage::Query(query) => {
                self.start_job(
                    id,
                    Request::Script {
                        sql: query.query,
                        index: 0,
                    },
                );
                Ok(())
            }
            PgWireFrontendMessage::Parse(parse) => self.on_parse(id, parse),
            PgWireFrontendMessage::Bind(bind) => self.on_bind(id, bind),
            PgWireFrontendMessage::Describe(describe) => {
                let name = describe.name.unwrap_or_default();
                self.on_describe(id, describe.target_type, &name)
            }
            PgWireFrontendMessage::Execute(execute) => {
                let portal = execute.name.unwrap_or_default();
                let max_rows = usize::try_from(execute.max_rows).unwrap_or(0);
                self.start_job(id, Request::Execute { portal, max_rows });
                Ok(())
            }
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == b'S' {
                    session.statements.remove(&name);
                } else {
                    session.portals.remove(&name);
                }
                reply::put(&mut session.write_buffer, &CloseComplete::new());
                Ok(())
            }
            PgWireFrontendMessage::Flush(_) => Ok(()),
            // The server does not support COPY; data that follows the failed statement is ignored.
            PgWireFrontendMessage::CopyData(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_) => Ok(()),
            _ => return self.terminate(id, "08P01", "unexpected message"),
        };
        if let Err(failure) = outcome {
            self.fail(id, &failure);
        }
    }

    fn start_job(&mut self, id: u64, request: Request) {
        if let Some(session) = self.sessions.get_mut(&id) {
            let stage = Stage::New;
            session.job = Some(Job { request, stage });
        }
    }

    /// Reports an error and ends the request that caused it.
    pub(crate) fn fail(&mut self, id: u64, failure: &Failure) {
        self.abort(id);
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        reply::error(&mut session.write_buffer, failure);
        match session.job.take() {
            Some(Job {
                request: Request::Script { .. },
                ..
            }) => {
                let status = session.status();
                reply::ready_for_query(&mut session.write_buffer, status);
            }
            _ => session.skip_until_sync = true,
        }
    }

    fn on_sync(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.skip_until_sync = false;
        let explicit = session
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.explicit);
        if !explicit {
            session.portals.clear();
            if !self.commit(id) {
                return;
            }
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            let status = session.status();
            reply::ready_for_query(&mut session.write_buffer, status);
        }
    }

    /// Continues the current job; false if it has to wait or the session has ended.
    fn run_job(&mut self, id: u64) -> bool {
        match self.admit(id) {
            Ok(true) => {}
            Ok(false) => return false,
            Err(failure) => {
                self.fail(id, &failure);
                return true;
            }
        }
        let job = self.sessions.get_mut(&id).and_then(|s| s.job.take());
        match job.map(|job| job.request) {
            Some(Request::Script { sql, index }) => self.run_script(id, sql, index),
            Some(Request::Execute { portal, max_rows }) => self.run_portal(id, portal, max_rows),
            None => false,
        }
    }

    fn set_job(&mut self, id: u64, request: Request, stage: Stage) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.job = Some(Job { request, stage });
        }
    }

    fn run_script(&mut self, id: u64, sql: String, index: usize) -> bool {
        let count = match self.cache.script(&sql) {
            Ok(plans) => plans.len(),
            Err(failure) => {
                self.set_job(id, Request::Script { sql, index }, Stage::Ready);
                self.fail(id, &failure);
                return true;
            }
        };
        if index >= count {
            return self.end_script(id, count == 0);
        }
        match self.run_statement(id, &sql, index, &[], &[]) {
            Ok(completion) => {
                self.send_result(id, &completion);
                self.set_job(
                    id,
                    Request::Script {
                        sql,
                        index: index + 1,
                    },
                    Stage::New,
                );
                true
            }
            Err(Error::Locked) => {
                self.set_job(id, Request::Script { sql, index }, Stage::WaitingForLock);
                false
            }
            Err(Error::Closed) => false,
            Err(Error::Failed(failure)) => {
                self.set_job(id, Request::Script { sql, index }, Stage::Ready);
                self.fail(id, &failure);
                true
            }
        }
    }

    /// Appends the complete result of a simple query's statement.
    fn send_result(&mut self, id: u64, completion: &Completion) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let out = &mut session.write_buffer;
        if let Some(fields) = &completion.fields {
            reply::row_description(out, Some(fields), &[]);
            for row in &completion.rows {
                reply::data_row(out, row, fields, &[]);
            }
        }
        reply::command_complete(out, &completion.tag);
    }

    fn end_script(&mut self, id: u64, empty: bool) -> bool {
        let Some(session) = self.sessions.get_mut(&id) else {
            return false;
        };
        if empty {
            reply::put(&mut session.write_buffer, &EmptyQueryResponse::new());
        }
        let explicit = session
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.explicit);
        if !explicit && !self.commit(id) {
            return false;
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            let status = session.status();
            reply::ready_for_query(&mut session.write_buffer, status);
        }
        true
    }

    fn run_portal(&mut self, id: u64, name: String, max_rows: usize) -> bool {
        let removed = self
            .sessions
            .get_mut(&id)
            .and_then(|s| s.portals.remove(&name));
        let Some(mut portal) = removed else {
            let text = format!("portal \"{name}\" does not exist");
            self.fail(id, &Failure::new("34000", text));
            return true;
        };
        let mut tag = None;
        if portal.remainder.is_none() {
            match self.run_statement(
                id,
                &portal.sql,
                0,
                &portal.parameters,
                &portal.parameter_types,
            ) {
                Ok(completion) => {
                    let rows = completion.rows.into();
                    portal.remainder = completion.fields.map(|fields| Remainder { fields, rows });
                    tag = Some(completion.tag);
                }
                Err(error) => return self.portal_interrupted(id, name, max_rows, portal, error),
            }
        }
        let Some(session) = self.sessions.get_mut(&id) else {
            return false;
        };
        let out = &mut session.write_buffer;
        let empty = Remainder {
            fields: Vec::new(),
            rows: VecDeque::new(),
        };
        let remainder = portal.remainder.get_or_insert(empty);
        let max_rows = if max_rows == 0 { usize::MAX } else { max_rows };
        let count = max_rows.min(remainder.rows.len());
        for row in remainder.rows.drain(..count) {
            reply::data_row(out, &row, &remainder.fields, &portal.result_formats);
        }
        if !remainder.rows.is_empty() {
            reply::put(out, &PortalSuspended::new());
        } else {
            let tag = tag.unwrap_or_else(|| format!("SELECT {count}"));
            if tag.is_empty() {
                reply::put(out, &EmptyQueryResponse::new());
            } else {
                reply::command_complete(out, &tag);
            }
        }
        session.portals.insert(name, portal);
        true
    }

    fn portal_interrupted(
        &mut self,
        id: u64,
        name: String,
        max_rows: usize,
        portal: Portal,
        error: Error,
    ) -> bool {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.portals.insert(name.clone(), portal);
        }
        match error {
            Error::Locked => {
                let request = Request::Execute {
                    portal: name,
                    max_rows,
                };
                self.set_job(id, request, Stage::WaitingForLock);
                false
            }
            Error::Closed => false,
            Error::Failed(failure) => {
                self.fail(id, &failure);
                true
            }
        }
    }
}
