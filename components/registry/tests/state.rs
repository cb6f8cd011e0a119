//! The replicated registry: plans, servers and their lives.

use registry::{Life, Order, Outcome, Registry, Server};
use rstest::rstest;
use types::Name;
use types::target::Role;

fn server(id: &str, port: u16, born: u64, sequence: u64) -> Server {
    Server {
        id: id.to_owned(),
        service: "orders".to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        domain: Name::try_from("a").unwrap(),
        slots: 5,
        draining: false,
        role: Role::Replica,
        life: Life { born, sequence },
    }
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

// An older plan may arrive again after a newer one: it must not come into force.
#[rstest]
#[case::lower(4)]
#[case::same(7)]
fn keeps_the_highest_plan(#[case] version: u64) {
    let mut registry = Registry::default();
    assert_eq!(apply(&mut registry, &plan(7, "new")), Outcome::Applied);
    assert_eq!(
        apply(&mut registry, &plan(version, "other")),
        Outcome::Superseded
    );
    assert_eq!(
        (registry.version(), registry.body()),
        (7, Some(&b"new"[..]))
    );
}

// A heartbeat that was held up tells of a state that is over.
#[rstest]
#[case::earlier_sequence(5, 1)]
#[case::earlier_life(4, 9)]
fn ignores_late_heartbeats(#[case] born: u64, #[case] sequence: u64) {
    let mut registry = Registry::default();
    register(&mut registry, &server("s1", 1, 5, 3));
    let mut late = server("s1", 1, born, sequence);
    late.role = Role::Primary;
    assert!(!registry.is_news(&late));
    assert_eq!(register(&mut registry, &late), Outcome::Superseded);
    assert_eq!(registry.server("s1").unwrap().role, Role::Replica);
}

// A server that started again counts its heartbeats anew.
#[test]
fn follows_a_new_life_of_the_same_server() {
    let mut registry = Registry::default();
    register(&mut registry, &server("s1", 1, 5, 90));
    let again = server("s1", 1, 6, 1);
    assert_eq!(register(&mut registry, &again), Outcome::Applied);
    assert_eq!(registry.server("s1"), Some(&again));
}

// The address of a server that is gone is given to another; work for the old one must not go there.
#[test]
fn gives_an_address_to_the_latest_life() {
    let mut registry = Registry::default();
    register(&mut registry, &server("old", 1, 5, 3));
    register(&mut registry, &server("new", 1, 8, 1));
    assert_eq!(registry.server("old"), None);
    let late = server("old", 1, 5, 4);
    assert!(!registry.is_news(&late));
    assert_eq!(register(&mut registry, &late), Outcome::Superseded);
    assert!(registry.server("new").is_some());
}

// Once a server's leaving is acknowledged nothing may take it back.
#[test]
fn keeps_a_draining_server_draining() {
    let mut registry = Registry::default();
    let mut leaving = server("s1", 1, 5, 3);
    leaving.draining = true;
    register(&mut registry, &leaving);
    register(&mut registry, &server("s1", 1, 5, 4));
    assert!(registry.server("s1").unwrap().draining);
}

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

// A primary that says so late must not take the place of the one that was chosen.
#[test]
fn prefers_the_chosen_leader() {
    let mut registry = Registry::default();
    let mut first = server("s1", 1, 5, 1);
    first.role = Role::Primary;
    register(&mut registry, &first);
    register(&mut registry, &server("s2", 2, 5, 1));
    assert_eq!(registry.primary("orders").unwrap().id, "s1");
    let lead = Order::Lead {
        service: "orders".to_owned(),
        id: "s2".to_owned(),
    };
    registry.apply(40, &lead);
    assert_eq!(registry.primary("orders").unwrap().id, "s2");
    let leader = registry.leader("orders").unwrap();
    assert_eq!((leader.token, leader.confirmed), (40, false));
}

// Tokens are indexes of the log: a later choice has the higher one, whoever made it.
#[test]
fn confirms_the_latest_choice_only() {
    let mut registry = Registry::default();
    let lead = |id: &str| Order::Lead {
        service: "orders".to_owned(),
        id: id.to_owned(),
    };
    registry.apply(40, &lead("s1"));
    registry.apply(41, &lead("s2"));
    let confirm = |token| Order::Confirm {
        service: "orders".to_owned(),
        token,
    };
    assert_eq!(registry.apply(42, &confirm(40)), Outcome::Superseded);
    assert_eq!(registry.apply(43, &confirm(41)), Outcome::Applied);
    assert!(registry.leader("orders").unwrap().confirmed);
}

#[test]
fn survives_a_snapshot() {
    let mut registry = Registry::default();
    apply(&mut registry, &plan(7, "body"));
    register(&mut registry, &server("s1", 1, 5, 3));
    register(&mut registry, &server("s2", 1, 6, 3));
    let lead = Order::Lead {
        service: "orders".to_owned(),
        id: "s2".to_owned(),
    };
    apply(&mut registry, &lead);
    let mut bytes = Vec::new();
    wire::encode(&wire::Registry::from(&registry), &mut bytes).unwrap();
    let raw: wire::Registry = wire::decode(&bytes).unwrap();
    assert_eq!(Registry::try_from(raw).unwrap(), registry);
}
