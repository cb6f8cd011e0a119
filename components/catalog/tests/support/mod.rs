//! A catalog with a log that assigns the revisions.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use catalog::change::Label;
use catalog::{Catalog, Change, Command, Database, Outcome, Path};
use types::target::{Announcement, Role, State};
use types::{Lsn, Name, Point, Revision, Term};

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

pub fn change(base: u64, request: &str) -> Change {
    Change {
        base: Revision(base),
        request: Label::try_from(request).unwrap(),
        operator: Label::try_from("operator@example").unwrap(),
    }
}

pub fn announcement(target: &str, role: Role) -> Announcement {
    Announcement {
        target: name(target),
        service: name("registro-uova"),
        database: name("orders"),
        group: name("g1"),
        region: name("sicilia-est"),
        domain: name(if target == "t3" { "catania" } else { "enna" }),
        address: "127.0.0.1:5432".parse().unwrap(),
        role,
        leaving: false,
        connections: 35,
        slots: 5,
    }
}

pub struct Log {
    pub catalog: Catalog,
    pub revision: u64,
}

impl Log {
    pub fn new() -> Self {
        Self {
            catalog: Catalog::new(name("uova")),
            revision: 0,
        }
    }

    /// A database with three targets, of which `t1` is the primary of term 1.
    pub fn with_database() -> Self {
        let mut log = Self::new();
        log.announce_all();
        log.open(1, "t1", 0);
        log
    }

    pub fn announce_all(&mut self) {
        self.announce("t1", Role::Primary);
        self.announce("t2", Role::Replica);
        self.announce("t3", Role::Replica);
    }

    /// Applies a command after a check that its conversion to a message and back loses nothing.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let received = Command::try_from(wire::Command::from(command)).unwrap();
        assert_eq!(received, *command);
        self.revision += 1;
        self.catalog.apply(Revision(self.revision), command)
    }

    pub fn announce(&mut self, target: &str, role: Role) -> Outcome {
        self.apply(&Command::Announce(announcement(target, role)))
    }

    pub fn set(&mut self, path: &str, key: &str, value: Option<u32>, change: Change) -> Outcome {
        self.apply(&Command::Set {
            path: Path::try_from(path).unwrap(),
            key: catalog::Key::from_name(key).unwrap(),
            value,
            change,
        })
    }

    pub fn database(&self) -> &Database {
        self.catalog.database("orders").unwrap()
    }

    /// The outcome of the last command if it was applied.
    pub fn applied(&self) -> Outcome {
        Outcome::Applied(Revision(self.revision))
    }

    /// Sets a value with the current revision as base and a new request id.
    pub fn set_uncontested(&mut self, path: &str, key: &str, value: u32) -> Outcome {
        let change = change(self.revision, &format!("set-{}", self.revision));
        self.set(path, key, Some(value), change)
    }

    pub fn mark(&mut self, target: &str, state: State, change: Change) -> Outcome {
        self.apply(&Command::Mark {
            target: name(target),
            state,
            change,
        })
    }

    pub fn enroll(&mut self, instance: &str) -> Outcome {
        self.apply(&Command::Enroll {
            instance: name(instance),
            domain: name("enna"),
        })
    }

    pub fn retire(&mut self, target: &str) -> Outcome {
        let target = name(target);
        self.apply(&Command::Retire { target })
    }

    pub fn fence(&mut self, term: u64, hold: bool) -> Outcome {
        self.apply(&Command::Fence {
            database: name("orders"),
            term: Term(term),
            hold,
            reason: "test".to_owned(),
        })
    }

    pub fn choose(&mut self, term: u64, target: &str) -> Outcome {
        self.apply(&Command::Choose {
            database: name("orders"),
            term: Term(term),
            target: name(target),
            point: Point {
                term: Term(1),
                lsn: Lsn(50),
            },
        })
    }

    pub fn open(&mut self, term: u64, target: &str, start: u64) -> Outcome {
        self.apply(&Command::Open {
            database: name("orders"),
            term: Term(term),
            target: name(target),
            start: Lsn(start),
        })
    }
}

pub fn is_refused(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused(_))
}
