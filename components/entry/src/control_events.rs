//! Events of the stream to the control instances: dials, renewals, and the catalog and quotas
//! received.

use std::time::{Duration, Instant};

use catalog::Catalog;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use types::Name;
use wire::Down;

use crate::caller::State;
use crate::control::{Change, Report};
use crate::database::Database;
use crate::event::Event;
use crate::event_loop::Loop;
use crate::target::Target;
use crate::timer::Timer;

/// Delay between a change of the catalog and writing it to its file, so that a series of changes is
/// written once.
const SAVE_DELAY: Duration = Duration::from_secs(1);
/// Capacity of the queue to the control instance in messages.
const OUTGOING_QUEUE_LEN: usize = 256;

impl Loop {
    /// Closes a silent stream, dials and renews the lease, as far as each is due.
    pub(crate) fn on_control_tick(&mut self, now: Instant) {
        if self.control.close_if_silent(now) {
            tracing::info!(
                "no grant from the control instance before the deadline; dialing the next one"
            );
            self.dial_id += 1;
        }
        if let Some(address) = self.control.dial(now) {
            self.dial_id += 1;
            let (dial_id, events) = (self.dial_id, self.events.clone());
            spawn_local(async move {
                let Ok(stream) = link::dial(address, link::ENTRY_PATH).await else {
                    let _ended = events.send(Event::Dialed(dial_id, None)).await;
                    return;
                };
                let (out, outgoing) = mpsc::channel(OUTGOING_QUEUE_LEN);
                if events
                    .send(Event::Dialed(dial_id, Some(out)))
                    .await
                    .is_err()
                {
                    return;
                }
                stream
                    .run(outgoing, events, move |event| {
                        Event::Control(dial_id, event)
                    })
                    .await;
            });
        }
        if self.control.renewal_due(now) {
            let report = self.report(now);
            self.control.renew(now, report);
        }
    }

    pub(crate) fn on_dialed(
        &mut self,
        now: Instant,
        dial_id: u64,
        out: Option<mpsc::Sender<wire::Up>>,
    ) {
        if dial_id != self.dial_id {
            return;
        }
        match out {
            Some(out) => self.control.on_open(now, out),
            None => self.control.on_dial_failed(now),
        }
    }

    pub(crate) fn on_control(&mut self, now: Instant, dial_id: u64, event: link::Event<Down>) {
        if dial_id != self.dial_id {
            return;
        }
        let message = match event {
            link::Event::Message(message) => message,
            link::Event::Closed(_) => return self.control.on_closed(now),
        };
        match self.control.on_message(now, message) {
            Ok(Change::None) => {}
            Ok(Change::Lease) => self.apply_quotas(now),
            Ok(Change::Catalog) => self.apply_catalog(now),
            Ok(Change::Closed) => self.dial_id += 1,
            Err(error) => {
                tracing::warn!(error = %format!("{error:#}"), "invalid message from the control instance; closing the stream");
                self.dial_id += 1;
                self.control.on_closed(now);
            }
        }
    }

    fn report(&self, now: Instant) -> Report {
        let in_catalog = || self.targets.iter().filter(|target| target.in_catalog);
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let health = in_catalog().filter_map(|target| {
            let (role, observed) = target.probe.last_answer?;
            Some(wire::Health {
                target: target.name.to_string(),
                role: role.into(),
                point: observed.point.into(),
                silent_ms: ms(target.silence(now)?),
            })
        });
        let catalog = self.control.catalog();
        let floor = |target: &Target| {
            let catalog_target = catalog.and_then(|catalog| catalog.target(target.name.as_str()));
            catalog_target.map_or(0, |target| target.values().connections_floor)
        };
        // Floors are granted without demand, and entries with many targets use most of them within
        // their floors.
        let demand = in_catalog().filter(|target| target.demand() > floor(target));
        let demand = demand.map(|target| wire::Demand {
            target: target.name.to_string(),
            connections: target.demand(),
        });
        let long_slots = in_catalog()
            .map(|target| (target, target.queue.long_slots_wanted(&self.service_times)));
        let long_slots = long_slots.filter(|(_, wanted)| *wanted > 0);
        let long_slots = long_slots.map(|(target, wanted)| wire::Demand {
            target: target.name.to_string(),
            connections: wanted,
        });
        let announcements = self
            .announcements
            .values()
            .filter(|(_, until)| now < *until);
        Report {
            demand: demand.collect(),
            long_slots: long_slots.collect(),
            health: health.collect(),
            announcements: announcements
                .map(|(announcement, _)| announcement.into())
                .collect(),
            within_quotas: in_catalog().all(Target::is_within_quota),
            unfinished: self.unfinished_databases(),
        }
    }

