//! Names that a batch gives to statements, until it is known which of them the target accepted.

use crate::statement::{Id, Names, Table};

/// A change of a caller's names.
#[derive(Debug)]
struct Change {
    name: Box<[u8]>,
    before: Option<Id>,
    after: Option<Id>,
}

/// Changes in the order of their requests. Each takes effect at once, since later requests of the
/// same batch refer to it.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    changes: Vec<Change>,
    /// Changes from the front whose request was answered without an error.
    confirmed: usize,
    /// A preparation under no name was refused, which leaves no unnamed statement.
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

    /// The next request in order was answered without an error.
    pub(crate) fn confirm(&mut self) {
        self.confirmed += 1;
    }

    /// The next request in order, a preparation, was refused.
    pub(crate) fn refuse(&mut self) {
        let next = self.changes.get(self.confirmed);
        self.unnamed_refused = next.is_some_and(|change| change.name.is_empty());
    }

    /// Undoes what was not confirmed and gives back what no name refers to any more.
    pub(crate) fn settle(&mut self, names: &mut Names, table: &mut Table) {
        let refused = self
            .changes
            .split_off(self.confirmed.min(self.changes.len()));
        self.confirmed = 0;
        for change in refused.into_iter().rev() {
            match change.before {
                Some(id) => names.set(&change.name, id),
                None => names.remove(&change.name),
            };
            if let Some(id) = change.after {
                table.release(id);
            }
        }
        if std::mem::take(&mut self.unnamed_refused)
            && let Some(id) = names.remove(b"")
        {
            table.release(id);
        }
        for change in self.changes.drain(..) {
            if let Some(id) = change.before {
                table.release(id);
            }
        }
    }
}
