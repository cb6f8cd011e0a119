//! Conversion of messages between instances to and from their wire types.

use std::net::SocketAddr;

use anyhow::{Context, Error, Result, ensure};
use consensus::{Body, Disk, Entry, Epoch, Identity, Member, Message, Payload, Position, Seat};
use types::Name;

/// Message from another instance.
#[derive(Clone, Debug)]
pub enum Incoming {
    /// A message of the replicated log.
    Consensus(Message),
    /// A control instance introduces itself.
    Hello(Hello),
    /// A coordinator introduces itself and the instances that it knows.
    Introduction(Introduction),
    /// What the entry processes of the sender report.
    Report(Report),
    /// The sender asks for log positions of primaries.
    Question(Identity, wire::Question),
    /// Log positions of primaries, in reply to a question.
    Samples(wire::Samples),
    /// The entry processes that are subscribed to the sender.
    Entries(Name, Vec<wire::Neighbour>),
    /// Entry processes of the sender ask for consent to pass on commits.
    Advance(Identity, wire::Advance),
    /// The leader's consents.
    Advanced(wire::Advanced),
}

/// Introduction of a control instance.
#[derive(Clone, Debug)]
pub struct Hello {
    pub identity: Identity,
    /// Version of the message format.
    pub version: u32,
    /// Address for streams between instances.
    pub address: String,
    /// Whether its disk holds no log yet.
    pub blank: bool,
    /// Address of its administration API.
    pub http: SocketAddr,
}

/// Introduction of an instance that finds the others through seeds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Introduction {
    pub identity: Identity,
    /// Version of the message format.
    pub version: u32,
    /// Address for streams between instances.
    pub address: SocketAddr,
    /// Address of its administration API.
    pub http: SocketAddr,
    /// Failure domain of the instance.
    pub domain: Name,
    /// Whether its disk holds no log yet, or only the first member list.
    pub blank: bool,
    /// Whether its settings say that the whole system starts for the first time.
    pub founding: bool,
    /// Addresses of the members and other instances that it knows.
    pub known_addresses: Vec<SocketAddr>,
}

/// Report of one instance to the leader about its entry processes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    pub instance: Name,
    /// Number of entry processes that are subscribed to the instance.
    pub entries: u32,
    /// Primaries that some of these entry processes can't use.
    pub complaints: Vec<wire::Complaint>,
}

/// Addresses of other instances in one introduction.
const MAX_KNOWN_ADDRESSES: usize = 64;
/// Services in one question and samples in its reply.
pub const MAX_SERVICES: usize = 10_000;
/// Entry processes that one instance may list.
const MAX_ENTRIES: usize = 10_000;
const MAX_COMPLAINTS: usize = 10_000;
/// Watermarks in one request, and consents in its answer: two for each service.
pub const MAX_WATERMARKS: usize = 2 * MAX_SERVICES;

#[must_use]
pub fn introduction(introduction: &Introduction) -> wire::Peer {
    wire::Peer {
        from: introduction.identity.instance.to_string(),
        disk: introduction.identity.disk.0,
        epoch: 0,
        body: wire::Body::Introduce {
            version: introduction.version,
            address: introduction.address.to_string(),
            http: introduction.http.to_string(),
            domain: introduction.domain.to_string(),
            blank: introduction.blank,
            founding: introduction.founding,
            known: introduction
                .known_addresses
                .iter()
                .map(SocketAddr::to_string)
                .collect(),
        },
    }
}

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

#[must_use]
pub fn question(from: &Identity, question: wire::Question) -> wire::Peer {
    wire::Peer {
        from: from.instance.to_string(),
        disk: from.disk.0,
        epoch: 0,
        body: wire::Body::Ask(question),
    }
}

#[must_use]
pub fn samples(from: &Identity, samples: wire::Samples) -> wire::Peer {
    wire::Peer {
        from: from.instance.to_string(),
        disk: from.disk.0,
        epoch: 0,
        body: wire::Body::Samples(samples),
    }
}

#[must_use]
pub fn advance(from: &Identity, advance: wire::Advance) -> wire::Peer {
    wire::Peer {
        from: from.instance.to_string(),
        disk: from.disk.0,
        epoch: 0,
        body: wire::Body::Advance(advance),
    }
}

#[must_use]
pub fn advanced(from: &Identity, advanced: wire::Advanced) -> wire::Peer {
    wire::Peer {
        from: from.instance.to_string(),
        disk: from.disk.0,
        epoch: 0,
        body: wire::Body::Advanced(advanced),
    }
}

#[must_use]
pub fn entries(from: &Identity, entries: Vec<wire::Neighbour>) -> wire::Peer {
    wire::Peer {
        from: from.instance.to_string(),
        disk: from.disk.0,
        epoch: 0,
        body: wire::Body::Entries(entries),
    }
}

#[must_use]
pub fn message(message: Message) -> wire::Peer {
    wire::Peer {
        from: message.from.instance.to_string(),
        disk: message.from.disk.0,
        epoch: message.epoch.0,
        body: wire_body(message.body),
    }
}

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

