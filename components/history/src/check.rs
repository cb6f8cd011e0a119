//! The check.

use std::collections::{HashMap, HashSet};

use crate::{Kind, Operation, Outcome, Read, Row, Violation, Write};

/// Writes by what a read or the final state is compared with.
struct Index<'a> {
    by_value: HashMap<u64, &'a Write>,
    /// Acknowledged writes of each key.
    by_key: HashMap<u64, Vec<&'a Write>>,
}

/// Finds everything in the history of one database that breaks a rule.
///
/// In the final state each acknowledged write is present once, a refused one is absent, and one of
/// unknown outcome is present at most once. A read shows the acknowledged writes of its own session
/// that were answered before it was sent, and those of every session that were answered longer
/// before than the accepted age. A transaction is present as a whole or not at all.
#[must_use]
pub fn check(operations: &[Operation]) -> Vec<Violation> {
    let mut found = Vec::new();
    let index = Index::new(operations, &mut found);
    let mut finals = 0;
    for operation in operations {
        match operation {
            Operation::Write(_) => {}
            Operation::Read(read) => index.read(read, &mut found),
            Operation::Final(rows) => {
                finals += 1;
                index.last(rows, &mut found);
            }
        }
    }
    if finals != 1 {
        found.push(violation(Kind::Incomplete, 0, 0, None));
    }
    found
}

fn violation(kind: Kind, value: u64, key: u64, read: Option<&Read>) -> Violation {
    let read = read.map(|read| (read.sent_us, read.session));
    Violation {
        kind,
        value,
        key,
        read,
    }
}

impl<'a> Index<'a> {
    /// Two writes with one value could not be told apart, so that is a finding as well.
    fn new(operations: &'a [Operation], found: &mut Vec<Violation>) -> Self {
        let mut index = Self {
            by_value: HashMap::new(),
            by_key: HashMap::new(),
        };
        for operation in operations {
            let Operation::Write(write) = operation else {
                continue;
            };
            if index.by_value.insert(write.value, write).is_some() {
                found.push(violation(Kind::Incomplete, write.value, 0, None));
            }
            if write.outcome == Outcome::Done {
                for key in &write.keys {
                    index.by_key.entry(*key).or_default().push(write);
                }
            }
        }
        index
    }

    fn last(&self, rows: &[Row], found: &mut Vec<Violation>) {
        self.present(rows, None, found);
        let seen: HashSet<Row> = rows.iter().copied().collect();
        for write in self.by_value.values() {
            if write.outcome == Outcome::Done && !write.keys.iter().any(|k| has(&seen, *k, write)) {
                found.push(violation(Kind::Lost, write.value, write.keys[0], None));
            }
        }
    }

    fn read(&self, read: &Read, found: &mut Vec<Violation>) {
        self.present(&read.rows, Some(read), found);
        let seen: HashSet<Row> = read.rows.iter().copied().collect();
        for key in &read.keys {
            for write in self.by_key.get(key).into_iter().flatten() {
                if has(&seen, *key, write) {
                    continue;
                }
                let own = write.session == read.session && write.answered_us <= read.sent_us;
                let old = |age: u64| write.answered_us.saturating_add(age) < read.sent_us;
                if own {
                    found.push(violation(Kind::Own, write.value, *key, Some(read)));
                } else if read.max_age_us.is_some_and(old) {
                    found.push(violation(Kind::Stale, write.value, *key, Some(read)));
                }
            }
        }
    }

    /// Rules on rows that are there.
    fn present(&self, rows: &[Row], read: Option<&Read>, found: &mut Vec<Violation>) {
        let mut seen = HashSet::new();
        for row in rows {
            if !seen.insert(*row) {
                found.push(violation(Kind::Duplicate, row.value, row.key, read));
            }
        }
        for row in &seen {
            match self.by_value.get(&row.value) {
                Some(write) if write.keys.contains(&row.key) => {
                    if write.outcome == Outcome::NotRun {
                        found.push(violation(Kind::Ran, row.value, row.key, read));
                    }
                    self.whole(write, &seen, read, found);
                }
                _ => found.push(violation(Kind::Foreign, row.value, row.key, read)),
            }
        }
    }

    /// Reports each asked key of `write` that is missing, given that another one is there.
    fn whole(
        &self,
        write: &Write,
        seen: &HashSet<Row>,
        read: Option<&Read>,
        found: &mut Vec<Violation>,
    ) {
        for key in &write.keys {
            let asked = read.is_none_or(|read| read.keys.contains(key));
            if asked && !has(seen, *key, write) {
                let broken = violation(Kind::Mixed, write.value, *key, read);
                if !found.contains(&broken) {
                    found.push(broken);
                }
            }
        }
    }
}

fn has(seen: &HashSet<Row>, key: u64, write: &Write) -> bool {
    let value = write.value;
    seen.contains(&Row { key, value })
}
