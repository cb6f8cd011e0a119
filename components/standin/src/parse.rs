//! Translation of SQL statements into plans.

use sqlparser::ast::{
    self, AssignmentTarget, FromTable, LimitClause, ObjectName, OnConflictAction, OnInsert,
    OrderByKind, OrderBySort, SelectItem, SetExpr, Statement, TableFactor, TableObject,
    TableWithJoins, TransactionAccessMode, TransactionMode,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::keywords::Keyword;
use sqlparser::parser::{Parser, ParserError};
use sqlparser::tokenizer::Token;

use crate::define;
use crate::expr;
use crate::failure::{Failure, Outcome};
use crate::plan::{Delete, Expr, Insert, Item, Order, Plan, Select, Source, Update};

impl From<ParserError> for Failure {
    fn from(error: ParserError) -> Self {
        let text = match error {
            ParserError::TokenizerError(text) | ParserError::ParserError(text) => text,
            ParserError::RecursionLimitExceeded => "statement is nested too deeply".to_owned(),
        };
        Self::new("42601", format!("syntax error: {text}"))
    }
}

/// Parses the statements of a script.
pub(crate) fn script(sql: &str) -> Outcome<Vec<Plan>> {
    let dialect = PostgreSqlDialect {};
    let mut parser = Parser::new(&dialect).try_with_sql(sql)?;
    let mut plans = Vec::new();
    loop {
        while parser.consume_token(&Token::SemiColon) {}
        if parser.peek_token().token == Token::EOF {
            return Ok(plans);
        }
        plans.push(parse_statement(&mut parser)?);
        if !parser.consume_token(&Token::SemiColon) && parser.peek_token().token != Token::EOF {
            let found = parser.peek_token().token;
            let text = format!("syntax error at or near \"{found}\"");
            return Err(Failure::new("42601", text));
        }
    }
}

fn parse_statement(parser: &mut Parser<'_>) -> Outcome<Plan> {
    // The parser library does not support ALTER SYSTEM.
    if parser.parse_keywords(&[Keyword::ALTER, Keyword::SYSTEM]) {
        return alter_system(parser);
    }
    plan(parser.parse_statement()?)
}

fn alter_system(parser: &mut Parser<'_>) -> Outcome<Plan> {
    if parser.parse_keywords(&[Keyword::RESET]) {
        let name = parser.parse_identifier()?.value;
        let value = String::new();
        return Ok(Plan::AlterSystem { name, value });
    }
    parser.expect_keyword_is(Keyword::SET)?;
    let name = parser.parse_identifier()?.value;
    if !parser.consume_token(&Token::Eq) {
        parser.expect_keyword_is(Keyword::TO)?;
    }
    let value = parser.parse_literal_string()?;
    Ok(Plan::AlterSystem { name, value })
}

fn plan(statement: Statement) -> Outcome<Plan> {
    Ok(match statement {
        Statement::Query(query) => Plan::Select(select(*query)?),
        Statement::Insert(insert) => Plan::Insert(self::insert(insert)?),
        Statement::Update(update) => Plan::Update(self::update(update)?),
        Statement::Delete(delete) => Plan::Delete(self::delete(delete)?),
        Statement::CreateTable(create) => define::create_table(create)?,
        Statement::Drop {
            object_type: ast::ObjectType::Table,
            if_exists,
            names,
            ..
        } => Plan::Drop {
            tables: names.iter().map(unqualified_name).collect::<Outcome<_>>()?,
            ignore_missing: if_exists,
        },
        Statement::StartTransaction { modes, .. } => Plan::Begin {
            read_only: read_only(&modes).unwrap_or(false),
        },
        Statement::Commit { .. } => Plan::Commit,
        Statement::Rollback {
            savepoint: Some(savepoint),
            ..
        } => Plan::RollbackTo(savepoint.value),
        Statement::Rollback { .. } => Plan::Rollback,
        Statement::Savepoint { name } => Plan::Savepoint(name.value),
        Statement::ReleaseSavepoint { name } => Plan::Release(name.value),
        Statement::Set(set) => define::set_parameter(set)?,
        Statement::Reset(reset) => define::reset_parameter(reset)?,
        Statement::ShowVariable { variable } => Plan::Show(define::parameter_name(&variable)),
        Statement::Discard { .. } => Plan::Discard,
        Statement::Deallocate { name, .. } => {
            let all = name.quote_style.is_none() && name.value.eq_ignore_ascii_case("all");
            Plan::Deallocate((!all).then_some(name.value))
        }
        other => return Err(Failure::unsupported(other)),
    })
}

/// Whether the last access mode of a list is READ ONLY; `None` if the list has no access mode.
pub(crate) fn read_only(modes: &[TransactionMode]) -> Option<bool> {
    modes.iter().rev().find_map(|mode| match mode {
        TransactionMode::AccessMode(access) => Some(*access == TransactionAccessMode::ReadOnly),
        TransactionMode::IsolationLevel(_) => None,
    })
}

/// The last part of a possibly qualified name.
pub(crate) fn unqualified_name(name: &ObjectName) -> Outcome<String> {
    let part = name.0.last().and_then(|part| part.as_ident());
    part.map(expr::identifier)
        .ok_or_else(|| Failure::unsupported(name))
}

fn table_name(from: &TableWithJoins) -> Outcome<String> {
    match &from.relation {
        TableFactor::Table {
            name: table,
            args: None,
            ..
        } if from.joins.is_empty() => unqualified_name(table),
        _ => Err(Failure::unsupported(from)),
    }
}

fn source(from: &[TableWithJoins]) -> Outcome<Source> {
    match from {
        [] => Ok(Source::Nothing),
        [from] => match &from.relation {
            TableFactor::Table {
                name: function,
                args: Some(_),
                ..
            } if from.joins.is_empty()
                && unqualified_name(function)? == "pg_control_checkpoint" =>
            {
                Ok(Source::Checkpoint)
            }
            _ => Ok(Source::Table(table_name(from)?)),
        },
        _ => Err(Failure::unsupported("a join")),
    }
}

fn items(projection: Vec<SelectItem>) -> Outcome<Vec<Item>> {
    let item = |item| {
        Ok(match item {
            SelectItem::UnnamedExpr(raw) => Item::Expr {
                name: expr::default_name(&raw),
                expr: expr::expr(raw)?,
            },
            SelectItem::ExprWithAlias { expr: raw, alias } => Item::Expr {
                name: expr::identifier(&alias),
                expr: expr::expr(raw)?,
            },
            SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => Item::All,
            other => return Err(Failure::unsupported(other)),
        })
    };
    projection.into_iter().map(item).collect()
}

fn order(kind: OrderByKind) -> Outcome<Vec<Order>> {
    let OrderByKind::Expressions(list) = kind else {
        return Err(Failure::unsupported("ORDER BY ALL"));
    };
    let item = |order: ast::OrderByExpr| {
        let descending = order.options.sort == Some(OrderBySort::Desc);
        Ok(Order {
            expr: expr::expr(order.expr)?,
            descending,
            nulls_first: order.options.nulls_first.unwrap_or(descending),
        })
    };
    list.into_iter().map(item).collect()
}

fn select(query: ast::Query) -> Outcome<Select> {
    let for_update = !query.locks.is_empty();
    let order = query.order_by.map(|by| self::order(by.kind)).transpose()?;
    let (limit, offset) = match query.limit_clause {
        Some(LimitClause::LimitOffset { limit, offset, .. }) => (limit, offset.map(|o| o.value)),
        Some(LimitClause::OffsetCommaLimit { .. }) => {
            return Err(Failure::unsupported("LIMIT with two numbers"));
        }
        None => (None, None),
    };
    let select = match *query.body {
        SetExpr::Select(select) if query.with.is_none() => select,
        other => return Err(Failure::unsupported(other)),
    };
    let grouped =
        !matches!(&select.group_by, ast::GroupByExpr::Expressions(list, _) if list.is_empty());
    if grouped || select.having.is_some() || select.distinct.is_some() {
        return Err(Failure::unsupported("GROUP BY, HAVING or DISTINCT"));
    }
    let mut result = Select {
        source: source(&select.from)?,
        items: items(select.projection)?,
        filter: select.selection.map(expr::expr).transpose()?,
        order: order.unwrap_or_default(),
        limit: limit.map(expr::expr).transpose()?,
        offset: offset.map(expr::expr).transpose()?,
        for_update,
        aggregate: false,
        sleep: None,
        administrative: false,
    };
    classify(&mut result);
    Ok(result)
}

/// Sets the fields of a SELECT that follow from the functions in its projection.
fn classify(select: &mut Select) {
    let (mut aggregate, mut sleep) = (false, None);
    let mut administrative = matches!(select.source, Source::Checkpoint);
    for item in &select.items {
        let Item::Expr { expr, .. } = item else {
            continue;
        };
        expr.walk(&mut |e| match e {
            Expr::Aggregate(..) => aggregate = true,
            Expr::Call(crate::plan::Function::Sleep, args) => sleep = args.first().cloned(),
            Expr::Call(function, _) if function.is_administrative() => administrative = true,
            _ => {}
        });
    }
    select.aggregate = aggregate;
    select.sleep = sleep;
    let reads_table = matches!(select.source, Source::Table(_));
    select.administrative = administrative && !reads_table && select.sleep.is_none();
}

fn insert(insert: ast::Insert) -> Outcome<Insert> {
    let table = match &insert.table {
        TableObject::TableName(table) => unqualified_name(table)?,
        other => return Err(Failure::unsupported(other)),
    };
    let skip_conflicts = match insert.on {
        None => false,
        Some(OnInsert::OnConflict(conflict))
            if matches!(conflict.action, OnConflictAction::DoNothing) =>
        {
            true
        }
        Some(_) => return Err(Failure::unsupported("ON CONFLICT DO UPDATE")),
    };
    let body = insert.source.map(|query| *query.body);
    let Some(SetExpr::Values(values)) = body else {
        return Err(Failure::unsupported("INSERT without VALUES"));
    };
    let value = |raw| match expr::is_default(&raw) {
        true => Ok(None),
        false => expr::expr(raw).map(Some),
    };
    let rows = values.rows.into_iter();
    Ok(Insert {
        table,
        columns: insert
            .columns
            .iter()
            .map(unqualified_name)
            .collect::<Outcome<_>>()?,
        rows: rows
            .map(|row| row.content.into_iter().map(value).collect())
            .collect::<Outcome<_>>()?,
        skip_conflicts,
        returning: items(insert.returning.unwrap_or_default())?,
    })
}

fn update(update: ast::Update) -> Outcome<Update> {
    if update.from.is_some() {
        return Err(Failure::unsupported("UPDATE with FROM"));
    }
    let set = |assignment: ast::Assignment| match &assignment.target {
        AssignmentTarget::ColumnName(column) => {
            Ok((unqualified_name(column)?, expr::expr(assignment.value)?))
        }
        other => Err(Failure::unsupported(other)),
    };
    Ok(Update {
        table: table_name(&update.table)?,
        set: update
            .assignments
            .into_iter()
            .map(set)
            .collect::<Outcome<_>>()?,
        filter: update.selection.map(expr::expr).transpose()?,
        returning: items(update.returning.unwrap_or_default())?,
    })
}

fn delete(delete: ast::Delete) -> Outcome<Delete> {
    let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
    let [from] = from.as_slice() else {
        return Err(Failure::unsupported("DELETE from several tables"));
    };
    Ok(Delete {
        table: table_name(from)?,
        filter: delete.selection.map(expr::expr).transpose()?,
        returning: items(delete.returning.unwrap_or_default())?,
    })
}
