//! Execution of statements that read or change tables.

use crate::describe;
use crate::eval::Scope;
use crate::failure::{Failure, Outcome, failure};
use crate::plan::{Delete, Expr, Insert, Item, Operator, Plan, Schema, Select, Source, Update};
use crate::projection::{project, shape};
use crate::store::{Key, Locks, Row, Store, Transaction, View};
use crate::value::Value;

/// Result of a statement.
#[derive(Debug, Default)]
pub(crate) struct Reply {
    pub(crate) rows: Vec<Row>,
    /// Rows that the statement changed or returned.
    pub(crate) count: usize,
}

/// Why a statement has no result yet.
#[derive(Debug)]
pub(crate) enum Stop {
    Failed(Failure),
    /// A row is locked by this session; the statement runs again when that session releases it.
    Locked(u64),
}

impl From<Failure> for Stop {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// State that a statement works on.
#[derive(Debug)]
pub(crate) struct Executor<'a, 'p> {
    pub(crate) session: u64,
    pub(crate) store: &'a mut Store,
    pub(crate) locks: &'a mut Locks,
    pub(crate) own: &'a mut Transaction,
    pub(crate) scope: &'a mut Scope<'p>,
}

impl Executor<'_, '_> {
    pub(crate) fn run(&mut self, plan: &Plan) -> Result<Reply, Stop> {
        match plan {
            Plan::Select(select) => self.select(select),
            Plan::Insert(insert) => self.insert(insert),
            Plan::Update(update) => self.update(update),
            Plan::Delete(delete) => self.delete(delete),
            Plan::Create { table, lenient } => self.create(table, *lenient),
            Plan::Drop { tables, lenient } => self.drop(tables, *lenient),
            other => Err(Failure::unsupported(other.command()).into()),
        }
    }

    fn view(&self) -> View<'_> {
        View {
            store: self.store,
            own: Some(self.own),
        }
    }

    fn lock(&mut self, table: &str, keys: impl Iterator<Item = Key>) -> Result<(), Stop> {
        let wanted = keys.map(|key| (table.to_owned(), key)).collect();
        let taken = self.locks.acquire(self.session, wanted);
        taken.map_err(Stop::Locked)
    }

    fn create(&mut self, table: &Schema, lenient: bool) -> Result<Reply, Stop> {
        self.lock(&table.name, std::iter::once(Key::new()))?;
        if self.view().find(&table.name).is_none() {
            self.own.create(table.clone());
        } else if !lenient {
            let text = format!("relation \"{}\" already exists", table.name);
            return Err(Failure::new("42P07", text).into());
        }
        Ok(Reply::default())
    }

    fn drop(&mut self, tables: &[String], lenient: bool) -> Result<Reply, Stop> {
        for table in tables {
            self.lock(table, std::iter::once(Key::new()))?;
            if self.view().find(table).is_some() {
                self.own.drop(table);
            } else if !lenient {
                let text = format!("table \"{table}\" does not exist");
                return Err(Failure::new("42P01", text).into());
            }
        }
        Ok(Reply::default())
    }

    fn select(&mut self, select: &Select) -> Result<Reply, Stop> {
        let facts = self.scope.facts;
        let own = View {
            store: self.store,
            own: Some(self.own),
        };
        let rows = match &select.source {
            Source::Nothing => {
                let matches = self.scope.accepts(select.filter.as_ref(), None)?;
                let rows: &[&[Value]] = if matches { &[&[]] } else { &[] };
                return Ok(shape(select, None, rows, self.scope)?);
            }
            Source::Checkpoint => {
                let schema = describe::checkpoint();
                let row = [
                    Value::Lsn(facts.lsn),
                    Value::Lsn(facts.lsn),
                    Value::Int(facts.timeline.cast_signed()),
                    Value::Int(facts.previous.cast_signed()),
                ];
                let current = Some((&schema, row.as_slice()));
                let matches = self.scope.accepts(select.filter.as_ref(), current)?;
                let rows: &[&[Value]] = if matches { &[&row] } else { &[] };
                return Ok(shape(select, Some(&schema), rows, self.scope)?);
            }
            Source::Table(table) => matching(own, table, select.filter.as_ref(), self.scope)?,
        };
        if let (Source::Table(table), true) = (&select.source, select.lock) {
            let wanted = rows.iter().map(|(key, _)| (table.clone(), (*key).clone()));
            let taken = self.locks.acquire(self.session, wanted.collect());
            taken.map_err(Stop::Locked)?;
        }
        let Source::Table(table) = &select.source else {
            return Ok(Reply::default());
        };
        let schema = own.schema(table)?;
        let rows: Vec<&[Value]> = rows.into_iter().map(|(_, row)| row.as_slice()).collect();
        Ok(shape(select, Some(schema), &rows, self.scope)?)
    }

