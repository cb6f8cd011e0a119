//! A caller's connection and the session on it.

use std::time::{Duration, Instant};

use bytes::{Buf as _, BytesMut};
use pg::{Frame, Status};
use pool::Ticket;
use relay::statement::StatementNames;
use session::{Session, Signer, Token};
use types::Name;

use crate::batch::{Batch, End};
use crate::event::ConnKey;
use crate::parameters::{Parameters, Refusal};
use link::io;

/// Longest value of a kept parameter.
const MAX_VALUE: usize = 256;
/// Parameters kept for a session at the most.
const MAX_PARAMETERS: usize = 16;
/// Largest age that a session may state for its reads.
const MAX_AGE: Duration = Duration::from_secs(24 * 3600);

/// Where a caller's present batch is.
#[derive(Debug)]
pub enum State {
    /// No batch is under way.
    Idle,
    /// The batch waits for a target to become eligible, or for the end of a held switch.
    Routing(Wait),
    /// The batch waits for a connection or a slot of a target.
    Queued(Wait, usize, Ticket),
    /// A target connection works on it.
    Running(ConnKey),
    /// The target has committed; the acknowledgement waits for replicas.
    Acknowledging,
}

/// A batch that has not started.
#[derive(Clone, Debug)]
pub struct Wait {
    /// The batch, at the front of the caller's buffer.
    pub batch: Batch,
    /// Until when a read may wait for a replica.
    pub wait_until: Instant,
    /// Until when the batch may wait at all.
    pub deadline: Instant,
    /// Times that it was sent again: a read whose target was lost before it answered.
    pub retries: u32,
}

/// An open transaction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Declared read-only.
    pub read_only: bool,
    /// A statement in it may have written.
    pub wrote: bool,
}

/// Weight of a caller's work in queues.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Weight {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// Goes after interactive work.
    Batch,
}

/// A caller.
#[derive(Debug)]
pub struct Caller {
    /// Its socket.
    pub handle: io::Handle,
    /// Bytes that no exchange has taken yet.
    pub inbox: BytesMut,
    /// Bytes to send at the end of the loop's turn.
    pub out: BytesMut,
    /// Database that it uses.
    pub database: Name,
    /// Process id that it was given for CancelRequest.
    pub process: i32,
    /// Secret that it was given for CancelRequest.
    pub secret: i32,
    /// Names of its prepared statements.
    pub names: StatementNames,
    /// What it does.
    pub state: State,
    /// Transaction status that it was last told.
    pub status: Status,
    /// Its open transaction, bound to a connection while `bound` is set.
    pub transaction: Option<Transaction>,
    /// Connection of the open transaction or series. None while `transaction` is set means that the
    /// transaction's target was lost.
    pub bound: Option<ConnKey>,
    /// The target of the open transaction was lost, and no error has reported that to the caller yet.
    pub unreported_loss: bool,
    /// A series of extended messages was flushed and its Sync has not come yet. Invariant: `bound`
    /// is set meanwhile.
    pub unsynced: bool,
    /// That series may have written.
    pub unsynced_wrote: bool,
    /// It sent Terminate or closed its side; it is removed once nothing runs.
    pub closing: bool,
    /// Positions that it wrote, and its identity.
    pub session: Session,
    /// Age that it accepts for reads; none for the setting of the database.
    pub max_age: Option<Duration>,
    /// Weight of its work.
    pub weight: Weight,
    /// Parameters that are set on a connection before it serves this caller.
    pub parameters: Vec<(String, String)>,
}

impl Caller {
    /// Whether the present batch or transaction has anything under way.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle) && self.transaction.is_none()
    }

    /// Whether a batch may commit a write, so that its answer must be held back.
    #[must_use]
    pub fn may_commit(&self, batch: &Batch) -> bool {
        let work = &batch.work;
        let wrote = work.may_write();
        match self.transaction {
            Some(transaction) => {
                work.commits && !transaction.read_only && (transaction.wrote || wrote)
            }
            // A write is committed by the Sync that follows it.
            None if batch.end == End::Flush => false,
            None if work.begins.is_some() => work.commits && wrote,
            None => wrote || self.unsynced_wrote,
        }
    }

    /// Drops what the caller sent up to and including its next Sync, and answers that. Drops what
    /// there is if the Sync has not arrived; the caller is then closed, since it can't be known which
    /// of its later messages were skipped.
    pub fn skip_to_sync(&mut self, max: usize) {
        while let Ok(Some(frame)) = Frame::first(&self.inbox, max) {
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

/// A caller's parameters with the key that signs its token.
#[derive(Debug)]
pub struct View<'a> {
    /// The caller's session.
    pub session: &'a mut Session,
    /// Age that it accepts.
    pub max_age: &'a mut Option<Duration>,
    /// Weight of its work.
    pub weight: &'a mut Weight,
    /// Parameters for its connections.
    pub parameters: &'a mut Vec<(String, String)>,
    /// Signs and opens tokens.
    pub signer: &'a Signer,
}

impl Caller {
    /// The caller's parameters.
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
            _ => Err(unknown(name)),
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
                    .filter(|age| *age <= MAX_AGE)
                    .ok_or_else(|| invalid(name, value))?;
                *self.max_age = Some(age);
            }
            "limpettally.weight" => {
                *self.weight = match value {
                    "" | "interactive" => Weight::Interactive,
                    "batch" => Weight::Batch,
                    _ => return Err(invalid(name, value)),
                };
            }
            _ if name.starts_with(crate::parameters::PREFIX) => return Err(unknown(name)),
            "client_encoding"
                if !matches!(
                    &*value.to_ascii_lowercase(),
                    "" | "utf8" | "utf-8" | "unicode"
                ) =>
            {
                return Err(invalid(name, value));
            }
            "client_encoding" => {}
            _ if sql::is_session_parameter(name) => keep(self.parameters, name, value)?,
            _ => return Err(unknown(name)),
        }
        Ok(())
    }
}

/// Keeps a parameter for the session's connections; an empty value is the target's default.
fn keep(parameters: &mut Vec<(String, String)>, name: &str, value: &str) -> Result<(), Refusal> {
    if value.len() > MAX_VALUE || value.contains('\0') {
        return Err(invalid(name, "a long value"));
    }
    parameters.retain(|(known, _)| known != name);
    if !value.is_empty() {
        if parameters.len() == MAX_PARAMETERS {
            return Err(invalid(name, value));
        }
        parameters.push((name.to_owned(), value.to_owned()));
    }
    Ok(())
}

fn unknown(name: &str) -> Refusal {
    Refusal {
        code: "42704",
        text: format!("unrecognized configuration parameter \"{name}\""),
    }
}

fn invalid(name: &str, value: &str) -> Refusal {
    Refusal {
        code: "22023",
        text: format!("invalid value for parameter \"{name}\": \"{value}\""),
    }
}

/// The session of a caller that showed none: a new identity without positions.
#[must_use]
pub fn new_session(id: u128) -> Session {
    Session::Token(Token::new(id))
}