    /// Held databases with a running write or an open transaction that may write.
    fn unfinished_databases(&self) -> Vec<Name> {
        let active = self.callers.values().filter(|caller| {
            let transaction = caller
                .transaction
                .is_some_and(|transaction| !transaction.read_only);
            let running = matches!(caller.state, State::Running(_) | State::Acknowledging);
            (transaction && caller.bound_conn.is_some()) || running
        });
        let names = active.map(|caller| &caller.database);
        let mut names: Vec<Name> = names.filter(|name| self.is_held(name)).cloned().collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    fn is_held(&self, name: &Name) -> bool {
        let database = self.databases.get(name);
        database.is_some_and(|d| matches!(d.phase, route::Phase::Fenced { hold: Some(_) }))
    }

    /// Renews at once if the database is held, as its last earlier transaction may have ended.
    pub(crate) fn renew_if_held(&mut self, now: Instant, name: &Name) {
        if self.is_held(name) {
            self.control.renew_soon(now);
        }
    }

    /// Closes connections beyond the hard limits, even with running statements.
    fn enforce_quotas(&mut self, now: Instant) {
        let Some(catalog) = self.control.catalog() else {
            return;
        };
        let mut surplus = Vec::new();
        for target in self.targets.iter().filter(|target| target.in_catalog) {
            let catalog_target = catalog.target(target.name.as_str());
            let floor = catalog_target.map_or(0, |target| target.values().connections_floor);
            // One connection is reserved for the probe.
            let hard_limit = self
                .control
                .hard_limit(now, &target.name, floor)
                .saturating_sub(1);
            surplus.extend(target.conns.values().skip(hard_limit as usize).copied());
        }
        for key in surplus {
            self.metrics.target_failures.add("quota");
            self.on_conn_lost(now, key);
        }
        if let Some(at) = self.control.allowance_deadline(now) {
            self.timers.add(at, Timer::Quotas);
        }
    }

    /// Applies the quotas of a new grant, or their reduction when the lease expires.
    pub(crate) fn apply_quotas(&mut self, now: Instant) {
        let Some(catalog) = self.control.catalog() else {
            return;
        };
        let mut due = Vec::new();
        let mut unprobed = Vec::new();
        for (index, target) in self
            .targets
            .iter_mut()
            .enumerate()
            .filter(|(_, s)| s.in_catalog)
        {
            let floor = catalog
                .target(target.name.as_str())
                .map_or(0, |t| t.values().connections_floor);
            let quota = self.control.quota(now, &target.name, floor);
            if target.set_long_slots(self.control.long_slots(now, &target.name)) {
                due.push((index, Vec::new()));
            }
            if quota == target.quota {
                continue;
            }
            if quota == 0 {
                // Without a connection, the state of the target is unknown and its silence means
                // nothing.
                target.probe.last_answer = None;
                unprobed.extend(target.probe.conn);
            }
            target.quota = quota;
            let mut actions = Vec::new();
            // One connection is reserved for the probe.
            target.pool.set_quota(quota.saturating_sub(1), &mut actions);
            due.push((index, actions));
        }
        for (index, actions) in due {
            self.apply_pool_actions(now, index, actions);
            self.due_queues.push(index);
        }
        for key in unprobed {
            self.terminate_conn(now, key);
        }
        self.enforce_quotas(now);
    }

    /// Applies a changed catalog to targets and databases.
    pub(crate) fn apply_catalog(&mut self, now: Instant) {
        let Some(catalog) = self.control.catalog() else {
            return;
        };
        for target in &mut self.targets {
            target.in_catalog = catalog.target(target.name.as_str()).is_some();
        }
        for (name, catalog_target) in catalog.targets() {
            let index = match self.target_indices.get(name) {
                Some(index) => *index,
                None => {
                    let index = self.targets.len();
                    self.targets
                        .push(Target::new(catalog_target.announcement(), now));
                    self.target_indices.insert(name.clone(), index);
                    self.timers.add(now, Timer::Probe(index));
                    index
                }
            };
            self.targets[index].configure(catalog_target);
        }
        let mut changed = Vec::new();
        for (name, _) in catalog.databases() {
            let database = self
                .databases
                .entry(name.clone())
                .or_insert_with(Database::new);
            let before = (database.phase, database.history.current());
            let members = catalog.members(name.as_str());
            database.targets.clear();
            database
                .targets
                .extend(members.filter_map(|(target, _)| self.target_indices.get(target)));
            database.configure(now, name, catalog, |target| {
                self.target_indices.get(target).copied()
            });
            if before != (database.phase, database.history.current()) {
                changed.push(name.clone());
            }
        }
        for name in changed {
            self.on_primary_change(now, &name);
        }
        self.apply_quotas(now);
        let names: Vec<Name> = self.databases.keys().cloned().collect();
        for name in names {
            self.reroute_queued(now, &name);
        }
        if !std::mem::replace(&mut self.save_pending, true) {
            self.timers.add(now + SAVE_DELAY, Timer::SaveCatalog);
        }
    }

    fn on_primary_change(&mut self, now: Instant, name: &Name) {
        let term = self
            .databases
            .get(name)
            .and_then(|database| database.history.current());
        tracing::info!(
            database = %name,
            term = term.map(|term| term.0),
            phase = ?self.databases.get(name).map(|database| database.phase),
            "primary or phase of a database changed"
        );
        self.drop_stale_acks(name, term);
        self.end_writes_on_former_primaries(now, name);
        if let Some(database) = self.databases.get(name) {
            for index in database.targets.clone() {
                self.probe_soon(now, index);
            }
        }
    }

    /// Routes the queued batches of a database again: their target may have been fenced, may be
    /// leaving, or may serve again.
    pub(crate) fn reroute_queued(&mut self, now: Instant, name: &Name) {
        let Some(database) = self.databases.get(name) else {
            return;
        };
        let mut queued = Vec::new();
        for index in database.targets.clone() {
            let target = &mut self.targets[index];
            for (ticket, key) in std::mem::take(&mut target.queued_callers) {
                target.queue.cancel(ticket);
                queued.push((ticket, key));
            }
        }
        // Tickets ascend in the order of arrival.
        queued.sort_unstable_by_key(|(ticket, _)| *ticket);
        for (_, key) in queued {
            let Some(caller) = self.callers.get_mut(key) else {
                continue;
            };
            match std::mem::replace(&mut caller.state, State::Idle) {
                State::Queued(job, ..) => self.route(now, key, job),
                state => caller.state = state,
            }
        }
        self.reroute(now, name);
    }

    /// Loads the catalog that an earlier run cached in a file.
    pub(crate) fn load_catalog(&mut self, now: Instant) {
        let Some(path) = &self.settings.cache else {
            return;
        };
        let Ok(bytes) = std::fs::read(path) else {
            return;
        };
        match Catalog::decode(&bytes) {
            Ok(catalog) => {
                tracing::info!(
                    revision = catalog.revision().0,
                    "loaded the catalog cached by an earlier run"
                );
                self.control.restore(catalog);
                self.apply_catalog(now);
            }
            Err(error) => {
                tracing::warn!(path = %path.display(), %error, "ignoring an invalid cached catalog")
            }
        }
    }

    /// Writes the catalog to its file.
    pub(crate) fn save_catalog(&mut self) {
        self.save_pending = false;
        let (Some(path), Some(catalog)) = (&self.settings.cache, self.control.catalog()) else {
            return;
        };
        let mut bytes = Vec::new();
        let temporary_path = path.with_extension("part");
        let written = catalog.encode(&mut bytes).and_then(|()| {
            std::fs::write(&temporary_path, &bytes)?;
            Ok(std::fs::rename(&temporary_path, path)?)
        });
        if let Err(error) = written {
            tracing::warn!(path = %path.display(), error = %format!("{error:#}"), "failed to write the catalog to its cache file");
        }
    }
}
