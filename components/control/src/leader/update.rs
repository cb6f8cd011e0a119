//! How a leader's state follows the catalog.

use catalog::{Catalog, Command, Key, Phase};
use failover::FailoverMachine;
use types::Name;
use types::target::Announcement;

use super::{Duration, Lead};

impl Lead {
    /// Follows an applied command, which the catalog may have refused. Looks only at what the
    /// command can have changed: a walk over all targets for each command made a catalog's filling
    /// quadratic in its size.
    pub fn on_applied(&mut self, command: &Command, catalog: &Catalog) {
        match command {
            Command::Set {
                key: Key::ConnectionsLimit | Key::ConnectionsFloor,
                ..
            } => self.on_catalog(catalog),
            Command::Set { .. } => self.follow_lease(catalog),
            Command::Announce(announcement) => self.on_announced(announcement, catalog),
            Command::Enroll { instance, .. } => self.on_enrolled(instance, catalog),
            Command::Fence { database, .. }
            | Command::Choose { database, .. }
            | Command::Open { database, .. } => self.follow_database(database, catalog),
            // Changes a target's state only, which the steps read from the catalog.
            Command::Mark { .. } => {}
            Command::Retire { target } => {
                self.on_catalog(catalog);
                self.on_retired(target, catalog);
            }
            Command::Dismiss { instance } => self.on_dismissed(instance),
        }
    }

    /// Takes in the whole catalog.
    pub fn on_catalog(&mut self, catalog: &Catalog) {
        self.follow_lease(catalog);
        for (name, _) in catalog.entries() {
            self.grants.enroll(name);
            self.split.enroll(name);
            self.long.enroll(name);
        }
        for (name, _) in catalog.targets() {
            self.follow_target(name, catalog);
        }
        self.proposed
            .retain(|_, announcement| catalog.would_change(announcement));
        self.enrolling
            .retain(|name| !catalog.is_enrolled(name.as_str()));
        for (name, _) in catalog.databases() {
            self.follow_database(name, catalog);
        }
    }

    fn follow_lease(&mut self, catalog: &Catalog) {
        let values = catalog.organisation_values();
        self.grants.set_ttl(
            Duration::from_millis(values.lease_ttl_ms.into()),
            values.lease_drift_ppm,
        );
    }

    fn follow_target(&mut self, name: &Name, catalog: &Catalog) {
        if let Some(target) = catalog.target(name.as_str()) {
            self.split.set_limits(
                name,
                target.connections_limit(),
                target.values().connections_floor,
            );
        }
    }

    fn follow_database(&mut self, name: &Name, catalog: &Catalog) {
        let Some(database) = catalog.database(name.as_str()) else {
            return;
        };
        if !self.machines.contains_key(name) {
            self.machines
                .insert(name.clone(), FailoverMachine::new(name.clone()));
        }
        if *database.phase() != Phase::Steady || database.primary().is_none() {
            self.active.insert(name.clone());
        }
    }

    fn on_announced(&mut self, announcement: &Announcement, catalog: &Catalog) {
        // Applied or refused, it may be proposed again once it is news again.
        if self.proposed.get(&announcement.target) == Some(announcement) {
            self.proposed.remove(&announcement.target);
        }
        self.follow_target(&announcement.target, catalog);
        self.follow_database(&announcement.database, catalog);
    }

    fn on_enrolled(&mut self, instance: &Name, catalog: &Catalog) {
        if catalog.is_enrolled(instance.as_str()) {
            self.grants.enroll(instance);
            self.split.enroll(instance);
            self.long.enroll(instance);
            self.enrolling.remove(instance);
        }
    }

    /// An entry was dismissed.
    pub fn on_dismissed(&mut self, instance: &Name) {
        self.grants.dismiss(instance.as_str());
        self.split.dismiss(instance.as_str());
        self.long.dismiss(instance.as_str());
        self.holders.remove(instance);
        for watch in self.watches.values_mut() {
            watch.remove_watcher(instance.as_str());
        }
    }

    /// A command to retire a target was applied; the catalog may have refused it.
    pub fn on_retired(&mut self, target: &Name, catalog: &Catalog) {
        if catalog.target(target.as_str()).is_some() {
            return;
        }
        self.split.remove_target(target.as_str());
        self.long.remove_target(target.as_str());
        self.watches.remove(target);
        self.observed.remove(target);
    }
}
