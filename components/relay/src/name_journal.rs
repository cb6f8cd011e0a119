//! Changes of statement names by a batch, kept until it is known which ones the target accepted.

use crate::statement::{Id, Names, Table};

/// Change of the statement that a name refers to.
#[derive(Debug)]
struct Change {
    name: Box<[u8]>,
    before: Option<Id>,
    after: Option<Id>,
}

/// Changes in order of their requests. Each takes effect at once, since later requests of the same
/// batch may use the name, and is undone if its request fails.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    changes: Vec<Change>,
    /// Number of changes, counted from the front, whose request succeeded.
    confirmed: usize,
    /// Whether the target refused to prepare the unnamed statement, which then no longer exists.
    unnamed_refused: bool,
}

impl Journal {
    pub(crate) fn set(&mut self, name: &[u8], id: Id, names: &mut Names) {
        let before = names.set(name, id);
        self.add(name, before, Some(id));
    }

    pub(crate) fn remove(&mut self, name: &[u8], names: &mut Names) {
        let before = names.remove(name);
        self.add(name, before, None);
    }

    fn add(&mut self, name: &[u8], before: Option<Id>, after: Option<Id>) {
        self.changes.push(Change {
            name: name.into(),
            before,
            after,
        });
    }

    /// Records that the next request in order succeeded.
    pub(crate) fn confirm(&mut self) {
        self.confirmed += 1;
    }

    /// Records that the next request in order, a Parse, was refused.
    pub(crate) fn refuse(&mut self) {
        let next = self.changes.get(self.confirmed);
        self.unnamed_refused = next.is_some_and(|change| change.name.is_empty());
    }

    /// Undoes the changes that were not confirmed and releases statements that no name refers to any
    /// more.
    pub(crate) fn settle(&mut self, names: &mut Names, statements: &mut Table) {
        let unconfirmed = self
            .changes
            .split_off(self.confirmed.min(self.changes.len()));
        self.confirmed = 0;
        for change in unconfirmed.into_iter().rev() {
            match change.before {
                Some(id) => names.set(&change.name, id),
                None => names.remove(&change.name),
            };
            if let Some(id) = change.after {
                statements.release(id);
            }
        }
        if std::mem::take(&mut self.unnamed_refused)
            && let Some(id) = names.remove(b"")
        {
            statements.release(id);
        }
        for change in self.changes.drain(..) {
            if let Some(id) = change.before {
                statements.release(id);
            }
        }
    }
}
