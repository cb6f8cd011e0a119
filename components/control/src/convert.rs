//! Messages of the replicated log to and from their wire types.

use std::net::SocketAddr;

use anyhow::{Context, Error, Result};
use consensus::{Body, Disk, Entry, Epoch, Identity, Member, Payload, Peer, Position, Seat};
use types::Name;

/// What arrives on a stream from another control instance.
#[derive(Clone, Debug)]
pub enum Incoming {
    /// A message of the replicated log.
    Peer(Peer),
    /// The sender introduces itself.
    Hello(Hello),
}

/// A control instance introduces itself.
#[derive(Clone, Debug)]
pub struct Hello {
    /// Instance and disk.
    pub identity: Identity,
    /// Version of the message format.
    pub version: u32,
    /// Link address.
    pub address: String,
    /// Its disk holds no log yet.
    pub blank: bool,
    /// Address of its administration API.
    pub http: SocketAddr,
}

/// A message of this instance.
#[must_use]
pub fn peer(peer: Peer) -> wire::Peer {
    wire::Peer {
        from: peer.from.instance.to_string(),
        disk: peer.from.disk.0,
        epoch: peer.epoch.0,
        body: body(peer.body),
    }
}

/// The introduction of this instance.
#[must_use]
pub fn hello(hello: &Hello) -> wire::Peer {
    wire::Peer {
        from: hello.identity.instance.to_string(),
        disk: hello.identity.disk.0,
        epoch: 0,
        body: wire::Body::Hello {
            version: hello.version,
            address: hello.address.clone(),
            blank: hello.blank,
            http: hello.http.to_string(),
        },
    }
}

fn body(body: Body) -> wire::Body {
    match body {
        Body::PreVote { last } => wire::Body::PreVote {
            last_index: last.index,
            last_epoch: last.epoch.0,
        },
        Body::PreVoteReply { granted } => wire::Body::PreVoteReply { granted },
        Body::Vote { last } => wire::Body::Vote {
            last_index: last.index,
            last_epoch: last.epoch.0,
        },
        Body::VoteReply { granted } => wire::Body::VoteReply { granted },
        Body::Append {
            round,
            prev,
            commit,
            entries,
        } => wire::Body::Append {
            round,
            prev_index: prev.index,
            prev_epoch: prev.epoch.0,
            commit,
            entries: entries.into_iter().map(entry).collect(),
        },
        Body::AppendReply {
            round,
            accepted,
            index,
        } => wire::Body::AppendReply {
            round,
            accepted,
            index,
        },
        Body::Snapshot {
            last,
            members,
            offset,
            data,
            done,
        } => wire::Body::Snapshot {
            last_index: last.index,
            last_epoch: last.epoch.0,
            members: members.iter().map(member).collect(),
            offset,
            data: data.into(),
            done,
        },
        Body::SnapshotReply { offset } => wire::Body::SnapshotReply { offset },
    }
}

fn entry(entry: Entry) -> wire::Entry {
    wire::Entry {
        index: entry.position.index,
        epoch: entry.position.epoch.0,
        payload: match entry.payload {
            Payload::Noop => wire::Payload::Noop,
            Payload::Data(data) => wire::Payload::Data(data.into()),
            Payload::Members(members) => {
                wire::Payload::Members(members.iter().map(member).collect())
            }
        },
    }
}

fn member(member: &Member) -> wire::Member {
    wire::Member {
        instance: member.instance.to_string(),
        disk: member.disk.0,
        address: member.address.to_string(),
        seat: match member.seat {
            Seat::Learner => wire::Seat::Learner,
            Seat::Voter => wire::Seat::Voter,
        },
    }
}

impl TryFrom<wire::Peer> for Incoming {
    type Error = Error;

    fn try_from(raw: wire::Peer) -> Result<Self> {
        let instance = Name::try_from(raw.from).context("sender")?;
        let from = Identity {
            instance,
            disk: Disk(raw.disk),
        };
        let epoch = Epoch(raw.epoch);
        if let wire::Body::Hello {
            version,
            address,
            blank,
            http,
        } = raw.body
        {
            return Ok(Self::Hello(Hello {
                identity: from,
                version,
                address,
                blank,
                http: http.parse().context("HTTP address of an introduction")?,
            }));
        }
        Ok(Self::Peer(Peer {
            from,
            epoch,
            body: checked_body(raw.body)?,
        }))
    }
}

fn position(index: u64, epoch: u64) -> Position {
    Position {
        epoch: Epoch(epoch),
        index,
    }
}

fn checked_body(raw: wire::Body) -> Result<Body> {
    Ok(match raw {
        wire::Body::PreVote {
            last_index,
            last_epoch,
        } => Body::PreVote {
            last: position(last_index, last_epoch),
        },
        wire::Body::PreVoteReply { granted } => Body::PreVoteReply { granted },
        wire::Body::Vote {
            last_index,
            last_epoch,
        } => Body::Vote {
            last: position(last_index, last_epoch),
        },
        wire::Body::VoteReply { granted } => Body::VoteReply { granted },
        wire::Body::Append {
            round,
            prev_index,
            prev_epoch,
            commit,
            entries,
        } => Body::Append {
            round,
            prev: position(prev_index, prev_epoch),
            commit,
            entries: entries
                .into_iter()
                .map(checked_entry)
                .collect::<Result<_>>()?,
        },
        wire::Body::AppendReply {
            round,
            accepted,
            index,
        } => Body::AppendReply {
            round,
            accepted,
            index,
        },
        wire::Body::Snapshot {
            last_index,
            last_epoch,
            members,
            offset,
            data,
            done,
        } => Body::Snapshot {
            last: position(last_index, last_epoch),
            members: checked_members(members)?,
            offset,
            data: data.into_vec(),
            done,
        },
        wire::Body::SnapshotReply { offset } => Body::SnapshotReply { offset },
        wire::Body::Hello { .. } => anyhow::bail!("an introduction is no message of the log"),
    })
}

fn checked_entry(raw: wire::Entry) -> Result<Entry> {
    let payload = match raw.payload {
        wire::Payload::Noop => Payload::Noop,
        wire::Payload::Data(data) => Payload::Data(data.into_vec()),
        wire::Payload::Members(members) => Payload::Members(checked_members(members)?),
    };
    Ok(Entry {
        position: position(raw.index, raw.epoch),
        payload,
    })
}

fn checked_members(raw: Vec<wire::Member>) -> Result<Vec<Member>> {
    raw.into_iter().map(checked_member).collect()
}

fn checked_member(raw: wire::Member) -> Result<Member> {
    Ok(Member {
        instance: Name::try_from(raw.instance).context("member")?,
        disk: Disk(raw.disk),
        address: raw.address.parse().context("address of a member")?,
        seat: match raw.seat {
            wire::Seat::Learner => Seat::Learner,
            wire::Seat::Voter => Seat::Voter,
        },
    })
}
