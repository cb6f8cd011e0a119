//! `status`: shows the state of the system.

use admin::api::{Database, Entry, Member, Status};
use admin::client::Call;
use clap::Command;

use super::targets;
use crate::failure::Failure;
use crate::session::Session;
use crate::table::{self, optional};

pub fn command() -> Command {
    Command::new("status").about("Show control, entries, databases and targets")
}

pub async fn run(session: &Session) -> Result<(), Failure> {
    session.show(&Call::get("/v1/status"), render).await
}

fn render(status: &Status) -> String {
    let summary = format!(
        "leader {}, epoch {}, revision {}, answered by {}\n",
        status.leader.as_deref().unwrap_or("unknown"),
        status.epoch,
        status.revision,
        status.instance
    );
    let databases = status.databases.as_slice();
    let all_targets: Vec<_> = databases
        .iter()
        .flat_map(|database| &database.targets)
        .collect();
    [
        summary,
        render_members(&status.members),
        render_entries(&status.entries),
        render_databases(databases),
        targets::render(&all_targets),
    ]
    .join("\n")
}

/// Renders the control instances as a table.
pub fn render_members(members: &[Member]) -> String {
    let row = |member: &Member| {
        [
            member.instance.clone(),
            member.seat.to_string(),
            optional(member.matched),
            member.address.clone(),
            member.disk.clone(),
        ]
    };
    let rows: Vec<_> = members.iter().map(row).collect();
    table::render(["CONTROL", "SEAT", "MATCHED", "ADDRESS", "DISK"], &rows)
}

fn render_entries(entries: &[Entry]) -> String {
    let row = |entry: &Entry| {
        [
            entry.instance.clone(),
            entry.domain.clone(),
            optional(entry.lease_ms),
            entry.revision.to_string(),
        ]
    };
    let rows: Vec<_> = entries.iter().map(row).collect();
    table::render(["ENTRY", "DOMAIN", "LEASE_MS", "REVISION"], &rows)
}

fn render_databases(databases: &[Database]) -> String {
    let row = |database: &Database| {
        [
            database.database.clone(),
            database.term.to_string(),
            database.phase.to_string(),
            optional(database.primary.as_deref()),
        ]
    };
    let rows: Vec<_> = databases.iter().map(row).collect();
    table::render(["DATABASE", "TERM", "PHASE", "PRIMARY"], &rows)
}
