//! Classification rules over the tokens of one statement.
//!
//! The rules examine tokens rather than the syntax tree, so that a rule such as "no unknown word
//! before a parenthesis" also holds for syntax that the parser puts into an unexpected node.

use sqlparser::tokenizer::{Token, Word};

use crate::classification::Binding;
use crate::function;

/// Unquoted keywords after which a parenthesis does not open a function call. All are reserved or
/// otherwise unusable as function names in PostgreSQL.
const NON_FUNCTION_KEYWORDS: &[&str] = &[
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

/// Keywords that may also be function names, with the words after which they are keywords.
const CONTEXTUAL_KEYWORDS: &[(&str, &[&str])] = &[
    ("bernoulli", &["tablesample"]),
    ("by", &["group", "order", "partition"]),
    ("cube", &["by"]),
    ("materialized", &["as", "not"]),
    ("rollup", &["by"]),
    ("sets", &["grouping"]),
    ("system", &["tablesample"]),
];

/// Tokens of one statement, without white space and comments.
#[derive(Clone, Copy)]
pub(crate) struct Tokens<'a>(pub(crate) &'a [&'a Token]);

impl<'a> Tokens<'a> {
    /// Whether the token at `index` is the unquoted word `word`, which must be in lower case.
    pub(crate) fn word_is(self, index: usize, word: &str) -> bool {
        self.word_at(index).is_some_and(|found| {
            found.quote_style.is_none() && found.value.eq_ignore_ascii_case(word)
        })
    }

    /// Whether the token at `index` is one of the unquoted words `words`.
    pub(crate) fn word_is_any(self, index: usize, words: &[&str]) -> bool {
        words.iter().any(|word| self.word_is(index, word))
    }

    /// Whether any token is one of the unquoted words `words`.
    pub(crate) fn contains_any(self, words: &[&str]) -> bool {
        (0..self.0.len()).any(|index| self.word_is_any(index, words))
    }

    /// Whether the unquoted word `second` directly follows `first` anywhere.
    pub(crate) fn contains_pair(self, first: &str, second: &str) -> bool {
        (0..self.0.len()).any(|index| self.word_is(index, first) && self.word_is(index + 1, second))
    }

    fn word_at(self, index: usize) -> Option<&'a Word> {
        match self.0.get(index)? {
            Token::Word(word) => Some(word),
            _ => None,
        }
    }

    fn is_opening_parenthesis(self, index: usize) -> bool {
        matches!(self.0.get(index), Some(Token::LParen))
    }

    fn token_before(self, index: usize) -> Option<&'a Token> {
        index
            .checked_sub(1)
            .and_then(|index| self.0.get(index))
            .copied()
    }

    /// Whether no token can change data, lock rows or call a function that is not known to be
    /// read-only.
    pub(crate) fn reads_only(self) -> bool {
        !self.contains_any(&["insert", "update", "delete", "merge", "into"])
            && !self.locks_rows()
            && !self.has_custom_operator()
            && (0..self.0.len()).all(|index| {
                !self.is_opening_parenthesis(index + 1) || self.is_harmless_call(index)
            })
    }

    fn locks_rows(self) -> bool {
        (0..self.0.len()).any(|index| {
            self.word_is(index, "for")
                && self.word_is_any(index + 1, &["update", "no", "share", "key"])
        })
    }

    fn has_custom_operator(self) -> bool {
        self.0
            .iter()
            .any(|token| matches!(token, Token::CustomBinaryOperator(_)))
    }

    /// Whether the token at `index`, which a parenthesis follows, calls no function or one that is
    /// known to be read-only.
    fn is_harmless_call(self, index: usize) -> bool {
        let Some(word) = self.word_at(index) else {
            return true;
        };
        if self.is_not_a_call(index) {
            return true;
        }
        let qualified = matches!(self.token_before(index), Some(Token::Period));
        if qualified && !self.is_in_pg_catalog(index) {
            return false;
        }
        function::is_read_only(word)
    }

    /// Whether the parenthesis after the token at `index` belongs to a keyword, to a type after `::`, or
    /// to the column list of an alias or a CTE.
    fn is_not_a_call(self, index: usize) -> bool {
        match self.token_before(index) {
            Some(Token::DoubleColon) => return true,
            // After a schema even a reserved word is a function name.
            Some(Token::Period) => return false,
            _ => {}
        }
        let previous = index.checked_sub(1);
        let follows = |words: &[&str]| previous.is_some_and(|index| self.word_is_any(index, words));
        if follows(&["as", "with", "recursive"]) {
            return true;
        }
        self.word_is_any(index, NON_FUNCTION_KEYWORDS)
            || self.is_clause_of_call(index)
            || self.is_join_of_query(index)
            || self.is_cte_name(index)
            || CONTEXTUAL_KEYWORDS
                .iter()
                .any(|(keyword, words)| self.word_is(index, keyword) && follows(words))
    }

    /// Whether the token starts `JOIN (SELECT`; a call of a function named `join` cannot continue like
    /// this.
    fn is_join_of_query(self, index: usize) -> bool {
        self.word_is(index, "join") && self.word_is_any(index + 2, &["select", "values", "with"])
    }

    /// Whether the token starts `name (column, ...) AS (SELECT` of a CTE. `SELECT` is reserved, so that
    /// the second parenthesis cannot contain the column definitions that may follow a call.
    fn is_cte_name(self, index: usize) -> bool {
        let Some(close) = self.closing_parenthesis(index + 1) else {
            return false;
        };
        let (mut query, columns) = (close + 2, index + 2..close);
        while self.word_is_any(query, &["not", "materialized"]) {
            query += 1;
        }
        let is_plain = |index: usize| matches!(self.0[index], Token::Word(_) | Token::Comma);
        self.word_is(close + 1, "as")
            && self.is_opening_parenthesis(query)
            && self.word_is_any(query + 1, &["select", "values", "with"])
            && columns.into_iter().all(is_plain)
    }

    /// Returns the index of the parenthesis that closes the one at `open`.
    fn closing_parenthesis(self, open: usize) -> Option<usize> {
        let mut depth = 0_usize;
        for index in open..self.0.len() {
            match self.0[index] {
                Token::LParen => depth += 1,
                Token::RParen => depth -= 1,
                _ => {}
            }
            if depth == 0 {
                return Some(index);
            }
        }
        None
    }

    /// Whether the token is the keyword of `OVER (` or `FILTER (`, which it is only directly after a
    /// call.
    fn is_clause_of_call(self, index: usize) -> bool {
        self.word_is_any(index, &["over", "filter"])
            && matches!(self.token_before(index), Some(Token::RParen))
    }

    fn is_in_pg_catalog(self, index: usize) -> bool {
        let schema = index.checked_sub(2);
        let before_schema = index.checked_sub(3).and_then(|index| self.0.get(index));
        schema.is_some_and(|index| self.word_is(index, "pg_catalog"))
            && !matches!(before_schema, Some(Token::Period))
    }

    /// Binding of the first called function that requires the session to keep its connection. A
    /// `set_config` whose last argument is `true` ends with the transaction and does not count.
    pub(crate) fn binding_of_calls(self) -> Option<Binding> {
        (0..self.0.len())
            .filter(|index| self.is_opening_parenthesis(index + 1))
            .find_map(|index| {
                let binding = function::binding(self.word_at(index)?)?;
                let local = binding == Binding::Parameter && self.last_argument_is_true(index + 1);
                (!local).then_some(binding)
            })
    }

    /// Whether the last argument of the call with the parenthesis at `open` is the literal `true`.
    fn last_argument_is_true(self, open: usize) -> bool {
        self.closing_parenthesis(open).is_some_and(|close| {
            self.word_is(close - 1, "true") && matches!(self.0[close - 2], Token::Comma)
        })
    }
}
