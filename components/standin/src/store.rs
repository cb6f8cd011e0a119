//! Committed tables, the uncommitted changes of open transactions, and row locks.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::failure::{Failure, Outcome};
use crate::plan::Schema;
use crate::value::Value;

pub(crate) type Key = Vec<Value>;
pub(crate) type Row = Vec<Value>;

/// A change of a committed transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Change {
    Create(Schema),
    Drop(String),
    Put { table: String, key: Key, row: Row },
    Remove { table: String, key: Key },
}

/// Definition and committed rows of a table.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Table {
    schema: Schema,
    rows: BTreeMap<Key, Row>,
}

/// All committed tables.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Store {
    tables: BTreeMap<String, Table>,
    /// Largest key of a row in tables without a primary key.
    last_row_id: i64,
}

impl Store {
    pub(crate) fn next_row_id(&mut self) -> Value {
        self.last_row_id += 1;
        Value::Int(self.last_row_id)
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
                        self.last_row_id = self.last_row_id.max(*id);
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
    /// Size in the log, in bytes.
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

/// Uncommitted changes of a transaction; `None` for dropped tables and deleted rows.
#[derive(Clone, Debug, Default)]
struct Overlay {
    tables: BTreeMap<String, Option<Schema>>,
    rows: BTreeMap<String, BTreeMap<Key, Option<Row>>>,
}

/// State of an open transaction.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transaction {
    /// Started with BEGIN; an implicit transaction ends with the script or at Sync.
    pub(crate) explicit: bool,
    pub(crate) read_only: bool,
    /// Aborted by an error: rejects statements until it is rolled back.
    pub(crate) failed: bool,
    /// Settings before the first SET of this transaction.
    pub(crate) saved_settings: Option<HashMap<String, String>>,
    /// Names of the settings of SET LOCAL, which are restored at the end.
    pub(crate) local_settings: Vec<String>,
    overlay: Overlay,
    savepoints: Vec<(String, Overlay)>,
}

impl Transaction {
    pub(crate) fn savepoint(&mut self, name: &str) {
        self.savepoints
            .push((name.to_owned(), self.overlay.clone()));
    }

    fn savepoint_index(&self, name: &str) -> Outcome<usize> {
        let index = self.savepoints.iter().rposition(|(n, _)| n == name);
        index.ok_or_else(|| Failure::new("3B001", format!("savepoint \"{name}\" does not exist")))
    }

    pub(crate) fn rollback_to(&mut self, name: &str) -> Outcome<()> {
        let index = self.savepoint_index(name)?;
        self.savepoints.truncate(index + 1);
        self.overlay = self.savepoints[index].1.clone();
        self.failed = false;
        Ok(())
    }

    pub(crate) fn release(&mut self, name: &str) -> Outcome<()> {
        let index = self.savepoint_index(name)?;
        self.savepoints.truncate(index);
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

    /// Changes in the order in which they have to be applied.
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

/// Tables as a statement sees them: the committed ones with the changes of its own transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    pub(crate) store: &'a Store,
    pub(crate) transaction: Option<&'a Transaction>,
}

impl<'a> View<'a> {
    pub(crate) fn find_schema(&self, table: &str) -> Option<&'a Schema> {
        match self
            .transaction
            .and_then(|transaction| transaction.overlay.tables.get(table))
        {
            Some(schema) => schema.as_ref(),
            None => self.store.tables.get(table).map(|t| &t.schema),
        }
    }

    pub(crate) fn schema(&self, table: &str) -> Outcome<&'a Schema> {
        let missing = || Failure::new("42P01", format!("relation \"{table}\" does not exist"));
        self.find_schema(table).ok_or_else(missing)
    }

    /// Committed rows; `None` if the transaction has created or dropped the table.
    fn committed(&self, table: &str) -> Option<&'a BTreeMap<Key, Row>> {
        let is_replaced =
            |transaction: &Transaction| transaction.overlay.tables.contains_key(table);
        if self.transaction.is_some_and(is_replaced) {
            return None;
        }
        self.store.tables.get(table).map(|t| &t.rows)
    }

    fn changed(&self, table: &str) -> Option<&'a BTreeMap<Key, Option<Row>>> {
        self.transaction
            .and_then(|transaction| transaction.overlay.rows.get(table))
    }

    pub(crate) fn get(&self, table: &str, key: &[Value]) -> Option<(&'a Key, &'a Row)> {
        if let Some((key, row)) = self.changed(table).and_then(|rows| rows.get_key_value(key)) {
            return row.as_ref().map(|row| (key, row));
        }
        self.committed(table)?.get_key_value(key)
    }

    pub(crate) fn scan(&self, table: &str) -> impl Iterator<Item = (&'a Key, &'a Row)> + use<'a> {
        let changed = self.changed(table);
        let is_overwritten =
            move |key: &[Value]| changed.is_some_and(|rows| rows.contains_key(key));
        let committed = self.committed(table).into_iter().flatten();
        let changed_rows = changed.into_iter().flatten();
        committed
            .filter(move |(key, _)| !is_overwritten(key))
            .chain(changed_rows.filter_map(|(key, row)| row.as_ref().map(|row| (key, row))))
    }
}

/// Row locks of open transactions, and the sessions that wait for them. A table is locked by an
/// empty key.
#[derive(Debug, Default)]
pub(crate) struct Locks {
    holders: BTreeMap<(String, Key), u64>,
    held: HashMap<u64, Vec<(String, Key)>>,
    waits: HashMap<u64, u64>,
}

impl Locks {
    /// Acquires all locks or none; the error is a session that holds one of them.
    pub(crate) fn acquire(&mut self, session: u64, wanted: Vec<(String, Key)>) -> Result<(), u64> {
        let other_holder = |lock| self.holders.get(lock).copied().filter(|h| *h != session);
        if let Some(holder) = wanted.iter().find_map(other_holder) {
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

    /// Registers that a session waits for another; false if that would be a deadlock.
    pub(crate) fn start_waiting(&mut self, session: u64, holder: u64) -> bool {
        let mut current = holder;
        while let Some(next) = self.waits.get(&current) {
            if *next == session {
                return false;
            }
            current = *next;
        }
        self.waits.insert(session, holder);
        true
    }

    pub(crate) fn stop_waiting(&mut self, session: u64) {
        self.waits.remove(&session);
    }

    /// Releases the locks of a session and returns the sessions that waited for it.
    pub(crate) fn release(&mut self, session: u64) -> Vec<u64> {
        let Some(held) = self.held.remove(&session) else {
            return Vec::new();
        };
        for lock in held {
            self.holders.remove(&lock);
        }
        let mut waiters: Vec<u64> = Vec::new();
        self.waits.retain(|waiter, holder| {
            let wake = *holder == session;
            if wake {
                waiters.push(*waiter);
            }
            !wake
        });
        // Ascending IDs: the order in which the sessions connected.
        waiters.sort_unstable();
        waiters
    }
}
