//! Classification of `SET` and `RESET`.

use sqlparser::tokenizer::Token;

use crate::classification::{Binding, Kind};
use crate::statement_tokens::Tokens;

/// Prefix of the parameters that the entry defines.
const ENTRY_PREFIX: &str = "limpettally.";

/// Parameters that drivers set at the start of a session. The entry stores them for the session and
/// sets them on each target connection that the session uses.
const SESSION_PARAMETERS: &[&str] = &[
    "application_name",
    "client_encoding",
    "client_min_messages",
    "datestyle",
    "extra_float_digits",
    "intervalstyle",
    "timezone",
];

/// Whether the entry stores the parameter `name`, in lower case, for a session.
#[must_use]
pub fn is_session_parameter(name: &str) -> bool {
    SESSION_PARAMETERS.contains(&name)
}

/// Returns the qualified parameter name at the start of `tokens` in lower case; `time zone` becomes
/// `timezone`.
pub(crate) fn parameter_name(tokens: &[&Token]) -> String {
    let mut name = String::new();
    for token in tokens {
        match token {
            Token::Word(word) if name.is_empty() || name.ends_with('.') => {
                name.push_str(&word.value.to_ascii_lowercase());
            }
            Token::Word(word) if name == "time" && word.value.eq_ignore_ascii_case("zone") => {
                name.push_str("zone");
            }
            Token::Period => name.push('.'),
            _ => break,
        }
    }
    name
}

/// Kind of a statement that starts with `SET` or `RESET`; `None` for any other statement.
pub(crate) fn statement_kind(statement: Tokens<'_>) -> Option<Kind> {
    if statement.word_is(0, "reset") {
        return Some(assignment_kind(
            parameter_name(&statement.0[1..]),
            String::new(),
            false,
        ));
    }
    if !statement.word_is(0, "set") {
        return None;
    }
    if statement.word_is_any(1, &["transaction", "constraints"]) {
        return Some(Kind::Write);
    }
    let has_scope = statement.word_is_any(1, &["local", "session"]);
    let tokens = &statement.0[1 + usize::from(has_scope)..];
    Some(assignment_kind(
        parameter_name(tokens),
        assigned_value(tokens),
        statement.word_is(1, "local"),
    ))
}

fn assignment_kind(name: String, value: String, local: bool) -> Kind {
    if local || name.starts_with(ENTRY_PREFIX) || is_session_parameter(&name) {
        Kind::Set { name, value, local }
    } else {
        Kind::SessionBound(Binding::Parameter)
    }
}

/// Returns the value of an assignment without quotes; empty for `DEFAULT` and `RESET`.
fn assigned_value(tokens: &[&Token]) -> String {
    let mut value = String::new();
    let Some(separator) = tokens.iter().position(|token| is_separator(token)) else {
        return value;
    };
    for token in &tokens[separator + 1..] {
        match token {
            Token::SingleQuotedString(text) | Token::EscapedStringLiteral(text) => {
                value.push_str(text);
            }
            Token::Word(word) if word.quote_style.is_some() => value.push_str(&word.value),
            Token::Word(word) if word.value.eq_ignore_ascii_case("default") => {}
            other => value.push_str(&other.to_string()),
        }
    }
    value
}

/// Whether the value follows this token: `=`, `TO`, or the `ZONE` of `TIME ZONE`.
fn is_separator(token: &Token) -> bool {
    match token {
        Token::Eq => true,
        Token::Word(word) => ["to", "zone"]
            .iter()
            .any(|name| word.value.eq_ignore_ascii_case(name)),
        _ => false,
    }
}
