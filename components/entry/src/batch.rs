//! The next batch of a caller: the frames up to the ReadyForQuery that will answer them.

use pg::{Frames, Message, ObjectKind as Object, ProtocolError};
use relay::statement::{StatementNames, StatementTable};
use sql::{Cache, Classification, StatementKind};

/// Parameter that names a caller's request within its transaction.
const REQUEST_ID: &str = "limpettally.request_id";

/// What ends a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// A simple query; a ReadyForQuery answers it.
    Simple,
    /// A Sync; a ReadyForQuery answers it.
    Sync,
    /// A Flush: the answers so far are asked for, and the batch goes on.
    Flush,
    /// The caller ends the connection.
    Terminate,
}

/// What the statements of a batch do, taken together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Whether a target has to take part at all.
    pub target: bool,
    /// Whether anything may write.
    pub writes: bool,
    /// A transaction begins; read-only or not.
    pub begins: Option<bool>,
    /// The transaction may commit.
    pub commits: bool,
    /// The transaction may roll back.
    pub rolls_back: bool,
    /// A portal is described or closed, or executed without being bound here.
    pub portal: bool,
    /// Statements that need a target connection of their own.
    pub bound: Option<sql::SessionBinding>,
    /// A statement that the entry answers itself.
    pub local: Option<Local>,
    /// Request id that the transaction is to be recorded under.
    pub request: Option<String>,
    /// Whether a statement is executed, and not only prepared.
    pub executes: bool,
    /// Whether a portal is bound, which a later batch may execute.
    pub binds: bool,
    /// Number of statements that are the entry's own or need a target.
    pub statements: usize,
    /// Shape of the last statement.
    pub fingerprint: u64,
}

/// A statement about the entry's own parameters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Local {
    /// Sets a parameter.
    Set {
        /// The parameter.
        name: String,
        /// Its value.
        value: String,
    },
    /// Shows a parameter.
    Show {
        /// The parameter.
        name: String,
    },
    /// Ends a transaction whose target was lost.
    Rollback,
}

/// A complete batch at the front of a caller's buffer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Bytes of its frames.
    pub length: usize,
    /// What ends it.
    pub end: End,
    /// What it does.
    pub work: Work,
}

/// Finds the next batch of `bytes`, or none if it is not complete.
///
/// # Errors
/// Fails on a frame that the protocol does not allow or that is larger than `max` bytes.
pub fn next(
    bytes: &[u8],
    max: usize,
    names: &StatementNames,
    table: &StatementTable,
    cache: &mut Cache,
) -> Result<Option<Batch>, ProtocolError> {
    let mut frames = Frames::new(bytes, max);
    let mut scan = Scan {
        names,
        table,
        cache,
        parsed: Vec::new(),
        work: Work::default(),
    };
    while let Some(frame) = frames.next() {
        let end = match Message::try_from(frame?)? {
            Message::Query(text) => {
                scan.statement(text);
                scan.work.executes = true;
                Some(End::Simple)
            }
            Message::Sync => Some(End::Sync),
            Message::Flush => Some(End::Flush),
            Message::Terminate => Some(End::Terminate),
            message => {
                scan.extended(message);
                None
            }
        };
        if let Some(end) = end {
            return Ok(Some(Batch {
                length: frames.consumed(),
                end,
                work: scan.work,
            }));
        }
    }
    Ok(None)
}

struct Scan<'a> {
    names: &'a StatementNames,
    table: &'a StatementTable,
    cache: &'a mut Cache,
    /// Names that this batch prepares, which hide the caller's earlier ones.
    parsed: Vec<&'a [u8]>,
    work: Work,
}

impl<'a> Scan<'a> {
    fn extended(&mut self, message: Message<'a>) {
        match message {
            Message::Parse { name, text, .. } => {
                self.parsed.push(name);
                // Preparing needs a target that knows the same tables as the later execution.
                self.statement(text);
            }
            Message::Bind { statement, .. } => {
                self.work.binds = true;
                self.named(statement);
            }
            Message::Describe(Object::Statement, name) => self.named(name),
            Message::Execute => {
                self.work.executes = true;
                // A portal of an earlier batch is with its target.
                self.work.portal |= !self.work.binds;
            }
            Message::Describe(Object::Portal, _) | Message::Close(Object::Portal, _) => {
                self.work.portal = true;
            }
            _ => {}
        }
    }

    fn named(&mut self, name: &[u8]) {
        // A statement of this batch was counted when it was parsed.
        if self.parsed.contains(&name) {
            return;
        }
        let table = self.table;
        match self.names.get(name).and_then(|id| table.get(id)) {
            Some(statement) => self.statement(&statement.text),
            // The target reports the unknown name.
            None => self.work.target = true,
        }
    }

    fn statement(&mut self, text: &[u8]) {
        let Ok(text) = str::from_utf8(text) else {
            self.work.add_write();
            return;
        };
        let class = self.cache.classify(text);
        self.work.add(class);
    }
}

impl Work {
    /// Whether a write of the batch runs, here or through a portal in a later batch.
    #[must_use]
    pub fn may_write(&self) -> bool {
        self.writes && (self.executes || self.binds)
    }

    /// Whether the batch changes nothing, so that it may be sent again if its target is lost.
    #[must_use]
    pub fn is_repeatable(&self, in_transaction: bool) -> bool {
        let ends = self.commits || self.rolls_back || self.begins.is_some();
        !in_transaction && !self.writes && !ends && !self.portal && self.bound.is_none()
    }

    fn add_write(&mut self) {
        self.statements += 1;
        self.target = true;
        self.writes = true;
    }

    fn add(&mut self, class: &Classification) {
        self.fingerprint = class.fingerprint.0;
        if class.statements.is_empty() {
            self.add_kind(&class.kind);
        } else {
            class.statements.iter().for_each(|kind| self.add_kind(kind));
        }
    }

    fn add_kind(&mut self, kind: &StatementKind) {
        match kind {
            StatementKind::Set {
                name,
                value,
                local: false,
            } => {
                self.statements += 1;
                self.local = Some(Local::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
                return;
            }
            StatementKind::Show { name } if name.starts_with(crate::parameters::PREFIX) => {
                self.statements += 1;
                self.local = Some(Local::Show { name: name.clone() });
                return;
            }
            StatementKind::Set { name, value, .. } if name == REQUEST_ID => {
                self.request = Some(value.clone());
                self.writes = true;
            }
            StatementKind::Empty
            | StatementKind::Read
            | StatementKind::Show { .. }
            | StatementKind::Set { .. } => {}
            StatementKind::Write => self.writes = true,
            StatementKind::Begin { read_only } => self.begins = Some(*read_only),
            StatementKind::Commit => self.commits = true,
            StatementKind::Rollback => self.rolls_back = true,
            StatementKind::SessionBound(binding) => self.bound = Some(*binding),
        }
        self.statements += 1;
        self.target = true;
    }
}
