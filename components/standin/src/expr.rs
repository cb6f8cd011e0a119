//! Translation of SQL expressions.

use sqlparser::ast::{
    self, BinaryOperator, Expr as SqlExpr, FunctionArg, FunctionArgExpr, FunctionArguments, Ident,
    UnaryOperator,
};

use crate::define;
use crate::failure::{Failure, Outcome};
use crate::parse;
use crate::plan::{Aggregate, Expr, Function, Operator};
use crate::value::{Type, Value};

/// Name of an identifier, folded to lower case unless it is quoted.
pub(crate) fn identifier(ident: &Ident) -> String {
    match ident.quote_style {
        Some(_) => ident.value.clone(),
        None => ident.value.to_lowercase(),
    }
}

/// Whether a value of an INSERT is the keyword DEFAULT.
pub(crate) fn is_default(raw: &SqlExpr) -> bool {
    matches!(raw, SqlExpr::Identifier(word)
        if word.quote_style.is_none() && word.value.eq_ignore_ascii_case("default"))
}

/// Default name of a result column, for an expression without an alias.
pub(crate) fn default_name(raw: &SqlExpr) -> String {
    match raw {
        SqlExpr::Identifier(ident) => identifier(ident),
        SqlExpr::CompoundIdentifier(parts) => parts.last().map(identifier).unwrap_or_default(),
        SqlExpr::Function(function) => parse::unqualified_name(&function.name).unwrap_or_default(),
        SqlExpr::Nested(inner) => default_name(inner),
        SqlExpr::Case { .. } => "case".to_owned(),
        SqlExpr::Cast {
            expr, data_type, ..
        } => match (
            default_name(expr).as_str(),
            define::translate_type(data_type),
        ) {
            ("?column?", Ok(kind)) => match kind {
                Type::Bool => "bool",
                Type::Int4 => "int4",
                Type::Int8 => "int8",
                Type::Float8 => "float8",
                Type::Lsn => "pg_lsn",
                _ => "text",
            }
            .to_owned(),
            (name, _) => name.to_owned(),
        },
        _ => "?column?".to_owned(),
    }
}

fn boxed(raw: SqlExpr) -> Outcome<Box<Expr>> {
    expr(raw).map(Box::new)
}

pub(crate) fn expr(raw: SqlExpr) -> Outcome<Expr> {
    Ok(match raw {
        SqlExpr::Identifier(ident)
            if ident.quote_style.is_none() && is_user_function(&ident.value) =>
        {
            Expr::Call(Function::CurrentUser, Vec::new())
        }
        SqlExpr::Identifier(ident) => Expr::Column(identifier(&ident)),
        SqlExpr::CompoundIdentifier(parts) => {
            Expr::Column(parts.last().map(identifier).unwrap_or_default())
        }
        SqlExpr::Value(value) => constant(value.value)?,
        SqlExpr::Nested(inner) => expr(*inner)?,
        SqlExpr::UnaryOp { op, expr: inner } => unary(op, *inner)?,
        SqlExpr::BinaryOp { left, op, right } => {
            Expr::Binary(operator(&op)?, boxed(*left)?, boxed(*right)?)
        }
        SqlExpr::IsNull(inner) => Expr::IsNull(boxed(*inner)?, false),
        SqlExpr::IsNotNull(inner) => Expr::IsNull(boxed(*inner)?, true),
        SqlExpr::In {
            expr: inner,
            target: ast::InTarget::List(list),
            negated,
            ..
        } => {
            let list = list.into_iter().map(expr).collect::<Outcome<_>>()?;
            Expr::In(boxed(*inner)?, list, negated)
        }
        SqlExpr::Between {
            expr: inner,
            negated,
            low,
            high,
        } => between(expr(*inner)?, negated, boxed(*low)?, boxed(*high)?),
        SqlExpr::Case {
            operand,
            conditions,
            else_result,
            ..
        } => case(operand, conditions, else_result)?,
        SqlExpr::Cast {
            expr: inner,
            data_type,
            ..
        } => Expr::Cast(boxed(*inner)?, define::translate_type(&data_type)?),
        SqlExpr::Function(function) => call(function)?,
        other => return Err(Failure::unsupported(other)),
    })
}

fn is_user_function(word: &str) -> bool {
    ["current_user", "session_user"]
        .iter()
        .any(|name| word.eq_ignore_ascii_case(name))
}

fn between(inner: Expr, negated: bool, low: Box<Expr>, high: Box<Expr>) -> Expr {
    let inner = Box::new(inner);
    let lower_bound = Expr::Binary(Operator::GreaterOrEqual, inner.clone(), low);
    let upper_bound = Expr::Binary(Operator::LessOrEqual, inner, high);
    let range = Expr::Binary(Operator::And, Box::new(lower_bound), Box::new(upper_bound));
    if negated {
        Expr::Not(Box::new(range))
    } else {
        range
    }
}

