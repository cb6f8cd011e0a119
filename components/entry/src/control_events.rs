//! What control says: catalog, lease and quotas; and what the entry reports.

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
use crate::server::Server;
use crate::timer::Timer;

/// Pause between a change of the catalog and its writing to the file, so that a series of changes
/// is written once.
const SAVE_PAUSE: Duration = Duration::from_secs(1);
/// Messages that wait for the stream to control.
const OUT: usize = 256;

impl Loop {
    /// Dials, renews and gives up silent streams.
    pub(crate) fn on_control_tick(&mut self, now: Instant) {
        if self.control.close_if_silent(now) {
            tracing::info!("control is silent, another instance is tried");
            self.dial += 1;
        }
        if let Some(address) = self.control.dial(now) {
            self.dial += 1;
            let (dial, events) = (self.dial, self.events.clone());
            spawn_local(async move {
                let Ok(stream) = link::dial(address, link::ENTRY).await else {
                    let _ended = events.send(Event::Dialed(dial, None)).await;
                    return;
                };
                let (out, outgoing) = mpsc::channel(OUT);
                if events.send(Event::Dialed(dial, Some(out))).await.is_err() {
                    return;
                }
                stream
                    .run(outgoing, events, move |event| Event::Control(dial, event))
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
        dial: u64,
        out: Option<mpsc::Sender<wire::Up>>,
    ) {
        if dial != self.dial {
            return;
        }
        match out {
            Some(out) => self.control.on_open(now, out),
            None => self.control.on_dial_failed(now),
        }
    }

    pub(crate) fn on_control(&mut self, now: Instant, dial: u64, event: link::Event<Down>) {
        if dial != self.dial {
            return;
        }
        let message = match event {
            link::Event::Message(message) => message,
            link::Event::Closed(_) => return self.control.on_closed(now),
        };
        match self.control.on_message(now, message) {
            Ok(Change::None) => {}
            Ok(Change::Lease) => self.on_quotas(now),
            Ok(Change::Catalog) => self.on_catalog(now),
            Ok(Change::Closed) => self.dial += 1,
            Err(error) => {
                tracing::warn!(error = %format!("{error:#}"), "message of control refused");
                self.dial += 1;
                self.control.on_closed(now);
            }
        }
    }

    fn report(&self, now: Instant) -> Report {
        let known = || self.servers.iter().filter(|server| server.known);
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let health = known().filter_map(|server| {
            let (role, observed) = server.watch.last?;
            Some(wire::Health {
                target: server.name.to_string(),
                role: role.into(),
                point: observed.point.into(),
                silent_ms: ms(server.silence(now)?),
            })
        });
        let catalog = self.control.catalog();
        let floor = |server: &Server| {
            let target = catalog.and_then(|catalog| catalog.target(server.name.as_str()));
            target.map_or(0, |target| target.values().connections_floor)
        };
        // The floor is granted anyway, and most of many targets are used within it.
        let demand = known().filter(|server| server.demand() > floor(server));
        let demand = demand.map(|server| wire::Demand {
            target: server.name.to_string(),
            connections: server.demand(),
        });
        let long = known().map(|server| (server, server.queue.long_slots_wanted(&self.shapes)));
        let long = long.filter(|(_, wanted)| *wanted > 0);
        let long = long.map(|(server, wanted)| wire::Demand {
            target: server.name.to_string(),
            connections: wanted,
        });
        let announcements = self.heard.values().filter(|(_, until)| now < *until);
        Report {
            demand: demand.collect(),
            long: long.collect(),
            health: health.collect(),
            announcements: announcements
                .map(|(announcement, _)| announcement.into())
                .collect(),
            within_quotas: known().all(Server::is_within_quota),
            unfinished: self.unfinished(),
        }
    }

    /// Databases with a write under way or a transaction that may write, and a hold.
    fn unfinished(&self) -> Vec<Name> {
        let open = self.callers.values().filter(|caller| {
            let transaction = caller.transaction.is_some_and(|open| !open.read_only);
            let running = matches!(caller.state, State::Running(_) | State::Acknowledging);
            (transaction && caller.bound.is_some()) || running
        });
        let names = open.map(|caller| &caller.database);
        let mut names: Vec<Name> = names.filter(|name| self.is_held(name)).cloned().collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    fn is_held(&self, name: &Name) -> bool {
        let database = self.databases.get(name);
        database.is_some_and(|d| matches!(d.phase, route::Phase::Fenced { hold_end: Some(_) }))
    }

    /// Tells control at once when the last transaction before a hold may have ended.
    pub(crate) fn report_if_held(&mut self, now: Instant, name: &Name) {
        if self.is_held(name) {
            self.control.renew_soon(now);
        }
    }

    /// Closes connections that the entry may not have any more, whatever runs on them.
    fn enforce_quotas(&mut self, now: Instant) {
        let Some(catalog) = self.control.catalog() else {
            return;
        };
        let mut surplus = Vec::new();
        for server in self.servers.iter().filter(|server| server.known) {
            let target = catalog.target(server.name.as_str());
            let floor = target.map_or(0, |target| target.values().connections_floor);
            // One of them is the watch's.
            let most = self
                .control
                .most(now, &server.name, floor)
                .saturating_sub(1);
            surplus.extend(server.conns.values().skip(most as usize).copied());
        }
        for key in surplus {
            self.metrics.target_failures.add("quota");
            self.on_conn_lost(now, key);
        }
        if let Some(at) = self.control.allowance_deadline(now) {
            self.timers.add(at, Timer::Quotas);
        }
    }

    /// Follows the quotas of a new grant, or their end with the lease.
    pub(crate) fn on_quotas(&mut self, now: Instant) {
        let Some(catalog) = self.control.catalog() else {
            return;
        };
        let mut due = Vec::new();
        let mut unwatched = Vec::new();
        for (index, server) in self.servers.iter_mut().enumerate().filter(|(_, s)| s.known) {
            let floor = catalog
                .target(server.name.as_str())
                .map_or(0, |t| t.values().connections_floor);
            let quota = self.control.quota(now, &server.name, floor);
            if server.set_long_slots(self.control.long_slots(now, &server.name)) {
                due.push((index, Vec::new()));
            }
            if quota == server.quota {
                continue;
            }
            if quota == 0 {
                // Without a connection nothing is known of the target; its silence says nothing.
                server.watch.last = None;
                unwatched.extend(server.watch.conn);
            }
            server.quota = quota;
            let mut actions = Vec::new();
            // One of them is the watch's.
            server.pool.set_quota(quota.saturating_sub(1), &mut actions);
            due.push((index, actions));
        }
        for (index, actions) in due {
            self.act_on_pool(now, index, actions);
            self.due_queues.push(index);
        }
        for key in unwatched {
            self.drop_conn(now, key);
        }
        self.enforce_quotas(now);
    }

    /// Follows a change of the catalog.
    pub(crate) fn on_catalog(&mut self, now: Instant) {
        let Some(catalog) = self.control.catalog() else {
            return;
        };
        for server in &mut self.servers {
            server.known = catalog.target(server.name.as_str()).is_some();
        }
        for (name, target) in catalog.targets() {
            let index = match self.indices.get(name) {
                Some(index) => *index,
                None => {
                    let index = self.servers.len();
                    self.servers.push(Server::new(target.announcement(), now));
                    self.indices.insert(name.clone(), index);
                    self.timers.add(now, Timer::Watch(index));
                    index
                }
            };
            self.servers[index].configure(target);
        }
        let mut changed = Vec::new();
        for (name, _) in catalog.databases() {
            let database = self
                .databases
                .entry(name.clone())
                .or_insert_with(Database::new);
            let before = (database.phase, database.history.current());
            let members = catalog.members(name.as_str());
            database.servers.clear();
            database
                .servers
                .extend(members.filter_map(|(target, _)| self.indices.get(target)));
            database.configure(now, name, catalog, |target| {
                self.indices.get(target).copied()
            });
            if before != (database.phase, database.history.current()) {
                changed.push(name.clone());
            }
        }
        for name in changed {
            self.on_change_of_primary(now, &name);
        }
        self.on_quotas(now);
        let all: Vec<Name> = self.databases.keys().cloned().collect();
        for name in all {
            self.requeue(now, &name);
        }
        if !std::mem::replace(&mut self.unsaved, true) {
            self.timers.add(now + SAVE_PAUSE, Timer::Save);
        }
    }

    fn on_change_of_primary(&mut self, now: Instant, name: &Name) {
        let term = self
            .databases
            .get(name)
            .and_then(|database| database.history.current());
        tracing::info!(
            database = %name,
            term = term.map(|term| term.0),
            phase = ?self.databases.get(name).map(|database| database.phase),
            "primary"
        );
        self.drop_acks_before(name, term);
        self.end_old_writes(now, name);
        if let Some(database) = self.databases.get(name) {
            for index in database.servers.clone() {
                self.watch_soon(now, index);
            }
        }
    }

    /// Routes the waiting statements of a database anew: their target may have been fenced, may be
    /// leaving, or may serve again.
    pub(crate) fn requeue(&mut self, now: Instant, name: &Name) {
        let Some(database) = self.databases.get(name) else {
            return;
        };
        let mut queued = Vec::new();
        for index in database.servers.clone() {
            let server = &mut self.servers[index];
            for (ticket, key) in std::mem::take(&mut server.tickets) {
                server.queue.cancel(ticket);
                queued.push((ticket, key));
            }
        }
        // In the order of their arrival.
        queued.sort_unstable_by_key(|(ticket, _)| *ticket);
        for (_, key) in queued {
            let Some(caller) = self.callers.get_mut(key) else {
                continue;
            };
            match std::mem::replace(&mut caller.state, State::Idle) {
                State::Queued(wait, ..) => self.route(now, key, wait),
                state => caller.state = state,
            }
        }
        self.reroute(now, name);
    }

    /// Takes the catalog of an earlier start from its file.
    pub(crate) fn restore(&mut self, now: Instant) {
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
                    "catalog of an earlier start"
                );
                self.control.restore(catalog);
                self.on_catalog(now);
            }
            Err(error) => tracing::warn!(path = %path.display(), %error, "cached catalog ignored"),
        }
    }

    /// Writes the catalog to its file.
    pub(crate) fn save(&mut self) {
        self.unsaved = false;
        let (Some(path), Some(catalog)) = (&self.settings.cache, self.control.catalog()) else {
            return;
        };
        let mut bytes = Vec::new();
        let part = path.with_extension("part");
        let written = catalog.encode(&mut bytes).and_then(|()| {
            std::fs::write(&part, &bytes)?;
            Ok(std::fs::rename(&part, path)?)
        });
        if let Err(error) = written {
            tracing::warn!(path = %path.display(), error = %format!("{error:#}"), "catalog not cached");
        }
    }
}
