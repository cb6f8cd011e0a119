//! Messages that the entry makes itself. Whole messages are encoded by libraries; only frames that
//! carry parts of other frames are put together here.

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

/// A ParseComplete.
pub const PARSE_COMPLETE: &[u8] = b"1\0\0\0\x04";
/// A CloseComplete.
pub const CLOSE_COMPLETE: &[u8] = b"3\0\0\0\x04";
/// CommandComplete of a SET.
pub const SET_COMPLETE: &[u8] = b"C\0\0\0\x08SET\0";
/// Name of the only SASL mechanism that is offered.
pub const SCRAM_SHA_256: &str = "SCRAM-SHA-256";
/// Type id of `text` in row descriptions.
const TEXT_OID: u32 = 25;

/// Weight of an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// The statement failed.
    Error,
    /// The connection ends.
    Fatal,
}

/// Every message built here is far below the library's size limits, which are the only failure.
fn put(result: PgWireResult<()>) {
    debug_assert!(result.is_ok(), "encode: {result:?}");
}

/// ErrorResponse with a five-character SQLSTATE.
pub fn error(out: &mut BytesMut, severity: Severity, code: &str, message: &str) {
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
    put(ErrorResponse::new(fields).encode(out));
}

/// ParameterStatus.
pub fn parameter(out: &mut BytesMut, name: &str, value: &str) {
    put(ParameterStatus::new(name.to_owned(), value.to_owned()).encode(out));
}

/// BackendKeyData.
pub fn key(out: &mut BytesMut, process: i32, secret: i32) {
    put(BackendKeyData::new(process, SecretKey::I32(secret)).encode(out));
}

/// AuthenticationOk.
pub fn auth_ok(out: &mut BytesMut) {
    put(Authentication::Ok.encode(out));
}

/// AuthenticationSASL that offers SCRAM-SHA-256.
pub fn auth_sasl(out: &mut BytesMut) {
    put(Authentication::SASL(vec![SCRAM_SHA_256.to_owned()]).encode(out));
}

/// AuthenticationSASLContinue.
pub fn auth_continue(out: &mut BytesMut, data: &str) {
    put(Authentication::SASLContinue(data.to_owned().into()).encode(out));
}

/// AuthenticationSASLFinal.
pub fn auth_final(out: &mut BytesMut, data: &str) {
    put(Authentication::SASLFinal(data.to_owned().into()).encode(out));
}

/// NegotiateProtocolVersion, for a minor version or protocol options that are not supported.
pub fn negotiate(out: &mut BytesMut, options: &[&str]) {
    let options = options.iter().map(|option| (*option).to_owned()).collect();
    put(startup::NegotiateProtocolVersion::new(0, options).encode(out));
}

/// ReadyForQuery.
pub fn ready(out: &mut BytesMut, status: Status) {
    let status = match status {
        Status::Idle => TransactionStatus::Idle,
        Status::Open => TransactionStatus::Transaction,
        Status::Failed => TransactionStatus::Error,
    };
    put(ReadyForQuery::new(status).encode(out));
}

/// CommandComplete.
pub fn complete(out: &mut BytesMut, tag: &str) {
    put(CommandComplete::new(tag.to_owned()).encode(out));
}

/// RowDescription of one text column.
pub fn text_column(out: &mut BytesMut, name: &str) {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    put(RowDescription::new(vec![field]).encode(out));
}

/// DataRow of one text value.
pub fn text_row(out: &mut BytesMut, value: &str) {
    let mut data = BytesMut::with_capacity(value.len() + 4);
    data.put_i32(i32::try_from(value.len()).unwrap_or(i32::MAX));
    data.put_slice(value.as_bytes());
    put(DataRow::new(data, 1).encode(out));
}

/// NoData.
pub fn no_data(out: &mut BytesMut) {
    put(NoData::new().encode(out));
}

/// BindComplete.
pub fn bind_complete(out: &mut BytesMut) {
    put(extendedquery::BindComplete::new().encode(out));
}

/// ParameterDescription without parameters.
pub fn no_parameters(out: &mut BytesMut) {
    put(ParameterDescription::new(Vec::new()).encode(out));
}

/// StartupMessage.
///
/// # Errors
/// Fails if a text holds a zero byte.
pub fn start(out: &mut BytesMut, parameters: &[(&str, &str)]) -> std::io::Result<()> {
    frontend::startup_message(parameters.iter().copied(), out)
}

/// CancelRequest.
pub fn cancel(out: &mut BytesMut, process: i32, secret: i32) {
    frontend::cancel_request(process, secret, out);
}

/// Query with a text that holds no zero byte.
pub fn query(out: &mut BytesMut, text: &[u8]) {
    frame(out, b'Q', &[text, b"\0"]);
}

/// Sync.
pub fn sync(out: &mut BytesMut) {
    frontend::sync(out);
}

/// Terminate.
pub fn terminate(out: &mut BytesMut) {
    frontend::terminate(out);
}

/// Parse with encoded parameter types.
pub fn parse(out: &mut BytesMut, name: &[u8], text: &[u8], types: &[u8]) {
    frame(out, b'P', &[name, b"\0", text, b"\0", types]);
}

/// Bind with encoded formats and parameters.
pub fn bind(out: &mut BytesMut, portal: &[u8], statement: &[u8], rest: &[u8]) {
    frame(out, b'B', &[portal, b"\0", statement, b"\0", rest]);
}

/// Describe of a statement.
pub fn describe_statement(out: &mut BytesMut, name: &[u8]) {
    frame(out, b'D', &[b"S", name, b"\0"]);
}

/// Close of a statement.
pub fn close_statement(out: &mut BytesMut, name: &[u8]) {
    frame(out, b'C', &[b"S", name, b"\0"]);
}

/// A frame put together from parts of other frames, whose sizes are bounded at their reader.
fn frame(out: &mut BytesMut, tag: u8, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.reserve(1 + length);
    out.put_u8(tag);
    out.put_i32(i32::try_from(length).unwrap_or(i32::MAX));
    for part in parts {
        out.put_slice(part);
    }
}
