//! Decides from the key of a session which tenant its caller belongs to.
//!
//! The key is looked up again for each transaction, so that a withdrawn key ends with the next plan.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use clock::{Clock, Moment};
use registry::tenant::Digest;

use crate::event::SessionKey;
use crate::process::Loop;
use crate::protocol::{Protocol, State};
use crate::refuse::Reason;
use crate::session::Route;
use crate::tenant;
use crate::timer::Timer;

/// Pulses of a coordinator in contact with the leader after which its plan is known to be in force
/// here: the first one may have been sent before the unknown key was presented.
const CONFIRMING_PULSES: u8 = 2;
/// How long a session with an unknown key waits for these pulses. Callers give up after 2 s.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Highest number of sessions that wait for the confirmation of their keys. A flood of invalid keys
/// must not take up the memory and descriptors of this proxy.
const MAX_UNCONFIRMED: usize = 256;
/// Highest number of tenants that a log line about withdrawn keys names, those with most sessions first.
const MAX_LOGGED_TENANTS: usize = 8;
/// A coordinator reports contact with the leader for up to this time after the contact.
const CONTACT_MARGIN: Duration = Duration::from_millis(1200);

/// A session whose key is unknown so far.
#[derive(Debug)]
struct Confirmation {
    database: String,
    /// Further pulses that are needed.
    pulses: u8,
    /// When the session is refused if they have not arrived.
    deadline: Instant,
}

/// Sessions that wait until their keys are confirmed or denied.
#[derive(Debug, Default)]
pub struct Unconfirmed(BTreeMap<SessionKey, Confirmation>);

impl Unconfirmed {
    #[must_use]
    pub fn contains(&self, key: SessionKey) -> bool {
        self.0.contains_key(&key)
    }

    pub fn remove(&mut self, key: SessionKey) {
        self.0.remove(&key);
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Answers the startup message of a session.
    pub(crate) fn on_startup(&mut self, now: Instant, key: SessionKey, database: &str, text: &str) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        session.digest = Some(Digest::of(text));
        if self.plan.version == 0 {
            return self.deny(key, Reason::NoPrimary);
        }
        match self.tenant(key, database) {
            Ok(_) => self.open_session(key, database),
            Err(Reason::KeyUnknown) if self.unconfirmed.0.len() < MAX_UNCONFIRMED => {
                let deadline = now + CONFIRMATION_TIMEOUT;
                let confirmation = Confirmation {
                    database: database.to_owned(),
                    pulses: CONFIRMING_PULSES,
                    deadline,
                };
                self.unconfirmed.0.insert(key, confirmation);
                self.timers.add(deadline, Timer::Session(key));
            }
            Err(reason) => self.deny(key, reason),
        }
    }

    /// The tenant of a session's caller for a database; `None` if the route is public and no tenant
    /// holds the key.
    ///
    /// # Errors
    /// Returns why the caller may not use the database.
    pub(crate) fn tenant(
        &self,
        key: SessionKey,
        database: &str,
    ) -> Result<Option<tenant::Id>, Reason> {
        let route = self.plan.routes.get(database).ok_or(Reason::NoDatabase)?;
        let digest = self.sessions.get(key).and_then(|session| session.digest);
        let holder = digest.and_then(|digest| self.directory.holder(&digest));
        if route.public {
            return Ok(holder);
        }
        if !self.keys_hold(self.clock.moment()) {
            return Err(Reason::KeyUnconfirmed);
        }
        holder.map(Some).ok_or(Reason::KeyUnknown)
    }

    /// The route of the session's database in the current plan, and the tenant of its caller.
    ///
    /// # Errors
    /// Returns why the session may not begin an operation.
    pub(crate) fn route(&self, key: SessionKey) -> Result<Route, Reason> {
        let session = self.sessions.get(key).ok_or(Reason::NoDatabase)?;
        let database = session.database.as_deref().ok_or(Reason::NoDatabase)?;
        let tenant = self.tenant(key, database);
        let tenant = tenant.map_err(|reason| match reason {
            // The key was known when the session began.
            Reason::KeyUnknown => Reason::KeyWithdrawn,
            other => other,
        })?;
        let route = self.plan.routes.get(database).ok_or(Reason::NoDatabase)?;
        let service = self.service_indices.get(&route.service);
        Ok(Route {
            service: *service.ok_or(Reason::NoDatabase)?,
            freshness: route.freshness,
            timeout: route.timeout,
            goal: route.goal,
            priority: route.priority,
            tenant,
        })
    }

    /// Rejects the start of an operation. A session whose key was withdrawn ends.
    pub(crate) fn reject_operation(&mut self, key: SessionKey, reason: Reason) {
        self.reject(key, reason);
        if reason == Reason::KeyWithdrawn {
            self.end_session(key, Some(reason));
        }
    }

    /// Whether the keys of the plan may still be served. A proxy that has just started may have its
    /// plan from a coordinator that is behind, in which withdrawn keys are still valid.
    pub(crate) fn keys_hold(&self, moment: Moment) -> bool {
        let keys = self.settings.keys;
        let limit = keys.contact_timeout.saturating_sub(CONTACT_MARGIN);
        let last_contact = self.subscription.last_contact();
        last_contact.is_some_and(|at| !keys.require_contact || moment.since(at) < limit)
    }

