//! Checks the history of one database against the consistency rules.

use std::collections::{HashMap, HashSet};

use crate::{Kind, Operation, Outcome, Read, Row, Violation, Write};

/// Lookup tables for the writes of a history.
struct Index<'a> {
    by_value: HashMap<u64, &'a Write>,
    /// Acknowledged writes of each key.
    by_key: HashMap<u64, Vec<&'a Write>>,
}

/// Returns every violation of the consistency rules in the history of one database.
///
/// In the final state each acknowledged write is present once, a refused one is absent, and one of
/// unknown outcome is present at most once. A read returns the acknowledged writes of its own
/// session that were answered before it was sent. It also returns the acknowledged writes of any
/// session that were answered earlier than the accepted age before it was sent. A transaction is
/// present as a whole or not at all.
#[must_use]
pub fn check(operations: &[Operation]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let index = Index::new(operations, &mut violations);
    let mut final_states = 0;
    for operation in operations {
        match operation {
            Operation::Write(_) => {}
            Operation::Read(read) => index.check_read(read, &mut violations),
            Operation::Final(rows) => {
                final_states += 1;
                index.check_final(rows, &mut violations);
            }
        }
    }
    if final_states != 1 {
        violations.push(violation(Kind::Incomplete, 0, 0, None));
    }
    violations
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
    /// Reports two writes with the same value, as they cannot be told apart.
    fn new(operations: &'a [Operation], violations: &mut Vec<Violation>) -> Self {
        let mut index = Self {
            by_value: HashMap::new(),
            by_key: HashMap::new(),
        };
        for operation in operations {
            let Operation::Write(write) = operation else {
                continue;
            };
            if index.by_value.insert(write.value, write).is_some() {
                violations.push(violation(Kind::Incomplete, write.value, 0, None));
            }
            if write.outcome == Outcome::Done {
                for key in &write.keys {
                    index.by_key.entry(*key).or_default().push(write);
                }
            }
        }
        index
    }

    fn check_final(&self, rows: &[Row], violations: &mut Vec<Violation>) {
        self.check_rows(rows, None, violations);
        let present: HashSet<Row> = rows.iter().copied().collect();
        for write in self.by_value.values() {
            if write.outcome == Outcome::Done
                && !write.keys.iter().any(|k| contains(&present, *k, write))
            {
                violations.push(violation(Kind::Lost, write.value, write.keys[0], None));
            }
        }
    }

    fn check_read(&self, read: &Read, violations: &mut Vec<Violation>) {
        self.check_rows(&read.rows, Some(read), violations);
        let present: HashSet<Row> = read.rows.iter().copied().collect();
        for key in &read.keys {
            for write in self.by_key.get(key).into_iter().flatten() {
                if contains(&present, *key, write) {
                    continue;
                }
                let same_session =
                    write.session == read.session && write.answered_us <= read.sent_us;
                let is_older = |age: u64| write.answered_us.saturating_add(age) < read.sent_us;
                if same_session {
                    violations.push(violation(Kind::Own, write.value, *key, Some(read)));
                } else if read.max_age_us.is_some_and(is_older) {
                    violations.push(violation(Kind::Stale, write.value, *key, Some(read)));
                }
            }
        }
    }

    /// Checks the rows that are present: no duplicates, no unknown values, no refused writes.
    fn check_rows(&self, rows: &[Row], read: Option<&Read>, violations: &mut Vec<Violation>) {
        let mut present = HashSet::new();
        for row in rows {
            if !present.insert(*row) {
                violations.push(violation(Kind::Duplicate, row.value, row.key, read));
            }
        }
        for row in &present {
            match self.by_value.get(&row.value) {
                Some(write) if write.keys.contains(&row.key) => {
                    if write.outcome == Outcome::NotRun {
                        violations.push(violation(Kind::Ran, row.value, row.key, read));
                    }
                    self.check_atomicity(write, &present, read, violations);
                }
                _ => violations.push(violation(Kind::Foreign, row.value, row.key, read)),
            }
        }
    }

    /// Reports each requested key of `write` that is missing although another one is present.
    fn check_atomicity(
        &self,
        write: &Write,
        present: &HashSet<Row>,
        read: Option<&Read>,
        violations: &mut Vec<Violation>,
    ) {
        for key in &write.keys {
            let requested = read.is_none_or(|read| read.keys.contains(key));
            if requested && !contains(present, *key, write) {
                let missing = violation(Kind::Mixed, write.value, *key, read);
                if !violations.contains(&missing) {
                    violations.push(missing);
                }
            }
        }
    }
}

fn contains(present: &HashSet<Row>, key: u64, write: &Write) -> bool {
    let value = write.value;
    present.contains(&Row { key, value })
}
