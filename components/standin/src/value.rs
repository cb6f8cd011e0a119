//! SQL values, their types and their text and binary formats.

use std::cmp::Ordering;

use bytes::{BufMut, BytesMut};
use serde::{Deserialize, Serialize};
use types::Lsn;

use crate::failure::{Failure, Outcome, failure};

/// Types of columns, parameters and results.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Type {
    Bool,
    Int4,
    Int8,
    Float8,
    Text,
    Lsn,
    Void,
    /// Type of a literal or parameter that follows from its context.
    Unknown,
}

/// A value of any type; integers of both widths share one variant.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    Lsn(u64),
}

impl Type {
    pub(crate) fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Int8 => 20,
            Self::Int4 => 23,
            Self::Text | Self::Unknown => 25,
            Self::Float8 => 701,
            Self::Lsn => 3220,
            Self::Void => 2278,
        }
    }

    /// Type with an OID; `Unknown` for 0 and for types that are not supported.
    pub(crate) fn from_oid(oid: u32) -> Self {
        match oid {
            16 => Self::Bool,
            20 => Self::Int8,
            21 | 23 => Self::Int4,
            25 | 1042 | 1043 => Self::Text,
            700 | 701 => Self::Float8,
            3220 => Self::Lsn,
            _ => Self::Unknown,
        }
    }

    /// Size in a row description: bytes, or -1 if variable.
    pub(crate) fn size(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int4 | Self::Void => 4,
            Self::Int8 | Self::Float8 | Self::Lsn => 8,
            Self::Text | Self::Unknown => -1,
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Bool => "boolean",
            Self::Int4 => "integer",
            Self::Int8 => "bigint",
            Self::Float8 => "double precision",
            Self::Text | Self::Unknown => "text",
            Self::Lsn => "pg_lsn",
            Self::Void => "void",
        }
    }

    /// Decodes the text format.
    pub(crate) fn parse(self, raw: &str) -> Outcome<Value> {
        let invalid = || {
            let text = format!("invalid input syntax for type {}: \"{raw}\"", self.name());
            Failure::new("22P02", text)
        };
        let trimmed = raw.trim();
        Ok(match self {
            Self::Bool => match trimmed.to_ascii_lowercase().as_str() {
                "t" | "true" | "on" | "yes" | "1" => Value::Bool(true),
                "f" | "false" | "off" | "no" | "0" => Value::Bool(false),
                _ => return Err(invalid()),
            },
            Self::Int4 => {
                let parsed: i64 = trimmed.parse().map_err(|_| invalid())?;
                return Value::Int(parsed).cast(self);
            }
            Self::Int8 => Value::Int(trimmed.parse().map_err(|_| invalid())?),
            Self::Float8 => Value::Float(trimmed.parse().map_err(|_| invalid())?),
            Self::Lsn => Value::Lsn(Lsn::try_from(trimmed).map_err(|_| invalid())?.0),
            Self::Text | Self::Unknown | Self::Void => Value::Text(raw.to_owned()),
        })
    }

    /// Decodes the binary format.
    pub(crate) fn decode(self, raw: &[u8]) -> Outcome<Value> {
        let invalid = || Failure::new("22P03", "incorrect binary data format");
        Ok(match (self, raw.len()) {
            (Self::Bool, 1) => Value::Bool(raw[0] != 0),
            (Self::Int4 | Self::Int8, 2) => Value::Int(i16::from_be_bytes(to_array(raw)).into()),
            (Self::Int4 | Self::Int8, 4) => Value::Int(i32::from_be_bytes(to_array(raw)).into()),
            (Self::Int8, 8) => Value::Int(i64::from_be_bytes(to_array(raw))),
            (Self::Float8, 4) => Value::Float(f32::from_be_bytes(to_array(raw)).into()),
            (Self::Float8, 8) => Value::Float(f64::from_be_bytes(to_array(raw))),
            (Self::Lsn, 8) => Value::Lsn(u64::from_be_bytes(to_array(raw))),
            (Self::Text | Self::Unknown, _) => {
                let text = std::str::from_utf8(raw).map_err(|_| invalid())?;
                Value::Text(text.to_owned())
            }
            _ => return Err(invalid()),
        })
    }
}

/// Copies a slice into an array; the caller has checked its length.
fn to_array<const N: usize>(raw: &[u8]) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(raw);
    out
}

impl Value {
    /// Type of the value as a literal.
    pub(crate) fn kind(&self) -> Type {
        match self {
            Self::Null => Type::Unknown,
            Self::Bool(_) => Type::Bool,
            Self::Int(n) if i32::try_from(*n).is_ok() => Type::Int4,
            Self::Int(_) => Type::Int8,
            Self::Float(_) => Type::Float8,
            Self::Text(_) => Type::Text,
            Self::Lsn(_) => Type::Lsn,
        }
    }

    pub(crate) fn is_null(&self) -> bool {
        matches!(self, Self::Null)
    }

