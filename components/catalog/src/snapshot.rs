//! Snapshots: the whole catalog as bytes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use anyhow::{Context, Error, Result, anyhow, ensure};
use types::database::History;
use types::{Lsn, Name, Revision, Term};

use crate::answers::{Answer, Answers};
use crate::change::{Finding, Label, Outcome, Winner};
use crate::database::{Database, Phase};
use crate::generated::Key;
use crate::path::Path;
use crate::state::{Catalog, Retired};
use crate::target::Target;
use crate::tree::{Node, Record, Tree};

impl Catalog {
    /// Appends the encoded catalog to `out`.
    ///
    /// # Errors
    /// Fails if the catalog is larger than a message may be.
    pub fn encode(&self, out: &mut Vec<u8>) -> Result<()> {
        wire::encode(&wire::Catalog::from(self), out).context("encode the catalog")
    }

    /// The catalog that [`Catalog::encode`] wrote.
    ///
    /// # Errors
    /// Fails if `bytes` holds anything else.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let raw: wire::Catalog = wire::decode(bytes).context("decode the catalog")?;
        Self::try_from(raw)
    }
}

impl From<&Catalog> for wire::Catalog {
    fn from(core: &Catalog) -> Self {
        Self {
            revision: core.revision.0,
            organisation: core.organisation.to_string(),
            nodes: core.tree.nodes.iter().map(from_node).collect(),
            records: core.tree.records.iter().map(from_record).collect(),
            targets: core.targets.values().map(from_target).collect(),
            retired: core.retired.iter().map(from_retired).collect(),
            databases: core.databases.iter().map(from_database).collect(),
            instances: core.entries.iter().map(from_entry).collect(),
            answers: core.answers.iter().map(from_answer).collect(),
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
            answers.keep(&request, answer);
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
    fn from(core: &Winner) -> Self {
        Self {
            revision: core.revision.0,
            request: core.request.to_string(),
            operator: core.operator.to_string(),
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
    Key::find(raw).with_context(|| format!("unknown key {raw}"))
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
    let pair = |raw: wire::Value| Ok((to_key(&raw.key)?, raw.value));
    let values: Result<_> = raw.values.into_iter().map(pair).collect();
    let node = Node {
        values: values?,
        winner: raw.winner.try_into()?,
    };
    Ok((to_path(&raw.path)?, node))
}

fn from_record(core: &Record) -> wire::Record {
    wire::Record {
        path: core.path.to_string(),
        key: core.key.name().to_owned(),
        value: core.value,
        previous: core.previous,
        winner: (&core.winner).into(),
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

fn from_target(core: &Target) -> wire::Target {
    wire::Target {
        announcement: (&core.announcement).into(),
        state: core.marked.into(),
        winner: core.winner.as_ref().map(Into::into),
        changed: core.changed.0,
    }
}

fn to_target(raw: wire::Target, organisation: &Name, tree: &Tree) -> Result<(Name, Target)> {
    let announcement = types::target::Announcement::try_from(raw.announcement)?;
    let name = announcement.target.clone();
    let values = tree.effective(&Path::of(organisation, &announcement));
    let target = Target {
        announcement,
        marked: raw.state.into(),
        winner: raw.winner.map(TryInto::try_into).transpose()?,
        changed: Revision(raw.changed),
        values,
    };
    Ok((name, target))
}

fn from_retired((name, core): (&Name, &Retired)) -> wire::Retired {
    wire::Retired {
        target: name.to_string(),
        state: core.state.into(),
        winner: (&core.winner).into(),
    }
}

fn to_retired(raw: wire::Retired) -> Result<(Name, Retired)> {
    let retired = Retired {
        state: raw.state.into(),
        winner: raw.winner.try_into()?,
    };
    Ok((Name::try_from(raw.target)?, retired))
}

fn from_database((name, core): (&Name, &Database)) -> wire::Database {
    let term = |(term, lsn): &(Term, Lsn)| wire::Point {
        term: term.0,
        lsn: lsn.0,
    };
    wire::Database {
        name: name.to_string(),
        service: core.service.to_string(),
        group: core.group.to_string(),
        primary: core.primary.as_ref().map(ToString::to_string),
        terms: core.history.starts().iter().map(term).collect(),
        phase: (&core.phase).into(),
        held: core.held,
        point: core.point.into(),
        since: core.since.0,
        acks: core.acks,
        reason: core.reason.clone(),
    }
}

fn to_database(raw: wire::Database) -> Result<(Name, Database)> {
    let mut history = History::default();
    for point in raw.terms {
        ensure!(
            history.begin(Term(point.term), Lsn(point.lsn)),
            "terms of {} do not rise",
            raw.name
        );
    }
    let database = Database {
        service: Name::try_from(raw.service).context("service")?,
        group: Name::try_from(raw.group).context("group")?,
        primary: raw.primary.map(Name::try_from).transpose()?,
        history,
        phase: raw.phase.try_into()?,
        held: raw.held,
        point: raw.point.into(),
        since: Revision(raw.since),
        acks: raw.acks,
        reason: raw.reason,
        members: BTreeSet::new(),
    };
    Ok((Name::try_from(raw.name)?, database))
}

impl From<&Phase> for wire::Phase {
    fn from(core: &Phase) -> Self {
        match core {
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

fn from_answer((request, core): (&Label, &Answer)) -> wire::Answer {
    wire::Answer {
        request: request.to_string(),
        digest: core.digest,
        outcome: (&core.outcome).into(),
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
    fn from(core: &Outcome) -> Self {
        let finding = |f: &Finding| wire::Finding {
            path: f.path.clone(),
            text: f.text.clone(),
        };
        match core {
            Outcome::Applied(revision) => Self::Applied(revision.0),
            Outcome::Unchanged => Self::Unchanged,
            Outcome::Conflict(winner) => Self::Conflict(winner.into()),
            Outcome::Refused(all) => Self::Refused(all.iter().map(finding).collect()),
        }
    }
}

impl TryFrom<wire::Outcome> for Outcome {
    type Error = Error;

    fn try_from(raw: wire::Outcome) -> Result<Self> {
        let finding = |f: wire::Finding| Finding::new(f.path, f.text);
        Ok(match raw {
            wire::Outcome::Applied(revision) => Self::Applied(Revision(revision)),
            wire::Outcome::Unchanged => Self::Unchanged,
            wire::Outcome::Conflict(winner) => Self::Conflict(winner.try_into()?),
            wire::Outcome::Refused(all) => Self::Refused(all.into_iter().map(finding).collect()),
        })
    }
}
