//! A caller's connection and its session.

use std::time::{Duration, Instant};

use bytes::{Buf as _, BytesMut};
use pg::{Frame, Status};
use pool::Ticket;
use relay::statement::Names;
use session::{Session, Signer, Token};
use types::Name;

use crate::batch::{Batch, End};
use crate::event::ConnKey;
use crate::parameters::{Parameters, Refusal};
use link::io;

/// Longest value of a session parameter.
const MAX_VALUE_BYTES: usize = 256;
/// Maximum number of parameters stored for a session.
const MAX_PARAMETERS: usize = 16;
/// Largest staleness that a session may accept for its reads.
const MAX_READ_AGE: Duration = Duration::from_secs(24 * 3600);

/// Progress of a caller's current batch.
#[derive(Debug)]
pub enum State {
    /// No batch is in progress.
    Idle,
    /// The batch waits for an eligible target, or for the end of a planned switch that holds
    /// writes.
    Routing(Job),
    /// The batch waits in the queue of the target with this index for a connection or a slot.
    Queued(Job, usize, Ticket),
    /// The batch runs on this target connection.
    Running(ConnKey),
    /// The target has committed; the acknowledgement waits for replicas.
    Acknowledging,
}

/// A batch with its deadlines and retries.
#[derive(Clone, Debug)]
pub struct Job {
    /// The batch; its bytes stay at the front of the caller's input buffer until it is sent.
    pub batch: Batch,
    /// Deadline for finding a replica that can serve a read.
    pub replica_deadline: Instant,
    /// Deadline for starting the batch.
    pub deadline: Instant,
    /// How often the batch was retried: a read whose target was lost before it answered.
    pub retries: u32,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    pub read_only: bool,
    /// A statement in it may have written.
    pub wrote: bool,
}

/// Priority of a caller's statements in the queues.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Weight {
    /// A user waits for the answer.
    #[default]
    Interactive,
    /// Scheduled after interactive statements.
    Batch,
}

#[derive(Debug)]
pub struct Caller {
    /// Handle of its socket.
    pub handle: io::Handle,
    /// Received bytes that are not yet part of a sent batch.
    pub inbox: BytesMut,
    /// Bytes to send at the end of the event loop's turn.
    pub out: BytesMut,
    pub database: Name,
    /// Process id given to the caller for CancelRequest.
    pub process: i32,
    /// Secret given to the caller for CancelRequest.
    pub secret: i32,
    pub statement_names: Names,
    pub state: State,
    /// Transaction status last reported to the caller.
    pub status: Status,
    /// Its open transaction, bound to a connection while `bound_conn` is set.
    pub transaction: Option<Transaction>,
    /// Connection of the open transaction or of the series of extended messages in progress. None
    /// while `transaction` is set means that the transaction's target was lost.
    pub bound_conn: Option<ConnKey>,
    /// The target of the open transaction was lost, and no error has reported that to the caller
    /// yet.
    pub unreported_loss: bool,
    /// A series of extended messages was flushed and its Sync has not arrived yet. Invariant:
    /// `bound_conn` is set meanwhile.
    pub unsynced: bool,
    /// The flushed series may have written.
    pub unsynced_wrote: bool,
    /// The caller sent Terminate, closed its side or got a FATAL error; it is removed once nothing
    /// runs.
    pub closing: bool,
    /// Identity of the session and the positions of its writes.
    pub session: Session,
    /// Staleness accepted for reads; None for the setting of the database.
    pub max_age: Option<Duration>,
    pub weight: Weight,
    /// Parameters set on a connection before it runs statements of this caller.
    pub parameters: Vec<(String, String)>,
}

impl Caller {
    /// Whether neither a batch nor a transaction is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle) && self.transaction.is_none()
    }

    /// Whether a batch may commit a write, so that its answer must be held back.
    #[must_use]
    pub fn may_commit(&self, batch: &Batch) -> bool {
        let summary = &batch.summary;
        let wrote = summary.may_write();
        match self.transaction {
            Some(transaction) => {
                summary.commits && !transaction.read_only && (transaction.wrote || wrote)
            }
            // A write is committed by the Sync that follows it.
            None if batch.end == End::Flush => false,
            None if summary.begins.is_some() => summary.commits && wrote,
            None => wrote || self.unsynced_wrote,
        }
    }

    /// Drops the caller's input up to and including its next Sync, and answers that Sync. If it has
    /// not arrived, drops the whole input and closes the caller, since it can't be known which of
    /// its later messages to skip.
    pub fn skip_to_sync(&mut self, max_frame: usize) {
        while let Ok(Some(frame)) = Frame::first(&self.inbox, max_frame) {
            let (tag, length) = (frame.tag, frame.raw.len());
            self.inbox.advance(length);
            if tag == b'S' {
                pg::ready_for_query(&mut self.out, self.status);
                return;
            }
        }
        self.closing = true;
        self.inbox.clear();
    }
}

