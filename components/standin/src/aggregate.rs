//! Aggregates over the rows of a SELECT.

use crate::eval::{Scope, arithmetic};
use crate::failure::{Outcome, failure};
use crate::plan::{Aggregate, Expr, Item, Operator, Schema};
use crate::store::Row;
use crate::value::Value;

/// The single result row of a SELECT with aggregates.
pub(crate) fn row(
    items: &[Item],
    schema: Option<&Schema>,
    rows: &[&[Value]],
    scope: &mut Scope<'_>,
) -> Outcome<Row> {
    let mut result = Vec::with_capacity(items.len());
    for item in items {
        match item {
            Item::All => return ungrouped(),
            Item::Expr { expr, .. } => {
                let expr = replace_aggregates(expr, schema, rows, scope)?;
                result.push(scope.eval(&expr, None)?);
            }
        }
    }
    Ok(result)
}

fn ungrouped<T>() -> Outcome<T> {
    failure(
        "42803",
        "column must appear in the GROUP BY clause or be used in an aggregate function",
    )
}

/// Replaces the aggregates in an expression with their values.
fn replace_aggregates(
    expr: &Expr,
    schema: Option<&Schema>,
    rows: &[&[Value]],
    scope: &mut Scope<'_>,
) -> Outcome<Expr> {
    let mut replace = |e: &Expr| replace_aggregates(e, schema, rows, scope);
    Ok(match expr {
        Expr::Aggregate(aggregate, arg) => {
            let value = aggregate_rows(*aggregate, arg.as_deref(), schema, rows, scope)?;
            let kind = value.kind();
            Expr::Const(value, kind)
        }
        Expr::Column(_) => return ungrouped(),
        Expr::Const(..) | Expr::Param(_) => expr.clone(),
        Expr::Not(e) => Expr::Not(Box::new(replace(e)?)),
        Expr::Negate(e) => Expr::Negate(Box::new(replace(e)?)),
        Expr::IsNull(e, negated) => Expr::IsNull(Box::new(replace(e)?), *negated),
        Expr::Cast(e, kind) => Expr::Cast(Box::new(replace(e)?), *kind),
        Expr::Binary(op, a, b) => Expr::Binary(*op, Box::new(replace(a)?), Box::new(replace(b)?)),
        Expr::Call(function, args) => {
            let args = args.iter().map(replace).collect::<Outcome<_>>()?;
            Expr::Call(*function, args)
        }
        Expr::In(e, list, negated) => {
            let e = Box::new(replace(e)?);
            let list = list.iter().map(replace).collect::<Outcome<_>>()?;
            Expr::In(e, list, *negated)
        }
        Expr::Case(arms, otherwise) => {
            let mut replaced_arms = Vec::with_capacity(arms.len());
            for (when, then) in arms {
                replaced_arms.push((replace(when)?, replace(then)?));
            }
            let otherwise = match otherwise {
                Some(otherwise) => Some(Box::new(replace(otherwise)?)),
                None => None,
            };
            Expr::Case(replaced_arms, otherwise)
        }
    })
}

fn aggregate_rows(
    aggregate: Aggregate,
    arg: Option<&Expr>,
    schema: Option<&Schema>,
    rows: &[&[Value]],
    scope: &mut Scope<'_>,
) -> Outcome<Value> {
    let Some(arg) = arg else {
        return Ok(Value::Int(rows.len() as i64));
    };
    let mut count = 0;
    let mut total = Value::Null;
    for row in rows {
        let value = scope.eval(arg, schema.map(|schema| (schema, *row)))?;
        if value.is_null() {
            continue;
        }
        count += 1;
        let first = total.is_null();
        total = match aggregate {
            _ if first => value,
            Aggregate::Count => value,
            Aggregate::Sum => arithmetic(Operator::Add, &total, &value)?,
            Aggregate::Min => total.min(value),
            Aggregate::Max => total.max(value),
        };
    }
    Ok(match aggregate {
        Aggregate::Count => Value::Int(count),
        _ => total,
    })
}
