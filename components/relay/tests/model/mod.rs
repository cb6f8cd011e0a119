//! Model of a server with the parts of the protocol that an exchange depends on. The text of a
//! statement determines its effect, so that two servers answer the same requests alike.

use std::collections::BTreeMap;

use bytes::{BufMut as _, BytesMut};
use pg::{Frames, Message, Object, Severity, Status};

/// Statements that the server knows.
pub const STATEMENT_TEXTS: [&str; 7] = [
    "rows 0",
    "rows 2",
    "notice",
    "empty",
    "fail late",
    "bad",
    "begin",
];

/// The server's side of one connection.
#[derive(Debug, Default)]
pub struct Server {
    statements: BTreeMap<Vec<u8>, Vec<u8>>,
    portals: BTreeMap<Vec<u8>, Vec<u8>>,
    /// Whether an error occurred, so that all requests up to a Sync are skipped.
    skipping: bool,
    status: Status,
}

fn put_frame(out: &mut BytesMut, tag: u8, body: &[u8]) {
    out.put_u8(tag);
    out.put_i32(i32::try_from(body.len() + 4).unwrap());
    out.put_slice(body);
}

fn put_row(out: &mut BytesMut, values: &[&str]) {
    let mut body = BytesMut::new();
    body.put_i16(i16::try_from(values.len()).unwrap());
    for value in values {
        body.put_i32(i32::try_from(value.len()).unwrap());
        body.put_slice(value.as_bytes());
    }
    put_frame(out, b'D', &body);
}

impl Server {
    /// Answers `requests`, which must be complete frames.
    pub fn answer(&mut self, requests: &[u8], out: &mut BytesMut) {
        for request in Frames::new(requests, usize::MAX) {
            let message = Message::try_from(request.unwrap()).unwrap();
            if self.skipping && message != Message::Sync {
                continue;
            }
            if let Err(code) = self.handle(message, request.unwrap().body, out) {
                pg::error_response(out, Severity::Error, code, "refused");
                if self.status == Status::Open {
                    self.status = Status::Failed;
                }
                if matches!(message, Message::Query(_)) {
                    pg::ready_for_query(out, self.status);
                } else {
                    self.skipping = true;
                }
            }
        }
    }

    fn handle(
        &mut self,
        message: Message<'_>,
        body: &[u8],
        out: &mut BytesMut,
    ) -> Result<(), &'static str> {
        match message {
            Message::Query(text) => {
                self.statements.remove(&b""[..]);
                self.portals.remove(&b""[..]);
                if text == b"bad" {
                    return Err("42601");
                }
                if text != b"empty" {
                    pg::text_column(out, "c");
                }
                self.execute(text, out)?;
                pg::ready_for_query(out, self.status);
            }
            Message::Parse { name, text, .. } => {
                if name.is_empty() {
                    self.statements.remove(name);
                }
                if text == b"bad" {
                    return Err("42601");
                }
                if self.statements.contains_key(name) {
                    return Err("42P05");
                }
                self.statements.insert(name.to_vec(), text.to_vec());
                put_frame(out, b'1', b"");
            }
            Message::Bind {
                portal, statement, ..
            } => {
                let text = self.statements.get(statement).ok_or("26000")?.clone();
                if !portal.is_empty() && self.portals.contains_key(portal) {
                    return Err("42P03");
                }
                self.portals.insert(portal.to_vec(), text);
                put_frame(out, b'2', b"");
            }
            Message::Describe(Object::Statement, name) => {
                let text = self.statements.get(name).ok_or("26000")?.clone();
                pg::no_parameters(out);
                put_description(&text, out);
            }
            Message::Describe(Object::Portal, name) => {
                put_description(self.portals.get(name).ok_or("34000")?, out);
            }
            Message::Execute => {
                let name = body.split(|byte| *byte == 0).next().unwrap();
                let text = self.portals.get(name).ok_or("34000")?.clone();
                self.execute(&text, out)?;
            }
            Message::Close(kind, name) => {
                match kind {
                    Object::Statement => self.statements.remove(name),
                    Object::Portal => self.portals.remove(name),
                };
                put_frame(out, b'3', b"");
            }
            Message::Sync => {
                self.skipping = false;
                if self.status == Status::Idle {
                    self.portals.clear();
                }
                pg::ready_for_query(out, self.status);
            }
            Message::Flush => {}
            Message::Copy | Message::Terminate => unreachable!(),
        }
        Ok(())
    }

    fn execute(&mut self, text: &[u8], out: &mut BytesMut) -> Result<(), &'static str> {
        match text {
            b"rows 0" => {}
            b"rows 2" => (0..2).for_each(|_| put_row(out, &["value"])),
            b"notice" => {
                put_frame(out, b'N', b"SNOTICE\0C00000\0Mtext\0\0");
                pg::parameter_status(out, "TimeZone", "UTC");
            }
            b"empty" => {
                put_frame(out, b'I', b"");
                return Ok(());
            }
            b"fail late" => {
                put_row(out, &["value"]);
                return Err("22012");
            }
            b"begin" => self.status = Status::Open,
            b"commit" => self.status = Status::Idle,
            text if text.starts_with(b"SELECT pg_is_in_recovery()") => {
                put_row(out, &["f", "1", "0/10"]);
            }
            text if text.starts_with(b"SET ") => {}
            _ => unreachable!(),
        }
        pg::command_complete(out, "DONE");
        Ok(())
    }
}

fn put_description(text: &[u8], out: &mut BytesMut) {
    if text == b"rows 2" || text == b"fail late" {
        pg::text_column(out, "c");
    } else {
        pg::no_data(out);
    }
}