fn wire_body(body: Body) -> wire::Body {
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
            entries: entries.into_iter().map(wire_entry).collect(),
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
            members: members.iter().map(wire_member).collect(),
            offset,
            data: data.into(),
            done,
        },
        Body::SnapshotReply { offset } => wire::Body::SnapshotReply { offset },
    }
}

fn wire_entry(entry: Entry) -> wire::Entry {
    wire::Entry {
        index: entry.position.index,
        epoch: entry.position.epoch.0,
        payload: match entry.payload {
            Payload::Noop => wire::Payload::Noop,
            Payload::Data(data) => wire::Payload::Data(data.into()),
            Payload::Members(members) => {
                wire::Payload::Members(members.iter().map(wire_member).collect())
            }
        },
    }
}

fn wire_member(member: &Member) -> wire::Member {
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

    fn try_from(message: wire::Peer) -> Result<Self> {
        let instance = Name::try_from(message.from).context("invalid name of the sender")?;
        let from = Identity {
            instance,
            disk: Disk(message.disk),
        };
        let epoch = Epoch(message.epoch);
        if let wire::Body::Hello {
            version,
            address,
            blank,
            http,
        } = message.body
        {
            return Ok(Self::Hello(Hello {
                identity: from,
                version,
                address,
                blank,
                http: http
                    .parse()
                    .context("invalid HTTP address in an introduction")?,
            }));
        }
        match message.body {
            wire::Body::Introduce {
                version,
                address,
                http,
                domain,
                blank,
                founding,
                known,
            } => {
                ensure!(
                    known.len() <= MAX_KNOWN_ADDRESSES,
                    "{} known addresses are above the limit",
                    known.len()
                );
                let known_addresses = known.iter().map(|address| address.parse());
                Ok(Self::Introduction(Introduction {
                    identity: from,
                    version,
                    address: address
                        .parse()
                        .context("invalid address in an introduction")?,
                    http: http
                        .parse()
                        .context("invalid HTTP address in an introduction")?,
                    domain: Name::try_from(domain)
                        .context("invalid failure domain in an introduction")?,
                    blank,
                    founding,
                    known_addresses: known_addresses
                        .collect::<Result<_, _>>()
                        .context("invalid known address in an introduction")?,
                }))
            }
            wire::Body::Report {
                entries,
                complaints,
            } => {
                let count = complaints.len();
                ensure!(
                    count <= MAX_COMPLAINTS,
                    "{count} complaints in a report are above the limit"
                );
                Ok(Self::Report(Report {
                    instance: from.instance,
                    entries,
                    complaints,
                }))
            }
            wire::Body::Ask(question) => {
                let count = question.services.len();
                ensure!(
                    count <= MAX_SERVICES,
                    "{count} services in a question are above the limit"
                );
                Ok(Self::Question(from, question))
            }
            wire::Body::Samples(samples) => {
                let count = samples.samples.len();
                ensure!(
                    count <= MAX_SERVICES,
                    "{count} samples in a reply are above the limit"
                );
                Ok(Self::Samples(samples))
            }
            wire::Body::Entries(entries) => {
                let count = entries.len();
                ensure!(
                    count <= MAX_ENTRIES,
                    "{count} entry processes are above the limit"
                );
                Ok(Self::Entries(from.instance, entries))
            }
            wire::Body::Advance(advance) => {
                let count = advance.watermarks.len();
                ensure!(
                    count <= MAX_WATERMARKS,
                    "{count} watermarks are above the limit"
                );
                Ok(Self::Advance(from, advance))
            }
            wire::Body::Advanced(advanced) => {
                let count = advanced.consents.len();
                ensure!(
                    count <= MAX_WATERMARKS,
                    "{count} consents are above the limit"
                );
                Ok(Self::Advanced(advanced))
            }
            body => Ok(Self::Consensus(Message {
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

fn checked_body(body: wire::Body) -> Result<Body> {
    Ok(match body {
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
        | wire::Body::Entries(_)
        | wire::Body::Advance(_)
        | wire::Body::Advanced(_) => {
            anyhow::bail!("not a message of the replicated log")
        }
    })
}

fn checked_entry(entry: wire::Entry) -> Result<Entry> {
    let payload = match entry.payload {
        wire::Payload::Noop => Payload::Noop,
        wire::Payload::Data(data) => Payload::Data(data.into_vec()),
        wire::Payload::Members(members) => Payload::Members(checked_members(members)?),
    };
    Ok(Entry {
        position: position(entry.index, entry.epoch),
        payload,
    })
}

fn checked_members(members: Vec<wire::Member>) -> Result<Vec<Member>> {
    members.into_iter().map(checked_member).collect()
}

fn checked_member(member: wire::Member) -> Result<Member> {
    Ok(Member {
        instance: Name::try_from(member.instance).context("invalid name of a member")?,
        disk: Disk(member.disk),
        address: member
            .address
            .parse()
            .context("invalid address of a member")?,
        seat: match member.seat {
            wire::Seat::Learner => Seat::Learner,
            wire::Seat::Voter => Seat::Voter,
        },
    })
}
