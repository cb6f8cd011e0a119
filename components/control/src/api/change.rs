//! Operators' changes: checks before they are proposed.

use std::net::SocketAddr;
use std::time::Instant;

use admin::{Reply, Request};
use anyhow::Result;
use catalog::{Catalog, Command, Phase};
use consensus::{Disk, Identity, Member, Seat};
use types::target::State;
use types::{Name, Revision, Term};

use super::{Call, Pending, coverage, read, reply};
use crate::leader::Leader;
use crate::process::{Loop, Waiter};

/// Result of the checks of a change that is not refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision<C> {
    /// The change is in force since this revision; the request is most likely a resend.
    InForce(Revision),
    /// The change is to be proposed.
    Propose(C),
}

/// The command that changes a setting or the state of a target.
///
/// # Errors
/// Returns all findings of its validation.
pub fn command(catalog: &Catalog, request: &Request) -> Result<Command, Box<Reply>> {
    let wire_change = |change: &admin::Change| wire::Change {
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
            path: read::path_text(catalog, path),
            key: key.clone(),
            value: value.as_ref().map(ToString::to_string),
            change: wire_change(change),
        },
        Request::Mark {
            target,
            state,
            change,
        } => wire::Command::Mark {
            target: target.to_string(),
            state: (*state).into(),
            change: wire_change(change),
        },
        _ => return Err(Reply::not_found("the change").into()),
    };
    Command::try_from(raw).map_err(|found| reply::findings(&found.0).into())
}

/// The command that retires a target, once no entry can send statements to it any more and the other
/// replicas have every write that it acknowledged.
///
/// # Errors
/// Returns the refusal.
pub fn retire(
    now: Instant,
    catalog: &Catalog,
    leader: &Leader,
    target: &Name,
    change: &admin::Change,
) -> Result<Command, Box<Reply>> {
    let Some(current) = catalog.target(target.as_str()) else {
        return Err(Reply::not_found(&format!("target {target}")).into());
    };
    if let Some(winner) = current.winner().filter(|w| w.revision > change.base) {
        return Err(reply::conflict(winner).into());
    }
    if current.state() != State::Leaving {
        let text = format!("{target} is not leaving; mark it leaving first");
        return Err(Reply::refused(text).into());
    }
    let changed_at = current.state_revision();
    let unfenced: Vec<&str> = leader
        .leases()
        .unfenced_instances(now, changed_at)
        .map(Name::as_str)
        .collect();
    if !unfenced.is_empty() {
        let names = unfenced.join(", ");
        let text = format!("{names} may still send work to {target}; try again");
        return Err(Reply::refused(text).into());
    }
    let database_name = &current.announcement().database;
    if let Some(database) = catalog.database(database_name.as_str()) {
        coverage::check(now, catalog, leader, target, database, database_name)
            .map_err(|gap| Reply::refused(gap.text(target)))?;
    }
    Ok(Command::Retire {
        target: target.clone(),
    })
}

