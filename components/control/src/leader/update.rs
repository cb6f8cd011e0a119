//! Updates of the leader's state after changes of the catalog.

use catalog::{Catalog, Command, Key, Phase};
use failover::Machine;
use types::Name;
use types::target::Announcement;

use super::{Duration, Leader};

impl Leader {
    /// Updates the state after a command was applied, which the catalog may have refused. Looks
    /// only at what the command can have changed: a scan of all targets for each command made the
    /// time to fill a catalog quadratic in its size.
    pub fn on_applied(&mut self, command: &Command, catalog: &Catalog) {
        match command {
            Command::Set {
                key: Key::ConnectionsLimit | Key::ConnectionsFloor,
                ..
            } => self.on_catalog(catalog),
            Command::Set { .. } => self.update_lease_settings(catalog),
            Command::Announce(announcement) => self.on_announced(announcement, catalog),
            Command::Enroll { instance, .. } => self.on_enrolled(instance, catalog),
            Command::Fence { database, .. }
            | Command::Choose { database, .. }
            | Command::Open { database, .. } => self.update_database(database, catalog),
            // Changes only the state of a target, which failover steps read from the catalog.
            Command::Mark { .. } => {}
            Command::Retire { target } => {
                self.on_catalog(catalog);
                self.on_retired(target, catalog);
            }
            Command::Dismiss { instance } => self.on_dismissed(instance),
        }
    }

    /// Updates the state from the whole catalog.
    pub fn on_catalog(&mut self, catalog: &Catalog) {
        self.update_lease_settings(catalog);
        for (name, _) in catalog.entries() {
            self.leases.enroll(name);
            self.connection_quotas.enroll(name);
            self.long_slot_quotas.enroll(name);
        }
        for (name, _) in catalog.targets() {
            self.update_limits(name, catalog);
        }
        self.proposed_announcements
            .retain(|_, announcement| catalog.would_change(announcement));
        self.proposed_enrollments
            .retain(|name| !catalog.is_enrolled(name.as_str()));
        for (name, _) in catalog.databases() {
            self.update_database(name, catalog);
        }
    }

    fn update_lease_settings(&mut self, catalog: &Catalog) {
        let values = catalog.organisation_values();
        self.leases.set_ttl(
            Duration::from_millis(values.lease_ttl_ms.into()),
            values.lease_drift_ppm,
        );
    }

    fn update_limits(&mut self, name: &Name, catalog: &Catalog) {
        if let Some(target) = catalog.target(name.as_str()) {
            self.connection_quotas.set_limits(
                name,
                target.connections_limit(),
                target.values().connections_floor,
            );
        }
    }

    fn update_database(&mut self, name: &Name, catalog: &Catalog) {
        let Some(database) = catalog.database(name.as_str()) else {
            return;
        };
        if !self.machines.contains_key(name) {
            self.machines
                .insert(name.clone(), Machine::new(name.clone()));
        }
        if *database.phase() != Phase::Steady || database.primary().is_none() {
            self.active.insert(name.clone());
        }
    }

    fn on_announced(&mut self, announcement: &Announcement, catalog: &Catalog) {
        // Whether applied or refused, it may be proposed again once it would change the catalog.
        if self.proposed_announcements.get(&announcement.target) == Some(announcement) {
            self.proposed_announcements.remove(&announcement.target);
        }
        self.update_limits(&announcement.target, catalog);
        self.update_database(&announcement.database, catalog);
    }

    fn on_enrolled(&mut self, instance: &Name, catalog: &Catalog) {
        if catalog.is_enrolled(instance.as_str()) {
            self.leases.enroll(instance);
            self.connection_quotas.enroll(instance);
            self.long_slot_quotas.enroll(instance);
            self.proposed_enrollments.remove(instance);
        }
    }

    /// Removes a dismissed entry.
    pub fn on_dismissed(&mut self, instance: &Name) {
        self.leases.dismiss(instance.as_str());
        self.connection_quotas.dismiss(instance.as_str());
        self.long_slot_quotas.dismiss(instance.as_str());
        self.holders.remove(instance);
        for reports in self.watcher_reports.values_mut() {
            reports.remove_watcher(instance.as_str());
        }
    }

    /// Removes a target after a command to retire it, unless the catalog refused that command.
    pub fn on_retired(&mut self, target: &Name, catalog: &Catalog) {
        if catalog.target(target.as_str()).is_some() {
            return;
        }
        self.connection_quotas.remove_target(target.as_str());
        self.long_slot_quotas.remove_target(target.as_str());
        self.watcher_reports.remove(target);
        self.observations.remove(target);
    }
}
