//! Introductions of control instances: the first member list of a new cluster, and the return of an
//! instance with a new or emptied disk.

use std::collections::BTreeMap;

use consensus::{Change, Identity, Member, Seat, member};
use types::Name;

use crate::convert::Hello;

#[derive(Debug)]
struct Introduction {
    hello: Hello,
    /// The same disk was blank in this or an earlier introduction.
    founder: bool,
}

/// Latest introduction of each other instance.
#[derive(Debug, Default)]
pub struct Introductions {
    heard: BTreeMap<Name, Introduction>,
}

impl Introductions {
    /// Takes an introduction. A disk that was blank stays so for [`Self::founders`]: once all
    /// founders are known to each other, the first of them to go ahead is blank no longer, and the
    /// others have to make the same list.
    pub fn record(&mut self, hello: Hello) {
        let instance = hello.identity.instance.clone();
        let known = self.heard.get(&instance);
        let was_blank = known.is_some_and(|it| it.founder && it.hello.identity == hello.identity);
        let founder = hello.blank || was_blank;
        self.heard.insert(instance, Introduction { hello, founder });
    }

    /// The latest introduction of an instance.
    #[must_use]
    pub fn of(&self, instance: &str) -> Option<&Hello> {
        self.heard.get(instance).map(|it| &it.hello)
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
                    .filter(|it| it.founder)?
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

    /// A change that lets an instance of the member list join with its new disk.
    #[must_use]
    pub fn returning(&self, members: &[Member]) -> Option<Change> {
        self.heard.values().find_map(|Introduction { hello, .. }| {
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
