//! Evaluation of expressions.

use std::collections::HashMap;

use crate::failure::{Failure, Outcome, failure};
use crate::plan::{Expr, Function, Operator, Schema};
use crate::settings;
use crate::value::{Type, Value};

/// Effect of a function on the server; it is applied after the statement.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    Promote,
    Reload,
    Fault(String, i64),
}

/// State of the server that functions report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Status {
    pub(crate) in_recovery: bool,
    pub(crate) timeline: u64,
    pub(crate) previous_timeline: u64,
    /// End of the log; on a replica, the end of the replayed log.
    pub(crate) lsn: u64,
    pub(crate) received_lsn: Option<u64>,
    pub(crate) replayed_lsn: Option<u64>,
    pub(crate) pid: i32,
}

/// Everything that an expression can refer to except its row.
#[derive(Debug)]
pub(crate) struct Scope<'a> {
    pub(crate) status: Status,
    pub(crate) settings: &'a HashMap<String, String>,
    pub(crate) params: &'a [Value],
    pub(crate) actions: Vec<Action>,
}

/// A row with its schema; `None` if an expression has no row to refer to.
pub(crate) type Input<'a> = Option<(&'a Schema, &'a [Value])>;

impl Scope<'_> {
    /// Whether a row matches a filter; without a filter every row does.
    pub(crate) fn matches(&mut self, filter: Option<&Expr>, row: Input<'_>) -> Outcome<bool> {
        let Some(filter) = filter else {
            return Ok(true);
        };
        Ok(condition(&self.eval(filter, row)?)? == Some(true))
    }

    pub(crate) fn eval(&mut self, expr: &Expr, row: Input<'_>) -> Outcome<Value> {
        Ok(match expr {
            Expr::Const(value, _) => value.clone(),
            Expr::Param(n) => match self.params.get(*n) {
                Some(value) => value.clone(),
                None => return failure("42P02", format!("there is no parameter ${}", n + 1)),
            },
            Expr::Column(name) => column(name, row)?,
            Expr::Not(inner) => match condition(&self.eval(inner, row)?)? {
                Some(b) => Value::Bool(!b),
                None => Value::Null,
            },
            Expr::Negate(inner) => {
                let inner = self.eval(inner, row)?;
                arithmetic(Operator::Subtract, &Value::Int(0), &inner)?
            }
            Expr::Binary(op @ (Operator::And | Operator::Or), a, b) => {
                self.and_or(*op == Operator::And, a, b, row)?
            }
            Expr::Binary(op, a, b) => {
                let (a, b) = (self.eval(a, row)?, self.eval(b, row)?);
                binary(*op, &a, &b)?
            }
            Expr::IsNull(inner, negated) => {
                Value::Bool(self.eval(inner, row)?.is_null() != *negated)
            }
            Expr::In(inner, list, negated) => self.in_list(inner, list, *negated, row)?,
            Expr::Case(arms, otherwise) => {
                for (when, then) in arms {
                    if self.matches(Some(when), row)? {
                        return self.eval(then, row);
                    }
                }
                match otherwise {
                    Some(otherwise) => self.eval(otherwise, row)?,
                    None => Value::Null,
                }
            }
            Expr::Cast(inner, kind) => self.eval(inner, row)?.cast(*kind)?,
            Expr::Call(function, args) => self.call(*function, args, row)?,
            Expr::Aggregate(..) => {
                return failure("42803", "aggregate functions are not allowed here");
            }
        })
    }

    fn and_or(&mut self, and: bool, a: &Expr, b: &Expr, row: Input<'_>) -> Outcome<Value> {
        let decisive = Some(!and);
        let a = condition(&self.eval(a, row)?)?;
        if a == decisive {
            return Ok(Value::Bool(!and));
        }
        let b = condition(&self.eval(b, row)?)?;
        Ok(match (a, b) {
            (_, b) if b == decisive => Value::Bool(!and),
            (None, _) | (_, None) => Value::Null,
            _ => Value::Bool(and),
        })
    }

    fn in_list(
        &mut self,
        expr: &Expr,
        list: &[Expr],
        negated: bool,
        row: Input<'_>,
    ) -> Outcome<Value> {
        let value = self.eval(expr, row)?;
        let mut unknown = value.is_null();
        for item in list {
            match value.compare(&self.eval(item, row)?)? {
                Some(ordering) if ordering.is_eq() => return Ok(Value::Bool(!negated)),
                Some(_) => {}
                None => unknown = true,
            }
        }
        Ok(if unknown {
            Value::Null
        } else {
            Value::Bool(negated)
        })
    }

    fn call(&mut self, function: Function, args: &[Expr], row: Input<'_>) -> Outcome<Value> {
        if function == Function::Coalesce {
            for arg in args {
                let value = self.eval(arg, row)?;
                if !value.is_null() {
                    return Ok(value);
                }
            }
            return Ok(Value::Null);
        }
        let args: Vec<_> = args
            .iter()
            .map(|arg| self.eval(arg, row))
            .collect::<Outcome<_>>()?;
        let text = |n: usize| args.get(n).map(Value::text).unwrap_or_default();
        if !function.is_administrative() && args.iter().any(Value::is_null) {
            return Ok(Value::Null);
        }
        Ok(match function {
            Function::BackendPid => Value::Int(self.status.pid.into()),
            Function::Version => Value::Text("PostgreSQL 16.0 (limpettally-standin)".to_owned()),
            Function::CurrentDatabase => self.setting("database"),
            Function::CurrentUser => self.setting("user"),
            Function::CurrentSetting => Value::Text(settings::show(
                &text(0),
                self.settings,
                self.status.in_recovery,
            )?),
            Function::Sleep => Value::Text(String::new()),
            Function::Length => Value::Int(text(0).chars().count() as i64),
            Function::Lower => Value::Text(text(0).to_lowercase()),
            Function::Upper => Value::Text(text(0).to_uppercase()),
            Function::Abs => match &args[0] {
                Value::Int(n) => Value::Int(n.saturating_abs()),
                Value::Float(x) => Value::Float(x.abs()),
                _ => return failure("42883", "function abs() does not exist"),
            },
            Function::LsnDiff => {
                let args: Vec<_> = args
                    .into_iter()
                    .map(|arg| arg.cast(Type::Lsn))
                    .collect::<Outcome<_>>()?;
                arithmetic(Operator::Subtract, &args[0], &args[1])?
            }
            function => return self.call_administrative(function, &args),
        })
    }

    fn setting(&self, name: &str) -> Value {
        Value::Text(self.settings.get(name).cloned().unwrap_or_default())
    }

    fn call_administrative(&mut self, function: Function, args: &[Value]) -> Outcome<Value> {
        let lsn = |lsn: Option<u64>| lsn.map_or(Value::Null, Value::Lsn);
        let status = self.status;
        match function {
            Function::CurrentLsn if status.in_recovery => {
                failure("55000", "recovery is in progress")
            }
            Function::CurrentLsn => Ok(Value::Lsn(status.lsn)),
            Function::ReplayLsn => Ok(lsn(status.replayed_lsn)),
            Function::ReceiveLsn => Ok(lsn(status.received_lsn)),
            Function::Promote if !status.in_recovery => {
                failure("55000", "recovery is not in progress")
            }
            Function::Promote => {
                self.actions.push(Action::Promote);
                Ok(Value::Bool(true))
            }
            Function::Reload => {
                self.actions.push(Action::Reload);
                Ok(Value::Bool(true))
            }
            Function::Fault => {
                let value = match args.get(1) {
                    None => 1,
                    Some(Value::Int(n)) if *n >= 0 => *n,
                    Some(_) => return failure("22023", "fault value must be a count"),
                };
                self.actions.push(Action::Fault(args[0].text(), value));
                Ok(Value::Bool(true))
            }
            _ => Ok(Value::Bool(status.in_recovery)),
        }
    }
}