/// Borrowed view of a caller's parameters, with the key that signs its session token.
#[derive(Debug)]
pub struct View<'a> {
    pub session: &'a mut Session,
    pub max_age: &'a mut Option<Duration>,
    pub weight: &'a mut Weight,
    pub parameters: &'a mut Vec<(String, String)>,
    /// Signs and verifies session tokens.
    pub signer: &'a Signer,
}

impl Caller {
    pub fn view<'a>(&'a mut self, signer: &'a Signer) -> View<'a> {
        View {
            session: &mut self.session,
            max_age: &mut self.max_age,
            weight: &mut self.weight,
            parameters: &mut self.parameters,
            signer,
        }
    }
}

impl Parameters for View<'_> {
    fn show(&self, name: &str) -> Result<String, Refusal> {
        match name {
            "limpettally.session" => Ok(match &self.session {
                Session::Token(token) => self.signer.sign(token),
                Session::Name(name) => name.to_string(),
            }),
            "limpettally.max_age_ms" => Ok(self
                .max_age
                .map_or_else(|| "default".to_owned(), |age| age.as_millis().to_string())),
            "limpettally.weight" => Ok(match self.weight {
                Weight::Interactive => "interactive".to_owned(),
                Weight::Batch => "batch".to_owned(),
            }),
            _ => Err(unrecognized(name)),
        }
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), Refusal> {
        match name {
            "limpettally.session" => {
                *self.session = Session::parse(self.signer, value).map_err(|refusal| Refusal {
                    code: "28L01",
                    text: refusal.to_string(),
                })?;
            }
            "limpettally.max_age_ms" if value.is_empty() || value == "default" => {
                *self.max_age = None;
            }
            "limpettally.max_age_ms" => {
                let age = value.parse().map(Duration::from_millis).ok();
                let age = age
                    .filter(|age| *age <= MAX_READ_AGE)
                    .ok_or_else(|| invalid_value(name, value))?;
                *self.max_age = Some(age);
            }
            "limpettally.weight" => {
                *self.weight = match value {
                    "" | "interactive" => Weight::Interactive,
                    "batch" => Weight::Batch,
                    _ => return Err(invalid_value(name, value)),
                };
            }
            _ if name.starts_with(crate::parameters::PREFIX) => return Err(unrecognized(name)),
            "client_encoding"
                if !matches!(
                    &*value.to_ascii_lowercase(),
                    "" | "utf8" | "utf-8" | "unicode"
                ) =>
            {
                return Err(invalid_value(name, value));
            }
            "client_encoding" => {}
            _ if sql::is_session_parameter(name) => store_parameter(self.parameters, name, value)?,
            _ => return Err(unrecognized(name)),
        }
        Ok(())
    }
}

/// Stores a session parameter; an empty value restores the target's default.
fn store_parameter(
    parameters: &mut Vec<(String, String)>,
    name: &str,
    value: &str,
) -> Result<(), Refusal> {
    if value.len() > MAX_VALUE_BYTES || value.contains('\0') {
        return Err(invalid_value(name, "a long value"));
    }
    parameters.retain(|(known, _)| known != name);
    if !value.is_empty() {
        if parameters.len() == MAX_PARAMETERS {
            return Err(invalid_value(name, value));
        }
        parameters.push((name.to_owned(), value.to_owned()));
    }
    Ok(())
}

fn unrecognized(name: &str) -> Refusal {
    Refusal {
        code: "42704",
        text: format!("unrecognized configuration parameter \"{name}\""),
    }
}

fn invalid_value(name: &str, value: &str) -> Refusal {
    Refusal {
        code: "22023",
        text: format!("invalid value for parameter \"{name}\": \"{value}\""),
    }
}

/// A new session without positions, for a caller that presents no token.
#[must_use]
pub fn new_session(id: u128) -> Session {
    Session::Token(Token::new(id))
}
