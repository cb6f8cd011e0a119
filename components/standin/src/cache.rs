//! Cache of parsed statements.

use std::collections::HashMap;

use crate::failure::Outcome;
use crate::parse;
use crate::plan::Plan;

/// Maximum number of cached scripts and of bytes of their SQL; the cache is cleared when either
/// limit is reached.
const MAX_SCRIPTS: usize = 4096;
const MAX_SQL_BYTES: usize = 16 << 20;

/// Plans of the statements of a script, by its SQL.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    scripts: HashMap<String, Vec<Plan>>,
    sql_bytes: usize,
}

impl Cache {
    pub(crate) fn script(&mut self, sql: &str) -> Outcome<&[Plan]> {
        if !self.scripts.contains_key(sql) {
            let plans = parse::script(sql)?;
            if self.scripts.len() >= MAX_SCRIPTS || self.sql_bytes + sql.len() > MAX_SQL_BYTES {
                self.scripts.clear();
                self.sql_bytes = 0;
            }
            self.sql_bytes += sql.len();
            self.scripts.insert(sql.to_owned(), plans);
        }
        Ok(self.scripts.get(sql).map_or(&[], Vec::as_slice))
    }
}