fn case(
    operand: Option<Box<SqlExpr>>,
    conditions: Vec<ast::CaseWhen>,
    else_result: Option<Box<SqlExpr>>,
) -> Outcome<Expr> {
    let operand = operand.map(|raw| boxed(*raw)).transpose()?;
    let mut arms = Vec::with_capacity(conditions.len());
    for arm in conditions {
        let condition = expr(arm.condition)?;
        let condition = match &operand {
            None => condition,
            Some(value) => Expr::Binary(Operator::Equal, value.clone(), Box::new(condition)),
        };
        arms.push((condition, expr(arm.result)?));
    }
    let else_result = else_result.map(|raw| boxed(*raw)).transpose()?;
    Ok(Expr::Case(arms, else_result))
}

fn constant(value: ast::Value) -> Outcome<Expr> {
    Ok(match value {
        ast::Value::Number(digits, _) => match digits.parse::<i64>() {
            Ok(n) => {
                let kind = Value::Int(n).kind();
                Expr::Const(Value::Int(n), kind)
            }
            Err(_) => Expr::Const(Type::Float8.parse(&digits)?, Type::Float8),
        },
        ast::Value::SingleQuotedString(text) | ast::Value::EscapedStringLiteral(text) => {
            Expr::Const(Value::Text(text), Type::Unknown)
        }
        ast::Value::DollarQuotedString(text) => Expr::Const(Value::Text(text.value), Type::Unknown),
        ast::Value::Boolean(b) => Expr::Const(Value::Bool(b), Type::Bool),
        ast::Value::Null => Expr::Const(Value::Null, Type::Unknown),
        ast::Value::Placeholder(text) => {
            let number = text.strip_prefix('$').and_then(|n| n.parse::<usize>().ok());
            match number {
                Some(n) if (1..=65535).contains(&n) => Expr::Param(n - 1),
                _ => {
                    return Err(Failure::new(
                        "42P02",
                        format!("there is no parameter {text}"),
                    ));
                }
            }
        }
        other => return Err(Failure::unsupported(other)),
    })
}

fn unary(op: UnaryOperator, inner: SqlExpr) -> Outcome<Expr> {
    match op {
        UnaryOperator::Not => Ok(Expr::Not(boxed(inner)?)),
        UnaryOperator::Plus => expr(inner),
        UnaryOperator::Minus => Ok(match expr(inner)? {
            Expr::Const(Value::Int(n), kind) => Expr::Const(Value::Int(-n), kind),
            Expr::Const(Value::Float(x), kind) => Expr::Const(Value::Float(-x), kind),
            other => Expr::Negate(Box::new(other)),
        }),
        other => Err(Failure::unsupported(other)),
    }
}

fn operator(op: &BinaryOperator) -> Outcome<Operator> {
    Ok(match op {
        BinaryOperator::And => Operator::And,
        BinaryOperator::Or => Operator::Or,
        BinaryOperator::Eq => Operator::Equal,
        BinaryOperator::NotEq => Operator::NotEqual,
        BinaryOperator::Lt => Operator::Less,
        BinaryOperator::LtEq => Operator::LessOrEqual,
        BinaryOperator::Gt => Operator::Greater,
        BinaryOperator::GtEq => Operator::GreaterOrEqual,
        BinaryOperator::Plus => Operator::Add,
        BinaryOperator::Minus => Operator::Subtract,
        BinaryOperator::Multiply => Operator::Multiply,
        BinaryOperator::Divide => Operator::Divide,
        BinaryOperator::Modulo => Operator::Modulo,
        BinaryOperator::StringConcat => Operator::Concat,
        other => return Err(Failure::unsupported(other)),
    })
}

fn call(function: ast::Function) -> Outcome<Expr> {
    let name = parse::unqualified_name(&function.name)?;
    let list = match function.args {
        FunctionArguments::None => Vec::new(),
        FunctionArguments::List(list) => list.args,
        FunctionArguments::Subquery(query) => return Err(Failure::unsupported(query)),
    };
    let mut args = Vec::with_capacity(list.len());
    let mut wildcard = false;
    for arg in list {
        match arg {
            FunctionArg::Unnamed(FunctionArgExpr::Expr(raw)) => args.push(expr(raw)?),
            FunctionArg::Unnamed(FunctionArgExpr::Wildcard) => wildcard = true,
            other => return Err(Failure::unsupported(other)),
        }
    }
    let aggregate = match name.as_str() {
        "count" => Some(Aggregate::Count),
        "sum" => Some(Aggregate::Sum),
        "min" => Some(Aggregate::Min),
        "max" => Some(Aggregate::Max),
        _ => None,
    };
    let missing = || Failure::new("42883", format!("function {name}() does not exist"));
    if let Some(aggregate) = aggregate {
        if args.len() != usize::from(!wildcard) || (wildcard && aggregate != Aggregate::Count) {
            return Err(missing());
        }
        return Ok(Expr::Aggregate(aggregate, args.pop().map(Box::new)));
    }
    let function = Function::from_name(&name).ok_or_else(missing)?;
    let (min, max) = function.arity();
    if wildcard || !(min..=max).contains(&args.len()) {
        return Err(missing());
    }
    Ok(Expr::Call(function, args))
}
