//! Committed rows, and the changes of open transactions over them.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::failure::{Failure, Outcome};
use crate::plan::Schema;
use crate::value::Value;

pub(crate) type Key = Vec<Value>;
pub(crate) type Row = Vec<Value>;

/// One change of a committed transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Change {
    Create(Schema),
    Drop(String),
    Put { table: String, key: Key, row: Row },
    Remove { table: String, key: Key },
}

/// Committed content of one table.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Table {
    schema: Schema,
    rows: BTreeMap<Key, Row>,
}

/// Committed content of the database.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Store {
    tables: BTreeMap<String, Table>,
    /// Key of the next row in a table without primary key; above every such key in use.
    next_row: i64,
}

impl Store {
    pub(crate) fn next_row(&mut self) -> Value {
        self.next_row += 1;
        Value::Int(self.next_row)
    }

    pub(crate) fn apply(&mut self, change: Change) {
        match change {
            Change::Create(schema) => {
                let rows = BTreeMap::new();
                self.tables
                    .insert(schema.name.clone(), Table { schema, rows });
            }
            Change::Drop(table) => {
                self.tables.remove(&table);
            }
            Change::Put { table, key, row } => {
                if let Some(table) = self.tables.get_mut(&table) {
                    if let (true, [Value::Int(id)]) = (table.schema.key.is_empty(), &*key) {
                        self.next_row = self.next_row.max(*id);
                    }
                    table.rows.insert(key, row);
                }
            }
            Change::Remove { table, key } => {
                if let Some(table) = self.tables.get_mut(&table) {
                    table.rows.remove(&key);
                }
            }
        }
    }
}

impl Change {
    /// Bytes that the change takes in the log.
    pub(crate) fn size(&self) -> u64 {
        let values = |list: &[Value]| list.iter().map(Value::size).sum::<u64>();
        match self {
            Self::Create(schema) => 64 + 32 * schema.columns.len() as u64,
            Self::Drop(_) => 64,
            Self::Put { key, row, .. } => 24 + values(key) + values(row),
            Self::Remove { key, .. } => 24 + values(key),
        }
    }
}

/// Uncommitted changes of one transaction.
#[derive(Clone, Debug, Default)]
struct Overlay {
    tables: BTreeMap<String, Option<Schema>>,
    rows: BTreeMap<String, BTreeMap<Key, Option<Row>>>,
}

/// State of an open transaction.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transaction {
    /// Begun by BEGIN; otherwise it ends with the script or at Sync.
    pub(crate) explicit: bool,
    pub(crate) read_only: bool,
    /// Refuses statements until it is rolled back.
    pub(crate) failed: bool,
    /// Parameters as they were before the first SET of this transaction.
    pub(crate) settings: Option<HashMap<String, String>>,
    /// Parameters that get their former value back at the end.
    pub(crate) local: Vec<String>,
    overlay: Overlay,
    savepoints: Vec<(String, Overlay)>,
}

impl Transaction {
    pub(crate) fn savepoint(&mut self, name: &str) {
        self.savepoints
            .push((name.to_owned(), self.overlay.clone()));
    }

    fn find(&self, name: &str) -> Outcome<usize> {
        let found = self.savepoints.iter().rposition(|(n, _)| n == name);
        found.ok_or_else(|| Failure::new("3B001", format!("savepoint \"{name}\" does not exist")))
    }

    pub(crate) fn rollback_to(&mut self, name: &str) -> Outcome<()> {
        let at = self.find(name)?;
        self.savepoints.truncate(at + 1);
        self.overlay = self.savepoints[at].1.clone();
        self.failed = false;
        Ok(())
    }

    pub(crate) fn release(&mut self, name: &str) -> Outcome<()> {
        let at = self.find(name)?;
        self.savepoints.truncate(at);
        Ok(())
    }

    pub(crate) fn create(&mut self, schema: Schema) {
        self.overlay.rows.remove(&schema.name);
        self.overlay
            .tables
            .insert(schema.name.clone(), Some(schema));
    }

    pub(crate) fn drop(&mut self, table: &str) {
        self.overlay.rows.remove(table);
        self.overlay.tables.insert(table.to_owned(), None);
    }

    pub(crate) fn write(&mut self, table: &str, key: Key, row: Option<Row>) {
        match self.overlay.rows.get_mut(table) {
            Some(rows) => {
                rows.insert(key, row);
            }
            None => {
                let rows = BTreeMap::from([(key, row)]);
                self.overlay.rows.insert(table.to_owned(), rows);
            }
        }
    }

    pub(crate) fn has_savepoint(&self) -> bool {
        !self.savepoints.is_empty()
    }

