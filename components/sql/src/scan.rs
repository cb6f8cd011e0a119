//! Rules over the tokens of one statement.
//!
//! Tokens rather than the syntax tree: a rule such as "no unknown word before a parenthesis" then
//! also holds for syntax that the parser places in a node nobody thought of.

use sqlparser::tokenizer::{Token, Word};

use crate::class::Binding;
use crate::function;

/// Unquoted keywords after which a parenthesis opens no function call. All are reserved or
/// otherwise unusable as function names in PostgreSQL.
const BEFORE_PARENTHESIS: &[&str] = &[
    "all",
    "and",
    "any",
    "array",
    "as",
    "between",
    "case",
    "distinct",
    "else",
    "except",
    "exists",
    "from",
    "group",
    "having",
    "in",
    "intersect",
    "lateral",
    "limit",
    "not",
    "offset",
    "on",
    "or",
    "row",
    "select",
    "some",
    "then",
    "union",
    "using",
    "values",
    "when",
    "where",
];

/// Keywords that may be function names, with the words that must come before them to be syntax.
const AFTER: &[(&str, &[&str])] = &[
    ("bernoulli", &["tablesample"]),
    ("by", &["group", "order", "partition"]),
    ("cube", &["by"]),
    ("materialized", &["as", "not"]),
    ("rollup", &["by"]),
    ("sets", &["grouping"]),
    ("system", &["tablesample"]),
];

/// Tokens of one statement without white space and comments.
#[derive(Clone, Copy)]
pub(crate) struct Scan<'a>(pub(crate) &'a [&'a Token]);

impl<'a> Scan<'a> {
    /// The unquoted word at `at` equals the lower-case `word`.
    pub(crate) fn is(self, at: usize, word: &str) -> bool {
        self.word(at)
            .is_some_and(|w| w.quote_style.is_none() && w.value.eq_ignore_ascii_case(word))
    }

    /// The unquoted word at `at` is one of `words`.
    pub(crate) fn is_any(self, at: usize, words: &[&str]) -> bool {
        words.iter().any(|word| self.is(at, word))
    }

    /// Any unquoted word equals one of `words`.
    pub(crate) fn has(self, words: &[&str]) -> bool {
        (0..self.0.len()).any(|at| self.is_any(at, words))
    }

    /// The unquoted words `first` and `second` follow each other somewhere.
    pub(crate) fn has_pair(self, first: &str, second: &str) -> bool {
        (0..self.0.len()).any(|at| self.is(at, first) && self.is(at + 1, second))
    }

    fn word(self, at: usize) -> Option<&'a Word> {
        match self.0.get(at)? {
            Token::Word(word) => Some(word),
            _ => None,
        }
    }

    fn opens(self, at: usize) -> bool {
        matches!(self.0.get(at), Some(Token::LParen))
    }

    fn before(self, at: usize) -> Option<&'a Token> {
        at.checked_sub(1).and_then(|at| self.0.get(at)).copied()
    }

    /// No token of the statement may change data, take a lock or call an unknown function.
    pub(crate) fn reads_only(self) -> bool {
        !self.has(&["insert", "update", "delete", "merge", "into"])
            && !self.locks()
            && !self.has_custom_operator()
            && (0..self.0.len()).all(|at| !self.opens(at + 1) || self.harmless_call(at))
    }

    fn locks(self) -> bool {
        (0..self.0.len())
            .any(|at| self.is(at, "for") && self.is_any(at + 1, &["update", "no", "share", "key"]))
    }

    fn has_custom_operator(self) -> bool {
        self.0
            .iter()
            .any(|token| matches!(token, Token::CustomBinaryOperator(_)))
    }

    /// The token at `at`, which a parenthesis follows, calls nothing or a known read-only function.
    fn harmless_call(self, at: usize) -> bool {
        let Some(word) = self.word(at) else {
            return true;
        };
        if self.names_no_function(at) {
            return true;
        }
        let qualified = matches!(self.before(at), Some(Token::Period));
        if qualified && !self.in_catalog(at) {
            return false;
        }
        function::is_read_only(word)
    }

    /// Keywords, types after `::`, and the column lists of aliases and of the first CTE.
    fn names_no_function(self, at: usize) -> bool {
        match self.before(at) {
            Some(Token::DoubleColon) => return true,
            // Behind a schema even a reserved word names a function.
            Some(Token::Period) => return false,
            _ => {}
        }
        let previous = at.checked_sub(1);
        let after = |words: &[&str]| previous.is_some_and(|at| self.is_any(at, words));
        if after(&["as", "with", "recursive"]) {
            return true;
        }
        self.is_any(at, BEFORE_PARENTHESIS)
            || self.clause_of_call(at)
            || self.joins_query(at)
            || self.names_query(at)
            || AFTER
                .iter()
                .any(|(keyword, words)| self.is(at, keyword) && after(words))
    }

    /// `JOIN (SELECT`; a call of a function named `join` cannot continue like this.
    fn joins_query(self, at: usize) -> bool {
        self.is(at, "join") && self.is_any(at + 2, &["select", "values", "with"])
    }

    /// `name (column, ...) AS (SELECT` of a CTE. `SELECT` is reserved, so that the second list is
    /// not that of the column definitions which may follow a call.
    fn names_query(self, at: usize) -> bool {
        let Some(close) = self.close(at + 1) else {
            return false;
        };
        let (mut open, list) = (close + 2, at + 2..close);
        while self.is_any(open, &["not", "materialized"]) {
            open += 1;
        }
        let plain = |at: usize| matches!(self.0[at], Token::Word(_) | Token::Comma);
        self.is(close + 1, "as")
            && self.opens(open)
            && self.is_any(open + 1, &["select", "values", "with"])
            && list.into_iter().all(plain)
    }

    /// The parenthesis that closes the one at `open`.
    fn close(self, open: usize) -> Option<usize> {
        let mut depth = 0_usize;
        for at in open..self.0.len() {
            match self.0[at] {
                Token::LParen => depth += 1,
                Token::RParen => depth -= 1,
                _ => {}
            }
            if depth == 0 {
                return Some(at);
            }
        }
        None
    }

    /// `OVER (` and `FILTER (` are syntax only directly after a closed call.
    fn clause_of_call(self, at: usize) -> bool {
        self.is_any(at, &["over", "filter"]) && matches!(self.before(at), Some(Token::RParen))
    }

    fn in_catalog(self, at: usize) -> bool {
        let schema = at.checked_sub(2);
        let outer = at.checked_sub(3).and_then(|at| self.0.get(at));
        schema.is_some_and(|at| self.is(at, "pg_catalog")) && !matches!(outer, Some(Token::Period))
    }

    /// A function called anywhere that ties its effect to the connection.
    pub(crate) fn binding_call(self) -> Option<Binding> {
        (0..self.0.len())
            .filter(|at| self.opens(at + 1))
            .find_map(|at| {
                let binding = function::binding(self.word(at)?)?;
                let local = binding == Binding::Parameter && self.last_argument_true(at + 1);
                (!local).then_some(binding)
            })
    }

    /// The call whose parenthesis opens at `open` ends in the literal `true`.
    fn last_argument_true(self, open: usize) -> bool {
        self.close(open).is_some_and(|close| {
            self.is(close - 1, "true") && matches!(self.0[close - 2], Token::Comma)
        })
    }
}
