//! Statements about the entry's own parameters, answered without a target.

use bytes::BytesMut;
use pg::{Frames, Message, ObjectKind as Object, Severity, Status};
use relay::statement::{StatementNames, StatementTable};

use crate::batch::Local;

/// Prefix of the entry's own parameters.
pub const PREFIX: &str = "limpettally.";

/// A refusal with its SQLSTATE.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// SQLSTATE.
    pub code: &'static str,
    /// Text for the caller.
    pub text: String,
}

/// The caller's parameters, as far as a statement can show or set them.
pub trait Parameters {
    /// Value of a parameter.
    ///
    /// # Errors
    /// Fails for a parameter that does not exist.
    fn show(&self, name: &str) -> Result<String, Refusal>;

    /// Sets a parameter.
    ///
    /// # Errors
    /// Fails for a parameter or a value that is not accepted.
    fn set(&mut self, name: &str, value: &str) -> Result<(), Refusal>;
}

/// Answers a batch whose only statement is `own`. False if the statement was refused.
pub fn answer<P: Parameters>(
    frames: Frames<'_>,
    statement: &Local,
    parameters: &mut P,
    names: &mut StatementNames,
    table: &mut StatementTable,
    status: Status,
    out: &mut BytesMut,
) -> bool {
    let mut refused = false;
    let mut skip = false;
    for frame in frames.flatten() {
        let Ok(message) = Message::try_from(frame) else {
            continue;
        };
        if skip && message != Message::Sync {
            continue;
        }
        match message {
            Message::Query(_) => {
                describe(statement, out);
                refused |= !run(statement, parameters, out);
                pg::ready_for_query(out, status);
            }
            Message::Parse { name, text, types } => {
                let id = table.acquire(text, types);
                if let Some(old) = names.set(name, id) {
                    table.release(old);
                }
                out.extend_from_slice(pg::PARSE_COMPLETE);
            }
            Message::Bind { .. } => pg::bind_complete(out),
            Message::Describe(Object::Statement, _) => {
                pg::no_parameters(out);
                describe_or_none(statement, out);
            }
            Message::Describe(Object::Portal, _) => describe_or_none(statement, out),
            Message::Execute => {
                skip = !run(statement, parameters, out);
                refused |= skip;
            }
            Message::Close(..) => out.extend_from_slice(pg::CLOSE_COMPLETE),
            Message::Sync => pg::ready_for_query(out, status),
            Message::Flush | Message::Copy | Message::Terminate => {}
        }
    }
    !refused
}

fn describe(statement: &Local, out: &mut BytesMut) {
    if let Local::Show { name } = statement {
        pg::text_column(out, name);
    }
}

fn describe_or_none(statement: &Local, out: &mut BytesMut) {
    match statement {
        Local::Show { name } => pg::text_column(out, name),
        Local::Set { .. } | Local::Rollback => pg::no_data(out),
    }
}

/// Runs the statement. False if it was refused.
fn run<P: Parameters>(statement: &Local, parameters: &mut P, out: &mut BytesMut) -> bool {
    let result = match statement {
        Local::Show { name } => parameters.show(name).map(|value| {
            pg::text_row(out, &value);
            pg::command_complete(out, "SHOW");
        }),
        Local::Set { name, value } => parameters
            .set(name, value)
            .map(|()| pg::command_complete(out, "SET")),
        Local::Rollback => {
            pg::command_complete(out, "ROLLBACK");
            Ok(())
        }
    };
    match result {
        Ok(()) => true,
        Err(refusal) => {
            pg::error_response(out, Severity::Error, refusal.code, &refusal.text);
            false
        }
    }
}
