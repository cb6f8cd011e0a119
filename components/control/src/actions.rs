//! Actions of changes of primary: proposals and commands to targets.

use std::time::Instant;

use anyhow::Result;
use failover::{Action, StallReason};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use types::{Lsn, Name};

use crate::event::Event;
use crate::process::{Loop, Waiter};
use crate::target::Target;

/// Reason of a failed follow command in the counter `retries`.
pub const FOLLOW: &str = "follow";
/// Follow commands under way. A new leader points every replica at its primary; all at once, the
/// connections kept the loop from sending heartbeats, and the leader was lost at 15,600 targets.
const MAX_FOLLOWS: usize = 32;

impl Loop {
    pub(crate) fn act(&mut self, now: Instant, actions: Vec<(Name, Action)>) -> Result<()> {
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
                    let Some(address) = self.address(&database, &target) else {
                        continue;
                    };
                    start(&self.events, "position", async move {
                        let position = address.position().await?;
                        Ok(Event::Position {
                            database,
                            target,
                            round,
                            position,
                        })
                    });
                }
                Action::Promote { target, term } => {
                    let Some(address) = self.address(&database, &target) else {
                        continue;
                    };
                    let chosen = self.catalog.database(database.as_str());
                    let chosen = chosen.map_or(Lsn(0), |database| database.point_at_choice().lsn);
                    start(&self.events, "promote", async move {
                        let (term, start) = address.promote(term, chosen).await?;
                        Ok(Event::Promoted {
                            database,
                            target,
                            term,
                            start,
                        })
                    });
                }
                Action::Follow { .. } if self.follows >= MAX_FOLLOWS => {
                    self.metrics.common.retries.add("follow_later");
                }
                Action::Follow { target, primary } => {
                    let Some(address) = self.address(&database, &target) else {
                        continue;
                    };
                    let Some(source) = self.address(&database, &primary) else {
                        continue;
                    };
                    self.follows += 1;
                    start(&self.events, FOLLOW, async move {
                        address.follow(source.address).await?;
                        Ok(Event::Following {
                            database,
                            target,
                            primary,
                        })
                    });
                }
                Action::ReportStall(reason) => {
                    tracing::warn!(%database, %reason, "change of primary makes no progress");
                    self.metrics.stalled.add(label(&reason));
                }
                Action::ObserveStage(stage, took) => {
                    tracing::info!(%database, ?stage, ms = took.as_millis(), "stage of a change");
                    self.metrics.stage(stage).observe(took.as_secs_f64());
                }
            }
        }
        Ok(())
    }

    fn address(&self, database: &Name, target: &Name) -> Option<Target> {
        let address = self.catalog.target(target.as_str())?.announcement().address;
        let user = self.settings.target_user.clone();
        Some(Target {
            address,
            user,
            database: database.to_string(),
        })
    }
}

/// Runs a command in a task of its own; a failure is counted and the machine asks again.
fn start(
    events: &mpsc::Sender<Event>,
    kind: &'static str,
    command: impl Future<Output = Result<Event>> + 'static,
) {
    let events = events.clone();
    spawn_local(async move {
        let event = command.await.unwrap_or_else(|error| {
            tracing::debug!(kind, error = %format!("{error:#}"), "command to a target failed");
            Event::CommandFailed(kind)
        });
        let _ended = events.send(event).await;
    });
}

fn label(reason: &StallReason) -> &'static str {
    match reason {
        StallReason::NoReplica => "no_replica",
        StallReason::TooFewReplicas { .. } => "too_few",
        StallReason::NoSinglePrimary => "no_single_primary",
        StallReason::PromotionUnanswered(_) => "no_promotion",
        StallReason::UnexpectedTerm(..) => "other_term",
        StallReason::ChosenLostData(_) => "emptied",
        StallReason::SwitchUndone => "undone",
        StallReason::CommandRefused(_) => "refused",
    }
}
