//! Result columns and types, derived without running the statement.

use crate::failure::{Outcome, failure};
use crate::plan::{Aggregate, Column, Expr, Function, Item, Operator, Plan, Schema, Source};
use crate::store::View;
use crate::value::Type;

#[derive(Clone, Debug)]
pub(crate) struct Field {
    pub(crate) name: String,
    pub(crate) kind: Type,
}

/// Schema of `pg_control_checkpoint()`.
pub(crate) fn checkpoint_schema() -> Schema {
    let column = |name: &str, kind| Column {
        name: name.to_owned(),
        kind,
        not_null: false,
        default: None,
    };
    Schema {
        name: "pg_control_checkpoint".to_owned(),
        columns: vec![
            column("checkpoint_lsn", Type::Lsn),
            column("redo_lsn", Type::Lsn),
            column("timeline_id", Type::Int4),
            column("prev_timeline_id", Type::Int4),
        ],
        key: Vec::new(),
    }
}

/// Result columns of a statement; `None` if it returns no rows.
pub(crate) fn fields(plan: &Plan, view: View<'_>, params: &[Type]) -> Outcome<Option<Vec<Field>>> {
    let (items, table) = match plan {
        Plan::Select(select) => match &select.source {
            Source::Nothing => return item_fields(&select.items, None, params).map(Some),
            Source::Checkpoint => {
                return item_fields(&select.items, Some(&checkpoint_schema()), params).map(Some);
            }
            Source::Table(table) => (&select.items, table),
        },
        Plan::Insert(insert) => (&insert.returning, &insert.table),
        Plan::Update(update) => (&update.returning, &update.table),
        Plan::Delete(delete) => (&delete.returning, &delete.table),
        Plan::Show(name) => {
            let name = crate::settings::reported_name(name)
                .unwrap_or(name)
                .to_owned();
            let kind = Type::Text;
            return Ok(Some(vec![Field { name, kind }]));
        }
        _ => return Ok(None),
    };
    let schema = view.schema(table)?;
    if items.is_empty() {
        return Ok(None);
    }
    item_fields(items, Some(schema), params).map(Some)
}

fn item_fields(items: &[Item], schema: Option<&Schema>, params: &[Type]) -> Outcome<Vec<Field>> {
    let mut fields = Vec::with_capacity(items.len());
    for item in items {
        match (item, schema) {
            (Item::All, Some(schema)) => fields.extend(schema.columns.iter().map(|c| Field {
                name: c.name.clone(),
                kind: c.kind,
            })),
            (Item::All, None) => {
                return failure("42601", "SELECT * with no tables specified is not valid");
            }
            (Item::Expr { expr, name }, _) => fields.push(Field {
                name: name.clone(),
                kind: match type_of(expr, schema, params)? {
                    Type::Unknown => Type::Text,
                    known => known,
                },
            }),
        }
    }
    Ok(fields)
}

/// Type of an expression, `Unknown` if it follows from the context.
pub(crate) fn type_of(expr: &Expr, schema: Option<&Schema>, params: &[Type]) -> Outcome<Type> {
    Ok(match expr {
        Expr::Const(_, kind) | Expr::Cast(_, kind) => *kind,
        Expr::Param(n) => params.get(*n).copied().unwrap_or(Type::Unknown),
        Expr::Column(name) => {
            let column_type = schema.and_then(|s| Some(s.columns[s.position(name)?].kind));
            match column_type {
                Some(kind) => kind,
                None => return failure("42703", format!("column \"{name}\" does not exist")),
            }
        }
        Expr::Not(_) | Expr::IsNull(..) | Expr::In(..) => Type::Bool,
        Expr::Negate(inner) => type_of(inner, schema, params)?,
        Expr::Binary(op, a, b) => match op {
            Operator::Concat => Type::Text,
            Operator::Add
            | Operator::Subtract
            | Operator::Multiply
            | Operator::Divide
            | Operator::Modulo => {
                arithmetic_type(type_of(a, schema, params)?, type_of(b, schema, params)?)
            }
            _ => Type::Bool,
        },
        Expr::Case(arms, otherwise) => {
            let mut results = arms
                .iter()
                .map(|(_, then)| then)
                .chain(otherwise.as_deref());
            first_known_type(&mut results, schema, params)?
        }
        Expr::Call(function, args) => match function {
            Function::Coalesce => first_known_type(&mut args.iter(), schema, params)?,
            Function::Abs => type_of(&args[0], schema, params)?,
            Function::CurrentLsn | Function::ReplayLsn | Function::ReceiveLsn => Type::Lsn,
            Function::Sleep => Type::Void,
            Function::BackendPid | Function::Length => Type::Int4,
            Function::LsnDiff => Type::Int8,
            Function::IsInRecovery | Function::Promote | Function::Reload | Function::Fault => {
                Type::Bool
            }
            _ => Type::Text,
        },
        Expr::Aggregate(Aggregate::Count, _) => Type::Int8,
        Expr::Aggregate(aggregate, arg) => {
            let inner = match arg {
                Some(arg) => type_of(arg, schema, params)?,
                None => Type::Unknown,
            };
            match (aggregate, inner) {
                (Aggregate::Sum, Type::Int4) => Type::Int8,
                _ => inner,
            }
        }
    })
}

fn first_known_type<'a>(
    list: &mut impl Iterator<Item = &'a Expr>,
    schema: Option<&Schema>,
    params: &[Type],
) -> Outcome<Type> {
    for expr in list {
        let kind = type_of(expr, schema, params)?;
        if kind != Type::Unknown {
            return Ok(kind);
        }
    }
    Ok(Type::Unknown)
}

fn arithmetic_type(a: Type, b: Type) -> Type {
    match (a, b) {
        (Type::Unknown, other) | (other, Type::Unknown) => other,
        (Type::Lsn, _) => Type::Int8,
        (Type::Float8, _) | (_, Type::Float8) => Type::Float8,
        (Type::Int8, _) | (_, Type::Int8) => Type::Int8,
        _ => a,
    }
}
