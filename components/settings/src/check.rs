//! Rules across fields, applied to a document that may violate the schema.
//!
//! Values that are absent or of the wrong type are skipped here; the schema check reports them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;

use crate::file::Ports;
use crate::finding::Findings;
use crate::schema::Invalid;

/// A document with the findings of its check.
#[derive(Debug)]
pub struct Check<'a, 'f> {
    document: &'a Value,
    ports: Ports,
    findings: &'a mut Findings<'f>,
}

impl<'a, 'f> Check<'a, 'f> {
    pub(crate) fn new(document: &'a Value, ports: Ports, findings: &'a mut Findings<'f>) -> Self {
        Self {
            document,
            ports,
            findings,
        }
    }

    pub(crate) fn push(&mut self, path: impl Into<String>, text: impl Into<String>) {
        self.findings.push(path, text);
    }

    pub(crate) fn text(&self, path: &str) -> Option<&'a str> {
        self.document.pointer(path)?.as_str()
    }

    /// Paths of `field` in each item of the array at `path`; paths of the items if `field` is
    /// empty.
    pub(crate) fn item_paths(&self, path: &str, field: &str) -> Vec<String> {
        let items = self.document.pointer(path).and_then(Value::as_array);
        (0..items.map_or(0, Vec::len))
            .map(|index| format!("{path}/{index}{field}"))
            .collect()
    }

    /// Reports every value at `paths` that is not a socket address with an allowed port.
    pub(crate) fn require_addresses<P: AsRef<str>>(&mut self, paths: &[P]) {
        for path in paths.iter().map(AsRef::as_ref) {
            let Some(text) = self.text(path) else {
                continue;
            };
            match text.parse::<SocketAddr>() {
                Ok(address) if address.port() == 0 && self.ports == Ports::Fixed => {
                    self.push(
                        path,
                        "port 0 is not allowed: other processes could not reach the address",
                    );
                }
                Ok(_) => {}
                Err(_) => self.push(path, "is not an IP address with a port"),
            }
        }
    }

    /// Reports every value at `paths` that equals an earlier one. Addresses with port 0 may be
    /// equal, since the system picks the port.
    pub(crate) fn require_distinct<P: AsRef<str>>(&mut self, paths: &[P]) {
        let mut earlier = BTreeSet::new();
        for path in paths.iter().map(AsRef::as_ref) {
            let Some(value) = self.document.pointer(path) else {
                continue;
            };
            let any_port = value.as_str().is_some_and(|text| text.ends_with(":0"));
            if !any_port && !earlier.insert(value.to_string()) {
                self.push(path, "holds the same value as an earlier entry");
            }
        }
    }

    /// Reports every value at `paths` that is not base64, or does not decode to `length` bytes if
    /// given.
    pub(crate) fn require_base64<P: AsRef<str>>(&mut self, paths: &[P], length: Option<usize>) {
        for path in paths.iter().map(AsRef::as_ref) {
            let Some(text) = self.text(path) else {
                continue;
            };
            match (STANDARD.decode(text), length) {
                (Err(_), _) => self.push(path, "is not base64 with padding"),
                (Ok(bytes), Some(length)) if bytes.len() != length => {
                    let decoded = bytes.len();
                    self.push(
                        path,
                        format!("decodes to {decoded} bytes; {length} are required"),
                    );
                }
                (Ok(_), _) => {}
            }
        }
    }
}

/// Converts a raw value; the error names its path.
pub(crate) fn convert<R, T>(path: &str, raw: R) -> Result<T, Invalid>
where
    T: TryFrom<R>,
    T::Error: ToString,
{
    T::try_from(raw).map_err(|error| Invalid {
        path: path.to_owned(),
        text: error.to_string(),
    })
}

/// Parses an address; the error names its path.
pub(crate) fn parse_address(path: &str, raw: &str) -> Result<SocketAddr, Invalid> {
    raw.parse().map_err(|_| Invalid {
        path: path.to_owned(),
        text: "is not an IP address with a port".to_owned(),
    })
}

/// Decodes base64; the error names its path.
pub(crate) fn decode_base64(path: &str, raw: &str) -> Result<Vec<u8>, Invalid> {
    STANDARD.decode(raw).map_err(|_| Invalid {
        path: path.to_owned(),
        text: "is not base64 with padding".to_owned(),
    })
}
