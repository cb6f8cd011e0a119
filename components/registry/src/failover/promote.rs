//! A promotion in progress, from the committed choice until its confirmation.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use types::target::Role;

use crate::history::Lifetime;
use crate::server::Life;
use crate::state::{Primary, Registry};

/// Interval of the checks whether a promotion has taken effect.
pub(super) const VERIFY_INTERVAL: Duration = Duration::from_millis(120);
/// Time limit for a promotion to take effect; afterwards all positions are gathered again.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Debug)]
pub(super) struct Promote {
    pub id: String,
    pub token: u64,
    /// The lives on whose logs and pauses the choice rests; none if the server led already.
    pub proof: BTreeSet<Lifetime>,
    pub deadline: Instant,
    /// When the platform is called next; `None` during a call and once a call was accepted.
    pub call_at: Option<Instant>,
    pub accepted: bool,
    /// It is the primary; its confirmation has been proposed.
    pub is_primary: bool,
    pub verify_at: Instant,
    /// Last heartbeat before the promotion, if it reported the role of a replica.
    pub life_as_replica: Option<Life>,
}

impl Promote {
    pub fn is_confirmed(&self, service: &str, registry: &Registry) -> bool {
        let chosen = registry.chosen_primary(service);
        chosen.is_some_and(|chosen| chosen.token == self.token && chosen.confirmed)
    }

    /// Whether the lives on which the choice rests go on. One that has restarted lacks its log and
    /// receives commits of the old primary.
    pub fn is_proved(&self, registry: &Registry, is_identified: impl Fn(&str) -> bool) -> bool {
        let goes_on = |life: &Lifetime| {
            let server = registry.server(&life.id);
            server.is_some_and(|server| server.life.born == life.born) && is_identified(&life.id)
        };
        self.proof.iter().all(goes_on)
    }

    /// Whether a heartbeat since the promotion reports the role of a primary. An overloaded server
    /// may leave commands unanswered for a while, but its heartbeats report the new role at once.
    pub fn has_reported_primary(&self, registry: &Registry) -> bool {
        let (Some(life), Some(server)) = (self.life_as_replica, registry.server(&self.id)) else {
            return false;
        };
        server.role == Role::Primary
            && server.life.born == life.born
            && server.life.sequence > life.sequence
    }

    pub fn new(
        now: Instant,
        chosen: &Primary,
        proof: BTreeSet<Lifetime>,
        registry: &Registry,
    ) -> Self {
        let (id, token) = (chosen.id.clone(), chosen.token);
        let server = registry.server(&id);
        let replica = server.filter(|server| server.role == Role::Replica);
        Self {
            life_as_replica: replica.map(|server| server.life),
            id,
            token,
            proof,
            deadline: now + PROMOTION_TIMEOUT,
            call_at: Some(now),
            accepted: false,
            is_primary: false,
            verify_at: now + VERIFY_INTERVAL,
        }
    }
}