fn column(name: &str, row: Input<'_>) -> Outcome<Value> {
    let value = row.and_then(|(schema, values)| values.get(schema.position(name)?));
    let missing = || Failure::new("42703", format!("column \"{name}\" does not exist"));
    value.cloned().ok_or_else(missing)
}

/// Evaluates a condition; `None` if it is unknown.
fn condition(value: &Value) -> Outcome<Option<bool>> {
    match value {
        Value::Null => Ok(None),
        Value::Bool(b) => Ok(Some(*b)),
        Value::Text(text) => match Type::Bool.parse(text)? {
            Value::Bool(b) => Ok(Some(b)),
            _ => Ok(None),
        },
        other => {
            let text = format!("argument must be type boolean, not {}", other.kind().name());
            failure("42804", text)
        }
    }
}

fn binary(op: Operator, a: &Value, b: &Value) -> Outcome<Value> {
    let ordering = match op {
        Operator::Concat if a.is_null() || b.is_null() => return Ok(Value::Null),
        Operator::Concat => return Ok(Value::Text(a.text() + &b.text())),
        Operator::Add
        | Operator::Subtract
        | Operator::Multiply
        | Operator::Divide
        | Operator::Modulo => return arithmetic(op, a, b),
        _ => a.compare(b)?,
    };
    let Some(ordering) = ordering else {
        return Ok(Value::Null);
    };
    Ok(Value::Bool(match op {
        Operator::Equal => ordering.is_eq(),
        Operator::NotEqual => ordering.is_ne(),
        Operator::Less => ordering.is_lt(),
        Operator::LessOrEqual => ordering.is_le(),
        Operator::Greater => ordering.is_gt(),
        _ => ordering.is_ge(),
    }))
}

