//! Guards against older plans, heartbeats or choices overwriting newer ones in the replicated
//! state.

use registry::convert::decode_snapshot;
use registry::{Life, Order, Outcome, Registry, Server};
use rstest::rstest;
use types::target::Role;
use types::{Lsn, Point, Term};

fn server(id: &str, port: u16, born: u64, sequence: u64) -> Server {
    let raw = wire::Server {
        id: id.to_owned(),
        service: "orders".to_owned(),
        address: format!("10.0.0.1:{port}"),
        domain: "a".to_owned(),
        slots: 5,
        draining: false,
        role: Role::Replica.into(),
        born,
        sequence,
    };
    Server::try_from(raw).unwrap()
}

fn apply(registry: &mut Registry, order: &Order) -> Outcome {
    registry.apply(registry.revision() + 1, order)
}

fn register(registry: &mut Registry, server: &Server) -> Outcome {
    apply(registry, &Order::Register(server.clone()))
}

fn plan(version: u64, body: &str) -> Order {
    Order::Plan {
        version,
        body: body.into(),
    }
}

// An older plan may be committed after a newer one; it must not replace it.
#[rstest]
#[case::lower(4)]
#[case::same(7)]
fn ignores_a_plan_that_is_not_newer(#[case] version: u64) {
    let mut registry = Registry::default();
    assert_eq!(apply(&mut registry, &plan(7, "new")), Outcome::Applied);
    assert_eq!(
        apply(&mut registry, &plan(version, "other")),
        Outcome::Superseded
    );
    assert_eq!(
        (registry.plan_version(), registry.plan_document()),
        (7, Some(&b"new"[..]))
    );
}

// A delayed heartbeat describes an outdated state.
#[rstest]
#[case::earlier_sequence(5, 1)]
#[case::earlier_life(4, 9)]
fn ignores_outdated_heartbeats(#[case] born: u64, #[case] sequence: u64) {
    let mut registry = Registry::default();
    register(&mut registry, &server("s1", 1, 5, 3));
    let mut outdated = server("s1", 1, born, sequence);
    outdated.role = Role::Primary;
    assert!(!registry.would_change(&outdated));
    assert_eq!(register(&mut registry, &outdated), Outcome::Superseded);
    assert_eq!(registry.server("s1").unwrap().role, Role::Replica);
}

// The heartbeat numbers of a restarted server begin again and must not look outdated.
#[test]
fn accepts_heartbeats_of_a_restarted_server() {
    let mut registry = Registry::default();
    register(&mut registry, &server("s1", 1, 5, 90));
    let restarted = server("s1", 1, 6, 1);
    assert_eq!(register(&mut registry, &restarted), Outcome::Applied);
    assert_eq!(registry.server("s1"), Some(&restarted));
}

// The address of a removed server may be reused; statements for the old server must not go there.
#[test]
fn replaces_a_server_whose_address_is_reused() {
    let mut registry = Registry::default();
    register(&mut registry, &server("old", 1, 5, 3));
    register(&mut registry, &server("new", 1, 8, 1));
    assert_eq!(registry.server("old"), None);
    let outdated = server("old", 1, 5, 4);
    assert!(!registry.would_change(&outdated));
    assert_eq!(register(&mut registry, &outdated), Outcome::Superseded);
    assert!(registry.server("new").is_some());
}

// Once a server was told that it may leave, a delayed heartbeat must not make it available again.
#[test]
fn keeps_a_draining_server_draining() {
    let mut registry = Registry::default();
    let mut leaving = server("s1", 1, 5, 3);
    leaving.draining = true;
    register(&mut registry, &leaving);
    register(&mut registry, &server("s1", 1, 5, 4));
    assert!(registry.server("s1").unwrap().draining);
}

