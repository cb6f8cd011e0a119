//! Introductions of control instances, and the member lists derived from them: the first one of a
//! new cluster, and one in which an instance has a new or emptied disk.

use std::collections::BTreeMap;

use consensus::{Change, Identity, Member, Seat, member};
use types::Name;

use crate::convert::Hello;

#[derive(Debug)]
struct Introduction {
    hello: Hello,
    /// Whether the same disk was blank in this or an earlier introduction.
    founder: bool,
}

/// Latest introduction of each other control instance.
#[derive(Debug, Default)]
pub struct Introductions {
    by_instance: BTreeMap<Name, Introduction>,
}

impl Introductions {
    /// Records an introduction. A disk that was blank once still counts as blank in
    /// [`Self::founders`]: the first founder that writes the list is not blank any more, but the
    /// others have to build the same list.
    pub fn record(&mut self, hello: Hello) {
        let instance = hello.identity.instance.clone();
        let known = self.by_instance.get(&instance);
        let was_blank = known.is_some_and(|introduction| {
            introduction.founder && introduction.hello.identity == hello.identity
        });
        let founder = hello.blank || was_blank;
        self.by_instance
            .insert(instance, Introduction { hello, founder });
    }

    /// The latest introduction of an instance.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&Hello> {
        self.by_instance
            .get(instance)
            .map(|introduction| &introduction.hello)
    }

    /// The first member list, once every configured instance has introduced itself with a blank
    /// disk.
    ///
    /// `None` if any instance has a log: the cluster exists then, and this instance with its new or
    /// emptied disk waits until the leader lets it join.
    #[must_use]
    pub fn founders(
        &self,
        own_identity: &Identity,
        configured: &[settings::Member],
    ) -> Option<Vec<Member>> {
        let founder = |configured: &settings::Member| {
            let disk = if configured.instance == own_identity.instance {
                own_identity.disk
            } else {
                self.by_instance
                    .get(&configured.instance)
                    .filter(|introduction| introduction.founder)?
                    .hello
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

    /// A change that lets an instance of the member list join again with its new disk.
    #[must_use]
    pub fn rejoin_change(&self, members: &[Member]) -> Option<Change> {
        self.by_instance
            .values()
            .find_map(|Introduction { hello, .. }| {
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
