//! Messages Parse, Bind and Describe of the extended query protocol.

use pgwire::messages::extendedquery::{Bind, BindComplete, Parse, ParseComplete};

use crate::describe;
use crate::failure::{Failure, Outcome, failure};
use crate::params;
use crate::plan::Plan;
use crate::reply;
use crate::server::Server;
use crate::session::{Portal, Statement};
use crate::statement::check_transaction_state;
use crate::store::View;
use crate::value::{Type, Value};

impl Server {
    pub(crate) fn on_parse(&mut self, id: u64, parse: Parse) -> Outcome<()> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        let plans = self.cache.script(&parse.query)?;
        if plans.len() > 1 {
            let text = "cannot insert multiple commands into a prepared statement";
            return failure("42601", text);
        }
        let mut types = Vec::new();
        if let Some(plan) = plans.first() {
            let transaction = session.transaction.as_ref();
            check_transaction_state(plan, transaction)?;
            let view = View {
                store: &self.store,
                transaction,
            };
            types = params::parameter_types(plan, view, &parse.type_oids)?;
            describe::fields(plan, view, &types)?;
        }
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && session.statements.contains_key(&name) {
            let text = format!("prepared statement \"{name}\" already exists");
            return failure("42P05", text);
        }
        let sql = parse.query;
        session.statements.insert(
            name,
            Statement {
                sql,
                parameter_types: types,
            },
        );
        reply::put(&mut session.write_buffer, &ParseComplete::new());
        Ok(())
    }

    pub(crate) fn on_bind(&mut self, id: u64, bind: Bind) -> Outcome<()> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        let statement = bind.statement_name.unwrap_or_default();
        let Some(prepared) = session.statements.get(&statement) else {
            return failure("26000", missing_statement(&statement));
        };
        if let Some(plan) = self.cache.script(&prepared.sql)?.first() {
            check_transaction_state(plan, session.transaction.as_ref())?;
        }
        let (given, expected) = (bind.parameters.len(), prepared.parameter_types.len());
        if given != expected {
            let text =
                format!("bind message supplies {given} parameters, but {expected} are needed");
            return failure("08P01", text);
        }
        let mut parameters = Vec::with_capacity(given);
        for (index, (raw, kind)) in bind
            .parameters
            .iter()
            .zip(&prepared.parameter_types)
            .enumerate()
        {
            let format = match bind.parameter_format_codes.as_slice() {
                [format] => *format,
                formats => formats.get(index).copied().unwrap_or(0),
            };
            parameters.push(match raw {
                None => Value::Null,
                Some(raw) => decode_parameter(raw, *kind, format)?,
            });
        }
        let portal = Portal {
            sql: prepared.sql.clone(),
            parameter_types: prepared.parameter_types.clone(),
            parameters,
            result_formats: bind.result_column_format_codes,
            remainder: None,
        };
        let name = bind.portal_name.unwrap_or_default();
        session.portals.insert(name, portal);
        reply::put(&mut session.write_buffer, &BindComplete::new());
        Ok(())
    }

    pub(crate) fn on_describe(&mut self, id: u64, kind: u8, name: &str) -> Outcome<()> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        let (sql, types, formats) = if kind == b'S' {
            let Some(prepared) = session.statements.get(name) else {
                return failure("26000", missing_statement(name));
            };
            reply::parameter_description(&mut session.write_buffer, &prepared.parameter_types);
            (&prepared.sql, &prepared.parameter_types, [].as_slice())
        } else {
            let Some(portal) = session.portals.get(name) else {
                return failure("34000", format!("portal \"{name}\" does not exist"));
            };
            (
                &portal.sql,
                &portal.parameter_types,
                portal.result_formats.as_slice(),
            )
        };
        let plan: Option<&Plan> = self.cache.script(sql)?.first();
        let view = View {
            store: &self.store,
            transaction: session.transaction.as_ref(),
        };
        let fields = match plan {
            Some(plan) => describe::fields(plan, view, types)?,
            None => None,
        };
        reply::row_description(&mut session.write_buffer, fields.as_deref(), formats);
        Ok(())
    }
}

fn missing_statement(statement: &str) -> String {
    format!("prepared statement \"{statement}\" does not exist")
}

/// Decodes a bound parameter.
fn decode_parameter(raw: &[u8], kind: Type, format: i16) -> Outcome<Value> {
    if format == 1 {
        return kind.decode(raw);
    }
    let text = std::str::from_utf8(raw)
        .map_err(|_| Failure::new("22021", "invalid byte sequence for encoding \"UTF8\""))?;
    kind.parse(text)
}
