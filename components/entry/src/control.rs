//! The entry's side of the stream to a control instance: lease, quotas and catalog.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ahash::HashMap;
use anyhow::{Context, Result, ensure};
use catalog::{Catalog, Command, Phase};
use lease::allowance::Allowance;
use lease::holder::Lease;
use lease::quota::Quota;
use tokio::sync::mpsc;
use types::{Name, Revision, Term};
use wire::{Down, Up};

/// Pause before the addresses are tried again after all of them failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// A lease is renewed after its TTL divided by this number.
const RENEWALS_PER_TTL: u32 = 4;

/// Connection state of the stream.
#[derive(Debug)]
enum State {
    /// Not connected; the next dial is due at this instant.
    Disconnected(Instant),
    /// A connection attempt is in progress.
    Dialing,
    Connected {
        out: mpsc::Sender<Up>,
        /// Deadline for the next grant; then another control instance is tried.
        silent_at: Instant,
        renew_at: Instant,
    },
}

/// Effect of a received message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// No effect outside of this type.
    None,
    /// The catalog has changed.
    Catalog,
    /// The lease and the quotas have changed.
    Lease,
    /// The stream has to be closed; another control instance is dialed.
    Closed,
}

/// State of the entry that a renewal reports.
#[derive(Debug, Default)]
pub struct Report {
    /// Connections wanted, by target.
    pub demand: Vec<wire::Demand>,
    /// Slots for long statements wanted, by target.
    pub long_slots: Vec<wire::Demand>,
    /// Results of the entry's probes.
    pub health: Vec<wire::Health>,
    /// Announcements received and not expired.
    pub announcements: Vec<wire::Announcement>,
    /// Whether every target's connections are within its quota.
    pub within_quotas: bool,
    /// Databases with transactions or writes that began before a hold and have not ended.
    pub unfinished: Vec<Name>,
}

/// Lease, quotas and catalog of an entry, and the state of its stream.
#[derive(Debug)]
pub struct Control {
    instance: Name,
    domain: Name,
    /// Distinguishes this run of the process from earlier ones.
    boot: u64,
    started_at: Instant,
    addresses: Vec<SocketAddr>,
    /// Index of the address to dial next.
    next_address: usize,
    /// Address of the leader as named by another control instance.
    leader: Option<SocketAddr>,
    state: State,
    lease: Lease,
    ttl: Duration,
    catalog: Option<Catalog>,
    connection_allowance: Allowance,
    /// Slots for long statements, by target.
    long_allowance: Allowance,
    /// Revision of the last renewal. No write made under an older catalog is acknowledged any more.
    reported_revision: Revision,
    /// For each held database, the end of the lease when this entry learned of the hold. Later
    /// grants count as granted under the hold, so they do not allow the acknowledgement of writes
    /// that began before it.
    lease_end_at_hold: HashMap<Name, Option<Instant>>,
}

impl Control {
    /// The state of an entry that has just started: without a stream, lease or catalog.
    #[must_use]
    pub fn new(
        instance: Name,
        domain: Name,
        boot: u64,
        addresses: Vec<SocketAddr>,
        now: Instant,
    ) -> Self {
        Self {
            instance,
            domain,
            boot,
            started_at: now,
            addresses,
            next_address: 0,
            leader: None,
            state: State::Disconnected(now),
            lease: Lease::default(),
            ttl: Duration::from_secs(1),
            catalog: None,
            connection_allowance: Allowance::default(),
            long_allowance: Allowance::default(),
            reported_revision: Revision(0),
            lease_end_at_hold: HashMap::default(),
        }
    }

    /// Sets a catalog cached by an earlier run; it serves for settings and reads while no control
    /// instance is reachable.
    pub fn restore(&mut self, catalog: Catalog) {
        self.catalog = Some(catalog);
    }

