//! Changes: what they need before they are proposed.

use std::net::SocketAddr;
use std::time::Instant;

use admin::{Reply, Request};
use anyhow::Result;
use catalog::{Catalog, Command, Phase};
use consensus::{Disk, Identity, Member, Seat};
use types::target::State;
use types::{Name, Revision, Term};

use super::{Call, Pending, read, reply};
use crate::leader::Lead;
use crate::process::{Loop, Waiter};

/// What is to be done for a change that passed its checks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<C> {
    /// Nothing: it is in force since this revision. Most likely a resend.
    Done(Revision),
    /// To be proposed.
    Propose(C),
}

/// The command for a change of a setting or of a target's state.
///
/// # Errors
/// Returns everything that is wrong with it.
pub fn command(catalog: &Catalog, request: &Request) -> Result<Command, Box<Reply>> {
    let carried = |change: &admin::Change| wire::Change {
        base: change.base.0,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    let raw = match request {
        Request::Set {
            path,
            key,
            value,
            change,
        } => wire::Command::Set {
            path: read::text(catalog, path),
            key: key.clone(),
            value: value.as_ref().map(ToString::to_string),
            change: carried(change),
        },
        Request::Mark {
            target,
            state,
            change,
        } => wire::Command::Mark {
            target: target.to_string(),
            state: (*state).into(),
            change: carried(change),
        },
        _ => return Err(Reply::not_found("the change").into()),
    };
    Command::try_from(raw).map_err(|found| reply::findings(&found.0).into())
}

/// The command that retires a target, once no entry can send it work any more.
///
/// # Errors
/// Returns the refusal.
pub fn retire(
    now: Instant,
    catalog: &Catalog,
    lead: &Lead,
    target: &Name,
    change: &admin::Change,
) -> Result<Command, Box<Reply>> {
    let Some(known) = catalog.target(target.as_str()) else {
        return Err(Reply::not_found(&format!("target {target}")).into());
    };
    if let Some(winner) = known.winner().filter(|w| w.revision > change.base) {
        return Err(reply::conflict(winner).into());
    }
    if known.state() != State::Leaving {
        let text = format!("{target} is not leaving; mark it leaving first");
        return Err(Reply::refused(text).into());
    }
    let changed = known.state_revision();
    let waiting: Vec<&str> = lead
        .grants()
        .unfenced_instances(now, changed)
        .map(Name::as_str)
        .collect();
    if !waiting.is_empty() {
        let names = waiting.join(", ");
        let text = format!("{names} may still send work to {target}; try again");
        return Err(Reply::refused(text).into());
    }
    Ok(Command::Retire {
        target: target.clone(),
    })
}

/// The command that begins a planned change of primary: a fence with hold. The change then goes on
/// as one for a draining primary does, to the most advanced serving replica, and is undone if none
/// catches up in time.
///
/// The catalog keeps no request ids for fences. A resend is recognized by the fence's reason while
/// that is the database's last change; after that its base revision is too old.
///
/// # Errors
/// Returns the refusal.
pub fn switch(
    catalog: &Catalog,
    name: &Name,
    target: Option<&Name>,
    change: &admin::Change,
) -> Result<Step<Command>, Box<Reply>> {
    let Some(database) = catalog.database(name.as_str()) else {
        return Err(Reply::not_found(&format!("database {name}")).into());
    };
    if target.is_some() {
        // The choice is made from positions after the fence, and a replica that lacks a write must
        // not win because an operator named it.
        let text = "a switch to a named target is not supported; mark the other replicas draining \
                    and switch without a target";
        return Err(Reply::refused(text.to_owned()).into());
    }
    let reason = format!("by {} as {}", change.operator, change.request);
    if reason.len() > catalog::command::MAX_REASON_BYTES {
        let text = "operator and request id are too long together";
        return Err(Reply::refused(text.to_owned()).into());
    }
    if database.reason() == reason {
        return Ok(Step::Done(database.phase_since()));
    }
    if database.phase_since() > change.base {
        let (at, last) = (database.phase_since().0, database.reason());
        let text = format!("{name} changed its primary or phase at revision {at} ({last})");
        return Err(Reply::refused(text).into());
    }
    let (Phase::Steady, Some((primary, term))) = (database.phase(), database.writable_primary())
    else {
        let text = format!("{name} has no primary or is changing it");
        return Err(Reply::refused(text).into());
    };
    let mut members = catalog.members(name.as_str());
    if !members.any(|(other, known)| other != primary && known.state() == State::Serving) {
        return Err(Reply::refused(format!("{name} has no serving replica")).into());
    }
    Ok(Step::Propose(Command::Fence {
        database: name.clone(),
        term: Term(term.0 + 1),
        hold: true,
        reason,
    }))
}

/// The change of the member list. `reported` is the disk that the instance said it has; `index` is
/// that of the list in force.
///
/// # Errors
/// Returns the refusal.
pub fn member(
    members: &[Member],
    index: u64,
    reported: Option<Disk>,
    request: &Request,
) -> Result<Step<consensus::Change>, Box<Reply>> {
    let (instance, change) = match request {
        Request::Join {
            instance, change, ..
        }
        | Request::Promote { instance, change }
        | Request::Remove { instance, change } => (instance, change),
        _ => return Err(Reply::not_found("the change").into()),
    };
    let known = members.iter().find(|member| member.instance == *instance);
    let done = Step::Done(Revision(index));
    let step = match request {
        Request::Join { address, disk, .. } => {
            join(instance, *address, disk.map(Disk).or(reported), known, done)?
        }
        _ => {
            let Some(known) = known else {
                return Err(Reply::not_found(&format!("control instance {instance}")).into());
            };
            let identity = Identity {
                instance: instance.clone(),
                disk: known.disk,
            };
            match request {
                Request::Promote { .. } if known.seat == Seat::Voter => done,
                Request::Promote { .. } => Step::Propose(consensus::Change::Promote(identity)),
                _ => Step::Propose(consensus::Change::Remove(identity)),
            }
        }
    };
    if !matches!(step, Step::Done(_)) && change.base < Revision(index) {
        let text = format!("the member list changed at revision {index}; read it again");
        return Err(Reply::refused(text).into());
    }
    Ok(step)
}

fn join(
    instance: &Name,
    address: SocketAddr,
    disk: Option<Disk>,
    known: Option<&Member>,
    done: Step<consensus::Change>,
) -> Result<Step<consensus::Change>, Box<Reply>> {
    let Some(disk) = disk else {
        let text = format!("{instance} has not reported its disk; start it or name the disk");
        return Err(Reply::refused(text).into());
    };
    if known.is_some_and(|known| known.disk == disk && known.address == address) {
        return Ok(done);
    }
    let identity = Identity {
        instance: instance.clone(),
        disk,
    };
    Ok(Step::Propose(consensus::Change::Join(identity, address)))
}

impl Loop {
    pub(crate) fn change(&mut self, now: Instant, call: Call, request: &Request) -> Result<()> {
        if !self.is_current(now) {
            self.turn_away(call);
            return Ok(());
        }
        let prepared = match (request, &self.lead) {
            (Request::Join { .. } | Request::Promote { .. } | Request::Remove { .. }, _) => {
                return self.change_member(now, call, request);
            }
            (
                Request::Switch {
                    database,
                    target,
                    change,
                },
                _,
            ) => switch(&self.catalog, database, target.as_ref(), change),
            (Request::Retire { target, change }, Some(lead)) => self
                .is_settled()
                .and_then(|()| retire(now, &self.catalog, lead, target, change))
                .map(Step::Propose),
            _ => command(&self.catalog, request).map(Step::Propose),
        };
        match prepared {
            Ok(Step::Propose(command)) => self.propose_change(now, call, &command),
            Ok(Step::Done(revision)) => {
                self.await_entries(now, call, revision);
                Ok(())
            }
            Err(answer) => {
                self.answer(call, &answer);
                Ok(())
            }
        }
    }

    /// A command on its way could make the target serving again and leaving once more, which the
    /// entries would not have confirmed.
    fn is_settled(&self) -> Result<(), Box<Reply>> {
        if self.node.last_position().index == self.applied {
            return Ok(());
        }
        let text = "an earlier change is not complete; try again";
        Err(Reply::refused(text.to_owned()).into())
    }

    fn propose_change(&mut self, now: Instant, call: Call, command: &Command) -> Result<()> {
        let waiter = Waiter::Reply(Pending(call));
        if let Err((refusal, Waiter::Reply(Pending(call)))) = self.propose(now, command, waiter)? {
            self.refuse(call, &refusal);
        }
        Ok(())
    }

    fn change_member(&mut self, now: Instant, call: Call, request: &Request) -> Result<()> {
        let reported = match request {
            Request::Join { instance, .. } => self.introductions.of(instance.as_str()),
            _ => None,
        };
        let reported = reported.map(|hello| hello.identity.disk);
        let index = self.node.members_index();
        let change = match member(self.node.members(), index, reported, request) {
            Ok(Step::Propose(change)) => change,
            Ok(Step::Done(_)) => {
                self.answer(call, &reply::accepted(Revision(index), Vec::new()));
                return Ok(());
            }
            Err(answer) => {
                self.answer(call, &answer);
                return Ok(());
            }
        };
        let mut actions = Vec::new();
        match self.node.on_change(now, &change, &mut actions) {
            Ok(position) => {
                tracing::info!(?change, "change of the member list by an operator");
                let waiter = Waiter::Reply(Pending(call));
                self.waiting
                    .insert(position.index, (position.epoch, waiter));
            }
            Err(refusal) => self.refuse(call, &refusal),
        }
        self.drive(now, actions)
    }
}
