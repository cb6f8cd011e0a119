//! Fingerprints of statement shapes.

use std::fmt::{self, Write as _};
use std::hash::{BuildHasher, Hasher};

use ahash::{AHasher, RandomState};
use sqlparser::tokenizer::Token;

/// Fixed keys, so that equal shapes have equal fingerprints in all processes of one build.
const HASH_KEYS: [u64; 4] = [
    0x9e37_79b9_7f4a_7c15,
    0xbf58_476d_1ce4_e5b9,
    0x94d0_49bb_1331_11eb,
    0x2545_f491_4f6c_dd1d,
];

/// Hash of a statement text that ignores the values of literals and parameters, comments, white space
/// and letter case.
///
/// A list of literals counts as one literal, so that lists of different lengths share a shape.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

/// Hashes tokens and collapses lists of literals.
struct Normalizer {
    hasher: AHasher,
    /// Whether the last token was a literal, or a comma after one.
    after_literal: bool,
    /// Whether a comma after a literal has not been hashed yet.
    pending_comma: bool,
}

impl Fingerprint {
    pub(crate) fn of_tokens(tokens: &[Token]) -> Self {
        let mut normalizer = Normalizer {
            hasher: hash_state().build_hasher(),
            after_literal: false,
            pending_comma: false,
        };
        for token in tokens {
            normalizer.add(token);
        }
        Self(normalizer.hasher.finish())
    }

    pub(crate) fn of_text(text: &str) -> Self {
        Self(hash(text))
    }
}

/// Hash of an unmodified text.
pub(crate) fn hash(text: &str) -> u64 {
    hash_state().hash_one(text)
}

fn hash_state() -> RandomState {
    let [a, b, c, d] = HASH_KEYS;
    RandomState::with_seeds(a, b, c, d)
}

impl Normalizer {
    fn add(&mut self, token: &Token) {
        match token {
            Token::Whitespace(_) | Token::SemiColon | Token::EOF => {}
            Token::Comma if self.after_literal && !self.pending_comma => self.pending_comma = true,
            token if is_literal(token) => self.add_literal(),
            token => {
                if std::mem::take(&mut self.pending_comma) {
                    self.write_separated(b",");
                }
                self.after_literal = false;
                self.add_symbol_or_word(token);
            }
        }
    }

    fn add_literal(&mut self) {
        if !self.after_literal {
            self.write_separated(b"?");
        }
        self.after_literal = true;
        self.pending_comma = false;
    }

    fn add_symbol_or_word(&mut self, token: &Token) {
        match token {
            Token::Word(word) if word.quote_style.is_none() => {
                for byte in word.value.bytes() {
                    self.hasher.write_u8(byte.to_ascii_lowercase());
                }
                self.write_separated(b"");
            }
            // Writing to the hasher never fails.
            other => _ = write!(self, "{other}").map(|()| self.write_separated(b"")),
        }
    }

    /// Hashes `bytes` and a separator, so that adjacent tokens cannot be confused with a longer one.
    fn write_separated(&mut self, bytes: &[u8]) {
        self.hasher.write(bytes);
        self.hasher.write_u8(0);
    }
}

impl fmt::Write for Normalizer {
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