pub(crate) fn arithmetic(op: Operator, a: &Value, b: &Value) -> Outcome<Value> {
    let overflow = || Failure::new("22003", "bigint out of range");
    Ok(match (a, b) {
        (Value::Null, _) | (_, Value::Null) => Value::Null,
        (Value::Int(_) | Value::Float(_), Value::Text(text)) => {
            return arithmetic(op, a, &parse_integer(text)?);
        }
        (Value::Text(text), Value::Int(_) | Value::Float(_)) => {
            return arithmetic(op, &parse_integer(text)?, b);
        }
        (Value::Int(a), Value::Int(b)) => Value::Int(
            match op {
                Operator::Add => a.checked_add(*b),
                Operator::Subtract => a.checked_sub(*b),
                Operator::Multiply => a.checked_mul(*b),
                _ if *b == 0 => return failure("22012", "division by zero"),
                Operator::Divide => a.checked_div(*b),
                _ => Some(a.wrapping_rem(*b)),
            }
            .ok_or_else(overflow)?,
        ),
        (Value::Lsn(a), Value::Lsn(b)) if op == Operator::Subtract => {
            Value::Int(a.cast_signed().wrapping_sub(b.cast_signed()))
        }
        (Value::Int(_) | Value::Float(_), Value::Int(_) | Value::Float(_)) => {
            let (a, b) = (to_float(a), to_float(b));
            Value::Float(match op {
                Operator::Add => a + b,
                Operator::Subtract => a - b,
                Operator::Multiply => a * b,
                _ if b == 0.0 => return failure("22012", "division by zero"),
                Operator::Divide => a / b,
                _ => a % b,
            })
        }
        (a, b) => {
            let (a, b) = (a.kind().name(), b.kind().name());
            let text = format!("operator does not exist between {a} and {b}");
            return failure("42883", text);
        }
    })
}

fn parse_integer(text: &str) -> Outcome<Value> {
    Type::Int8.parse(text)
}

fn to_float(value: &Value) -> f64 {
    match value {
        Value::Int(n) => *n as f64,
        Value::Float(x) => *x,
        _ => f64::NAN,
    }
}
