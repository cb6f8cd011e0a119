//! Projection, order and limits of a SELECT's rows.

use std::cmp::Ordering;

use crate::aggregate;
use crate::eval::{Current, Scope};
use crate::exec::Reply;
use crate::failure::{Failure, Outcome, failure};
use crate::plan::{Expr, Item, Schema, Select};
use crate::store::Row;
use crate::value::{Type, Value};

/// The result row of one row.
pub(crate) fn project(items: &[Item], row: Current<'_>, scope: &mut Scope<'_>) -> Outcome<Row> {
    let mut out = Vec::with_capacity(items.len());
    for item in items {
        match item {
            Item::All => out.extend(row.iter().flat_map(|(_, row)| row.iter().cloned())),
            Item::One { expr, .. } => out.push(scope.eval(expr, row)?),
        }
    }
    Ok(out)
}

/// Orders, cuts and projects the rows that a SELECT has found.
pub(crate) fn shape(
    select: &Select,
    schema: Option<&Schema>,
    rows: &[&[Value]],
    scope: &mut Scope<'_>,
) -> Outcome<Reply> {
    if select.aggregate {
        let row = aggregate::row(&select.items, schema, rows, scope)?;
        return Ok(Reply {
            rows: vec![row],
            count: 1,
        });
    }
    let mut keyed = Vec::with_capacity(rows.len());
    for row in rows {
        let current = schema.map(|schema| (schema, *row));
        let out = project(&select.items, current, scope)?;
        let mut keys = Vec::with_capacity(select.order.len());
        for order in &select.order {
            keys.push(order_key(select, &order.expr, &out, current, scope)?);
        }
        keyed.push((keys, out));
    }
    if !select.order.is_empty() {
        keyed.sort_by(|(a, _), (b, _)| compare(select, a, b));
    }
    let offset = bound(select.offset.as_ref(), scope)?.unwrap_or(0);
    let limit = bound(select.limit.as_ref(), scope)?.unwrap_or(usize::MAX);
    let cut = keyed.into_iter().skip(offset).take(limit);
    let rows: Vec<_> = cut.map(|(_, row)| row).collect();
    Ok(Reply {
        count: rows.len(),
        rows,
    })
}

/// Value to order by: a result column by number or alias, otherwise an expression over the row.
fn order_key(
    select: &Select,
    expr: &Expr,
    out: &[Value],
    row: Current<'_>,
    scope: &mut Scope<'_>,
) -> Outcome<Value> {
    let named = |name: &str| {
        let mut items = select.items.iter();
        items.position(|item| matches!(item, Item::One { name: own, .. } if own == name))
    };
    let all = select.items.iter().any(|item| matches!(item, Item::All));
    match expr {
        Expr::Const(Value::Int(n), _) => {
            let at = usize::try_from(n - 1).ok().and_then(|at| out.get(at));
            let missing = || Failure::new("42P10", "ORDER BY position is not in select list");
            at.cloned().ok_or_else(missing)
        }
        Expr::Column(name) if !all => match named(name) {
            Some(at) => Ok(out[at].clone()),
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

fn bound(expr: Option<&Expr>, scope: &mut Scope<'_>) -> Outcome<Option<usize>> {
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
