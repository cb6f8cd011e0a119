//! Prepared statements of callers and of target connections.

use std::collections::HashMap;
use std::collections::VecDeque;

use ahash::RandomState;

/// Identifies the text and parameter types of a statement. Ids are never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(u64);

impl Id {
    /// Name of the statement on target connections.
    #[must_use]
    pub fn target_name(self) -> String {
        format!("lt_{}", self.0)
    }
}

/// A statement that one or more callers have prepared.
#[derive(Debug)]
pub struct Statement {
    /// Statement text in the caller's encoding.
    pub text: Box<[u8]>,
    /// Parameter types as encoded in a Parse.
    pub types: Box<[u8]>,
    /// Number of callers' names that refer to it. The statement is dropped when none is left.
    references: usize,
}

type Definition = (Box<[u8]>, Box<[u8]>);

/// All statements that callers of this entry have prepared, each stored once and reference-counted.
#[derive(Debug, Default)]
pub struct Table {
    statements: HashMap<Id, Statement, RandomState>,
    ids: HashMap<Definition, Id, RandomState>,
    next_id: u64,
}

impl Table {
    /// Returns the id of a statement, which is added if it is new, and adds a reference to it.
    pub fn acquire(&mut self, text: &[u8], types: &[u8]) -> Id {
        let key = (Box::from(text), Box::from(types));
        if let Some(id) = self.ids.get(&key) {
            if let Some(statement) = self.statements.get_mut(id) {
                statement.references += 1;
            }
            return *id;
        }
        let id = Id(self.next_id);
        self.next_id += 1;
        self.statements.insert(
            id,
            Statement {
                text: text.into(),
                types: types.into(),
                references: 1,
            },
        );
        self.ids.insert(key, id);
        id
    }

    /// Drops a reference to a statement.
    pub fn release(&mut self, id: Id) {
        let Some(statement) = self.statements.get_mut(&id) else {
            return;
        };
        statement.references -= 1;
        if statement.references == 0
            && let Some(statement) = self.statements.remove(&id)
        {
            self.ids.remove(&(statement.text, statement.types));
        }
    }

    #[must_use]
    pub fn get(&self, id: Id) -> Option<&Statement> {
        self.statements.get(&id)
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.statements.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }
}

/// The prepared statements of a caller by name.
#[derive(Debug, Default)]
pub struct Names {
    ids: HashMap<Box<[u8]>, Id, RandomState>,
}

impl Names {
    #[must_use]
    pub fn get(&self, name: &[u8]) -> Option<Id> {
        self.ids.get(name).copied()
    }

    /// Lets `name` refer to `id` and returns the statement that it referred to before.
    pub fn set(&mut self, name: &[u8], id: Id) -> Option<Id> {
        self.ids.insert(name.into(), id)
    }

    /// Removes `name` and returns the statement that it referred to.
    pub fn remove(&mut self, name: &[u8]) -> Option<Id> {
        self.ids.remove(name)
    }

    /// Removes all names and returns their statements.
    pub fn drain(&mut self) -> impl Iterator<Item = Id> + '_ {
        self.ids.drain().map(|(_, id)| id)
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}

/// Statements that are prepared on a target connection.
#[derive(Debug, Default)]
pub struct Cache {
    /// Oldest first. Invariant: at most [`Cache::MAX_STATEMENTS`] between exchanges.
    oldest_first: VecDeque<Id>,
}

impl Cache {
    /// Maximum number of statements kept on a connection; the server holds a plan for each.
    pub const MAX_STATEMENTS: usize = 200;

    #[must_use]
    pub fn contains(&self, id: Id) -> bool {
        self.oldest_first.contains(&id)
    }

    pub fn add(&mut self, id: Id) {
        self.oldest_first.push_back(id);
    }

    /// Removes a statement whose preparation failed.
    pub fn remove(&mut self, id: Id) {
        self.oldest_first.retain(|other| *other != id);
    }

    /// Removes and returns the oldest statement if there are too many; it must be closed on the
    /// target.
    pub fn pop_surplus(&mut self) -> Option<Id> {
        if self.oldest_first.len() > Self::MAX_STATEMENTS {
            self.oldest_first.pop_front()
        } else {
            None
        }
    }
}
