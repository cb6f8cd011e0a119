//! Preparing, binding and describing statements of the extended protocol.

use pgwire::messages::extendedquery::{Bind, BindComplete, Parse, ParseComplete};

use crate::describe;
use crate::failure::{Failure, Outcome, failure};
use crate::params;
use crate::plan::Plan;
use crate::reply;
use crate::server::Server;
use crate::session::{Portal, Prepared};
use crate::statement::allowed;
use crate::store::View;
use crate::value::{Type, Value};

impl Server {
    pub(crate) fn parse(&mut self, id: u64, parse: Parse) -> Outcome<()> {
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
            let own = session.transaction.as_ref();
            allowed(plan, own)?;
            let view = View {
                store: &self.store,
                own,
            };
            types = params::params(plan, view, &parse.type_oids)?;
            describe::fields(plan, view, &types)?;
        }
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && session.statements.contains_key(&name) {
            let text = format!("prepared statement \"{name}\" already exists");
            return failure("42P05", text);
        }
        let text = parse.query;
        session.statements.insert(
            name,
            Prepared {
                text,
                params: types,
            },
        );
        reply::put(&mut session.reply, &ParseComplete::new());
        Ok(())
    }

    pub(crate) fn bind(&mut self, id: u64, bind: Bind) -> Outcome<()> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        let statement = bind.statement_name.unwrap_or_default();
        let Some(prepared) = session.statements.get(&statement) else {
            return failure("26000", missing(&statement));
        };
        if let Some(plan) = self.cache.script(&prepared.text)?.first() {
            allowed(plan, session.transaction.as_ref())?;
        }
        let (given, wanted) = (bind.parameters.len(), prepared.params.len());
        if given != wanted {
            let text = format!("bind message supplies {given} parameters, but {wanted} are needed");
            return failure("08P01", text);
        }
        let mut params = Vec::with_capacity(given);
        for (at, (raw, kind)) in bind.parameters.iter().zip(&prepared.params).enumerate() {
            let format = match bind.parameter_format_codes.as_slice() {
                [one] => *one,
                many => many.get(at).copied().unwrap_or(0),
            };
            params.push(match raw {
                None => Value::Null,
                Some(raw) => parameter(raw, *kind, format)?,
            });
        }
        let portal = Portal {
            text: prepared.text.clone(),
            types: prepared.params.clone(),
            params,
            formats: bind.result_column_format_codes,
            rest: None,
        };
        let name = bind.portal_name.unwrap_or_default();
        session.portals.insert(name, portal);
        reply::put(&mut session.reply, &BindComplete::new());
        Ok(())
    }

    pub(crate) fn describe(&mut self, id: u64, kind: u8, name: &str) -> Outcome<()> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        let (text, types, formats) = if kind == b'S' {
            let Some(prepared) = session.statements.get(name) else {
                return failure("26000", missing(name));
            };
            reply::parameter_types(&mut session.reply, &prepared.params);
            (&prepared.text, &prepared.params, [].as_slice())
        } else {
            let Some(portal) = session.portals.get(name) else {
                return failure("34000", format!("portal \"{name}\" does not exist"));
            };
            (&portal.text, &portal.types, portal.formats.as_slice())
        };
        let plan: Option<&Plan> = self.cache.script(text)?.first();
        let view = View {
            store: &self.store,
            own: session.transaction.as_ref(),
        };
        let fields = match plan {
            Some(plan) => describe::fields(plan, view, types)?,
            None => None,
        };
        reply::fields(&mut session.reply, fields.as_deref(), formats);
        Ok(())
    }
}

fn missing(statement: &str) -> String {
    format!("prepared statement \"{statement}\" does not exist")
}

/// Reads a bound parameter.
fn parameter(raw: &[u8], kind: Type, format: i16) -> Outcome<Value> {
    if format == 1 {
        return kind.decode(raw);
    }
    let text = std::str::from_utf8(raw)
        .map_err(|_| Failure::new("22021", "invalid byte sequence for encoding \"UTF8\""))?;
    kind.parse(text)
}
