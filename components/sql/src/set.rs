//! `SET` and `RESET`.

use sqlparser::tokenizer::Token;

use crate::class::{Binding, Kind};
use crate::scan::Scan;

/// Prefix of the entry's own parameters.
const OWN: &str = "limpettally.";

/// Parameters that drivers set at the start of a session and that the entry keeps for the session:
/// it gives them to each target connection that the session uses.
const KEPT: &[&str] = &[
    "application_name",
    "client_encoding",
    "client_min_messages",
    "datestyle",
    "extra_float_digits",
    "intervalstyle",
    "timezone",
];

/// Whether the entry keeps the parameter `name`, in lower case, for a session.
#[must_use]
pub fn is_kept(name: &str) -> bool {
    KEPT.contains(&name)
}

/// The dotted name at the start of `tokens`, in lower case; `time zone` is `timezone`.
pub(crate) fn name(tokens: &[&Token]) -> String {
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

/// Class of a statement that starts with `SET` or `RESET`.
pub(crate) fn kind(scan: Scan<'_>) -> Option<Kind> {
    if scan.is(0, "reset") {
        return Some(keep(name(&scan.0[1..]), String::new(), false));
    }
    if !scan.is(0, "set") {
        return None;
    }
    if scan.is_any(1, &["transaction", "constraints"]) {
        return Some(Kind::Write);
    }
    let scoped = scan.is_any(1, &["local", "session"]);
    let tokens = &scan.0[1 + usize::from(scoped)..];
    Some(keep(name(tokens), value(tokens), scan.is(1, "local")))
}

fn keep(name: String, value: String, local: bool) -> Kind {
    if local || name.starts_with(OWN) || is_kept(&name) {
        Kind::Set { name, value, local }
    } else {
        Kind::SessionBound(Binding::Parameter)
    }
}

/// The value of an assignment without quotes.
fn value(tokens: &[&Token]) -> String {
    let mut value = String::new();
    let Some(separator) = tokens.iter().position(|token| separates(token)) else {
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

/// `=`, `TO`, or the `ZONE` of `TIME ZONE`.
fn separates(token: &Token) -> bool {
    match token {
        Token::Eq => true,
        Token::Word(word) => ["to", "zone"]
            .iter()
            .any(|name| word.value.eq_ignore_ascii_case(name)),
        _ => false,
    }
}