    fn open_session(&mut self, key: SessionKey, database: &str) {
        if let Some(session) = self.sessions.get_mut(key) {
            session.database = Some(database.to_owned());
            P::encode_ready(&mut session.out, State::Idle, None);
            self.dirty_sessions.push(key);
            self.ready_sessions.push(key);
        }
    }

    /// Refuses a session that has not begun.
    fn deny(&mut self, key: SessionKey, reason: Reason) {
        self.metrics.common.refusals.add(reason.label());
        if let Some(session) = self.sessions.get_mut(key) {
            P::encode_error(&mut session.out, reason.code(), reason.text());
        }
        self.end_session(key, None);
    }

    /// Looks the keys of waiting sessions up again after a pulse of a coordinator that is in contact
    /// with the leader.
    pub(crate) fn confirm_keys(&mut self) {
        for confirmation in self.unconfirmed.0.values_mut() {
            confirmation.pulses = confirmation.pulses.saturating_sub(1);
        }
        self.admit_unconfirmed();
    }

    /// Opens the waiting sessions whose keys are known by now, and denies those whose keys are
    /// confirmed to be unknown.
    fn admit_unconfirmed(&mut self) {
        let sessions: Vec<SessionKey> = self.unconfirmed.0.keys().copied().collect();
        for key in sessions {
            let Some(confirmation) = self.unconfirmed.0.get(&key) else {
                continue;
            };
            let database = confirmation.database.clone();
            let is_final = confirmation.pulses == 0;
            match self.tenant(key, &database) {
                Ok(_) => {
                    self.unconfirmed.remove(key);
                    self.open_session(key, &database);
                }
                Err(reason) if is_final => {
                    self.unconfirmed.remove(key);
                    self.deny(key, reason);
                }
                Err(_) => {}
            }
        }
    }

    /// Refuses a session whose key could not be confirmed in time. Returns false if the session does
    /// not wait for that.
    pub(crate) fn on_confirmation_due(&mut self, now: Instant, key: SessionKey) -> bool {
        let Some(confirmation) = self.unconfirmed.0.get(&key) else {
            return false;
        };
        if now >= confirmation.deadline {
            self.unconfirmed.remove(key);
            self.deny(key, Reason::KeyUnconfirmed);
        }
        true
    }

    /// Denies the sessions that wait for the confirmation of their keys, since this proxy stops.
    pub(crate) fn refuse_unconfirmed(&mut self) {
        for key in std::mem::take(&mut self.unconfirmed.0).into_keys() {
            self.deny(key, Reason::Stopping);
        }
    }

    /// Whether closing the session interrupts nothing. A session that waits for the confirmation of
    /// its key is owed an answer.
    pub(crate) fn is_idle(&self, key: SessionKey) -> bool {
        let session = self.sessions.get(key);
        session.is_some_and(|session| session.is_idle()) && !self.unconfirmed.contains(key)
    }

    /// Applies a new plan to the sessions: closes idle ones whose keys were withdrawn. Others are
    /// denied at their next transaction. Sessions are looked at only if keys have changed, because
    /// plans may follow each other within milliseconds.
    pub(crate) fn on_plan_changed(&mut self) {
        let earlier = self.directory.update(&self.plan);
        self.admit_unconfirmed();
        let Some(earlier) = earlier else {
            return;
        };
        let keys = self.directory.keys();
        let (mut withdrawn, mut idle) = (BTreeMap::<Option<tenant::Id>, usize>::new(), Vec::new());
        for (key, session) in &self.sessions {
            let Some(route) = session.database.as_deref() else {
                continue;
            };
            let digest = session.digest.as_ref();
            if session.closing.is_some() || keys.admit(route, digest) {
                continue;
            }
            // Sessions that outlived an earlier withdrawal were reported then.
            if earlier.admit(route, digest) {
                let holder = digest.and_then(|digest| earlier.holder(digest));
                *withdrawn.entry(holder).or_default() += 1;
            }
            if session.is_idle() {
                idle.push(key);
            }
        }
        if !withdrawn.is_empty() {
            self.log_withdrawn(withdrawn);
        }
        for key in idle {
            self.metrics
                .common
                .refusals
                .add(Reason::KeyWithdrawn.label());
            self.end_session(key, Some(Reason::KeyWithdrawn));
        }
    }

    /// Reports the number of sessions whose keys were withdrawn, by their tenants so far.
    fn log_withdrawn(&self, withdrawn: BTreeMap<Option<tenant::Id>, usize>) {
        let sessions: usize = withdrawn.values().sum();
        let mut counts: Vec<_> = withdrawn.into_iter().collect();
        counts.sort_by_key(|(_, count)| Reverse(*count));
        let named = counts.iter().take(MAX_LOGGED_TENANTS).map(|(id, count)| {
            // On a route that was public, a session may have had no tenant.
            let name = id.map_or("-", |id| self.directory.name(id));
            format!("{name}={count}")
        });
        tracing::info!(
            sessions,
            plan = self.plan.version,
            tenants = named.collect::<Vec<_>>().join(" "),
            unnamed_tenants = counts.len().saturating_sub(MAX_LOGGED_TENANTS),
            "keys of open sessions were withdrawn"
        );
    }
}
