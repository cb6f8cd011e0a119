//! Class of a statement text.

use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

use crate::Fingerprint;
use crate::scan::Scan;

/// Deepest nesting that the parser accepts; a deeper text counts as a write.
const DEPTH_MAX: usize = 50;

/// What ties a session to one target connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Binding {
    /// `LISTEN` and `UNLISTEN`.
    Listen,
    /// A temporary table, view or sequence.
    Temporary,
    /// A session advisory lock.
    Lock,
    /// A cursor `WITH HOLD`.
    Hold,
    /// `COPY`, which is not relayed yet.
    Copy,
    /// A parameter that the entry does not keep for the session.
    Parameter,
    /// `PREPARE`, `EXECUTE`, `DEALLOCATE` and `DISCARD` as statements.
    Prepared,
    /// `currval` and `lastval`; correct inside the transaction that drew the value.
    Sequence,
    /// `LOAD` of a library into the server process.
    Library,
}

/// Class of one statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Kind {
    /// No statement at all.
    Empty,
    /// Changes nothing; may run on a replica.
    Read,
    /// Anything that is not provably another kind.
    Write,
    /// Opens a transaction.
    Begin {
        /// The transaction is declared `READ ONLY`.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the whole transaction back.
    Rollback,
    /// Sets a parameter that the entry keeps for the session, or any parameter with `LOCAL`.
    Set {
        /// Parameter in lower case.
        name: String,
        /// Value without quotes; empty for `DEFAULT` and `RESET`.
        value: String,
        /// Ends with the transaction.
        local: bool,
    },
    /// Shows a parameter.
    Show {
        /// Parameter in lower case.
        name: String,
    },
    /// Needs a target connection of its own.
    SessionBound(Binding),
}

/// Class of a text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Class {
    /// Kind of the only statement, or the strictest of several: [`Kind::SessionBound`], then
    /// [`Kind::Write`], then [`Kind::Read`].
    pub kind: Kind,
    /// Each statement of a text that has several; empty otherwise.
    pub statements: Vec<Kind>,
    /// Shape of the text.
    pub fingerprint: Fingerprint,
}

/// Classifies a text as received from a caller.
#[must_use]
pub fn classify(text: &str) -> Class {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize() else {
        return Class {
            kind: Kind::Write,
            statements: Vec::new(),
            fingerprint: Fingerprint::of_text(text),
        };
    };
    let fingerprint = Fingerprint::of_tokens(&tokens);
    let mut statements = kinds(&tokens);
    let kind = match statements.len() {
        0 => Kind::Empty,
        1 => statements.remove(0),
        _ => strictest(&statements),
    };
    Class {
        kind,
        statements,
        fingerprint,
    }
}

fn kinds(tokens: &[Token]) -> Vec<Kind> {
    let tokens: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_) | Token::EOF))
        .collect();
    if Scan(&tokens).has_pair("begin", "atomic") {
        return vec![Kind::Write];
    }
    split(&tokens)
        .filter(|part| !part.is_empty())
        .map(|part| kind(Scan(part)))
        .collect()
}

/// Splits at semicolons outside parentheses; those inside belong to `CREATE RULE`.
fn split<'a>(tokens: &'a [&'a Token]) -> impl Iterator<Item = &'a [&'a Token]> {
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

fn strictest(statements: &[Kind]) -> Kind {
    let bound = statements
        .iter()
        .find(|kind| matches!(kind, Kind::SessionBound(_)));
    if let Some(bound) = bound {
        return bound.clone();
    }
    let reads = |kind: &Kind| matches!(kind, Kind::Read | Kind::Show { .. });
    if statements.iter().all(reads) {
        Kind::Read
    } else {
        Kind::Write
    }
}

fn kind(scan: Scan<'_>) -> Kind {
    if let Some(binding) = binding(scan) {
        return Kind::SessionBound(binding);
    }
    if scan.is_any(0, &["select", "values", "with"]) || scan.0[0] == &Token::LParen {
        return if scan.reads_only() && parses_as_query(scan) {
            Kind::Read
        } else {
            Kind::Write
        };
    }
    transaction(scan)
        .or_else(|| parameter(scan))
        .unwrap_or(Kind::Write)
}

fn parses_as_query(scan: Scan<'_>) -> bool {
    let tokens = scan.0.iter().map(|token| (*token).clone()).collect();
    let parsed = Parser::new(&PostgreSqlDialect {})
        .with_recursion_limit(DEPTH_MAX)
        .with_tokens(tokens)
        .parse_statements();
    matches!(parsed.as_deref(), Ok([Statement::Query(_)]))
}

fn binding(scan: Scan<'_>) -> Option<Binding> {
    let transaction = scan.is(1, "transaction");
    if scan.is_any(0, &["listen", "unlisten"]) {
        Some(Binding::Listen)
    } else if scan.is(0, "copy") {
        Some(Binding::Copy)
    } else if scan.is(0, "load") {
        Some(Binding::Library)
    } else if scan.is_any(0, &["execute", "deallocate", "discard"])
        || scan.is(0, "prepare") && !transaction
    {
        Some(Binding::Prepared)
    } else if creates_temporary(scan) {
        Some(Binding::Temporary)
    } else if scan.is(0, "declare") && scan.has_pair("with", "hold") {
        Some(Binding::Hold)
    } else {
        scan.binding_call()
    }
}

fn creates_temporary(scan: Scan<'_>) -> bool {
    const TEMPORARY: &[&str] = &["temp", "temporary"];
    let create = scan.is(0, "create") && (1..5).any(|at| scan.is_any(at, TEMPORARY));
    create || TEMPORARY.iter().any(|word| into_temporary(scan, word))
}

/// `SELECT ... INTO [LOCAL | GLOBAL] TEMP name`.
fn into_temporary(scan: Scan<'_>, word: &str) -> bool {
    scan.has_pair("into", word)
        || ["local", "global"]
            .iter()
            .any(|scope| scan.has_pair("into", scope) && scan.has_pair(scope, word))
}

fn transaction(scan: Scan<'_>) -> Option<Kind> {
    if scan.is(0, "begin") || scan.is(0, "start") && scan.is(1, "transaction") {
        return Some(Kind::Begin {
            read_only: scan.has_pair("read", "only") && !scan.has_pair("read", "write"),
        });
    }
    let ends = scan.is_any(0, &["commit", "end", "rollback", "abort"]);
    if !ends || scan.is(1, "prepared") || scan.has(&["to"]) {
        return None;
    }
    if scan.is_any(0, &["commit", "end"]) {
        Some(Kind::Commit)
    } else {
        Some(Kind::Rollback)
    }
}

fn parameter(scan: Scan<'_>) -> Option<Kind> {
    if scan.is(0, "show") {
        return Some(Kind::Show {
            name: crate::set::name(&scan.0[1..]),
        });
    }
    crate::set::kind(scan)
}
