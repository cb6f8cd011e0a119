//! The entry's side of its stream to control: lease, quotas and catalog.

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

/// Pause before the next control instance is tried after all of them failed.
const RETRY: Duration = Duration::from_millis(100);
/// Share of a lease's time after which it is renewed.
const RENEWALS_PER_TTL: u32 = 4;

/// State of the stream.
#[derive(Debug)]
enum State {
    /// Not connected; dials at this instant.
    Down(Instant),
    /// A dial is under way.
    Dialing,
    /// Connected.
    Up {
        out: mpsc::Sender<Up>,
        /// Without a grant until then, another instance is tried.
        silent_at: Instant,
        renew_at: Instant,
    },
}

/// What a message changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that others depend on.
    None,
    /// The catalog.
    Catalog,
    /// Lease and quotas.
    Lease,
    /// The stream has to be closed; another instance is dialled.
    Closed,
}

/// What a renewal reports.
#[derive(Debug, Default)]
pub struct Report {
    /// Connections wanted, by target.
    pub demand: Vec<wire::Demand>,
    /// Slots for long work wanted, by target.
    pub long: Vec<wire::Demand>,
    /// What the entry's watches saw.
    pub health: Vec<wire::Health>,
    /// Announcements heard that have not expired.
    pub announcements: Vec<wire::Announcement>,
    /// Whether every target's connections are within its quota.
    pub within_quotas: bool,
    /// Databases with transactions or writes that were begun before a hold and have not ended.
    pub unfinished: Vec<Name>,
}

/// Lease, quotas and catalog of an entry.
#[derive(Debug)]
pub struct Control {
    instance: Name,
    domain: Name,
    /// Distinguishes this start of the process from earlier ones.
    boot: u64,
    started: Instant,
    addresses: Vec<SocketAddr>,
    /// Index of the address that is tried next.
    next: usize,
    /// Address of the leader as another instance named it.
    leader: Option<SocketAddr>,
    state: State,
    lease: Lease,
    ttl: Duration,
    catalog: Option<Catalog>,
    allowance: Allowance,
    /// Slots for long work of each target.
    long: Allowance,
    /// Revision of the last renewal: nothing is acknowledged any more under an older catalog.
    reported: Revision,
    /// End of the lease as it was when a hold of a database was learnt of. Later grants count as
    /// granted under the hold and so do not allow what was begun before it.
    holds: HashMap<Name, Option<Instant>>,
}