    pub(crate) fn has_changes(&self) -> bool {
        !self.overlay.tables.is_empty() || !self.overlay.rows.is_empty()
    }

    /// The changes in the order in which a replica has to apply them.
    pub(crate) fn into_changes(self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, schema) in self.overlay.tables {
            changes.push(Change::Drop(name));
            changes.extend(schema.map(Change::Create));
        }
        for (table, rows) in self.overlay.rows {
            changes.extend(rows.into_iter().map(|(key, row)| {
                let table = table.clone();
                match row {
                    Some(row) => Change::Put { table, key, row },
                    None => Change::Remove { table, key },
                }
            }));
        }
        changes
    }
}

/// What a statement sees: committed rows under its own transaction's changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    pub(crate) store: &'a Store,
    pub(crate) own: Option<&'a Transaction>,
}

impl<'a> View<'a> {
    pub(crate) fn find(&self, table: &str) -> Option<&'a Schema> {
        match self.own.and_then(|own| own.overlay.tables.get(table)) {
            Some(own) => own.as_ref(),
            None => self.store.tables.get(table).map(|t| &t.schema),
        }
    }

    pub(crate) fn schema(&self, table: &str) -> Outcome<&'a Schema> {
        let missing = || Failure::new("42P01", format!("relation \"{table}\" does not exist"));
        self.find(table).ok_or_else(missing)
    }

    /// Committed rows, none for a table that the transaction has created or dropped.
    fn committed(&self, table: &str) -> Option<&'a BTreeMap<Key, Row>> {
        let replaced = |own: &Transaction| own.overlay.tables.contains_key(table);
        if self.own.is_some_and(replaced) {
            return None;
        }
        self.store.tables.get(table).map(|t| &t.rows)
    }

    fn own(&self, table: &str) -> Option<&'a BTreeMap<Key, Option<Row>>> {
        self.own.and_then(|own| own.overlay.rows.get(table))
    }

    pub(crate) fn get(&self, table: &str, key: &[Value]) -> Option<(&'a Key, &'a Row)> {
        if let Some((key, row)) = self.own(table).and_then(|own| own.get_key_value(key)) {
            return row.as_ref().map(|row| (key, row));
        }
        self.committed(table)?.get_key_value(key)
    }

    pub(crate) fn scan(&self, table: &str) -> impl Iterator<Item = (&'a Key, &'a Row)> + use<'a> {
        let own = self.own(table);
        let hidden = move |key: &[Value]| own.is_some_and(|own| own.contains_key(key));
        let committed = self.committed(table).into_iter().flatten();
        let changed = own.into_iter().flatten();
        committed
            .filter(move |(key, _)| !hidden(key))
            .chain(changed.filter_map(|(key, row)| row.as_ref().map(|row| (key, row))))
    }
}

/// Row locks of open transactions, and who waits for whom.
#[derive(Debug, Default)]
pub(crate) struct Locks {
    holders: BTreeMap<(String, Key), u64>,
    held: HashMap<u64, Vec<(String, Key)>>,
    waits: HashMap<u64, u64>,
}

impl Locks {
    /// Takes all locks or none; the error is the session that holds one of them.
    pub(crate) fn acquire(&mut self, session: u64, wanted: Vec<(String, Key)>) -> Result<(), u64> {
        let other = |lock| self.holders.get(lock).copied().filter(|h| *h != session);
        if let Some(holder) = wanted.iter().find_map(other) {
            return Err(holder);
        }
        let held = self.held.entry(session).or_default();
        for lock in wanted {
            if self.holders.insert(lock.clone(), session).is_none() {
                held.push(lock);
            }
        }
        Ok(())
    }

    /// Notes that a session waits; false when that would close a circle.
    pub(crate) fn wait(&mut self, session: u64, holder: u64) -> bool {
        let mut at = holder;
        while let Some(next) = self.waits.get(&at) {
            if *next == session {
                return false;
            }
            at = *next;
        }
        self.waits.insert(session, holder);
        true
    }

    pub(crate) fn stop_waiting(&mut self, session: u64) {
        self.waits.remove(&session);
    }

    /// Releases a session's locks and returns the sessions that waited for it.
    pub(crate) fn release(&mut self, session: u64) -> Vec<u64> {
        let Some(held) = self.held.remove(&session) else {
            return Vec::new();
        };
        for lock in held {
            self.holders.remove(&lock);
        }
        let mut woken: Vec<u64> = Vec::new();
        self.waits.retain(|waiter, holder| {
            let wake = *holder == session;
            if wake {
                woken.push(*waiter);
            }
            !wake
        });
        // Sessions are numbered in order of arrival.
        woken.sort_unstable();
        woken
    }
}
