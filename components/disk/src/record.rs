//! Layout of the records on disk, separate from the types of the replicated log.

use anyhow::{Context, Result, ensure};
use bincode::config;
use consensus::{Disk, Epoch, Position, Seat};
use serde::{Deserialize, Serialize};
use types::Name;

/// Version of the file formats. Version 1 had no [`Record::Synced`]; its folders are read.
pub(crate) const FORMAT_VERSION: u32 = 2;

/// Content of the file `identity`.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Identity {
    pub(crate) version: u32,
    pub(crate) disk: u64,
}

/// Content of the file `vote`.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Vote<'a> {
    pub(crate) epoch: u64,
    /// Instance and disk identity of the candidate.
    #[serde(borrow)]
    pub(crate) vote: Option<(&'a str, u64)>,
}

/// First record of a snapshot file. The second is the state machine's data.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct SnapshotHeader<'a> {
    pub(crate) epoch: u64,
    pub(crate) index: u64,
    #[serde(borrow)]
    pub(crate) members: Vec<Member<'a>>,
}

/// Record of a segment.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Record<'a> {
    /// First record of each segment.
    Start {
        /// Position before the first entry.
        epoch: u64,
        index: u64,
        /// A snapshot replaced the whole log, so the earlier segments are void.
        fresh: bool,
    },
    /// Entries of one append. If the write does not complete, all of them are dropped.
    #[serde(borrow)]
    Entries(Vec<Entry<'a>>),
    /// Removes the entries from this index on.
    Truncate(u64),
    /// First record of each write after the start: a sync covered the segment up to this offset.
    Synced(u64),
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Entry<'a> {
    epoch: u64,
    index: u64,
    #[serde(borrow)]
    payload: Payload<'a>,
}

#[derive(Debug, Deserialize, Serialize)]
enum Payload<'a> {
    Noop,
    Data(#[serde(borrow, with = "serde_bytes")] &'a [u8]),
    #[serde(borrow)]
    Members(Vec<Member<'a>>),
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Member<'a> {
    instance: &'a str,
    disk: u64,
    address: String,
    voter: bool,
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    Ok(bincode::serde::encode_to_vec(value, config::standard())?)
}

pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    let (value, decoded_bytes) =
        bincode::serde::borrow_decode_from_slice(bytes, config::standard())?;
    ensure!(
        decoded_bytes == bytes.len(),
        "unexpected bytes after the record"
    );
    Ok(value)
}

impl<'a> From<&'a consensus::Member> for Member<'a> {
    fn from(member: &'a consensus::Member) -> Self {
        Self {
            instance: member.instance.as_str(),
            disk: member.disk.0,
            address: member.address.to_string(),
            voter: member.seat == Seat::Voter,
        }
    }
}

impl TryFrom<Member<'_>> for consensus::Member {
    type Error = anyhow::Error;

    fn try_from(raw: Member<'_>) -> Result<Self> {
        Ok(Self {
            instance: Name::try_from(raw.instance)?,
            disk: Disk(raw.disk),
            address: raw.address.parse().context("address of a member")?,
            seat: if raw.voter {
                Seat::Voter
            } else {
                Seat::Learner
            },
        })
    }
}

/// Converts the members of a record to those of the replicated log.
pub(crate) fn convert_members(raw: Vec<Member<'_>>) -> Result<Vec<consensus::Member>> {
    raw.into_iter().map(TryInto::try_into).collect()
}

impl<'a> From<&'a consensus::Entry> for Entry<'a> {
    fn from(entry: &'a consensus::Entry) -> Self {
        Self {
            epoch: entry.position.epoch.0,
            index: entry.position.index,
            payload: match &entry.payload {
                consensus::Payload::Noop => Payload::Noop,
                consensus::Payload::Data(data) => Payload::Data(data),
                consensus::Payload::Members(members) => {
                    Payload::Members(members.iter().map(Into::into).collect())
                }
            },
        }
    }
}

impl TryFrom<Entry<'_>> for consensus::Entry {
    type Error = anyhow::Error;

    fn try_from(raw: Entry<'_>) -> Result<Self> {
        Ok(Self {
            position: Position::new(Epoch(raw.epoch), raw.index),
            payload: match raw.payload {
                Payload::Noop => consensus::Payload::Noop,
                Payload::Data(data) => consensus::Payload::Data(data.to_vec()),
                Payload::Members(members) => consensus::Payload::Members(convert_members(members)?),
            },
        })
    }
}
