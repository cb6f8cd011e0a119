//! Prepared statements: what callers have prepared, and what a target connection has.

use std::collections::HashMap;
use std::collections::VecDeque;

use ahash::RandomState;

/// Identity of a statement's text and parameter types; never used twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(u64);

impl Id {
    /// Name of the statement on target connections.
    #[must_use]
    pub fn name(self) -> String {
        format!("lt_{}", self.0)
    }
}

/// A statement as a caller prepared it.
#[derive(Debug)]
pub struct Statement {
    /// Text, in the caller's encoding.
    pub text: Box<[u8]>,
    /// Parameter types, as encoded in a Parse.
    pub types: Box<[u8]>,
    /// Callers' names that refer to it. The statement is dropped when none is left.
    uses: usize,
}

/// Text and parameter types.
type Key = (Box<[u8]>, Box<[u8]>);

/// All statements that callers of this entry have prepared, each held once.
#[derive(Debug, Default)]
pub struct Table {
    statements: HashMap<Id, Statement, RandomState>,
    ids: HashMap<Key, Id, RandomState>,
    next: u64,
}

impl Table {
    /// Identity of a statement; counts one more use of it.
    pub fn acquire(&mut self, text: &[u8], types: &[u8]) -> Id {
        let key = (Box::from(text), Box::from(types));
        if let Some(id) = self.ids.get(&key) {
            if let Some(statement) = self.statements.get_mut(id) {
                statement.uses += 1;
            }
            return *id;
        }
        let id = Id(self.next);
        self.next += 1;
        self.statements.insert(
            id,
            Statement {
                text: text.into(),
                types: types.into(),
                uses: 1,
            },
        );
        self.ids.insert(key, id);
        id
    }

    /// Gives one use of a statement back.
    pub fn release(&mut self, id: Id) {
        let Some(statement) = self.statements.get_mut(&id) else {
            return;
        };
        statement.uses -= 1;
        if statement.uses == 0
            && let Some(statement) = self.statements.remove(&id)
        {
            self.ids.remove(&(statement.text, statement.types));
        }
    }

    /// The statement of an identity in use.
    #[must_use]
    pub fn get(&self, id: Id) -> Option<&Statement> {
        self.statements.get(&id)
    }

    /// Number of statements held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.statements.len()
    }

    /// Whether no statement is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }
}

/// Names of a caller's prepared statements.
#[derive(Debug, Default)]
pub struct Names {
    ids: HashMap<Box<[u8]>, Id, RandomState>,
}

impl Names {
    /// The statement that `name` refers to.
    #[must_use]
    pub fn get(&self, name: &[u8]) -> Option<Id> {
        self.ids.get(name).copied()
    }

    /// Lets `name` refer to `id`, and returns the statement it referred to before.
    pub fn set(&mut self, name: &[u8], id: Id) -> Option<Id> {
        self.ids.insert(name.into(), id)
    }

    /// Forgets `name`.
    pub fn remove(&mut self, name: &[u8]) -> Option<Id> {
        self.ids.remove(name)
    }

    /// Forgets every name.
    pub fn drain(&mut self) -> impl Iterator<Item = Id> + '_ {
        self.ids.drain().map(|(_, id)| id)
    }

    /// Number of names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there is no name.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}

/// Statements that a target connection has prepared.
#[derive(Debug, Default)]
pub struct Prepared {
    /// Oldest first. Invariant: at most [`Prepared::MAX`] between exchanges.
    order: VecDeque<Id>,
}

impl Prepared {
    /// Statements kept on a connection; a server holds a plan for each in every connection.
    pub const MAX: usize = 200;

    /// Whether the connection has the statement.
    #[must_use]
    pub fn has(&self, id: Id) -> bool {
        self.order.contains(&id)
    }

    /// Adds a statement.
    pub fn add(&mut self, id: Id) {
        self.order.push_back(id);
    }

    /// Forgets a statement whose preparation failed.
    pub fn forget(&mut self, id: Id) {
        self.order.retain(|known| *known != id);
    }

    /// Takes the oldest statement if there are too many, to be closed on the target.
    pub fn evict(&mut self) -> Option<Id> {
        if self.order.len() > Self::MAX {
            self.order.pop_front()
        } else {
            None
        }
    }
}
