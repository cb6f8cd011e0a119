//! Types of parameters, derived from the client's declarations and from their use.

use crate::describe::{checkpoint, kind};
use crate::failure::Outcome;
use crate::plan::{Delete, Expr, Function, Insert, Item, Operator, Plan, Schema};
use crate::plan::{Select, Source, Update};
use crate::store::View;
use crate::value::Type;

/// Types of a statement's parameters.
pub(crate) fn params(plan: &Plan, view: View<'_>, declared: &[u32]) -> Outcome<Vec<Type>> {
    let mut types: Vec<_> = declared.iter().map(|oid| Type::from_oid(*oid)).collect();
    match plan {
        Plan::Select(select) => self::select(select, view, &mut types)?,
        Plan::Insert(insert) => self::insert(insert, view, &mut types)?,
        Plan::Update(update) => self::update(update, view, &mut types)?,
        Plan::Delete(delete) => self::delete(delete, view, &mut types)?,
        _ => {}
    }
    for kind in &mut types {
        if *kind == Type::Unknown {
            *kind = Type::Text;
        }
    }
    Ok(types)
}

fn select(select: &Select, view: View<'_>, types: &mut Vec<Type>) -> Outcome<()> {
    let control = checkpoint();
    let schema = match &select.source {
        Source::Nothing => None,
        Source::Checkpoint => Some(&control),
        Source::Table(table) => Some(view.schema(table)?),
    };
    items(&select.items, schema, types);
    filter(select.filter.as_ref(), schema, types);
    for bound in [&select.limit, &select.offset].into_iter().flatten() {
        infer(bound, Type::Int8, schema, types);
    }
    Ok(())
}

fn insert(insert: &Insert, view: View<'_>, types: &mut Vec<Type>) -> Outcome<()> {
    let schema = view.schema(&insert.table)?;
    for row in &insert.rows {
        for (at, expr) in row.iter().enumerate() {
            let position = match insert.columns.get(at) {
                Some(name) => schema.position(name),
                None => Some(at),
            };
            let column = position.and_then(|position| schema.columns.get(position));
            if let Some(expr) = expr {
                infer(expr, column.map_or(Type::Unknown, |c| c.kind), None, types);
            }
        }
    }
    items(&insert.returning, Some(schema), types);
    Ok(())
}

fn update(update: &Update, view: View<'_>, types: &mut Vec<Type>) -> Outcome<()> {
    let schema = view.schema(&update.table)?;
    for (name, expr) in &update.set {
        let column = schema.position(name).map(|at| &schema.columns[at]);
        let wanted = column.map_or(Type::Unknown, |c| c.kind);
        infer(expr, wanted, Some(schema), types);
    }
    filter(update.filter.as_ref(), Some(schema), types);
    items(&update.returning, Some(schema), types);
    Ok(())
}

fn delete(delete: &Delete, view: View<'_>, types: &mut Vec<Type>) -> Outcome<()> {
    let schema = view.schema(&delete.table)?;
    filter(delete.filter.as_ref(), Some(schema), types);
    items(&delete.returning, Some(schema), types);
    Ok(())
}

fn filter(filter: Option<&Expr>, schema: Option<&Schema>, types: &mut Vec<Type>) {
    if let Some(filter) = filter {
        infer(filter, Type::Bool, schema, types);
    }
}

fn items(items: &[Item], schema: Option<&Schema>, types: &mut Vec<Type>) {
    for item in items {
        if let Item::One { expr, .. } = item {
            infer(expr, Type::Unknown, schema, types);
        }
    }
}

/// Passes the type that an expression has to have down to its parameters.
fn infer(expr: &Expr, wanted: Type, schema: Option<&Schema>, types: &mut Vec<Type>) {
    match expr {
        Expr::Param(n) => {
            if types.len() <= *n {
                types.resize(n + 1, Type::Unknown);
            }
            if types[*n] == Type::Unknown {
                types[*n] = wanted;
            }
        }
        Expr::Const(..) | Expr::Column(_) => {}
        Expr::Not(inner) => infer(inner, Type::Bool, schema, types),
        Expr::Negate(inner) => infer(inner, wanted, schema, types),
        Expr::IsNull(inner, _) => infer(inner, Type::Unknown, schema, types),
        Expr::Cast(inner, kind) => infer(inner, *kind, schema, types),
        Expr::Binary(op, a, b) => {
            let (left, right) = sides(*op, (a, b), wanted, schema, types);
            infer(a, left, schema, types);
            infer(b, right, schema, types);
        }
        Expr::In(inner, list, _) => {
            let of = kind(inner, schema, types).unwrap_or(Type::Unknown);
            infer(inner, Type::Unknown, schema, types);
            for item in list {
                infer(item, of, schema, types);
            }
        }
        Expr::Case(arms, last) => {
            for (when, then) in arms {
                infer(when, Type::Bool, schema, types);
                infer(then, wanted, schema, types);
            }
            if let Some(last) = last {
                infer(last, wanted, schema, types);
            }
        }
        Expr::Call(function, args) => {
            for (at, arg) in args.iter().enumerate() {
                let wanted = match (function, at) {
                    (Function::Sleep, _) => Type::Float8,
                    (Function::Fault, 1) => Type::Int8,
                    (Function::LsnDiff, _) => Type::Lsn,
                    (Function::Coalesce | Function::Abs, _) => wanted,
                    _ => Type::Text,
                };
                infer(arg, wanted, schema, types);
            }
        }
        Expr::Aggregate(_, arg) => {
            if let Some(arg) = arg {
                infer(arg, wanted, schema, types);
            }
        }
    }
}

/// Types that the sides of an operator have to have: that of the other side, or else of the result.
fn sides(
    op: Operator,
    (a, b): (&Expr, &Expr),
    wanted: Type,
    schema: Option<&Schema>,
    types: &[Type],
) -> (Type, Type) {
    let of = |e: &Expr| match (kind(e, schema, types), wanted) {
        // A comparison says nothing about the type of what it compares.
        (Ok(Type::Unknown) | Err(_), Type::Bool) => Type::Unknown,
        (Ok(Type::Unknown) | Err(_), wanted) => wanted,
        (Ok(known), _) => known,
    };
    match op {
        Operator::And | Operator::Or => (Type::Bool, Type::Bool),
        Operator::Concat => (Type::Text, Type::Text),
        _ => (of(b), of(a)),
    }
}