// A heartbeat that arrives after the removal must not register the server again.
#[test]
fn ignores_heartbeats_of_a_removed_life() {
    let mut registry = Registry::default();
    register(&mut registry, &server("s1", 1, 5, 3));
    let life = Life {
        born: 5,
        sequence: 3,
    };
    let id = "s1".to_owned();
    apply(&mut registry, &Order::Remove { id, life });
    assert_eq!(
        register(&mut registry, &server("s1", 1, 5, 4)),
        Outcome::Superseded
    );
    assert_eq!(
        register(&mut registry, &server("s1", 1, 6, 1)),
        Outcome::Applied
    );
}

// A server that still reports itself as primary must not replace the chosen one.
#[test]
fn prefers_the_chosen_primary() {
    let mut registry = Registry::default();
    let mut first = server("s1", 1, 5, 1);
    first.role = Role::Primary;
    register(&mut registry, &first);
    register(&mut registry, &server("s2", 2, 5, 1));
    assert_eq!(registry.primary("orders").unwrap().id, "s1");
    let choice = Order::Lead {
        service: "orders".to_owned(),
        id: "s2".to_owned(),
    };
    registry.apply(40, &choice);
    assert_eq!(registry.primary("orders").unwrap().id, "s2");
    let chosen = registry.chosen_primary("orders").unwrap();
    assert_eq!((chosen.token, chosen.confirmed), (40, false));
}

// A delayed confirmation of an earlier choice must not confirm a later one.
#[test]
fn confirms_the_latest_choice_only() {
    let mut registry = Registry::default();
    let choice = |id: &str| Order::Lead {
        service: "orders".to_owned(),
        id: id.to_owned(),
    };
    registry.apply(40, &choice("s1"));
    registry.apply(41, &choice("s2"));
    let confirm = |token| Order::Confirm {
        service: "orders".to_owned(),
        token,
    };
    assert_eq!(registry.apply(42, &confirm(40)), Outcome::Superseded);
    assert_eq!(registry.apply(43, &confirm(41)), Outcome::Applied);
    assert!(registry.chosen_primary("orders").unwrap().confirmed);
}

// A field that is missing in the snapshot would be lost when an instance catches up from it.
#[test]
fn snapshot_preserves_the_whole_state() {
    let mut registry = Registry::default();
    apply(&mut registry, &plan(7, "body"));
    register(&mut registry, &server("s1", 1, 5, 3));
    register(&mut registry, &server("s2", 1, 6, 3));
    let choice = Order::Lead {
        service: "orders".to_owned(),
        id: "s2".to_owned(),
    };
    apply(&mut registry, &choice);
    register(&mut registry, &server("s3", 3, 5, 1));
    register(&mut registry, &server("s3", 3, 7, 1));
    let cover = Order::Cover {
        service: "orders".to_owned(),
        until: registry.revision() - 1,
        point: Point {
            term: Term(3),
            lsn: Lsn(90),
        },
        term: 4,
    };
    apply(&mut registry, &cover);
    let leave = Order::Leave {
        id: "s3".to_owned(),
        life: registry.server("s3").unwrap().life,
    };
    apply(&mut registry, &leave);
    assert!(registry.is_leaving("s3"));
    let history = registry.history("orders").unwrap();
    assert_eq!(history.departures().count(), 1);
    let mut bytes = Vec::new();
    wire::encode(&wire::Registry::from(&registry), &mut bytes).unwrap();
    assert_eq!(decode_snapshot(&bytes).unwrap(), registry);
}

// A coordinator that is updated has a snapshot without the lists that this build added; refusing it
// would end the process at each start.
#[test]
fn decodes_a_snapshot_of_an_earlier_build() {
    let mut registry = Registry::default();
    register(&mut registry, &server("s1", 1, 5, 3));
    let mut bytes = Vec::new();
    wire::encode(&wire::Registry::from(&registry), &mut bytes).unwrap();
    bytes.truncate(bytes.len() - 2);
    assert_eq!(decode_snapshot(&bytes).unwrap(), registry);
}

