//! Encoders for the messages that the entry sends itself. Complete messages are encoded by libraries;
//! only frames that carry parts of received frames are assembled here.

use bytes::{BufMut, BytesMut};
use pgwire::error::PgWireResult;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{Message as _, extendedquery, startup};
use postgres_protocol::message::frontend;

use crate::Status;

pub const PARSE_COMPLETE: &[u8] = b"1\0\0\0\x04";
pub const CLOSE_COMPLETE: &[u8] = b"3\0\0\0\x04";
/// CommandComplete of a SET.
pub const SET_COMPLETE: &[u8] = b"C\0\0\0\x08SET\0";
/// Name of the only SASL mechanism offered.
pub const SCRAM_SHA_256: &str = "SCRAM-SHA-256";
/// Object id of the type `text`.
const TEXT_OID: u32 = 25;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// The statement failed.
    Error,
    /// The connection ends.
    Fatal,
}

/// Encoding fails only above the library's size limits, which no message built here reaches.
fn check_encoded(result: PgWireResult<()>) {
    debug_assert!(result.is_ok(), "encoding failed: {result:?}");
}

/// Encodes an ErrorResponse. `code` is a SQLSTATE of five characters.
pub fn error_response(out: &mut BytesMut, severity: Severity, code: &str, message: &str) {
    let severity = match severity {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    let fields = [
        (b'S', severity),
        (b'V', severity),
        (b'C', code),
        (b'M', message),
    ];
    let fields = fields
        .map(|(field, text)| (field, text.to_owned()))
        .to_vec();
    check_encoded(ErrorResponse::new(fields).encode(out));
}

pub fn parameter_status(out: &mut BytesMut, name: &str, value: &str) {
    check_encoded(ParameterStatus::new(name.to_owned(), value.to_owned()).encode(out));
}

pub fn backend_key_data(out: &mut BytesMut, process_id: i32, secret_key: i32) {
    check_encoded(BackendKeyData::new(process_id, SecretKey::I32(secret_key)).encode(out));
}

pub fn auth_ok(out: &mut BytesMut) {
    check_encoded(Authentication::Ok.encode(out));
}

/// Encodes an AuthenticationSASL that offers SCRAM-SHA-256.
pub fn auth_sasl(out: &mut BytesMut) {
    check_encoded(Authentication::SASL(vec![SCRAM_SHA_256.to_owned()]).encode(out));
}

pub fn auth_sasl_continue(out: &mut BytesMut, data: &str) {
    check_encoded(Authentication::SASLContinue(data.to_owned().into()).encode(out));
}

pub fn auth_sasl_final(out: &mut BytesMut, data: &str) {
    check_encoded(Authentication::SASLFinal(data.to_owned().into()).encode(out));
}

/// Encodes a NegotiateProtocolVersion, the answer to a minor version or protocol options that are
/// not supported.
pub fn negotiate_protocol_version(out: &mut BytesMut, options: &[&str]) {
    let options = options.iter().map(|option| (*option).to_owned()).collect();
    check_encoded(startup::NegotiateProtocolVersion::new(0, options).encode(out));
}

pub fn ready_for_query(out: &mut BytesMut, status: Status) {
    let status = match status {
        Status::Idle => TransactionStatus::Idle,
        Status::Open => TransactionStatus::Transaction,
        Status::Failed => TransactionStatus::Error,
    };
    check_encoded(ReadyForQuery::new(status).encode(out));
}

pub fn command_complete(out: &mut BytesMut, tag: &str) {
    check_encoded(CommandComplete::new(tag.to_owned()).encode(out));
}

/// Encodes a RowDescription with one text column.
pub fn text_column(out: &mut BytesMut, name: &str) {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    check_encoded(RowDescription::new(vec![field]).encode(out));
}

/// Encodes a DataRow with one text value.
pub fn text_row(out: &mut BytesMut, value: &str) {
    let mut data = BytesMut::with_capacity(value.len() + 4);
    data.put_i32(i32::try_from(value.len()).unwrap_or(i32::MAX));
    data.put_slice(value.as_bytes());
    check_encoded(DataRow::new(data, 1).encode(out));
}

pub fn no_data(out: &mut BytesMut) {
    check_encoded(NoData::new().encode(out));
}

pub fn bind_complete(out: &mut BytesMut) {
    check_encoded(extendedquery::BindComplete::new().encode(out));
}

/// Encodes a ParameterDescription without parameters.
pub fn no_parameters(out: &mut BytesMut) {
    check_encoded(ParameterDescription::new(Vec::new()).encode(out));
}

/// Encodes a StartupMessage.
///
/// # Errors
/// Fails if a name or value contains a zero byte.
pub fn startup_message(out: &mut BytesMut, parameters: &[(&str, &str)]) -> std::io::Result<()> {
    frontend::startup_message(parameters.iter().copied(), out)
}

pub fn cancel_request(out: &mut BytesMut, process_id: i32, secret_key: i32) {
    frontend::cancel_request(process_id, secret_key, out);
}

/// Encodes a Query. `text` must not contain a zero byte.
pub fn query(out: &mut BytesMut, text: &[u8]) {
    put_frame(out, b'Q', &[text, b"\0"]);
}

pub fn sync(out: &mut BytesMut) {
    frontend::sync(out);
}

pub fn terminate(out: &mut BytesMut) {
    frontend::terminate(out);
}

/// Encodes a Parse. `types` are the count and object ids of the parameter types, as encoded.
pub fn parse(out: &mut BytesMut, name: &[u8], text: &[u8], types: &[u8]) {
    put_frame(out, b'P', &[name, b"\0", text, b"\0", types]);
}

/// Encodes a Bind. `values` are parameter formats, parameter values and result formats, as encoded.
pub fn bind(out: &mut BytesMut, portal: &[u8], statement: &[u8], values: &[u8]) {
    put_frame(out, b'B', &[portal, b"\0", statement, b"\0", values]);
}

pub fn describe_statement(out: &mut BytesMut, name: &[u8]) {
    put_frame(out, b'D', &[b"S", name, b"\0"]);
}

pub fn close_statement(out: &mut BytesMut, name: &[u8]) {
    put_frame(out, b'C', &[b"S", name, b"\0"]);
}

/// Assembles a frame from parts of received frames, whose sizes the reader has limited.
fn put_frame(out: &mut BytesMut, tag: u8, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.reserve(1 + length);
    out.put_u8(tag);
    out.put_i32(i32::try_from(length).unwrap_or(i32::MAX));
    for part in parts {
        out.put_slice(part);
    }
}
