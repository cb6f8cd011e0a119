//! Carries out what the failover machines of the services decide.

use std::time::Instant;

use anyhow::Result;
use registry::Order;
use registry::failover::{Action, Cover};

use crate::api::Api;
use crate::process::{Loop, Waiter};
use crate::servers::{self, Connection};

impl<A: Api, C: Connection> Loop<A, C> {
    /// Carries out actions of the failover machines.
    pub(crate) fn run_failover_actions(
        &mut self,
        now: Instant,
        actions: Vec<(String, Action)>,
    ) -> Result<()> {
        for (service, action) in actions {
            let order = match action {
                Action::Command { id, command } => {
                    if let Some(leadership) = &self.leadership {
                        leadership.command(&id, command);
                    }
                    continue;
                }
                Action::Promote { id, token } => {
                    let (platform, holder) =
                        (self.settings.promoter, self.settings.instance.as_str());
                    servers::promote::<C>(&self.events, platform, holder, &service, &id, token);
                    continue;
                }
                Action::Choose { id, cover } => {
                    let cover = cover.map(|cover| cover_order(&service, cover));
                    if let Some(cover) = cover
                        && !self.propose_failover_order(now, &cover)?
                    {
                        continue;
                    }
                    Order::Lead { service, id }
                }
                Action::Cover(cover) => cover_order(&service, cover),
                Action::Confirm { token } => Order::Confirm { service, token },
            };
            self.propose_failover_order(now, &order)?;
        }
        Ok(())
    }

    /// Proposes an order of a failover machine, which tries again if it isn't committed. Returns
    /// whether it was proposed.
    fn propose_failover_order(&mut self, now: Instant, order: &Order) -> Result<bool> {
        let Err((refusal, _)) = self.propose(now, order, Waiter::None)? else {
            return Ok(true);
        };
        tracing::warn!(%refusal, ?order, "failover order not proposed; the failover machine tries again");
        self.metrics.common.retries.add("proposal");
        Ok(false)
    }
}

fn cover_order(service: &str, cover: Cover) -> Order {
    Order::Cover {
        service: service.to_owned(),
        until: cover.until,
        point: cover.point,
        term: cover.term,
    }
}
