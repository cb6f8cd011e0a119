//! Types of parameters, inferred from the client's declarations and from their context.

use crate::describe::{checkpoint_schema, type_of};
use crate::failure::Outcome;
use crate::plan::{Delete, Expr, Function, Insert, Item, Operator, Plan, Schema};
use crate::plan::{Select, Source, Update};
use crate::store::View;
use crate::value::Type;

/// Types of a statement's parameters.
pub(crate) fn parameter_types(plan: &Plan, view: View<'_>, declared: &[u32]) -> Outcome<Vec<Type>> {
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
    let checkpoint = checkpoint_schema();
    let schema = match &select.source {
        Source::Nothing => None,
        Source::Checkpoint => Some(&checkpoint),
        Source::Table(table) => Some(view.schema(table)?),
    };
    infer_items(&select.items, schema, types);
    infer_filter(select.filter.as_ref(), schema, types);
    for bound in [&select.limit, &select.offset].into_iter().flatten() {
        infer(bound, Type::Int8, schema, types);
    }
    Ok(())
}

fn insert(insert: &Insert, view: View<'_>, types: &mut Vec<Type>) -> Outcome<()> {
    let schema = view.schema(&insert.table)?;
    for row in &insert.rows {
        for (index, expr) in row.iter().enumerate() {
            let position = match insert.columns.get(index) {
                Some(name) => schema.position(name),
                None => Some(index),
            };
            let column = position.and_then(|position| schema.columns.get(position));
            if let Some(expr) = expr {
                infer(expr, column.map_or(Type::Unknown, |c| c.kind), None, types);
            }
        }
    }
    infer_items(&insert.returning, Some(schema), types);
    Ok(())
}

fn update(update: &Update, view: View<'_>, types: &mut Vec<Type>) -> Outcome<()> {
    let schema = view.schema(&update.table)?;
    for (name, expr) in &update.set {
        let column = schema.position(name).map(|index| &schema.columns[index]);
        let expected = column.map_or(Type::Unknown, |c| c.kind);
        infer(expr, expected, Some(schema), types);
    }
    infer_filter(update.filter.as_ref(), Some(schema), types);
    infer_items(&update.returning, Some(schema), types);
    Ok(())
}

fn delete(delete: &Delete, view: View<'_>, types: &mut Vec<Type>) -> Outcome<()> {
    let schema = view.schema(&delete.table)?;
    infer_filter(delete.filter.as_ref(), Some(schema), types);
    infer_items(&delete.returning, Some(schema), types);
    Ok(())
}

fn infer_filter(filter: Option<&Expr>, schema: Option<&Schema>, types: &mut Vec<Type>) {
    if let Some(filter) = filter {
        infer(filter, Type::Bool, schema, types);
    }
}

fn infer_items(items: &[Item], schema: Option<&Schema>, types: &mut Vec<Type>) {
    for item in items {
        if let Item::Expr { expr, .. } = item {
            infer(expr, Type::Unknown, schema, types);
        }
    }
}

/// Infers the types of an expression's parameters from the expected type of the expression.
fn infer(expr: &Expr, expected: Type, schema: Option<&Schema>, types: &mut Vec<Type>) {
    match expr {
        Expr::Param(n) => {
            if types.len() <= *n {
                types.resize(n + 1, Type::Unknown);
            }
            if types[*n] == Type::Unknown {
                types[*n] = expected;
            }
        }
        Expr::Const(..) | Expr::Column(_) => {}
        Expr::Not(inner) => infer(inner, Type::Bool, schema, types),
        Expr::Negate(inner) => infer(inner, expected, schema, types),
        Expr::IsNull(inner, _) => infer(inner, Type::Unknown, schema, types),
        Expr::Cast(inner, kind) => infer(inner, *kind, schema, types),
        Expr::Binary(op, a, b) => {
            let (left, right) = operand_types(*op, (a, b), expected, schema, types);
            infer(a, left, schema, types);
            infer(b, right, schema, types);
        }
        Expr::In(inner, list, _) => {
            let operand_type = type_of(inner, schema, types).unwrap_or(Type::Unknown);
            infer(inner, Type::Unknown, schema, types);
            for item in list {
                infer(item, operand_type, schema, types);
            }
        }
        Expr::Case(arms, otherwise) => {
            for (when, then) in arms {
                infer(when, Type::Bool, schema, types);
                infer(then, expected, schema, types);
            }
            if let Some(otherwise) = otherwise {
                infer(otherwise, expected, schema, types);
            }
        }
        Expr::Call(function, args) => {
            for (index, arg) in args.iter().enumerate() {
                let expected = match (function, index) {
                    (Function::Sleep, _) => Type::Float8,
                    (Function::Fault, 1) => Type::Int8,
                    (Function::LsnDiff, _) => Type::Lsn,
                    (Function::Coalesce | Function::Abs, _) => expected,
                    _ => Type::Text,
                };
                infer(arg, expected, schema, types);
            }
        }
        Expr::Aggregate(_, arg) => {
            if let Some(arg) = arg {
                infer(arg, expected, schema, types);
            }
        }
    }
}

/// Expected types of the operands of an operator: the type of the other operand or else of the
/// result.
fn operand_types(
    op: Operator,
    (a, b): (&Expr, &Expr),
    expected: Type,
    schema: Option<&Schema>,
    types: &[Type],
) -> (Type, Type) {
    let operand_type = |e: &Expr| match (type_of(e, schema, types), expected) {
        // The result type of a comparison does not determine the type of its operands.
        (Ok(Type::Unknown) | Err(_), Type::Bool) => Type::Unknown,
        (Ok(Type::Unknown) | Err(_), expected) => expected,
        (Ok(known), _) => known,
    };
    match op {
        Operator::And | Operator::Or => (Type::Bool, Type::Bool),
        Operator::Concat => (Type::Text, Type::Text),
        _ => (operand_type(b), operand_type(a)),
    }
}
