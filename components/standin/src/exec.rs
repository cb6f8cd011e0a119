//! Execution of statements that read or change tables.

use crate::describe;
use crate::eval::Scope;
use crate::failure::{Failure, Outcome, failure};
use crate::plan::{Delete, Expr, Insert, Item, Operator, Plan, Schema, Select, Source, Update};
use crate::projection::{project, project_all};
use crate::store::{Key, Locks, Row, Store, Transaction, View};
use crate::value::Value;

/// Result of a statement.
#[derive(Debug, Default)]
pub(crate) struct Output {
    pub(crate) rows: Vec<Row>,
    /// Number of rows that the statement changed or returned.
    pub(crate) count: usize,
}

/// Reason why a statement has no result.
#[derive(Debug)]
pub(crate) enum Interruption {
    Failed(Failure),
    /// This session holds a lock that the statement needs; the statement runs again when the
    /// session releases its locks.
    WaitingFor(u64),
}

impl From<Failure> for Interruption {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// Runs a statement in a transaction.
#[derive(Debug)]
pub(crate) struct Executor<'a, 'p> {
    pub(crate) session: u64,
    pub(crate) store: &'a mut Store,
    pub(crate) locks: &'a mut Locks,
    pub(crate) transaction: &'a mut Transaction,
    pub(crate) scope: &'a mut Scope<'p>,
}

impl Executor<'_, '_> {
    pub(crate) fn run(&mut self, plan: &Plan) -> Result<Output, Interruption> {
        match plan {
            Plan::Select(select) => self.select(select),
            Plan::Insert(insert) => self.insert(insert),
            Plan::Update(update) => self.update(update),
            Plan::Delete(delete) => self.delete(delete),
            Plan::Create {
                table,
                ignore_existing,
            } => self.create(table, *ignore_existing),
            Plan::Drop {
                tables,
                ignore_missing,
            } => self.drop(tables, *ignore_missing),
            other => Err(Failure::unsupported(other.command()).into()),
        }
    }

    fn view(&self) -> View<'_> {
        View {
            store: self.store,
            transaction: Some(self.transaction),
        }
    }

    fn lock(&mut self, table: &str, keys: impl Iterator<Item = Key>) -> Result<(), Interruption> {
        let keys = keys.map(|key| (table.to_owned(), key)).collect();
        let acquired = self.locks.acquire(self.session, keys);
        acquired.map_err(Interruption::WaitingFor)
    }

    fn create(&mut self, table: &Schema, ignore_existing: bool) -> Result<Output, Interruption> {
        self.lock(&table.name, std::iter::once(Key::new()))?;
        if self.view().find_schema(&table.name).is_none() {
            self.transaction.create(table.clone());
        } else if !ignore_existing {
            let text = format!("relation \"{}\" already exists", table.name);
            return Err(Failure::new("42P07", text).into());
        }
        Ok(Output::default())
    }

    fn drop(&mut self, tables: &[String], ignore_missing: bool) -> Result<Output, Interruption> {
        for table in tables {
            self.lock(table, std::iter::once(Key::new()))?;
            if self.view().find_schema(table).is_some() {
                self.transaction.drop(table);
            } else if !ignore_missing {
                let text = format!("table \"{table}\" does not exist");
                return Err(Failure::new("42P01", text).into());
            }
        }
        Ok(Output::default())
    }

    fn select(&mut self, select: &Select) -> Result<Output, Interruption> {
        let status = self.scope.status;
        let view = View {
            store: self.store,
            transaction: Some(self.transaction),
        };
        let rows = match &select.source {
            Source::Nothing => {
                let is_match = self.scope.matches(select.filter.as_ref(), None)?;
                let rows: &[&[Value]] = if is_match { &[&[]] } else { &[] };
                return Ok(project_all(select, None, rows, self.scope)?);
            }
            Source::Checkpoint => {
                let schema = describe::checkpoint_schema();
                let row = [
                    Value::Lsn(status.lsn),
                    Value::Lsn(status.lsn),
                    Value::Int(status.timeline.cast_signed()),
                    Value::Int(status.previous_timeline.cast_signed()),
                ];
                let input = Some((&schema, row.as_slice()));
                let is_match = self.scope.matches(select.filter.as_ref(), input)?;
                let rows: &[&[Value]] = if is_match { &[&row] } else { &[] };
                return Ok(project_all(select, Some(&schema), rows, self.scope)?);
            }
            Source::Table(table) => find_rows(view, table, select.filter.as_ref(), self.scope)?,
        };
        if let (Source::Table(table), true) = (&select.source, select.for_update) {
            let keys = rows.iter().map(|(key, _)| (table.clone(), (*key).clone()));
            let acquired = self.locks.acquire(self.session, keys.collect());
            acquired.map_err(Interruption::WaitingFor)?;
        }
        let Source::Table(table) = &select.source else {
            return Ok(Output::default());
        };
        let schema = view.schema(table)?;
        let rows: Vec<&[Value]> = rows.into_iter().map(|(_, row)| row.as_slice()).collect();
        Ok(project_all(select, Some(schema), &rows, self.scope)?)
    }