    /// Converts the value like an assignment or a `::` cast.
    pub(crate) fn cast(self, to: Type) -> Outcome<Self> {
        Ok(match (self, to) {
            (Self::Null, _) => Self::Null,
            (Self::Int(n), Type::Int4) if i32::try_from(n).is_err() => {
                return failure("22003", "integer out of range");
            }
            (value @ Self::Int(_), Type::Int4 | Type::Int8)
            | (value @ Self::Bool(_), Type::Bool)
            | (value @ Self::Float(_), Type::Float8)
            | (value @ Self::Lsn(_), Type::Lsn)
            | (value, Type::Unknown | Type::Void) => value,
            (Self::Int(n), Type::Float8) => Self::Float(n as f64),
            (Self::Int(n), Type::Bool) => Self::Bool(n != 0),
            (Self::Bool(b), Type::Int4) => Self::Int(b.into()),
            (Self::Float(x), Type::Int4 | Type::Int8) => {
                return Self::Int(x.round_ties_even() as i64).cast(to);
            }
            (Self::Text(text), to) => return to.parse(&text),
            (value, Type::Text) => Self::Text(value.text()),
            (value, to) => {
                let text = format!("cannot cast type {} to {}", value.kind().name(), to.name());
                return failure("42846", text);
            }
        })
    }

    /// Text format; empty for null, which callers handle separately.
    pub(crate) fn text(&self) -> String {
        match self {
            Self::Null => String::new(),
            Self::Bool(b) => if *b { "t" } else { "f" }.to_owned(),
            Self::Int(n) => n.to_string(),
            Self::Float(x) => x.to_string(),
            Self::Text(text) => text.clone(),
            Self::Lsn(lsn) => Lsn(*lsn).to_string(),
        }
    }

    /// Appends length and content in the format of a DataRow.
    pub(crate) fn encode(&self, kind: Type, binary: bool, out: &mut BytesMut) {
        match (self, kind) {
            (Self::Null, _) => out.put_i32(-1),
            (Self::Text(text), _) => put_with_length(out, text.as_bytes()),
            (value, _) if !binary => put_with_length(out, value.text().as_bytes()),
            (Self::Bool(b), _) => put_with_length(out, &[u8::from(*b)]),
            (Self::Int(n), Type::Int4) => put_with_length(out, &(*n as i32).to_be_bytes()),
            (Self::Int(n), Type::Float8) => put_with_length(out, &(*n as f64).to_be_bytes()),
            (Self::Int(n), _) => put_with_length(out, &n.to_be_bytes()),
            (Self::Float(x), _) => put_with_length(out, &x.to_be_bytes()),
            (Self::Lsn(lsn), _) => put_with_length(out, &lsn.to_be_bytes()),
        }
    }

    /// Size in a log record, in bytes.
    pub(crate) fn size(&self) -> u64 {
        match self {
            Self::Null | Self::Bool(_) => 1,
            Self::Text(text) => 4 + text.len() as u64,
            Self::Int(_) | Self::Float(_) | Self::Lsn(_) => 8,
        }
    }

    /// Compares like `<` and `=`; `None` if one side is null.
    pub(crate) fn compare(&self, other: &Self) -> Outcome<Option<Ordering>> {
        Ok(Some(match (self, other) {
            (Self::Null, _) | (_, Self::Null) => return Ok(None),
            (Self::Text(_), Self::Text(_)) => self.cmp(other),
            // A literal without a type takes the type of the other operand.
            (Self::Text(text), typed) => typed.literal_type().parse(text)?.cmp(typed),
            (typed, Self::Text(text)) => typed.cmp(&typed.literal_type().parse(text)?),
            (Self::Int(n), Self::Float(x)) => (*n as f64).total_cmp(x),
            (Self::Float(x), Self::Int(n)) => x.total_cmp(&(*n as f64)),
            (a, b) if a.sort_rank() == b.sort_rank() => a.cmp(b),
            (a, b) => {
                let (a, b) = (a.kind().name(), b.kind().name());
                return failure("42883", format!("operator does not exist: {a} = {b}"));
            }
        }))
    }

    /// Type whose text format a literal is parsed as when it is compared with the value.
    fn literal_type(&self) -> Type {
        match self {
            Self::Int(_) => Type::Int8,
            other => other.kind(),
        }
    }

    fn sort_rank(&self) -> u8 {
        match self {
            Self::Bool(_) => 0,
            Self::Int(_) => 1,
            Self::Float(_) => 2,
            Self::Text(_) => 3,
            Self::Lsn(_) => 4,
            // Nulls sort last by default.
            Self::Null => 5,
        }
    }
}

fn put_with_length(out: &mut BytesMut, content: &[u8]) {
    out.put_i32(content.len() as i32);
    out.put_slice(content);
}

// Total order, so that values can be keys of ordered maps.
impl Ord for Value {
    fn cmp(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Bool(a), Self::Bool(b)) => a.cmp(b),
            (Self::Int(a), Self::Int(b)) => a.cmp(b),
            (Self::Float(a), Self::Float(b)) => a.total_cmp(b),
            (Self::Text(a), Self::Text(b)) => a.cmp(b),
            (Self::Lsn(a), Self::Lsn(b)) => a.cmp(b),
            _ => self.sort_rank().cmp(&other.sort_rank()),
        }
    }
}

impl PartialOrd for Value {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Value {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Value {}
