//! Encodes the whole catalog as a snapshot and decodes it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use anyhow::{Context, Error, Result, anyhow, ensure};
use types::database::History;
use types::{Lsn, Name, Revision, Term};

use crate::answers::{Answer, Answers};
use crate::change::{Finding, Label, Outcome, Winner};
use crate::database::{Database, Phase};
use crate::generated::Key;
use crate::path::Path;
use crate::state::{Catalog, Tombstone};
use crate::target::Target;
use crate::tree::{Node, Record, Tree};

impl Catalog {
    /// Appends the encoded catalog to `out`.
    ///
    /// # Errors
    /// Fails if the encoded catalog exceeds the size limit of a message.
    pub fn encode(&self, out: &mut Vec<u8>) -> Result<()> {
        wire::encode(&wire::Catalog::from(self), out).context("encode the catalog")
    }

    /// Decodes what [`Catalog::encode`] wrote.
    ///
    /// # Errors
    /// Fails if `bytes` holds anything but one valid catalog.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let raw: wire::Catalog = wire::decode(bytes).context("decode the catalog")?;
        Self::try_from(raw)
    }
}

impl From<&Catalog> for wire::Catalog {
    fn from(catalog: &Catalog) -> Self {
        Self {
            revision: catalog.revision.0,
            organisation: catalog.organisation.to_string(),
            nodes: catalog.tree.nodes.iter().map(from_node).collect(),
            records: catalog.tree.records.iter().map(from_record).collect(),
            targets: catalog.targets.values().map(from_target).collect(),
            retired: catalog.retired.iter().map(from_retired).collect(),
            databases: catalog.databases.iter().map(from_database).collect(),
            instances: catalog.entries.iter().map(from_entry).collect(),
            answers: catalog.answers.iter().map(from_answer).collect(),
        }
    }
}

impl TryFrom<wire::Catalog> for Catalog {
    type Error = Error;

    fn try_from(raw: wire::Catalog) -> Result<Self> {
        let organisation = Name::try_from(raw.organisation).context("organisation")?;
        let nodes: Result<BTreeMap<_, _>> = raw.nodes.into_iter().map(to_node).collect();
        let records: Result<VecDeque<_>> = raw.records.into_iter().map(to_record).collect();
        let tree = Tree {
            nodes: nodes.context("nodes")?,
            records: records.context("records")?,
        };
        let targets = raw.targets.into_iter();
        let targets: Result<BTreeMap<_, _>> = targets
            .map(|t| to_target(t, &organisation, &tree))
            .collect();
        let targets = targets.context("targets")?;
        let retired: Result<_> = raw.retired.into_iter().map(to_retired).collect();
        let databases: Result<BTreeMap<_, _>> =
            raw.databases.into_iter().map(to_database).collect();
        let mut databases = databases.context("databases")?;
        for (name, target) in &targets {
            let database = databases.get_mut(&target.announcement.database);
            let database = database.with_context(|| format!("database of target {name}"))?;
            database.members.insert(name.clone());
        }
        let entries: Result<_> = raw.instances.into_iter().map(to_entry).collect();
        let mut answers = Answers::default();
        for raw in raw.answers {
            let (request, answer) = to_answer(raw).context("answers")?;
            answers.insert_first(&request, answer);
        }
        Ok(Self {
            revision: Revision(raw.revision),
            targets,
            retired: retired.context("retired")?,
            databases,
            entries: entries.context("instances")?,
            organisation,
            tree,
            answers,
        })
    }
}

impl From<&Winner> for wire::Winner {
    fn from(winner: &Winner) -> Self {
        Self {
            revision: winner.revision.0,
            request: winner.request.to_string(),
            operator: winner.operator.to_string(),
        }
    }
}

impl TryFrom<wire::Winner> for Winner {
    type Error = Error;

    fn try_from(raw: wire::Winner) -> Result<Self> {
        Ok(Self {
            revision: Revision(raw.revision),
            request: Label::try_from(raw.request).context("request")?,
            operator: Label::try_from(raw.operator).context("operator")?,
        })
    }
}

fn to_path(raw: &str) -> Result<Path> {
    Path::try_from(raw).map_err(|findings| anyhow!("{findings}"))
}

fn to_key(raw: &str) -> Result<Key> {
    Key::from_name(raw).with_context(|| format!("unknown key {raw}"))
}

fn from_node((path, node): (&Path, &Node)) -> wire::Node {
    let value = |(key, value): (&Key, &u32)| wire::Value {
        key: key.name().to_owned(),
        value: *value,
    };
    wire::Node {
        path: path.to_string(),
        values: node.values.iter().map(value).collect(),
        winner: (&node.winner).into(),
    }
}

fn to_node(raw: wire::Node) -> Result<(Path, Node)> {
    let key_value = |raw: wire::Value| Ok((to_key(&raw.key)?, raw.value));
    let values: Result<_> = raw.values.into_iter().map(key_value).collect();
    let node = Node {
        values: values?,
        winner: raw.winner.try_into()?,
    };
    Ok((to_path(&raw.path)?, node))
}

fn from_record(record: &Record) -> wire::Record {
    wire::Record {
        path: record.path.to_string(),
        key: record.key.name().to_owned(),
        value: record.value,
        previous: record.previous,
        winner: (&record.winner).into(),
    }
}

fn to_record(raw: wire::Record) -> Result<Record> {
    Ok(Record {
        path: to_path(&raw.path)?,
        key: to_key(&raw.key)?,
        value: raw.value,
        previous: raw.previous,
        winner: raw.winner.try_into()?,
    })
}

