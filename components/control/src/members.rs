//! Introductions of control instances: the first member list of a new cluster, and the return of an
//! instance with a new or emptied disk.

use std::collections::BTreeMap;

use consensus::{Change, Identity, Member, Seat, member};
use types::Name;

use crate::convert::Hello;

/// Latest introduction of each other instance.
#[derive(Debug, Default)]
pub struct Introductions {
    heard: BTreeMap<Name, Hello>,
}

impl Introductions {
    /// Takes an introduction.
    pub fn hear(&mut self, hello: Hello) {
        self.heard.insert(hello.identity.instance.clone(), hello);
    }

    /// The latest introduction of an instance.
    #[must_use]
    pub fn of(&self, instance: &str) -> Option<&Hello> {
        self.heard.get(instance)
    }

    /// The first member list, once every configured instance is known to be blank.
    ///
    /// A single instance with a log means that the cluster exists: this disk is a new or emptied
    /// one then, and waits until the leader lets it join.
    #[must_use]
    pub fn founders(&self, me: &Identity, configured: &[settings::Member]) -> Option<Vec<Member>> {
        let founder = |configured: &settings::Member| {
            let disk = if configured.instance == me.instance {
                me.disk
            } else {
                self.heard
                    .get(&configured.instance)
                    .filter(|hello| hello.blank)?
                    .identity
                    .disk
            };
            let (instance, address) = (configured.instance.clone(), configured.address);
            Some(Member {
                instance,
                disk,
                address,
                seat: Seat::Voter,
            })
        };
        let mut founders = configured.iter().map(founder).collect::<Option<Vec<_>>>()?;
        founders.sort_by(|a, b| a.instance.cmp(&b.instance));
        Some(founders)
    }

    /// A change that lets an instance of the member list join with its new disk.
    #[must_use]
    pub fn returning(&self, members: &[Member]) -> Option<Change> {
        self.heard.values().find_map(|hello| {
            let listed = members
                .iter()
                .any(|m| m.instance == hello.identity.instance);
            let known = member::find(members, &hello.identity).is_some();
            let address = hello.address.parse().ok()?;
            let joins = listed && !known && hello.blank;
            joins.then(|| Change::Join(hello.identity.clone(), address))
        })
    }
}
