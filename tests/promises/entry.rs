//! An entry: its side of the control connection, and its choices of targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use entry::control::{Control, Report};
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::{Candidate, Choice, Kind, Observed, Phase, Positions, Request, View};
use session::{Needs, Session};
use tokio::sync::mpsc;
use types::target::Role;
use types::{Name, Point, Term};
use wire::{Down, Up};

use crate::event::Event;
use crate::simulation::{DATABASE, FLOOR, name};

pub struct Entry {
    pub control: Control,
    pub boot: u64,
    sent: mpsc::Receiver<Up>,
    pub renewals: BTreeMap<u64, Up>,
    pub grants: BTreeMap<u64, Down>,
    pub announced_directly: BTreeSet<Name>,
    observed: BTreeMap<Name, Observed>,
    primary_positions: Positions,
}

impl Entry {
    pub fn new(now: Instant, instance: &Name, boot: u64) -> Self {
        let address = "127.0.0.1:1".parse().unwrap();
        let mut control = Control::new(instance.clone(), name("ragusa"), boot, vec![address], now);
        let (out, sent) = mpsc::channel(256);
        control.dial(now);
        control.on_open(now, out);
        Self {
            control,
            boot,
            sent,
            renewals: BTreeMap::new(),
            grants: BTreeMap::new(),
            announced_directly: BTreeSet::new(),
            observed: BTreeMap::new(),
            primary_positions: Positions::default(),
        }
    }

    /// Sends a lease renewal and returns its sequence number and the revision that it confirms.
    pub fn renew(&mut self, now: Instant, event: &Event) -> String {
        let report = Report {
            health: event.health.clone(),
            demand: event.demand.clone(),
            within_quotas: !event.surplus,
            unfinished: Vec::from_iter(event.unfinished.then(|| name(DATABASE))),
            ..Report::default()
        };
        self.control.renew(now, report);
        while let Ok(message) = self.sent.try_recv() {
            if let Up::Renew { seq, revision, .. } = message {
                self.renewals.insert(seq, message);
                return format!("seq {seq} revision {revision}");
            }
        }
        "nothing".to_owned()
    }

    pub fn on_message(&mut self, now: Instant, message: Down) -> String {
        match self.control.on_message(now, message) {
            Ok(change) => format!("{change:?}"),
            Err(error) => error.to_string(),
        }
    }

    /// Whether the acknowledgement of a write under `term` may be forwarded to the caller.
    pub fn may_acknowledge(&self, now: Instant, term: Term) -> Result<(), &'static str> {
        self.control.may_acknowledge(now, &name(DATABASE), term)
    }

    pub fn observe(&mut self, now: Instant, target: &Name, point: Point) {
        self.observed
            .insert(target.clone(), Observed { point, at: now });
        if self.primary().as_ref() == Some(target) {
            let lease_deadline = self.control.lease().deadline();
            self.primary_positions
                .observe(point, now, lease_deadline.unwrap_or(now));
        }
    }

    fn primary(&self) -> Option<Name> {
        let database = self.control.catalog()?.database(DATABASE)?;
        database.primary().cloned()
    }

    /// Chooses a target for a statement as the entry's loop does.
    pub fn choose_target(
        &self,
        now: Instant,
        arrived: Instant,
        kind: Kind,
        session: &Session,
        max_age: u64,
    ) -> String {
        let catalog = self.control.catalog().unwrap();
        let database = catalog.database(DATABASE).unwrap();
        let members: Vec<_> = catalog.members(DATABASE).collect();
        let index = |primary: &Name| members.iter().position(|(name, _)| *name == primary);
        let primary = self.primary();
        let candidate =
            |(position, (name, target)): (usize, &(&Name, &catalog::Target))| Candidate {
                target: position,
                same_domain: target.announcement().domain.as_str() == "ragusa",
                state: target.state(),
                role: if primary.as_ref() == Some(name) {
                    Role::Primary
                } else {
                    Role::Replica
                },
                observed: self.observed.get(*name).copied(),
                reachable: true,
                announced_directly: self.announced_directly.contains(*name),
                load: 0,
                connections: self.control.quota(now, name, FLOOR),
            };
        let candidates: Vec<_> = members.iter().enumerate().map(candidate).collect();
        let deadline = arrived + Duration::from_secs(1);
        let phase = match (database.writable_primary(), database.primary()) {
            (Some((primary, _)), _) => Phase::Open {
                primary: index(primary).unwrap(),
            },
            (None, None) => Phase::Absent,
            (None, Some(_)) => Phase::Fenced {
                hold: database.holds_writes().then_some(deadline),
            },
        };
        let view = View {
            candidates: &candidates,
            primary_positions: &self.primary_positions,
            term: database.term().unwrap_or_default(),
            phase,
            has_lease: self.control.lease().is_valid(now),
        };
        let request = Request {
            kind,
            needs: Needs::of(session, &name(DATABASE), database.history()),
            max_age: Some(Duration::from_millis(max_age)),
            bound_target: None,
            wait_until: arrived + Duration::from_millis(5),
            deadline,
        };
        match route::choose(&view, &request, now, &mut StdRng::seed_from_u64(1)) {
            Choice::Target(position) => members[position].0.to_string(),
            Choice::Wait { .. } => "wait".to_owned(),
            Choice::Refuse(reason) => reason.sqlstate().to_owned(),
        }
    }
}
