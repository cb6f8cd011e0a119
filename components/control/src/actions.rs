//! Executes the actions of failover machines: proposals and commands to targets.

use std::time::Instant;

use anyhow::Result;
use failover::{Action, Stall};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use types::{Lsn, Name};

use crate::event::Event;
use crate::process::{Loop, Waiter};
use crate::target::Connector;

/// Reason of a failed follow command in the counter `retries`.
pub const FOLLOW_REASON: &str = "follow";
/// Limit of concurrent follow commands. A new leader points every replica at its primary; without a
/// limit, the connections to 15,600 targets delayed heartbeats until the leader lost its role.
const MAX_RUNNING_FOLLOWS: usize = 32;

impl Loop {
    pub(crate) fn run_failover_actions(
        &mut self,
        now: Instant,
        actions: Vec<(Name, Action)>,
    ) -> Result<()> {
        for (database, action) in actions {
            match action {
                Action::Propose(command) => {
                    tracing::info!(%database, ?command, "change of primary");
                    if self
                        .propose(now, &command, Waiter::Machine(database))?
                        .is_err()
                    {
                        self.metrics.common.retries.add("proposal");
                    }
                }
                Action::QueryPosition { target, round } => {
                    let Some(connector) = self.connector(&database, &target) else {
                        continue;
                    };
                    spawn_command(&self.events, "position", async move {
                        let position = connector.position().await?;
                        Ok(Event::Position {
                            database,
                            target,
                            round,
                            position,
                        })
                    });
                }
                Action::Promote { target, term } => {
                    let Some(connector) = self.connector(&database, &target) else {
                        continue;
                    };
                    let chosen = self.catalog.database(database.as_str());
                    let chosen = chosen.map_or(Lsn(0), |database| database.point_at_choice().lsn);
                    spawn_command(&self.events, "promote", async move {
                        let (term, start) = connector.promote(term, chosen).await?;
                        Ok(Event::Promoted {
                            database,
                            target,
                            term,
                            start,
                        })
                    });
                }
                Action::Follow { .. } if self.running_follows >= MAX_RUNNING_FOLLOWS => {
                    self.metrics.common.retries.add("follow_later");
                }
                Action::Follow { target, primary } => {
                    let Some(connector) = self.connector(&database, &target) else {
                        continue;
                    };
                    let Some(upstream) = self.connector(&database, &primary) else {
                        continue;
                    };
                    self.running_follows += 1;
                    spawn_command(&self.events, FOLLOW_REASON, async move {
                        connector.follow(upstream.address).await?;
                        Ok(Event::Following {
                            database,
                            target,
                            primary,
                        })
                    });
                }
                Action::ReportStall(reason) => {
                    tracing::warn!(%database, %reason, "change of primary makes no progress");
                    self.metrics.stalled.add(stall_label(&reason));
                }
                Action::ObserveStage(stage, duration) => {
                    tracing::info!(%database, ?stage, ms = duration.as_millis(), "stage of a change of primary ended");
                    self.metrics.stage(stage).observe(duration.as_secs_f64());
                }
            }
        }
        Ok(())
    }

    fn connector(&self, database: &Name, target: &Name) -> Option<Connector> {
        let address = self.catalog.target(target.as_str())?.announcement().address;
        let user = self.settings.target_user.clone();
        Some(Connector {
            address,
            user,
            database: database.to_string(),
        })
    }
}

/// Runs a command to a target in its own task and sends the resulting event. A failure is counted,
/// and the failover machine requests the command again.
fn spawn_command(
    events: &mpsc::Sender<Event>,
    kind: &'static str,
    command: impl Future<Output = Result<Event>> + 'static,
) {
    let events = events.clone();
    spawn_local(async move {
        let event = command.await.unwrap_or_else(|error| {
            tracing::debug!(kind, error = %format!("{error:#}"), "command to a target failed; its failover machine repeats it");
            Event::CommandFailed(kind)
        });
        let _ended = events.send(event).await;
    });
}

fn stall_label(reason: &Stall) -> &'static str {
    match reason {
        Stall::NoReplica => "no_replica",
        Stall::TooFewReplicas { .. } => "too_few",
        Stall::NoSinglePrimary => "no_single_primary",
        Stall::PromotionUnanswered(_) => "no_promotion",
        Stall::UnexpectedTerm(..) => "other_term",
        Stall::ChosenLostData(_) => "emptied",
        Stall::SwitchUndone => "undone",
        Stall::CommandRefused(_) => "refused",
    }
}
