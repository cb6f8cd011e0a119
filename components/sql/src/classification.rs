//! Classification of a statement text.

use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

use crate::Fingerprint;
use crate::statement_tokens::Tokens;

/// Maximum nesting depth that the parser accepts; a text with deeper nesting counts as a write.
const MAX_NESTING_DEPTH: usize = 50;

/// Reason why a session must keep its target connection. The names of the variants are part of the
/// error message to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Binding {
    /// `LISTEN` and `UNLISTEN`.
    Listen,
    /// A temporary table, view or sequence.
    Temporary,
    /// A session-level advisory lock.
    Lock,
    /// A cursor `WITH HOLD`.
    Hold,
    /// `COPY`, which the entry does not relay.
    Copy,
    /// A parameter that the entry does not store for the session.
    Parameter,
    /// The SQL statements `PREPARE`, `EXECUTE`, `DEALLOCATE` and `DISCARD`.
    Prepared,
    /// `currval` and `lastval`. Inside the transaction that drew the value they are correct anyway.
    Sequence,
    /// `LOAD` of a library into the server process.
    Library,
}

/// Kind of one statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The text contains no statement.
    Empty,
    /// Changes nothing, so that it may run on a replica.
    Read,
    /// Any statement that is not provably of another kind.
    Write,
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is declared `READ ONLY`.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the whole transaction back.
    Rollback,
    /// Sets a parameter that the entry defines or stores for the session, or any parameter with
    /// `LOCAL`.
    Set {
        /// Parameter name in lower case.
        name: String,
        /// Value without quotes; empty for `DEFAULT` and `RESET`.
        value: String,
        /// Whether the value ends with the transaction.
        local: bool,
    },
    Show {
        /// Parameter name in lower case.
        name: String,
    },
    /// Requires that the session keeps its target connection.
    SessionBound(Binding),
}

/// Classification of a text, which may have several statements.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Classification {
    /// Kind of the only statement. Of several statements the strictest kind:
    /// [`Kind::SessionBound`], then [`Kind::Write`], then [`Kind::Read`].
    pub kind: Kind,
    /// Kinds of the statements of a text that has several; empty otherwise.
    pub statements: Vec<Kind>,
    pub fingerprint: Fingerprint,
}

/// Classifies a statement text as received from a caller.
#[must_use]
pub fn classify(text: &str) -> Classification {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize() else {
        return Classification {
            kind: Kind::Write,
            statements: Vec::new(),
            fingerprint: Fingerprint::of_text(text),
        };
    };
    let fingerprint = Fingerprint::of_tokens(&tokens);
    let mut statements = statement_kinds(&tokens);
    let kind = match statements.len() {
        0 => Kind::Empty,
        1 => statements.remove(0),
        _ => strictest_kind(&statements),
    };
    Classification {
        kind,
        statements,
        fingerprint,
    }
}

fn statement_kinds(tokens: &[Token]) -> Vec<Kind> {
    let tokens: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_) | Token::EOF))
        .collect();
    if Tokens(&tokens).contains_pair("begin", "atomic") {
        return vec![Kind::Write];
    }
    split_statements(&tokens)
        .filter(|part| !part.is_empty())
        .map(|part| statement_kind(Tokens(part)))
        .collect()
}

/// Splits at semicolons outside of parentheses; those inside belong to `CREATE RULE`.
fn split_statements<'a>(tokens: &'a [&'a Token]) -> impl Iterator<Item = &'a [&'a Token]> {
    let mut depth = 0_i32;
    tokens.split(move |token| {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth -= 1,
            _ => {}
        }
        depth <= 0 && matches!(token, Token::SemiColon)
    })
}

fn strictest_kind(statements: &[Kind]) -> Kind {
    let bound = statements
        .iter()
        .find(|kind| matches!(kind, Kind::SessionBound(_)));
    if let Some(bound) = bound {
        return bound.clone();
    }
    let is_read = |kind: &Kind| matches!(kind, Kind::Read | Kind::Show { .. });
    if statements.iter().all(is_read) {
        Kind::Read
    } else {
        Kind::Write
    }
}

fn statement_kind(statement: Tokens<'_>) -> Kind {
    if let Some(binding) = session_binding(statement) {
        return Kind::SessionBound(binding);
    }
    if statement.word_is_any(0, &["select", "values", "with"]) || statement.0[0] == &Token::LParen {
        return if statement.reads_only() && parses_as_query(statement) {
            Kind::Read
        } else {
            Kind::Write
        };
    }
    transaction_kind(statement)
        .or_else(|| parameter_kind(statement))
        .unwrap_or(Kind::Write)
}

fn parses_as_query(statement: Tokens<'_>) -> bool {
    let tokens = statement.0.iter().map(|token| (*token).clone()).collect();
    let parsed = Parser::new(&PostgreSqlDialect {})
        .with_recursion_limit(MAX_NESTING_DEPTH)
        .with_tokens(tokens)
        .parse_statements();
    matches!(parsed.as_deref(), Ok([Statement::Query(_)]))
}

fn session_binding(statement: Tokens<'_>) -> Option<Binding> {
    let two_phase_commit = statement.word_is(1, "transaction");
    if statement.word_is_any(0, &["listen", "unlisten"]) {
        Some(Binding::Listen)
    } else if statement.word_is(0, "copy") {
        Some(Binding::Copy)
    } else if statement.word_is(0, "load") {
        Some(Binding::Library)
    } else if statement.word_is_any(0, &["execute", "deallocate", "discard"])
        || statement.word_is(0, "prepare") && !two_phase_commit
    {
        Some(Binding::Prepared)
    } else if creates_temporary_object(statement) {
        Some(Binding::Temporary)
    } else if statement.word_is(0, "declare") && statement.contains_pair("with", "hold") {
        Some(Binding::Hold)
    } else {
        statement.binding_of_calls()
    }
}

fn creates_temporary_object(statement: Tokens<'_>) -> bool {
    const KEYWORDS: &[&str] = &["temp", "temporary"];
    let creates = statement.word_is(0, "create")
        && (1..5).any(|index| statement.word_is_any(index, KEYWORDS));
    creates
        || KEYWORDS
            .iter()
            .any(|word| selects_into_temporary(statement, word))
}

/// `SELECT ... INTO [LOCAL | GLOBAL] TEMP name`.
fn selects_into_temporary(statement: Tokens<'_>, word: &str) -> bool {
    statement.contains_pair("into", word)
        || ["local", "global"].iter().any(|scope| {
            statement.contains_pair("into", scope) && statement.contains_pair(scope, word)
        })
}

fn transaction_kind(statement: Tokens<'_>) -> Option<Kind> {
    if statement.word_is(0, "begin")
        || statement.word_is(0, "start") && statement.word_is(1, "transaction")
    {
        return Some(Kind::Begin {
            read_only: statement.contains_pair("read", "only")
                && !statement.contains_pair("read", "write"),
        });
    }
    let ends_transaction = statement.word_is_any(0, &["commit", "end", "rollback", "abort"]);
    if !ends_transaction || statement.word_is(1, "prepared") || statement.contains_any(&["to"]) {
        return None;
    }
    if statement.word_is_any(0, &["commit", "end"]) {
        Some(Kind::Commit)
    } else {
        Some(Kind::Rollback)
    }
}

fn parameter_kind(statement: Tokens<'_>) -> Option<Kind> {
    if statement.word_is(0, "show") {
        return Some(Kind::Show {
            name: crate::set_statement::parameter_name(&statement.0[1..]),
        });
    }
    crate::set_statement::statement_kind(statement)
}
