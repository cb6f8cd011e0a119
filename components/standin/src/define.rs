//! Translation of table definitions and parameter settings.

use sqlparser::ast::{
    self, ColumnOption, ContextModifier, DataType, Expr as Raw, Ident, Reset, ResetStatement, Set,
    TableConstraint,
};

use crate::expr;
use crate::failure::{Failure, Outcome};
use crate::parse;
use crate::plan::{Column, Expr, Plan, Schema};
use crate::value::{Type, Value};

/// Translates a column or cast type.
pub(crate) fn kind(raw: &DataType) -> Outcome<Type> {
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
        DataType::Custom(name, _) if parse::name(name)? == "pg_lsn" => Type::Lsn,
        other => return Err(Failure::unsupported(format_args!("type {other}"))),
    })
}

/// Translates CREATE TABLE.
pub(crate) fn create(create: ast::CreateTable) -> Outcome<Plan> {
    if create.query.is_some() || create.temporary {
        return Err(Failure::unsupported("CREATE TABLE AS or TEMPORARY"));
    }
    let mut schema = Schema {
        name: parse::name(&create.name)?,
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
            let name = expr::title(&column.column.expr);
            let Some(position) = schema.position(&name) else {
                let text = format!("column \"{name}\" named in key does not exist");
                return Err(Failure::new("42703", text));
            };
            schema.key.push(position);
        }
    }
    for position in &schema.key {
        schema.columns[*position].required = true;
    }
    Ok(Plan::Create {
        table: schema,
        lenient: create.if_not_exists,
    })
}

fn add_column(schema: &mut Schema, raw: ast::ColumnDef) -> Outcome<()> {
    let mut column = Column {
        name: expr::identifier(&raw.name),
        kind: kind(&raw.data_type)?,
        required: false,
        default: None,
    };
    for option in raw.options {
        match option.option {
            ColumnOption::Null => {}
            ColumnOption::NotNull => column.required = true,
            ColumnOption::PrimaryKey(_) => schema.key.push(schema.columns.len()),
            ColumnOption::Default(raw) => column.default = Some(constant(raw, column.kind)?),
            other => return Err(Failure::unsupported(other)),
        }
    }
    schema.columns.push(column);
    Ok(())
}

fn constant(raw: Raw, kind: Type) -> Outcome<Value> {
    match expr::expr(raw)? {
        Expr::Const(value, _) => value.cast(kind),
        _ => Err(Failure::unsupported("a default that is no constant")),
    }
}

/// Name of a parameter of SHOW or SET, in lower case.
pub(crate) fn variable(parts: &[Ident]) -> String {
    let parts: Vec<_> = parts.iter().map(|p| p.value.to_lowercase()).collect();
    match parts.as_slice() {
        [a, b, c] if a == "transaction" && b == "isolation" && c == "level" => {
            "transaction_isolation".to_owned()
        }
        [a, b] if a == "time" && b == "zone" => "timezone".to_owned(),
        _ => parts.join("."),
    }
}

/// Translates SET.
pub(crate) fn set(set: Set) -> Outcome<Plan> {
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
            let name = variable(&parts.collect::<Vec<_>>());
            let local = matches!(scope, Some(ContextModifier::Local));
            let texts: Vec<_> = values.into_iter().map(setting).collect::<Outcome<_>>()?;
            let value = texts.join(", ");
            Ok(Plan::Set { name, value, local })
        }
        Set::SetTimeZone { value, local } => Ok(Plan::Set {
            local,
            name: "timezone".to_owned(),
            value: setting(value)?,
        }),
        Set::SetTransaction { modes, .. } => {
            Ok(Plan::SetReadOnly(parse::read_only(&modes).unwrap_or(false)))
        }
        other => Err(Failure::unsupported(other)),
    }
}

fn setting(raw: Raw) -> Outcome<String> {
    match raw {
        Raw::Identifier(word) => Ok(word.value),
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

/// Translates RESET.
pub(crate) fn reset(raw: ResetStatement) -> Outcome<Plan> {
    Ok(match raw.reset {
        Reset::ConfigurationParameter(name) => Plan::Reset(Some(name.to_string().to_lowercase())),
        _ => Plan::Reset(None),
    })
}