    fn insert(&mut self, insert: &Insert) -> Result<Reply, Stop> {
        let schema = self.view().schema(&insert.table)?.clone();
        let mut rows = Vec::with_capacity(insert.rows.len());
        for values in &insert.rows {
            let row = fresh(&schema, &insert.columns, values, self.scope)?;
            let key = if schema.key.is_empty() {
                vec![self.store.next_row()]
            } else {
                key(&schema, &row)
            };
            rows.push((key, row));
        }
        self.lock(&schema.name, rows.iter().map(|(key, _)| key.clone()))?;
        let mut reply = Reply::default();
        let mut added: Vec<(Key, Row)> = Vec::with_capacity(rows.len());
        for (key, row) in rows {
            let twice = added.iter().any(|(known, _)| *known == key);
            if twice || self.view().get(&schema.name, &key).is_some() {
                if insert.skip_conflicts {
                    continue;
                }
                return Err(duplicate(&schema).into());
            }
            self.returned(&insert.returning, &schema, &row, &mut reply)?;
            added.push((key, row));
        }
        reply.count = added.len();
        for (key, row) in added {
            self.own.write(&schema.name, key, Some(row));
        }
        Ok(reply)
    }

    fn update(&mut self, update: &Update) -> Result<Reply, Stop> {
        let schema = self.view().schema(&update.table)?.clone();
        let mut targets = Vec::with_capacity(update.set.len());
        for (name, expr) in &update.set {
            targets.push((position(&schema, name)?, expr));
        }
        let mut changed = Vec::new();
        for (old, row) in self.matching(&update.table, update.filter.as_ref())? {
            let mut next = row.clone();
            for (at, expr) in &targets {
                let value = self.scope.eval(expr, Some((&schema, &row)))?;
                next[*at] = checked(&schema, *at, value)?;
            }
            let new = match schema.key.is_empty() {
                true => old.clone(),
                false => key(&schema, &next),
            };
            changed.push((old, new, next));
        }
        let keys = changed.iter().flat_map(|(old, new, _)| [old, new]).cloned();
        self.lock(&schema.name, keys)?;
        let mut reply = Reply::default();
        for (at, (old, new, row)) in changed.iter().enumerate() {
            if old != new {
                let moved = changed.iter().any(|(old, _, _)| old == new);
                let taken = changed[..at].iter().any(|(_, other, _)| other == new);
                if taken || (!moved && self.view().get(&schema.name, new).is_some()) {
                    return Err(duplicate(&schema).into());
                }
            }
            self.returned(&update.returning, &schema, row, &mut reply)?;
        }
        reply.count = changed.len();
        for (old, _, _) in changed.iter().filter(|(old, new, _)| old != new) {
            self.own.write(&schema.name, old.clone(), None);
        }
        for (_, new, row) in changed {
            self.own.write(&schema.name, new, Some(row));
        }
        Ok(reply)
    }

    fn delete(&mut self, delete: &Delete) -> Result<Reply, Stop> {
        let schema = self.view().schema(&delete.table)?.clone();
        let rows = self.matching(&delete.table, delete.filter.as_ref())?;
        self.lock(&schema.name, rows.iter().map(|(key, _)| key.clone()))?;
        let mut reply = Reply::default();
        for (_, row) in &rows {
            self.returned(&delete.returning, &schema, row, &mut reply)?;
        }
        reply.count = rows.len();
        for (key, _) in rows {
            self.own.write(&schema.name, key, None);
        }
        Ok(reply)
    }

    /// Copies of the rows that a change concerns.
    fn matching(&mut self, table: &str, filter: Option<&Expr>) -> Outcome<Vec<(Key, Row)>> {
        let view = View {
            store: self.store,
            own: Some(self.own),
        };
        let rows = matching(view, table, filter, self.scope)?;
        let copy = |(key, row): (&Key, &Row)| (key.clone(), row.clone());
        Ok(rows.into_iter().map(copy).collect())
    }

