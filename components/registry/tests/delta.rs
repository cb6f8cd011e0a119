//! Guards against plan deltas that are too large, outdated, or leave an invalid plan.

use std::time::Duration;

use registry::Plan;
use registry::plan::{Freshness, Route, Service};

fn route(service: &str, timeout_ms: u64) -> Route {
    Route {
        service: service.to_owned(),
        freshness: Freshness::Session(Duration::from_millis(1500)),
        timeout: Duration::from_millis(timeout_ms),
        goal: Duration::from_millis(200),
        priority: 2,
        public: true,
    }
}

fn plan(version: u64, routes: &[(&str, &str, u64)]) -> Plan {
    let service = Service {
        connections: 40,
        sync_replicas: 1,
    };
    let routes = routes
        .iter()
        .map(|(name, service, timeout)| (*name, route(service, *timeout)));
    let mut plan = Plan {
        version,
        idle_limit: Some(Duration::from_secs(3)),
        ..Plan::default()
    };
    for (name, route) in routes {
        plan.services.insert(route.service.clone(), service);
        plan.routes.insert(name.to_owned(), route);
    }
    plan
}

// Whole plans of 30 kB each filled the links to the entries during frequent plan changes.
#[test]
fn delta_contains_only_changed_items() {
    let old = plan(
        3,
        &[
            ("till", "orders", 900),
            ("board", "orders", 900),
            ("gone", "herbs", 1),
        ],
    );
    let new = plan(
        7,
        &[
            ("till", "orders", 800),
            ("board", "orders", 900),
            ("new", "eggs", 700),
        ],
    );
    let change = new.change_from(&old);
    let names: Vec<&str> = change
        .routes
        .iter()
        .map(|route| route.name.as_str())
        .collect();
    assert_eq!(names, ["new", "till"]);
    assert_eq!(change.removed_routes, ["gone"]);
    assert_eq!(change.removed_services, ["herbs"]);
    let mut applied = old;
    assert!(applied.apply(change).unwrap());
    assert_eq!(applied, new);
}

// An entry that connects to a coordinator with an outdated plan must not go back to that plan.
#[test]
fn ignores_a_delta_to_an_older_plan() {
    let whole = plan(4, &[("till", "orders", 900)]).change_from(&Plan::default());
    let mut plan = plan(5, &[("till", "orders", 800)]);
    let before = plan.clone();
    assert!(!plan.apply(whole).unwrap());
    assert_eq!(plan, before);
}

// A delta of another base version would mix both plans.
#[test]
fn rejects_a_delta_with_another_base_version() {
    let change = plan(9, &[("till", "orders", 1)]).change_from(&plan(8, &[]));
    let mut plan = plan(5, &[("till", "orders", 800)]);
    let before = plan.clone();
    plan.apply(change).unwrap_err();
    assert_eq!(plan, before);
}

// A route to an unknown service would fail only once a caller uses it.
#[test]
fn rejects_a_route_to_an_unknown_service() {
    let mut change = plan(9, &[("till", "orders", 1)]).change_from(&Plan::default());
    change.services.clear();
    Plan::default().apply(change).unwrap_err();
}