fn from_target(target: &Target) -> wire::Target {
    wire::Target {
        announcement: (&target.announcement).into(),
        state: target.marked_state.into(),
        winner: target.winner.as_ref().map(Into::into),
        changed: target.state_revision.0,
    }
}

fn to_target(raw: wire::Target, organisation: &Name, tree: &Tree) -> Result<(Name, Target)> {
    let announcement = types::target::Announcement::try_from(raw.announcement)?;
    let name = announcement.target.clone();
    let values = tree.effective(&Path::of_target(organisation, &announcement));
    let target = Target {
        announcement,
        marked_state: raw.state.into(),
        winner: raw.winner.map(TryInto::try_into).transpose()?,
        state_revision: Revision(raw.changed),
        values,
    };
    Ok((name, target))
}

fn from_retired((name, mark): (&Name, &Tombstone)) -> wire::Retired {
    wire::Retired {
        target: name.to_string(),
        state: mark.state.into(),
        winner: (&mark.winner).into(),
    }
}

fn to_retired(raw: wire::Retired) -> Result<(Name, Tombstone)> {
    let mark = Tombstone {
        state: raw.state.into(),
        winner: raw.winner.try_into()?,
    };
    Ok((Name::try_from(raw.target)?, mark))
}

fn from_database((name, database): (&Name, &Database)) -> wire::Database {
    let start = |(term, lsn): &(Term, Lsn)| wire::Point {
        term: term.0,
        lsn: lsn.0,
    };
    wire::Database {
        name: name.to_string(),
        service: database.service.to_string(),
        group: database.group.to_string(),
        primary: database.primary.as_ref().map(ToString::to_string),
        terms: database.history.starts().iter().map(start).collect(),
        phase: (&database.phase).into(),
        held: database.fence_had_hold,
        point: database.point_at_choice.into(),
        since: database.phase_since.0,
        acks: database.min_acks,
        reason: database.reason.clone(),
    }
}

fn to_database(raw: wire::Database) -> Result<(Name, Database)> {
    let mut history = History::default();
    for start in raw.terms {
        ensure!(
            history.begin(Term(start.term), Lsn(start.lsn)),
            "terms of database {} are not in ascending order",
            raw.name
        );
    }
    let database = Database {
        service: Name::try_from(raw.service).context("service")?,
        group: Name::try_from(raw.group).context("group")?,
        primary: raw.primary.map(Name::try_from).transpose()?,
        history,
        phase: raw.phase.try_into()?,
        fence_had_hold: raw.held,
        point_at_choice: raw.point.into(),
        phase_since: Revision(raw.since),
        min_acks: raw.acks,
        reason: raw.reason,
        members: BTreeSet::new(),
    };
    Ok((Name::try_from(raw.name)?, database))
}

impl From<&Phase> for wire::Phase {
    fn from(phase: &Phase) -> Self {
        match phase {
            Phase::Steady => Self::Steady,
            Phase::Fenced { term, hold } => Self::Fenced {
                term: term.0,
                hold: *hold,
            },
            Phase::Chosen { term, target } => Self::Chosen {
                term: term.0,
                target: target.to_string(),
            },
        }
    }
}

impl TryFrom<wire::Phase> for Phase {
    type Error = Error;

    fn try_from(raw: wire::Phase) -> Result<Self> {
        Ok(match raw {
            wire::Phase::Steady => Self::Steady,
            wire::Phase::Fenced { term, hold } => Self::Fenced {
                term: Term(term),
                hold,
            },
            wire::Phase::Chosen { term, target } => Self::Chosen {
                term: Term(term),
                target: Name::try_from(target).context("target")?,
            },
        })
    }
}

fn from_entry((name, domain): (&Name, &Name)) -> wire::Instance {
    wire::Instance {
        instance: name.to_string(),
        domain: domain.to_string(),
    }
}

fn to_entry(raw: wire::Instance) -> Result<(Name, Name)> {
    Ok((Name::try_from(raw.instance)?, Name::try_from(raw.domain)?))
}

fn from_answer((request, answer): (&Label, &Answer)) -> wire::Answer {
    wire::Answer {
        request: request.to_string(),
        digest: answer.digest,
        outcome: (&answer.outcome).into(),
    }
}

fn to_answer(raw: wire::Answer) -> Result<(Label, Answer)> {
    let answer = Answer {
        digest: raw.digest,
        outcome: raw.outcome.try_into()?,
    };
    Ok((Label::try_from(raw.request)?, answer))
}

impl From<&Outcome> for wire::Outcome {
    fn from(outcome: &Outcome) -> Self {
        let finding = |finding: &Finding| wire::Finding {
            path: finding.path.clone(),
            text: finding.text.clone(),
        };
        match outcome {
            Outcome::Applied(revision) => Self::Applied(revision.0),
            Outcome::Unchanged => Self::Unchanged,
            Outcome::Conflict(winner) => Self::Conflict(winner.into()),
            Outcome::Refused(findings) => Self::Refused(findings.iter().map(finding).collect()),
        }
    }
}

impl TryFrom<wire::Outcome> for Outcome {
    type Error = Error;

    fn try_from(raw: wire::Outcome) -> Result<Self> {
        let finding = |raw: wire::Finding| Finding::new(raw.path, raw.text);
        Ok(match raw {
            wire::Outcome::Applied(revision) => Self::Applied(Revision(revision)),
            wire::Outcome::Unchanged => Self::Unchanged,
            wire::Outcome::Conflict(winner) => Self::Conflict(winner.try_into()?),
            wire::Outcome::Refused(findings) => {
                Self::Refused(findings.into_iter().map(finding).collect())
            }
        })
    }
}