    fn insert(&mut self, insert: &Insert) -> Result<Output, Interruption> {
        let schema = self.view().schema(&insert.table)?.clone();
        let mut rows = Vec::with_capacity(insert.rows.len());
        for values in &insert.rows {
            let row = inserted_row(&schema, &insert.columns, values, self.scope)?;
            let key = if schema.key.is_empty() {
                vec![self.store.next_row_id()]
            } else {
                primary_key(&schema, &row)
            };
            rows.push((key, row));
        }
        self.lock(&schema.name, rows.iter().map(|(key, _)| key.clone()))?;
        let mut output = Output::default();
        let mut added: Vec<(Key, Row)> = Vec::with_capacity(rows.len());
        for (key, row) in rows {
            let repeated = added.iter().any(|(added_key, _)| *added_key == key);
            if repeated || self.view().get(&schema.name, &key).is_some() {
                if insert.skip_conflicts {
                    continue;
                }
                return Err(duplicate_key(&schema).into());
            }
            self.add_returning(&insert.returning, &schema, &row, &mut output)?;
            added.push((key, row));
        }
        output.count = added.len();
        for (key, row) in added {
            self.transaction.write(&schema.name, key, Some(row));
        }
        Ok(output)
    }

    fn update(&mut self, update: &Update) -> Result<Output, Interruption> {
        let schema = self.view().schema(&update.table)?.clone();
        let mut assignments = Vec::with_capacity(update.set.len());
        for (name, expr) in &update.set {
            assignments.push((column_position(&schema, name)?, expr));
        }
        let mut changed = Vec::new();
        for (old_key, row) in self.matching_rows(&update.table, update.filter.as_ref())? {
            let mut new_row = row.clone();
            for (index, expr) in &assignments {
                let value = self.scope.eval(expr, Some((&schema, &row)))?;
                new_row[*index] = column_value(&schema, *index, value)?;
            }
            let new_key = match schema.key.is_empty() {
                true => old_key.clone(),
                false => primary_key(&schema, &new_row),
            };
            changed.push((old_key, new_key, new_row));
        }
        let keys = changed
            .iter()
            .flat_map(|(old_key, new_key, _)| [old_key, new_key])
            .cloned();
        self.lock(&schema.name, keys)?;
        let mut output = Output::default();
        for (index, (old_key, new_key, row)) in changed.iter().enumerate() {
            if old_key != new_key {
                let replaced = changed.iter().any(|(old_key, _, _)| old_key == new_key);
                let taken = changed[..index]
                    .iter()
                    .any(|(_, other, _)| other == new_key);
                if taken || (!replaced && self.view().get(&schema.name, new_key).is_some()) {
                    return Err(duplicate_key(&schema).into());
                }
            }
            self.add_returning(&update.returning, &schema, row, &mut output)?;
        }
        output.count = changed.len();
        for (old_key, _, _) in changed
            .iter()
            .filter(|(old_key, new_key, _)| old_key != new_key)
        {
            self.transaction.write(&schema.name, old_key.clone(), None);
        }
        for (_, new_key, row) in changed {
            self.transaction.write(&schema.name, new_key, Some(row));
        }
        Ok(output)
    }

    fn delete(&mut self, delete: &Delete) -> Result<Output, Interruption> {
        let schema = self.view().schema(&delete.table)?.clone();
        let rows = self.matching_rows(&delete.table, delete.filter.as_ref())?;
        self.lock(&schema.name, rows.iter().map(|(key, _)| key.clone()))?;
        let mut output = Output::default();
        for (_, row) in &rows {
            self.add_returning(&delete.returning, &schema, row, &mut output)?;
        }
        output.count = rows.len();
        for (key, _) in rows {
            self.transaction.write(&schema.name, key, None);
        }
        Ok(output)
    }