impl Control {
    /// A disconnected entry.
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
            started: now,
            addresses,
            next: 0,
            leader: None,
            state: State::Down(now),
            lease: Lease::default(),
            ttl: Duration::from_secs(1),
            catalog: None,
            allowance: Allowance::default(),
            long: Allowance::default(),
            reported: Revision(0),
            holds: HashMap::default(),
        }
    }

    /// Takes a catalog from an earlier start, for settings and reads while control is out of reach.
    pub fn restore(&mut self, catalog: Catalog) {
        self.catalog = Some(catalog);
    }

    /// The catalog, once one was received.
    #[must_use]
    pub fn catalog(&self) -> Option<&Catalog> {
        self.catalog.as_ref()
    }

    /// The lease.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Whether the acknowledgement of a write made under `term` may be passed on now.
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
        let found = self
            .catalog
            .as_ref()
            .and_then(|c| c.database(database.as_str()));
        let Some(found) = found else {
            return Err("term");
        };
        match (found.phase(), found.writable_primary()) {
            (_, Some((_, writable))) if writable == term => Ok(()),
            // What was begun before a planned switch ends under the old term.
            (Phase::Fenced { hold: true, .. }, _) if found.term() == Some(term) => {
                let end = self.holds.get(database).copied().flatten();
                let open = self.reported < found.phase_since() && end.is_some_and(|end| now < end);
                if open { Ok(()) } else { Err("term") }
            }
            _ => Err("term"),
        }
    }

    /// Connections that the entry may have to a target with the given floor.
    ///
    /// An entry that is not enrolled has none: floors are reserved for enrolled entries only.
    #[must_use]
    pub fn quota(&self, now: Instant, target: &Name, floor: u32) -> u32 {
        let enrolled = self
            .catalog
            .as_ref()
            .is_some_and(|c| c.is_enrolled(self.instance.as_str()));
        if !enrolled {
            0
        } else {
            self.allowance.soft_limit(now, target.as_str(), floor)
        }
    }

    /// Connections to a target that may still be open: those beyond are closed at once, whatever
    /// runs on them, as control may have given their number to another entry.
    #[must_use]
    pub fn most(&self, now: Instant, target: &Name, floor: u32) -> u32 {
        let most = self.allowance.hard_limit(now, target.as_str(), floor);
        self.quota(now, target, floor).max(most)
    }

    /// Slots of a target that long work of this entry may hold. Without a lease it has one: long
    /// work of a cut-off entry goes on, slowly.
    #[must_use]
    pub fn long_slots(&self, now: Instant, target: &Name) -> u32 {
        if self.lease.is_valid(now) {
            self.long.soft_limit(now, target.as_str(), 0)
        } else {
            1
        }
    }

    /// When [`Self::most`] changes next without a new grant.
    #[must_use]
    pub fn allowance_deadline(&self, now: Instant) -> Option<Instant> {
        self.allowance.next_deadline(now)
    }

    /// When a dial, a renewal or the end of a silent stream is due next.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match &self.state {
            State::Down(at) => Some(*at),
            State::Dialing => None,
            State::Up {
                silent_at,
                renew_at,
                ..
            } => Some((*silent_at).min(*renew_at)),
        }
    }

    /// Address to dial now, if a dial is due.
    pub fn dial(&mut self, now: Instant) -> Option<SocketAddr> {
        if !matches!(self.state, State::Down(at) if at <= now) {
            return None;
        }
        self.state = State::Dialing;
        Some(self.leader.take().unwrap_or(self.addresses[self.next]))
    }

    /// The dial failed.
    pub fn on_dial_failed(&mut self, now: Instant) {
        self.go_down(now);
    }

    /// The stream is open.
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
        self.state = State::Up {
            out,
            silent_at,
            renew_at: now,
        };
    }

    /// The stream has ended.
    pub fn on_closed(&mut self, now: Instant) {
        self.go_down(now);
    }

    fn go_down(&mut self, now: Instant) {
        self.next = (self.next + 1) % self.addresses.len();
        let pause = if self.next == 0 && self.leader.is_none() {
            RETRY
        } else {
            Duration::ZERO
        };
        self.state = State::Down(now + pause);
    }

    /// Whether a renewal is due.
    #[must_use]
    pub fn renewal_due(&self, now: Instant) -> bool {
        matches!(&self.state, State::Up { renew_at, .. } if *renew_at <= now)
    }

    /// Makes a renewal due at once, as after a change that control needs before the next regular one.
    pub fn renew_soon(&mut self, now: Instant) {
        if let State::Up { renew_at, .. } = &mut self.state {
            *renew_at = now;
        }
    }

    /// Sends a renewal.
    pub fn renew(&mut self, now: Instant, report: Report) {
        if report.within_quotas {
            self.allowance.on_surplus_closed();
        }
        // More long work than there are slots is no harm, and it must not hold connections back.
        self.long.on_surplus_closed();
        self.reported = self.reported.max(self.settled(&report.unfinished));
        let (revision, confirmed) = (self.reported.0, self.allowance.confirmed_seq(now));
        let age_ms = u64::try_from((now - self.started).as_millis()).unwrap_or(u64::MAX);
        let State::Up { out, renew_at, .. } = &mut self.state else {
            return;
        };
        *renew_at = now + self.ttl / RENEWALS_PER_TTL;
        let renewal = Up::Renew {
            seq: self.lease.on_renewal_sent(now),
            age_ms,
            revision,
            confirmed,
            demand: report.demand,
            long: report.long,
            health: report.health,
            announcements: report.announcements,
        };
        // A full or closed channel means a stream that is about to be given up as silent.
        let _unsent = out.try_send(renewal);
    }

    /// Latest revision under which nothing older goes on: that before the first hold of a database
    /// that still has something unfinished.
    fn settled(&self, unfinished: &[Name]) -> Revision {
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

    /// Gives the lease up and says so. Nothing may be acknowledged afterwards.
    pub fn end(&mut self) {
        self.lease.end();
        if let State::Up { out, .. } = &self.state {
            let _unsent = out.try_send(Up::Leave);
        }
    }

    /// Gives up a stream on which no grant arrives. True if it was silent.
    pub fn close_if_silent(&mut self, now: Instant) -> bool {
        let silent = matches!(&self.state, State::Up { silent_at, .. } if *silent_at <= now);
        if silent {
            self.go_down(now);
        }
        silent
    }

    /// Takes a message of control.
    ///
    /// # Errors
    /// Fails on a message that does not fit the state; the stream has to be closed.
    pub fn on_message(&mut self, now: Instant, message: Down) -> anyhow::Result<Change> {
        match message {
            Down::Update { revision, command } => {
                let command = Command::try_from(command)
                    .map_err(|findings| anyhow::anyhow!("{findings:?}"))
                    .context("command of an update")?;
                let catalog = self
                    .catalog
                    .as_mut()
                    .context("an update before any catalog")?;
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
                    self.holds.insert(database, self.lease.deadline());
                }
                // The fence of a change of primary ends when every entry has confirmed it.
                self.renew_soon(now);
                Ok(Change::Catalog)
            }
            Down::Snapshot { catalog, .. } => {
                self.catalog = Some(Catalog::decode(&catalog).context("catalog")?);
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
                self.go_down(now);
                if self.leader.is_none() {
                    self.state = State::Down(now + RETRY);
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
        self.allowance.on_grant(seq, deadline, &checked(quotas)?);
        self.long.on_grant(seq, deadline, &checked(long)?);
        if let State::Up { silent_at, .. } = &mut self.state {
            *silent_at = now + ttl;
        }
        Ok(Change::Lease)
    }

    fn revision(&self) -> Revision {
        self.catalog.as_ref().map_or(Revision(0), Catalog::revision)
    }
}

fn checked(quotas: Vec<wire::Quota>) -> Result<Vec<Quota>> {
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