    /// The catalog, once one was received or restored.
    #[must_use]
    pub fn catalog(&self) -> Option<&Catalog> {
        self.catalog.as_ref()
    }

    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Whether the acknowledgement of a write made under `term` may be sent now.
    ///
    /// # Errors
    /// Returns why not, as a reason of the counter `unknown_outcomes`.
    pub fn may_acknowledge(
        &self,
        now: Instant,
        database: &Name,
        term: Term,
    ) -> Result<(), &'static str> {
        if !self.lease.is_valid(now) {
            return Err("lease");
        }
        let state = self
            .catalog
            .as_ref()
            .and_then(|c| c.database(database.as_str()));
        let Some(state) = state else {
            return Err("term");
        };
        match (state.phase(), state.writable_primary()) {
            (_, Some((_, writable))) if writable == term => Ok(()),
            // Transactions begun before a planned switch end under the old term.
            (Phase::Fenced { hold: true, .. }, _) if state.term() == Some(term) => {
                let end = self.lease_end_at_hold.get(database).copied().flatten();
                let allowed = self.reported_revision < state.phase_since()
                    && end.is_some_and(|end| now < end);
                if allowed { Ok(()) } else { Err("term") }
            }
            _ => Err("term"),
        }
    }

    /// Connections that the entry may open to a target with the given floor.
    ///
    /// An entry that is not enrolled may open none: floors are reserved for enrolled entries only.
    #[must_use]
    pub fn quota(&self, now: Instant, target: &Name, floor: u32) -> u32 {
        let enrolled = self
            .catalog
            .as_ref()
            .is_some_and(|c| c.is_enrolled(self.instance.as_str()));
        if !enrolled {
            0
        } else {
            self.connection_allowance
                .soft_limit(now, target.as_str(), floor)
        }
    }

    /// Connections to a target that may stay open. Those beyond are closed at once, even with
    /// running statements, as their number may have been granted to another entry.
    #[must_use]
    pub fn hard_limit(&self, now: Instant, target: &Name, floor: u32) -> u32 {
        let hard_limit = self
            .connection_allowance
            .hard_limit(now, target.as_str(), floor);
        self.quota(now, target, floor).max(hard_limit)
    }

    /// Slots of a target that long statements of this entry may hold. Without a lease there is one:
    /// long statements of an entry that is cut off go on, slowly.
    #[must_use]
    pub fn long_slots(&self, now: Instant, target: &Name) -> u32 {
        if self.lease.is_valid(now) {
            self.long_allowance.soft_limit(now, target.as_str(), 0)
        } else {
            1
        }
    }

    /// When [`Self::hard_limit`] changes next without a new grant.
    #[must_use]
    pub fn allowance_deadline(&self, now: Instant) -> Option<Instant> {
        self.connection_allowance.next_deadline(now)
    }

    /// When the next dial or renewal is due, or the deadline of a silent stream.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match &self.state {
            State::Disconnected(at) => Some(*at),
            State::Dialing => None,
            State::Connected {
                silent_at,
                renew_at,
                ..
            } => Some((*silent_at).min(*renew_at)),
        }
    }

    /// Address to dial now, if a dial is due.
    pub fn dial(&mut self, now: Instant) -> Option<SocketAddr> {
        if !matches!(self.state, State::Disconnected(at) if at <= now) {
            return None;
        }
        self.state = State::Dialing;
        Some(
            self.leader
                .take()
                .unwrap_or(self.addresses[self.next_address]),
        )
    }

    pub fn on_dial_failed(&mut self, now: Instant) {
        self.disconnect(now);
    }

    pub fn on_open(&mut self, now: Instant, out: mpsc::Sender<Up>) {
        let hello = Up::Hello {
            version: wire::VERSION,
            instance: self.instance.to_string(),
            domain: self.domain.to_string(),
            boot: self.boot,
            revision: self.revision().0,
        };
        let _closed = out.try_send(hello);
        let silent_at = now + self.ttl;
        self.state = State::Connected {
            out,
            silent_at,
            renew_at: now,
        };
    }

    pub fn on_closed(&mut self, now: Instant) {
        self.disconnect(now);
    }

    fn disconnect(&mut self, now: Instant) {
        self.next_address = (self.next_address + 1) % self.addresses.len();
        let pause = if self.next_address == 0 && self.leader.is_none() {
            RETRY_PAUSE
        } else {
            Duration::ZERO
        };
        self.state = State::Disconnected(now + pause);
    }

    #[must_use]
    pub fn renewal_due(&self, now: Instant) -> bool {
        matches!(&self.state, State::Connected { renew_at, .. } if *renew_at <= now)
    }

    /// Makes a renewal due at once, after a change that can't wait for the next regular one.
    pub fn renew_soon(&mut self, now: Instant) {
        if let State::Connected { renew_at, .. } = &mut self.state {
            *renew_at = now;
        }
    }

    pub fn renew(&mut self, now: Instant, report: Report) {
        if report.within_quotas {
            self.connection_allowance.on_surplus_closed();
        }
        // Holding more long slots than granted does no harm and must not block the confirmation of
        // connections.
        self.long_allowance.on_surplus_closed();
        self.reported_revision = self
            .reported_revision
            .max(self.settled_revision(&report.unfinished));
        let (revision, confirmed) = (
            self.reported_revision.0,
            self.connection_allowance.confirmed_seq(now),
        );
        let age_ms = u64::try_from((now - self.started_at).as_millis()).unwrap_or(u64::MAX);
        let State::Connected { out, renew_at, .. } = &mut self.state else {
            return;
        };
        *renew_at = now + self.ttl / RENEWALS_PER_TTL;
        let renewal = Up::Renew {
            seq: self.lease.on_renewal_sent(now),
            age_ms,
            revision,
            confirmed,
            demand: report.demand,
            long: report.long_slots,
            health: report.health,
            announcements: report.announcements,
        };
        // The channel is full or closed only if the stream is about to be closed as silent.
        let _unsent = out.try_send(renewal);
    }

    /// Latest revision that nothing unfinished predates: the one before the earliest hold of a
    /// database with unfinished transactions or writes.
    fn settled_revision(&self, unfinished: &[Name]) -> Revision {
        let Some(catalog) = &self.catalog else {
            return Revision(0);
        };
        let held = |name: &Name| {
            let database = catalog.database(name.as_str())?;
            let held = matches!(database.phase(), Phase::Fenced { hold: true, .. });
            held.then(|| Revision(database.phase_since().0.saturating_sub(1)))
        };
        let first = unfinished.iter().filter_map(held).min();
        first.unwrap_or(catalog.revision())
    }

    /// Gives up the lease and tells the control instance. Nothing may be acknowledged afterwards.
    pub fn leave(&mut self) {
        self.lease.end();
        if let State::Connected { out, .. } = &self.state {
            let _unsent = out.try_send(Up::Leave);
        }
    }

    /// Closes a stream on which no grant arrived in time. True if it was closed.
    pub fn close_if_silent(&mut self, now: Instant) -> bool {
        let silent = matches!(&self.state, State::Connected { silent_at, .. } if *silent_at <= now);
        if silent {
            self.disconnect(now);
        }
        silent
    }

    /// Handles a message from the control instance.
    ///
    /// # Errors
    /// Fails on a message that does not fit the state; the stream has to be closed.
    pub fn on_message(&mut self, now: Instant, message: Down) -> anyhow::Result<Change> {
        match message {
            Down::Update { revision, command } => {
                let command = Command::try_from(command)
                    .map_err(|findings| anyhow::anyhow!("{findings:?}"))
                    .context("invalid command in an update")?;
                let catalog = self
                    .catalog
                    .as_mut()
                    .context("an update arrived before any catalog")?;
                ensure!(
                    catalog.revision() < Revision(revision),
                    "an update of the past"
                );
                catalog.apply(Revision(revision), &command);
                if let Command::Fence {
                    database,
                    hold: true,
                    ..
                } = command
                {
                    self.lease_end_at_hold
                        .insert(database, self.lease.deadline());
                }
                // The fence of a change of primary ends once every entry has confirmed it.
                self.renew_soon(now);
                Ok(Change::Catalog)
            }
            Down::Snapshot { catalog, .. } => {
                self.catalog =
                    Some(Catalog::decode(&catalog).context("decode the catalog of a snapshot")?);
                self.renew_soon(now);
                Ok(Change::Catalog)
            }
            Down::Grant {
                seq,
                ttl_ms,
                revision,
                quotas,
                long,
            } => self.on_grant(now, seq, ttl_ms, Revision(revision), quotas, long),
            Down::Redirect { leader } => {
                self.leader = leader.and_then(|address| address.parse().ok());
                self.disconnect(now);
                if self.leader.is_none() {
                    self.state = State::Disconnected(now + RETRY_PAUSE);
                }
                Ok(Change::Closed)
            }
        }
    }

    fn on_grant(
        &mut self,
        now: Instant,
        seq: u64,
        ttl_ms: u32,
        revision: Revision,
        quotas: Vec<wire::Quota>,
        long: Vec<wire::Quota>,
    ) -> Result<Change> {
        let ttl = Duration::from_millis(ttl_ms.into());
        let deadline = self.lease.on_grant(seq, ttl, revision, self.revision());
        let Some(deadline) = deadline else {
            return Ok(Change::None);
        };
        self.ttl = ttl;
        self.connection_allowance
            .on_grant(seq, deadline, &parse_quotas(quotas)?);
        self.long_allowance
            .on_grant(seq, deadline, &parse_quotas(long)?);
        if let State::Connected { silent_at, .. } = &mut self.state {
            *silent_at = now + ttl;
        }
        Ok(Change::Lease)
    }

    fn revision(&self) -> Revision {
        self.catalog.as_ref().map_or(Revision(0), Catalog::revision)
    }
}

fn parse_quotas(quotas: Vec<wire::Quota>) -> Result<Vec<Quota>> {
    let quota = |raw: wire::Quota| {
        let target = Name::try_from(raw.target)?;
        let connections = raw.connections;
        Ok(Quota {
            target,
            connections,
        })
    };
    quotas.into_iter().map(quota).collect()
}
