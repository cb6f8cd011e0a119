//! Fingerprint of a statement's shape.

use std::fmt::{self, Write as _};
use std::hash::{BuildHasher, Hasher};

use ahash::{AHasher, RandomState};
use sqlparser::tokenizer::Token;

/// Fixed keys, so that equal shapes have equal fingerprints in every run of one build.
const KEYS: [u64; 4] = [
    0x9e37_79b9_7f4a_7c15,
    0xbf58_476d_1ce4_e5b9,
    0x94d0_49bb_1331_11eb,
    0x2545_f491_4f6c_dd1d,
];

/// Hash of a text without literals, parameters, comments, white space and letter case.
///
/// Runs of literals count as one, so that lists of different lengths share a shape.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

/// State of the hash, with the rule that collapses lists of literals.
struct Shape {
    hasher: AHasher,
    literal: bool,
    comma: bool,
}

impl Fingerprint {
    pub(crate) fn of_tokens(tokens: &[Token]) -> Self {
        let mut shape = Shape {
            hasher: state().build_hasher(),
            literal: false,
            comma: false,
        };
        for token in tokens {
            shape.add(token);
        }
        Self(shape.hasher.finish())
    }

    pub(crate) fn of_text(text: &str) -> Self {
        Self(hash(text))
    }
}

/// Hash of a whole text.
pub(crate) fn hash(text: &str) -> u64 {
    state().hash_one(text)
}

fn state() -> RandomState {
    let [a, b, c, d] = KEYS;
    RandomState::with_seeds(a, b, c, d)
}

impl Shape {
    fn add(&mut self, token: &Token) {
        match token {
            Token::Whitespace(_) | Token::SemiColon | Token::EOF => {}
            Token::Comma if self.literal && !self.comma => self.comma = true,
            token if is_literal(token) => self.add_literal(),
            token => {
                if std::mem::take(&mut self.comma) {
                    self.put(b",");
                }
                self.literal = false;
                self.add_other(token);
            }
        }
    }

    fn add_literal(&mut self) {
        if !self.literal {
            self.put(b"?");
        }
        self.literal = true;
        self.comma = false;
    }

    fn add_other(&mut self, token: &Token) {
        match token {
            Token::Word(word) if word.quote_style.is_none() => {
                for byte in word.value.bytes() {
                    self.hasher.write_u8(byte.to_ascii_lowercase());
                }
                self.put(b"");
            }
            // The adapter never fails.
            other => _ = write!(self, "{other}").map(|()| self.put(b"")),
        }
    }

    /// Hashes `bytes` and a separator, so that neighbouring tokens cannot run together.
    fn put(&mut self, bytes: &[u8]) {
        self.hasher.write(bytes);
        self.hasher.write_u8(0);
    }
}

impl fmt::Write for Shape {
    fn write_str(&mut self, s: &str) -> fmt::Result {
        self.hasher.write(s.as_bytes());
        Ok(())
    }
}

fn is_literal(token: &Token) -> bool {
    matches!(
        token,
        Token::Number(..)
            | Token::Placeholder(_)
            | Token::SingleQuotedString(_)
            | Token::DollarQuotedString(_)
            | Token::EscapedStringLiteral(_)
            | Token::NationalStringLiteral(_)
            | Token::UnicodeStringLiteral(_)
            | Token::HexStringLiteral(_)
            | Token::SingleQuotedByteStringLiteral(_)
    )
}
