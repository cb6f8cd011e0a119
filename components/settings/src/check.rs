//! Rules across fields, applied to a document that may break the schema.
//!
//! A value that is absent or of the wrong type is skipped here: the schema reports it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;

use crate::file::Ports;
use crate::finding::Findings;
use crate::schema::Invalid;

/// A document under check.
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

    /// Paths of `field` in each item of the array at `path`; of the items themselves if it is empty.
    pub(crate) fn items(&self, path: &str, field: &str) -> Vec<String> {
        let items = self.document.pointer(path).and_then(Value::as_array);
        (0..items.map_or(0, Vec::len))
            .map(|index| format!("{path}/{index}{field}"))
            .collect()
    }

    /// Each path that is there holds an address with an allowed port.
    pub(crate) fn addresses<P: AsRef<str>>(&mut self, paths: &[P]) {
        for path in paths.iter().map(AsRef::as_ref) {
            let Some(text) = self.text(path) else {
                continue;
            };
            match text.parse::<SocketAddr>() {
                Ok(address) if address.port() == 0 && self.ports == Ports::Fixed => {
                    self.push(path, "port 0 names no address that others could reach");
                }
                Ok(_) => {}
                Err(_) => self.push(path, "is no IP address with a port"),
            }
        }
    }

    /// No two of the paths hold the same value. Addresses with port 0 never clash.
    pub(crate) fn distinct<P: AsRef<str>>(&mut self, paths: &[P]) {
        let mut seen = BTreeSet::new();
        for path in paths.iter().map(AsRef::as_ref) {
            let Some(value) = self.document.pointer(path) else {
                continue;
            };
            let free = value.as_str().is_some_and(|text| text.ends_with(":0"));
            if !free && !seen.insert(value.to_string()) {
                self.push(path, "holds the same value as an earlier entry");
            }
        }
    }

    /// Each path that is there holds base64, of `length` bytes if that is given.
    pub(crate) fn base64<P: AsRef<str>>(&mut self, paths: &[P], length: Option<usize>) {
        for path in paths.iter().map(AsRef::as_ref) {
            let Some(text) = self.text(path) else {
                continue;
            };
            match (STANDARD.decode(text), length) {
                (Err(_), _) => self.push(path, "is no base64 with padding"),
                (Ok(bytes), Some(length)) if bytes.len() != length => {
                    let found = bytes.len();
                    self.push(path, format!("holds {found} bytes in place of {length}"));
                }
                (Ok(_), _) => {}
            }
        }
    }
}

/// Converts a raw value, with the path it came from in the error.
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

/// Parses an address, with the path it came from in the error.
pub(crate) fn address(path: &str, raw: &str) -> Result<SocketAddr, Invalid> {
    raw.parse().map_err(|_| Invalid {
        path: path.to_owned(),
        text: "is no IP address with a port".to_owned(),
    })
}

/// Decodes base64, with the path it came from in the error.
pub(crate) fn bytes(path: &str, raw: &str) -> Result<Vec<u8>, Invalid> {
    STANDARD.decode(raw).map_err(|_| Invalid {
        path: path.to_owned(),
        text: "is no base64 with padding".to_owned(),
    })
}