    fn returned(
        &mut self,
        items: &[Item],
        schema: &Schema,
        row: &[Value],
        reply: &mut Reply,
    ) -> Outcome<()> {
        if !items.is_empty() {
            let row = project(items, Some((schema, row)), self.scope)?;
            reply.rows.push(row);
        }
        Ok(())
    }
}

fn duplicate(schema: &Schema) -> Failure {
    let name = &schema.name;
    let text = format!("duplicate key value violates unique constraint \"{name}_pkey\"");
    Failure::new("23505", text)
}

fn key(schema: &Schema, row: &[Value]) -> Key {
    schema.key.iter().map(|at| row[*at].clone()).collect()
}

fn position(schema: &Schema, column: &str) -> Outcome<usize> {
    let table = &schema.name;
    let text = || format!("column \"{column}\" of relation \"{table}\" does not exist");
    let found = schema.position(column);
    found.ok_or_else(|| Failure::new("42703", text()))
}

/// A value in the form that its column stores.
fn checked(schema: &Schema, at: usize, value: Value) -> Outcome<Value> {
    let column = &schema.columns[at];
    let value = value.cast(column.kind)?;
    if value.is_null() && column.required {
        let (name, table) = (&column.name, &schema.name);
        let text = format!("null value in column \"{name}\" of relation \"{table}\"");
        return failure("23502", format!("{text} violates not-null constraint"));
    }
    Ok(value)
}

/// The row that INSERT adds.
fn fresh(
    schema: &Schema,
    columns: &[String],
    values: &[Option<Expr>],
    scope: &mut Scope<'_>,
) -> Outcome<Row> {
    let width = if columns.is_empty() {
        schema.columns.len()
    } else {
        columns.len()
    };
    if values.len() > width {
        return failure("42601", "INSERT has more expressions than target columns");
    }
    if values.len() < columns.len() {
        return failure("42601", "INSERT has more target columns than expressions");
    }
    let defaults = schema.columns.iter().map(|c| c.default.clone());
    let mut row: Row = defaults.map(|d| d.unwrap_or(Value::Null)).collect();
    for (at, expr) in values.iter().enumerate() {
        let at = match columns.get(at) {
            Some(name) => position(schema, name)?,
            None => at,
        };
        if let Some(expr) = expr {
            row[at] = scope.eval(expr, None)?;
        }
    }
    let values = row.into_iter().enumerate();
    values
        .map(|(at, value)| checked(schema, at, value))
        .collect()
}

/// Rows of a table that a filter accepts; reads one row when the filter fixes the primary key.
fn matching<'a>(
    view: View<'a>,
    table: &str,
    filter: Option<&Expr>,
    scope: &mut Scope<'_>,
) -> Outcome<Vec<(&'a Key, &'a Row)>> {
    let schema = view.schema(table)?;
    let mut found = Vec::new();
    match filter.and_then(|filter| fixed(schema, filter, scope)) {
        Some(key) => {
            if let Some((key, row)) = view.get(table, &key)
                && scope.accepts(filter, Some((schema, row)))?
            {
                found.push((key, row));
            }
        }
        None => {
            for (key, row) in view.scan(table) {
                if scope.accepts(filter, Some((schema, row)))? {
                    found.push((key, row));
                }
            }
        }
    }
    Ok(found)
}

/// The primary key that a filter fixes by equations joined with AND.
fn fixed(schema: &Schema, filter: &Expr, scope: &mut Scope<'_>) -> Option<Key> {
    if schema.key.is_empty() {
        return None;
    }
    let mut key = Vec::with_capacity(schema.key.len());
    for at in &schema.key {
        let column = &schema.columns[*at];
        let value = equated(&column.name, filter)?;
        let value = scope.eval(value, None).ok()?.cast(column.kind).ok()?;
        key.push(value);
    }
    Some(key)
}

fn equated<'e>(column: &str, filter: &'e Expr) -> Option<&'e Expr> {
    match filter {
        Expr::Binary(Operator::And, a, b) => equated(column, a).or_else(|| equated(column, b)),
        Expr::Binary(Operator::Equal, a, b) => match (&**a, &**b) {
            (Expr::Column(name), value) | (value, Expr::Column(name)) if name == column => {
                matches!(value, Expr::Const(..) | Expr::Param(_) | Expr::Cast(..)).then_some(value)
            }
            _ => None,
        },
        _ => None,
    }
}
