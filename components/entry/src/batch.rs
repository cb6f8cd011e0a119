//! Splits a caller's bytes into batches: the frames up to the message that asks for an answer.

use pg::{Error, Frames, Message, Object};
use relay::statement::{Names, Table};
use sql::{Cache, Classification, Kind};

/// Parameter that sets a caller's request id within its transaction.
const REQUEST_ID_PARAMETER: &str = "limpettally.request_id";

/// Message that ends a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// A simple query, answered with ReadyForQuery.
    Simple,
    /// A Sync, answered with ReadyForQuery.
    Sync,
    /// A Flush: requests the answers so far; the series of messages goes on until its Sync.
    Flush,
    /// Terminate: the caller closes the connection.
    Terminate,
}

/// What the statements of a batch do, taken together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Whether the batch needs a target.
    pub needs_target: bool,
    /// Whether any statement may write.
    pub writes: bool,
    /// A transaction begins; true if it is read-only.
    pub begins: Option<bool>,
    /// The transaction may commit.
    pub commits: bool,
    /// The transaction may roll back.
    pub rolls_back: bool,
    /// Whether a portal is described or closed, or executed without being bound in this batch.
    pub uses_portal: bool,
    /// Why a statement needs a target connection of its own.
    pub session_binding: Option<sql::Binding>,
    /// A statement that the entry answers itself.
    pub builtin: Option<Builtin>,
    /// Request id to record in the transaction.
    pub request_id: Option<String>,
    /// Whether a statement is executed, not only prepared.
    pub executes: bool,
    /// Whether a portal is bound, which a later batch may execute.
    pub binds: bool,
    /// Number of statements, including those that the entry answers itself.
    pub statement_count: usize,
    /// Fingerprint of the last statement.
    pub fingerprint: u64,
}

/// A statement that the entry answers without a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Builtin {
    Set {
        name: String,
        value: String,
    },
    Show {
        name: String,
    },
    /// Ends a transaction whose target was lost.
    Rollback,
}

/// A complete batch at the front of a caller's input buffer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Length in bytes.
    pub length: usize,
    pub end: End,
    pub summary: Summary,
}

/// Finds the first batch in `bytes`; `None` if it is incomplete.
///
/// # Errors
/// Fails on a frame that the protocol does not allow or that is larger than `max_frame` bytes.
pub fn next(
    bytes: &[u8],
    max_frame: usize,
    names: &Names,
    table: &Table,
    cache: &mut Cache,
) -> Result<Option<Batch>, Error> {
    let mut frames = Frames::new(bytes, max_frame);
    let mut scanner = Scanner {
        names,
        table,
        cache,
        parsed_names: Vec::new(),
        summary: Summary::default(),
    };
    while let Some(frame) = frames.next() {
        let end = match Message::try_from(frame?)? {
            Message::Query(text) => {
                scanner.add_text(text);
                scanner.summary.executes = true;
                Some(End::Simple)
            }
            Message::Sync => Some(End::Sync),
            Message::Flush => Some(End::Flush),
            Message::Terminate => Some(End::Terminate),
            message => {
                scanner.add_message(message);
                None
            }
        };
        if let Some(end) = end {
            return Ok(Some(Batch {
                length: frames.consumed(),
                end,
                summary: scanner.summary,
            }));
        }
    }
    Ok(None)
}

struct Scanner<'a> {
    names: &'a Names,
    table: &'a Table,
    cache: &'a mut Cache,
    /// Statement names prepared in this batch; they shadow the caller's earlier ones.
    parsed_names: Vec<&'a [u8]>,
    summary: Summary,
}

impl<'a> Scanner<'a> {
    fn add_message(&mut self, message: Message<'a>) {
        match message {
            Message::Parse { name, text, .. } => {
                self.parsed_names.push(name);
                // Preparing needs a target with the same tables as the later execution.
                self.add_text(text);
            }
            Message::Bind { statement, .. } => {
                self.summary.binds = true;
                self.add_named(statement);
            }
            Message::Describe(Object::Statement, name) => self.add_named(name),
            Message::Execute => {
                self.summary.executes = true;
                // A portal bound in an earlier batch exists only on its target.
                self.summary.uses_portal |= !self.summary.binds;
            }
            Message::Describe(Object::Portal, _) | Message::Close(Object::Portal, _) => {
                self.summary.uses_portal = true;
            }
            _ => {}
        }
    }

    fn add_named(&mut self, name: &[u8]) {
        // A statement prepared in this batch was already counted at its Parse.
        if self.parsed_names.contains(&name) {
            return;
        }
        let table = self.table;
        match self.names.get(name).and_then(|id| table.get(id)) {
            Some(statement) => self.add_text(&statement.text),
            // The target reports the unknown name.
            None => self.summary.needs_target = true,
        }
    }

    fn add_text(&mut self, text: &[u8]) {
        let Ok(text) = str::from_utf8(text) else {
            self.summary.add_write();
            return;
        };
        let class = self.cache.classify(text);
        self.summary.add(class);
    }
}

impl Summary {
    /// Whether the batch may execute a write, directly or through a portal in a later batch.
    #[must_use]
    pub fn may_write(&self) -> bool {
        self.writes && (self.executes || self.binds)
    }

    /// Whether the batch changes nothing, so that it can be retried if its target is lost.
    #[must_use]
    pub fn is_repeatable(&self, in_transaction: bool) -> bool {
        let ends = self.commits || self.rolls_back || self.begins.is_some();
        !in_transaction
            && !self.writes
            && !ends
            && !self.uses_portal
            && self.session_binding.is_none()
    }

    fn add_write(&mut self) {
        self.statement_count += 1;
        self.needs_target = true;
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

    fn add_kind(&mut self, kind: &Kind) {
        match kind {
            Kind::Set {
                name,
                value,
                local: false,
            } => {
                self.statement_count += 1;
                self.builtin = Some(Builtin::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
                return;
            }
            Kind::Show { name } if name.starts_with(crate::parameters::PREFIX) => {
                self.statement_count += 1;
                self.builtin = Some(Builtin::Show { name: name.clone() });
                return;
            }
            Kind::Set { name, value, .. } if name == REQUEST_ID_PARAMETER => {
                self.request_id = Some(value.clone());
                self.writes = true;
            }
            Kind::Empty | Kind::Read | Kind::Show { .. } | Kind::Set { .. } => {}
            Kind::Write => self.writes = true,
            Kind::Begin { read_only } => self.begins = Some(*read_only),
            Kind::Commit => self.commits = true,
            Kind::Rollback => self.rolls_back = true,
            Kind::SessionBound(binding) => self.session_binding = Some(*binding),
        }
        self.statement_count += 1;
        self.needs_target = true;
    }
}
