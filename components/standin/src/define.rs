//! Translation of CREATE TABLE, SET and RESET.

use sqlparser::ast::{
    self, ColumnOption, ContextModifier, DataType, Expr as SqlExpr, Ident, Reset, ResetStatement,
    Set, TableConstraint,
};

use crate::expr;
use crate::failure::{Failure, Outcome};
use crate::parse;
use crate::plan::{Column, Expr, Plan, Schema};
use crate::value::{Type, Value};

/// Translates the type of a column or cast.
pub(crate) fn translate_type(raw: &DataType) -> Outcome<Type> {
    Ok(match raw {
        DataType::Bool | DataType::Boolean => Type::Bool,
        DataType::SmallInt(_)
        | DataType::Int2(_)
        | DataType::Int(_)
        | DataType::Int4(_)
        | DataType::Integer(_) => Type::Int4,
        DataType::BigInt(_) | DataType::Int8(_) => Type::Int8,
        DataType::Float(_)
        | DataType::Float4
        | DataType::Float8
        | DataType::Real
        | DataType::Double(_)
        | DataType::DoublePrecision => Type::Float8,
        DataType::Text
        | DataType::Varchar(_)
        | DataType::CharacterVarying(_)
        | DataType::Char(_)
        | DataType::Character(_) => Type::Text,
        DataType::Custom(name, _) if parse::unqualified_name(name)? == "pg_lsn" => Type::Lsn,
        other => return Err(Failure::unsupported(format_args!("type {other}"))),
    })
}

pub(crate) fn create_table(create: ast::CreateTable) -> Outcome<Plan> {
    if create.query.is_some() || create.temporary {
        return Err(Failure::unsupported("CREATE TABLE AS or TEMPORARY"));
    }
    let mut schema = Schema {
        name: parse::unqualified_name(&create.name)?,
        columns: Vec::new(),
        key: Vec::new(),
    };
    for column in create.columns {
        add_column(&mut schema, column)?;
    }
    for constraint in create.constraints {
        let TableConstraint::PrimaryKey(primary) = constraint else {
            return Err(Failure::unsupported(constraint));
        };
        for column in primary.columns {
            let name = expr::default_name(&column.column.expr);
            let Some(position) = schema.position(&name) else {
                let text = format!("column \"{name}\" named in key does not exist");
                return Err(Failure::new("42703", text));
            };
            schema.key.push(position);
        }
    }
    for position in &schema.key {
        schema.columns[*position].not_null = true;
    }
    Ok(Plan::Create {
        table: schema,
        ignore_existing: create.if_not_exists,
    })
}

fn add_column(schema: &mut Schema, raw: ast::ColumnDef) -> Outcome<()> {
    let mut column = Column {
        name: expr::identifier(&raw.name),
        kind: translate_type(&raw.data_type)?,
        not_null: false,
        default: None,
    };
    for option in raw.options {
        match option.option {
            ColumnOption::Null => {}
            ColumnOption::NotNull => column.not_null = true,
            ColumnOption::PrimaryKey(_) => schema.key.push(schema.columns.len()),
            ColumnOption::Default(raw) => {
                column.default = Some(constant_default(raw, column.kind)?)
            }
            other => return Err(Failure::unsupported(other)),
        }
    }
    schema.columns.push(column);
    Ok(())
}

fn constant_default(raw: SqlExpr, kind: Type) -> Outcome<Value> {
    match expr::expr(raw)? {
        Expr::Const(value, _) => value.cast(kind),
        _ => Err(Failure::unsupported("a default that is no constant")),
    }
}

/// Name of a parameter of SHOW or SET, in lower case.
pub(crate) fn parameter_name(parts: &[Ident]) -> String {
    let parts: Vec<_> = parts.iter().map(|p| p.value.to_lowercase()).collect();
    match parts.as_slice() {
        [a, b, c] if a == "transaction" && b == "isolation" && c == "level" => {
            "transaction_isolation".to_owned()
        }
        [a, b] if a == "time" && b == "zone" => "timezone".to_owned(),
        _ => parts.join("."),
    }
}

pub(crate) fn set_parameter(set: Set) -> Outcome<Plan> {
    match set {
        Set::SingleAssignment {
            scope,
            variable: name,
            values,
            ..
        } => {
            if matches!(scope, Some(ContextModifier::Global)) {
                return Err(Failure::unsupported("SET GLOBAL"));
            }
            let parts = name.0.iter().filter_map(|part| part.as_ident()).cloned();
            let name = parameter_name(&parts.collect::<Vec<_>>());
            let local = matches!(scope, Some(ContextModifier::Local));
            let texts: Vec<_> = values
                .into_iter()
                .map(parameter_value)
                .collect::<Outcome<_>>()?;
            let value = texts.join(", ");
            Ok(Plan::Set { name, value, local })
        }
        Set::SetTimeZone { value, local } => Ok(Plan::Set {
            local,
            name: "timezone".to_owned(),
            value: parameter_value(value)?,
        }),
        Set::SetTransaction { modes, .. } => {
            Ok(Plan::SetReadOnly(parse::read_only(&modes).unwrap_or(false)))
        }
        other => Err(Failure::unsupported(other)),
    }
}

fn parameter_value(raw: SqlExpr) -> Outcome<String> {
    match raw {
        SqlExpr::Identifier(word) => Ok(word.value),
        other => match expr::expr(other)? {
            Expr::Const(Value::Bool(on), _) => Ok(if on { "on" } else { "off" }.to_owned()),
            Expr::Const(value, _) => Ok(value.text()),
            Expr::Negate(inner) => match *inner {
                Expr::Const(value, _) => Ok(format!("-{}", value.text())),
                _ => Err(Failure::unsupported("SET to an expression")),
            },
            _ => Err(Failure::unsupported("SET to an expression")),
        },
    }
}

pub(crate) fn reset_parameter(raw: ResetStatement) -> Outcome<Plan> {
    Ok(match raw.reset {
        Reset::ConfigurationParameter(name) => Plan::Reset(Some(name.to_string().to_lowercase())),
        _ => Plan::Reset(None),
    })
}