/// The command that begins a planned change of primary: a fence with hold. The change then proceeds
/// as for a draining primary, to the most advanced serving replica, and is undone if none catches
/// up in time.
///
/// The catalog keeps no request ids for fences. A resend is recognized by the reason of the fence
/// while the fence is the database's last change; after that its base revision is too old.
///
/// # Errors
/// Returns the refusal.
pub fn switch(
    catalog: &Catalog,
    name: &Name,
    target: Option<&Name>,
    change: &admin::Change,
) -> Result<Decision<Command>, Box<Reply>> {
    let Some(database) = catalog.database(name.as_str()) else {
        return Err(Reply::not_found(&format!("database {name}")).into());
    };
    if target.is_some() {
        // The replica is chosen by its position after the fence. A named one that lacks a write
        // would lose that write.
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
        return Ok(Decision::InForce(database.phase_since()));
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
    if !members.any(|(other, current)| other != primary && current.state() == State::Serving) {
        return Err(Reply::refused(format!("{name} has no serving replica")).into());
    }
    Ok(Decision::Propose(Command::Fence {
        database: name.clone(),
        term: Term(term.0 + 1),
        hold: true,
        reason,
    }))
}

/// The change of the member list for a request. `reported` is the disk from the instance's own
/// introduction; `index` is the log index of the list in force.
///
/// # Errors
/// Returns the refusal.
pub fn member_change(
    members: &[Member],
    index: u64,
    reported: Option<Disk>,
    request: &Request,
) -> Result<Decision<consensus::Change>, Box<Reply>> {
    let (instance, change) = match request {
        Request::Join {
            instance, change, ..
        }
        | Request::Promote { instance, change }
        | Request::Remove { instance, change } => (instance, change),
        _ => return Err(Reply::not_found("the change").into()),
    };
    let current = members.iter().find(|member| member.instance == *instance);
    let in_force = Decision::InForce(Revision(index));
    let decision = match request {
        Request::Join { address, disk, .. } => join_change(
            instance,
            *address,
            disk.map(Disk).or(reported),
            current,
            in_force,
        )?,
        _ => {
            let Some(current) = current else {
                return Err(Reply::not_found(&format!("control instance {instance}")).into());
            };
            let identity = Identity {
                instance: instance.clone(),
                disk: current.disk,
            };
            match request {
                Request::Promote { .. } if current.seat == Seat::Voter => in_force,
                Request::Promote { .. } => Decision::Propose(consensus::Change::Promote(identity)),
                _ => Decision::Propose(consensus::Change::Remove(identity)),
            }
        }
    };
    if !matches!(decision, Decision::InForce(_)) && change.base < Revision(index) {
        let text = format!("the member list changed at revision {index}; read it again");
        return Err(Reply::refused(text).into());
    }
    Ok(decision)
}

fn join_change(
    instance: &Name,
    address: SocketAddr,
    disk: Option<Disk>,
    current: Option<&Member>,
    in_force: Decision<consensus::Change>,
) -> Result<Decision<consensus::Change>, Box<Reply>> {
    let Some(disk) = disk else {
        let text = format!("{instance} has not reported its disk; start it or name the disk");
        return Err(Reply::refused(text).into());
    };
    if current.is_some_and(|current| current.disk == disk && current.address == address) {
        return Ok(in_force);
    }
    let identity = Identity {
        instance: instance.clone(),
        disk,
    };
    Ok(Decision::Propose(consensus::Change::Join(
        identity, address,
    )))
}

impl Loop {
    pub(crate) fn handle_change(
        &mut self,
        now: Instant,
        call: Call,
        request: &Request,
    ) -> Result<()> {
        if !self.is_current(now) {
            self.refuse_unproposed(call);
            return Ok(());
        }
        let decision = match (request, &self.leader) {
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
            (Request::Retire { target, change }, Some(leader)) => self
                .check_log_applied()
                .and_then(|()| retire(now, &self.catalog, leader, target, change))
                .map(Decision::Propose),
            _ => command(&self.catalog, request).map(Decision::Propose),
        };
        match decision {
            Ok(Decision::Propose(command)) => self.propose_change(now, call, &command),
            Ok(Decision::InForce(revision)) => {
                self.await_entries(now, call, revision);
                Ok(())
            }
            Err(answer) => {
                self.answer(call, &answer);
                Ok(())
            }
        }
    }

    /// Refuses while the log holds commands that are not applied. They could set the target to
    /// serving and back to leaving, at a revision that the entries have not confirmed.
    fn check_log_applied(&self) -> Result<(), Box<Reply>> {
        if self.node.last_position().index == self.applied_index {
            return Ok(());
        }
        let text = "an earlier change is not complete; try again";
        Err(Reply::refused(text.to_owned()).into())
    }

    fn propose_change(&mut self, now: Instant, call: Call, command: &Command) -> Result<()> {
        let waiter = Waiter::Operator(Pending(call));
        if let Err((refusal, Waiter::Operator(Pending(call)))) =
            self.propose(now, command, waiter)?
        {
            self.refuse(call, &refusal);
        }
        Ok(())
    }

    fn change_member(&mut self, now: Instant, call: Call, request: &Request) -> Result<()> {
        let reported = match request {
            Request::Join { instance, .. } => self.introductions.get(instance.as_str()),
            _ => None,
        };
        let reported = reported.map(|hello| hello.identity.disk);
        let index = self.node.members_index();
        let change = match member_change(self.node.members(), index, reported, request) {
            Ok(Decision::Propose(change)) => change,
            Ok(Decision::InForce(_)) => {
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
                tracing::info!(?change, "proposed an operator's change of the member list");
                let waiter = Waiter::Operator(Pending(call));
                self.waiters
                    .insert(position.index, (position.epoch, waiter));
            }
            Err(refusal) => self.refuse(call, &refusal),
        }
        self.run_node_actions(now, actions)
    }
}