// A departure is an end of a replica's life, whichever way it ends; the primary's log is no receipt.
#[rstest]
#[case::removed(|registry: &mut Registry| {
    let life = registry.server("s2").unwrap().life;
    let id = "s2".to_owned();
    apply(registry, &Order::Remove { id, life });
}, 1)]
#[case::restarted(|registry: &mut Registry| {
    register(registry, &server("s2", 2, 6, 1));
}, 1)]
#[case::address_reused(|registry: &mut Registry| {
    register(registry, &server("s9", 2, 6, 1));
}, 1)]
#[case::changed_only(|registry: &mut Registry| {
    register(registry, &server("s2", 4, 5, 2));
}, 0)]
#[case::primary_restarted(|registry: &mut Registry| {
    register(registry, &server("s1", 1, 6, 1));
}, 0)]
fn records_departures(#[case] change: fn(&mut Registry), #[case] expected: usize) {
    let mut registry = Registry::default();
    let mut primary = server("s1", 1, 5, 1);
    primary.role = Role::Primary;
    register(&mut registry, &primary);
    register(&mut registry, &server("s2", 2, 5, 1));
    change(&mut registry);
    let history = registry.history("orders");
    assert_eq!(
        history.map_or(0, |history| history.departures().count()),
        expected
    );
}

// Merging departures must keep a change of primary from relying on the remaining replicas until all
// of them are covered.
#[test]
fn bounds_the_departures_that_it_lists() {
    let mut registry = Registry::default();
    for born in 1..=500 {
        register(&mut registry, &server("s2", 2, born, 1));
    }
    let history = registry.history("orders").unwrap();
    assert!(history.departures().count() <= 65);
    let until = history.last_departure().unwrap();
    let cover = |until| Order::Cover {
        service: "orders".to_owned(),
        until,
        point: Point::default(),
        term: 0,
    };
    apply(&mut registry, &cover(until - 1));
    assert_eq!(registry.history("orders").unwrap().departures().count(), 1);
    apply(&mut registry, &cover(until));
    assert_eq!(registry.history("orders").unwrap().departures().count(), 0);
}

// Servers of another writer must not make the registry too large for a snapshot, without which no
// instance could start again.
#[test]
fn refuses_more_servers_than_fit_into_a_message() {
    let mut registry = Registry::default();
    let id = |number: u32| format!("{number:0>200}");
    let last = (1..u16::MAX).find(|port| {
        let mut server = server(&id((*port).into()), *port, u64::from(*port), 1);
        server.service = "s".repeat(200);
        register(&mut registry, &server) == Outcome::Full
    });
    assert!(last.is_some(), "every server was registered");

    // A known server may still change, and there is room again once another has left.
    let known = server(&id(3), 3, 3, 2);
    assert_eq!(register(&mut registry, &known), Outcome::Applied);
    let leave = Order::Remove {
        id: id(4),
        life: Life {
            born: 4,
            sequence: 1,
        },
    };
    apply(&mut registry, &leave);
    let late = server("late", 9, 70_000, 1);
    assert_eq!(register(&mut registry, &late), Outcome::Applied);

    let largest_plan = vec![b'x'; 4 << 20];
    let order = Order::Plan {
        version: 1,
        body: largest_plan,
    };
    apply(&mut registry, &order);
    let mut bytes = Vec::new();
    wire::encode(&wire::Registry::from(&registry), &mut bytes).unwrap();
}

// An earlier build has saved servers that this one refuses. They must not keep an instance from
// starting, and the others must stay.
#[test]
fn decodes_a_registry_without_its_invalid_servers() {
    let mut registry = Registry::default();
    register(&mut registry, &server("s1", 1, 1, 1));
    let mut raw = wire::Registry::from(&registry);
    let mut invalid = raw.servers[0].clone();
    invalid.id = "x".repeat(300);
    raw.servers.push(invalid);
    assert_eq!(Registry::from(raw), registry);
}
