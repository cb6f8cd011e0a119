//! Encoding of the server's messages.

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::Message;
use pgwire::messages::copy::CopyData;
use pgwire::messages::data::{FieldDescription, NoData, ParameterDescription, RowDescription};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, NoticeResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};

use crate::describe::Field;
use crate::failure::Failure;
use crate::value::{Type, Value};

/// Appends a message.
pub(crate) fn put(out: &mut BytesMut, message: &impl Message) {
    if let Err(error) = message.encode(out) {
        tracing::error!(%error, "could not encode a message; not sending it");
    }
}

fn error_fields(severity: &str, failure: &Failure) -> Vec<(u8, String)> {
    vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', failure.sqlstate.to_owned()),
        (b'M', failure.message.clone()),
    ]
}

pub(crate) fn error(out: &mut BytesMut, failure: &Failure) {
    put(out, &ErrorResponse::new(error_fields("ERROR", failure)));
}

/// Appends an error after which the connection closes.
pub(crate) fn fatal(out: &mut BytesMut, sqlstate: &'static str, message: &str) {
    let fields = error_fields("FATAL", &Failure::new(sqlstate, message));
    put(out, &ErrorResponse::new(fields));
}

pub(crate) fn warning(out: &mut BytesMut, sqlstate: &'static str, message: &str) {
    let fields = error_fields("WARNING", &Failure::new(sqlstate, message));
    put(out, &NoticeResponse::new(fields));
}

pub(crate) fn ready_for_query(out: &mut BytesMut, status: TransactionStatus) {
    put(out, &ReadyForQuery::new(status));
}

pub(crate) fn authentication_ok(out: &mut BytesMut) {
    put(out, &Authentication::Ok);
}

pub(crate) fn backend_key_data(out: &mut BytesMut, pid: i32, secret: i32) {
    put(out, &BackendKeyData::new(pid, SecretKey::I32(secret)));
}

pub(crate) fn parameter_status(out: &mut BytesMut, name: &str, value: &str) {
    put(
        out,
        &ParameterStatus::new(name.to_owned(), value.to_owned()),
    );
}

pub(crate) fn copy_data(data: Vec<u8>) -> Bytes {
    let mut out = BytesMut::with_capacity(data.len() + 8);
    put(&mut out, &CopyData::new(data.into()));
    out.freeze()
}

pub(crate) fn parameter_description(out: &mut BytesMut, types: &[Type]) {
    let types = types.iter().map(|kind| kind.oid()).collect();
    put(out, &ParameterDescription::new(types));
}

/// Whether a result column has the binary format; a single format applies to all columns, and the
/// default is text.
fn is_binary(formats: &[i16], index: usize) -> bool {
    match formats {
        [format] => *format == 1,
        formats => formats.get(index) == Some(&1),
    }
}

pub(crate) fn row_description(out: &mut BytesMut, fields: Option<&[Field]>, formats: &[i16]) {
    let Some(fields) = fields else {
        return put(out, &NoData::new());
    };
    let description = |(index, field): (usize, &Field)| {
        let format = i16::from(is_binary(formats, index));
        let (oid, size) = (field.kind.oid(), field.kind.size());
        FieldDescription::new(field.name.clone(), 0, 0, oid, size, -1, format)
    };
    let descriptions = fields.iter().enumerate().map(description).collect();
    put(out, &RowDescription::new(descriptions));
}

/// Appends a DataRow; its length field is filled in after the values.
pub(crate) fn data_row(out: &mut BytesMut, row: &[Value], fields: &[Field], formats: &[i16]) {
    out.put_u8(b'D');
    let length_at = out.len();
    out.put_i32(0);
    out.put_u16(row.len() as u16);
    for (index, (value, field)) in row.iter().zip(fields).enumerate() {
        value.encode(field.kind, is_binary(formats, index), out);
    }
    let length = (out.len() - length_at) as i32;
    out[length_at..length_at + 4].copy_from_slice(&length.to_be_bytes());
}

pub(crate) fn command_complete(out: &mut BytesMut, tag: &str) {
    put(out, &CommandComplete::new(tag.to_owned()));
}
