//! Statements about the entry's own parameters, answered without a target.

use bytes::BytesMut;
use pg::{Frames, Message, Object, Severity, Status};
use relay::statement::{Names, Table};

use crate::batch::Builtin;

/// Prefix of the entry's own parameters.
pub const PREFIX: &str = "limpettally.";

/// An error for the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// SQLSTATE.
    pub code: &'static str,
    pub text: String,
}

/// The parameters of a caller that statements can show or set.
pub trait Parameters {
    /// Value of a parameter.
    ///
    /// # Errors
    /// Fails for an unknown parameter.
    fn show(&self, name: &str) -> Result<String, Refusal>;

    /// Sets a parameter.
    ///
    /// # Errors
    /// Fails for an unknown parameter or an invalid value.
    fn set(&mut self, name: &str, value: &str) -> Result<(), Refusal>;
}

/// Answers a batch whose only statement is `statement`. False if the statement was refused.
pub fn answer<P: Parameters>(
    frames: Frames<'_>,
    statement: &Builtin,
    parameters: &mut P,
    names: &mut Names,
    table: &mut Table,
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

fn describe(statement: &Builtin, out: &mut BytesMut) {
    if let Builtin::Show { name } = statement {
        pg::text_column(out, name);
    }
}

fn describe_or_none(statement: &Builtin, out: &mut BytesMut) {
    match statement {
        Builtin::Show { name } => pg::text_column(out, name),
        Builtin::Set { .. } | Builtin::Rollback => pg::no_data(out),
    }
}

/// Runs the statement. False if it was refused.
fn run<P: Parameters>(statement: &Builtin, parameters: &mut P, out: &mut BytesMut) -> bool {
    let result = match statement {
        Builtin::Show { name } => parameters.show(name).map(|value| {
            pg::text_row(out, &value);
            pg::command_complete(out, "SHOW");
        }),
        Builtin::Set { name, value } => parameters
            .set(name, value)
            .map(|()| pg::command_complete(out, "SET")),
        Builtin::Rollback => {
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