    /// Copies of the rows that an UPDATE or DELETE changes.
    fn matching_rows(&mut self, table: &str, filter: Option<&Expr>) -> Outcome<Vec<(Key, Row)>> {
        let view = View {
            store: self.store,
            transaction: Some(self.transaction),
        };
        let rows = find_rows(view, table, filter, self.scope)?;
        let copy = |(key, row): (&Key, &Row)| (key.clone(), row.clone());
        Ok(rows.into_iter().map(copy).collect())
    }

    fn add_returning(
        &mut self,
        items: &[Item],
        schema: &Schema,
        row: &[Value],
        output: &mut Output,
    ) -> Outcome<()> {
        if !items.is_empty() {
            let row = project(items, Some((schema, row)), self.scope)?;
            output.rows.push(row);
        }
        Ok(())
    }
}

fn duplicate_key(schema: &Schema) -> Failure {
    let name = &schema.name;
    let text = format!("duplicate key value violates unique constraint \"{name}_pkey\"");
    Failure::new("23505", text)
}

fn primary_key(schema: &Schema, row: &[Value]) -> Key {
    schema.key.iter().map(|index| row[*index].clone()).collect()
}

fn column_position(schema: &Schema, column: &str) -> Outcome<usize> {
    let table = &schema.name;
    let text = || format!("column \"{column}\" of relation \"{table}\" does not exist");
    let position = schema.position(column);
    position.ok_or_else(|| Failure::new("42703", text()))
}

/// Converts a value to the type of its column and checks that it is not null if required.
fn column_value(schema: &Schema, index: usize, value: Value) -> Outcome<Value> {
    let column = &schema.columns[index];
    let value = value.cast(column.kind)?;
    if value.is_null() && column.not_null {
        let (name, table) = (&column.name, &schema.name);
        let text = format!("null value in column \"{name}\" of relation \"{table}\"");
        return failure("23502", format!("{text} violates not-null constraint"));
    }
    Ok(value)
}

/// Evaluates a row of an INSERT.
fn inserted_row(
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
    for (index, expr) in values.iter().enumerate() {
        let index = match columns.get(index) {
            Some(name) => column_position(schema, name)?,
            None => index,
        };
        if let Some(expr) = expr {
            row[index] = scope.eval(expr, None)?;
        }
    }
    let values = row.into_iter().enumerate();
    values
        .map(|(index, value)| column_value(schema, index, value))
        .collect()
}

/// Rows of a table that match a filter; a filter that determines the primary key reads one row.
fn find_rows<'a>(
    view: View<'a>,
    table: &str,
    filter: Option<&Expr>,
    scope: &mut Scope<'_>,
) -> Outcome<Vec<(&'a Key, &'a Row)>> {
    let schema = view.schema(table)?;
    let mut rows = Vec::new();
    match filter.and_then(|filter| key_from_filter(schema, filter, scope)) {
        Some(key) => {
            if let Some((key, row)) = view.get(table, &key)
                && scope.matches(filter, Some((schema, row)))?
            {
                rows.push((key, row));
            }
        }
        None => {
            for (key, row) in view.scan(table) {
                if scope.matches(filter, Some((schema, row)))? {
                    rows.push((key, row));
                }
            }
        }
    }
    Ok(rows)
}

/// Primary key that a filter determines by equality conditions joined with AND.
fn key_from_filter(schema: &Schema, filter: &Expr, scope: &mut Scope<'_>) -> Option<Key> {
    if schema.key.is_empty() {
        return None;
    }
    let mut key = Vec::with_capacity(schema.key.len());
    for index in &schema.key {
        let column = &schema.columns[*index];
        let value = constant_equal_to(&column.name, filter)?;
        let value = scope.eval(value, None).ok()?.cast(column.kind).ok()?;
        key.push(value);
    }
    Some(key)
}

fn constant_equal_to<'e>(column: &str, filter: &'e Expr) -> Option<&'e Expr> {
    match filter {
        Expr::Binary(Operator::And, a, b) => {
            constant_equal_to(column, a).or_else(|| constant_equal_to(column, b))
        }
        Expr::Binary(Operator::Equal, a, b) => match (&**a, &**b) {
            (Expr::Column(name), value) | (value, Expr::Column(name)) if name == column => {
                matches!(value, Expr::Const(..) | Expr::Param(_) | Expr::Cast(..)).then_some(value)
            }
            _ => None,
        },
        _ => None,
    }
}
