//! Projection, ORDER BY, LIMIT and OFFSET of a SELECT.

use std::cmp::Ordering;

use crate::aggregate;
use crate::eval::{Input, Scope};
use crate::exec::Output;
use crate::failure::{Failure, Outcome, failure};
use crate::plan::{Expr, Item, Schema, Select};
use crate::store::Row;
use crate::value::{Type, Value};

/// Result row of a row.
pub(crate) fn project(items: &[Item], row: Input<'_>, scope: &mut Scope<'_>) -> Outcome<Row> {
    let mut result = Vec::with_capacity(items.len());
    for item in items {
        match item {
            Item::All => result.extend(row.iter().flat_map(|(_, row)| row.iter().cloned())),
            Item::Expr { expr, .. } => result.push(scope.eval(expr, row)?),
        }
    }
    Ok(result)
}

/// Projects and orders the rows that a SELECT has found, and applies its limits.
pub(crate) fn project_all(
    select: &Select,
    schema: Option<&Schema>,
    rows: &[&[Value]],
    scope: &mut Scope<'_>,
) -> Outcome<Output> {
    if select.aggregate {
        let row = aggregate::row(&select.items, schema, rows, scope)?;
        return Ok(Output {
            rows: vec![row],
            count: 1,
        });
    }
    let mut sortable = Vec::with_capacity(rows.len());
    for row in rows {
        let input = schema.map(|schema| (schema, *row));
        let result = project(&select.items, input, scope)?;
        let mut keys = Vec::with_capacity(select.order.len());
        for order in &select.order {
            keys.push(order_key(select, &order.expr, &result, input, scope)?);
        }
        sortable.push((keys, result));
    }
    if !select.order.is_empty() {
        sortable.sort_by(|(a, _), (b, _)| compare(select, a, b));
    }
    let offset = row_count(select.offset.as_ref(), scope)?.unwrap_or(0);
    let limit = row_count(select.limit.as_ref(), scope)?.unwrap_or(usize::MAX);
    let selected = sortable.into_iter().skip(offset).take(limit);
    let rows: Vec<_> = selected.map(|(_, row)| row).collect();
    Ok(Output {
        count: rows.len(),
        rows,
    })
}

/// Value to order by: a result column by number or name, otherwise an expression over the row.
fn order_key(
    select: &Select,
    expr: &Expr,
    result: &[Value],
    row: Input<'_>,
    scope: &mut Scope<'_>,
) -> Outcome<Value> {
    let position = |name: &str| {
        let mut items = select.items.iter();
        items.position(|item| matches!(item, Item::Expr { name: alias, .. } if alias == name))
    };
    let has_wildcard = select.items.iter().any(|item| matches!(item, Item::All));
    match expr {
        Expr::Const(Value::Int(n), _) => {
            let index = usize::try_from(n - 1)
                .ok()
                .and_then(|index| result.get(index));
            let invalid_position =
                || Failure::new("42P10", "ORDER BY position is not in select list");
            index.cloned().ok_or_else(invalid_position)
        }
        Expr::Column(name) if !has_wildcard => match position(name) {
            Some(index) => Ok(result[index].clone()),
            None => scope.eval(expr, row),
        },
        _ => scope.eval(expr, row),
    }
}

fn compare(select: &Select, a: &[Value], b: &[Value]) -> Ordering {
    for (order, (a, b)) in select.order.iter().zip(a.iter().zip(b)) {
        let ordering = match (a.is_null(), b.is_null()) {
            (true, true) => Ordering::Equal,
            (true, false) if order.nulls_first => Ordering::Less,
            (true, false) => Ordering::Greater,
            (false, true) if order.nulls_first => Ordering::Greater,
            (false, true) => Ordering::Less,
            (false, false) if order.descending => b.cmp(a),
            (false, false) => a.cmp(b),
        };
        if ordering.is_ne() {
            return ordering;
        }
    }
    Ordering::Equal
}

fn row_count(expr: Option<&Expr>, scope: &mut Scope<'_>) -> Outcome<Option<usize>> {
    let Some(expr) = expr else {
        return Ok(None);
    };
    match scope.eval(expr, None)?.cast(Type::Int8)? {
        Value::Null => Ok(None),
        Value::Int(n) => match usize::try_from(n) {
            Ok(n) => Ok(Some(n)),
            Err(_) => failure("2201W", "LIMIT must not be negative"),
        },
        _ => failure("42804", "argument of LIMIT must be type bigint"),
    }
}
