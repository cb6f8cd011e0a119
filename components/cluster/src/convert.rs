//! Messages of the replicated log to and from their wire types.

use std::net::SocketAddr;

use anyhow::{Context, Error, Result, ensure};
use consensus::{Body, Disk, Entry, Epoch, Identity, Member, Message, Payload, Position, Seat};
use types::Name;

/// What arrives on a stream from another control instance.
#[derive(Clone, Debug)]
pub enum Incoming {
    /// A message of the replicated log.
    Peer(Message),
    /// The sender introduces itself.
    Hello(Hello),
    /// The sender introduces itself and the instances that it knows.
    Introduction(Introduction),
    /// What the entries of the sender report.
    Report(Report),
    /// The sender asks for positions of primaries.
    Ask(Identity, wire::Question),
    /// Positions of primaries.
    Samples(wire::Samples),
    /// The entries that are subscribed to the sender.
    Entries(Name, Vec<wire::Neighbour>),
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

/// An instance that finds the others through seeds introduces itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Introduction {
    /// Instance and disk.
    pub identity: Identity,
    /// Version of the message format.
    pub version: u32,
    /// Link address.
    pub address: SocketAddr,
    /// Address of its administration API.
    pub http: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Its disk holds no log yet, or only the first member list.
    pub blank: bool,
    /// The whole system starts for the first time.
    pub founding: bool,
    /// Link addresses of the instances that it knows.
    pub known: Vec<SocketAddr>,
}

/// What the entries of one instance report to the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The instance.
    pub instance: Name,
    /// Entries that are subscribed there.
    pub entries: u32,
    /// Primaries that some of them can't use.
    pub complaints: Vec<wire::Complaint>,
}

/// Instances that one introduction may name.
const MAX_KNOWN: usize = 64;
/// Services that one question may name.
pub const MAX_SERVICES: usize = 10_000;
/// Entries that one instance may name.
const MAX_ENTRIES: usize = 10_000;
/// Complaints that one report may hold.
const MAX_COMPLAINTS: usize = 10_000;

/// The introduction of an instance.
#[must_use]
pub fn introduction(intro: &Introduction) -> wire::Peer {
    wire::Peer {
        from: intro.identity.instance.to_string(),
        disk: intro.identity.disk.0,
        epoch: 0,
        body: wire::Body::Introduce {
            version: intro.version,
            address: intro.address.to_string(),
            http: intro.http.to_string(),
            domain: intro.domain.to_string(),
            blank: intro.blank,
            founding: intro.founding,
            known: intro.known.iter().map(SocketAddr::to_string).collect(),
        },
    }
}

/// A report for the leader.
#[must_use]
pub fn report(from: &Identity, entries: u32, complaints: Vec<wire::Complaint>) -> wire::Peer {
    wire::Peer {
        from: from.instance.to_string(),
        disk: from.disk.0,
        epoch: 0,
        body: wire::Body::Report {
            entries,
            complaints,
        },
    }
}

/// A question for the leader.
#[must_use]
pub fn ask(from: &Identity, question: wire::Question) -> wire::Peer {
    wire::Peer {
        from: from.instance.to_string(),
        disk: from.disk.0,
        epoch: 0,
        body: wire::Body::Ask(question),
    }
}

/// An answer to a question.
#[must_use]
pub fn samples(from: &Identity, samples: wire::Samples) -> wire::Peer {
    wire::Peer {
        from: from.instance.to_string(),
        disk: from.disk.0,
        epoch: 0,
        body: wire::Body::Samples(samples),
    }
}

/// The entries that are subscribed to this instance.
#[must_use]
pub fn entries(from: &Identity, entries: Vec<wire::Neighbour>) -> wire::Peer {
    wire::Peer {
        from: from.instance.to_string(),
        disk: from.disk.0,
        epoch: 0,
        body: wire::Body::Entries(entries),
    }
}

/// A message of this instance.
#[must_use]
pub fn peer(peer: Message) -> wire::Peer {
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
        match raw.body {
            wire::Body::Introduce {
                version,
                address,
                http,
                domain,
                blank,
                founding,
                known,
            } => {
                ensure!(known.len() <= MAX_KNOWN, "{} known instances", known.len());
                let known = known.iter().map(|address| address.parse());
                Ok(Self::Introduction(Introduction {
                    identity: from,
                    version,
                    address: address.parse().context("address of an introduction")?,
                    http: http.parse().context("HTTP address of an introduction")?,
                    domain: Name::try_from(domain).context("domain")?,
                    blank,
                    founding,
                    known: known.collect::<Result<_, _>>().context("known address")?,
                }))
            }
            wire::Body::Report {
                entries,
                complaints,
            } => {
                let count = complaints.len();
                ensure!(count <= MAX_COMPLAINTS, "{count} complaints");
                Ok(Self::Report(Report {
                    instance: from.instance,
                    entries,
                    complaints,
                }))
            }
            wire::Body::Ask(question) => {
                let count = question.services.len();
                ensure!(count <= MAX_SERVICES, "{count} services");
                Ok(Self::Ask(from, question))
            }
            wire::Body::Samples(samples) => {
                let count = samples.samples.len();
                ensure!(count <= MAX_SERVICES, "{count} samples");
                Ok(Self::Samples(samples))
            }
            wire::Body::Entries(entries) => {
                let count = entries.len();
                ensure!(count <= MAX_ENTRIES, "{count} entries");
                Ok(Self::Entries(from.instance, entries))
            }
            body => Ok(Self::Peer(Message {
                from,
                epoch,
                body: checked_body(body)?,
            })),
        }
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
        wire::Body::Hello { .. }
        | wire::Body::Introduce { .. }
        | wire::Body::Report { .. }
        | wire::Body::Ask(_)
        | wire::Body::Samples(_)
        | wire::Body::Entries(_) => {
            anyhow::bail!("no message of the log")
        }
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
