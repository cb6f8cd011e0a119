//! Encoding of what the server sends.

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
        tracing::error!(%error, "message not encoded");
    }
}

fn report(severity: &str, failure: &Failure) -> Vec<(u8, String)> {
    vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', failure.code.to_owned()),
        (b'M', failure.text.clone()),
    ]
}

pub(crate) fn error(out: &mut BytesMut, failure: &Failure) {
    put(out, &ErrorResponse::new(report("ERROR", failure)));
}

/// An error after which the connection closes.
pub(crate) fn fatal(out: &mut BytesMut, code: &'static str, text: &str) {
    let fields = report("FATAL", &Failure::new(code, text));
    put(out, &ErrorResponse::new(fields));
}

pub(crate) fn warning(out: &mut BytesMut, code: &'static str, text: &str) {
    let fields = report("WARNING", &Failure::new(code, text));
    put(out, &NoticeResponse::new(fields));
}

pub(crate) fn ready(out: &mut BytesMut, status: TransactionStatus) {
    put(out, &ReadyForQuery::new(status));
}

pub(crate) fn authenticated(out: &mut BytesMut) {
    put(out, &Authentication::Ok);
}

pub(crate) fn key(out: &mut BytesMut, pid: i32, secret: i32) {
    put(out, &BackendKeyData::new(pid, SecretKey::I32(secret)));
}

pub(crate) fn parameter(out: &mut BytesMut, name: &str, value: &str) {
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

pub(crate) fn parameter_types(out: &mut BytesMut, types: &[Type]) {
    let types = types.iter().map(|kind| kind.oid()).collect();
    put(out, &ParameterDescription::new(types));
}

/// Whether a result column has the binary format; one format stands for all, none means text.
fn binary(formats: &[i16], at: usize) -> bool {
    match formats {
        [one] => *one == 1,
        many => many.get(at) == Some(&1),
    }
}

pub(crate) fn fields(out: &mut BytesMut, fields: Option<&[Field]>, formats: &[i16]) {
    let Some(fields) = fields else {
        return put(out, &NoData::new());
    };
    let describe = |(at, field): (usize, &Field)| {
        let format = i16::from(binary(formats, at));
        let (oid, size) = (field.kind.oid(), field.kind.size());
        FieldDescription::new(field.name.clone(), 0, 0, oid, size, -1, format)
    };
    let described = fields.iter().enumerate().map(describe).collect();
    put(out, &RowDescription::new(described));
}

/// Appends a DataRow; its length is filled in after the values.
pub(crate) fn row(out: &mut BytesMut, row: &[Value], fields: &[Field], formats: &[i16]) {
    out.put_u8(b'D');
    let start = out.len();
    out.put_i32(0);
    out.put_u16(row.len() as u16);
    for (at, (value, field)) in row.iter().zip(fields).enumerate() {
        value.encode(field.kind, binary(formats, at), out);
    }
    let length = (out.len() - start) as i32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

pub(crate) fn tag(out: &mut BytesMut, tag: &str) {
    put(out, &CommandComplete::new(tag.to_owned()));
}
