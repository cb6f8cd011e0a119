//! Odd entries of another writer among the servers' heartbeats must not end a coordinator, nor stop
//! changes or service.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;
#[path = "machines/system.rs"]
mod system;

use std::time::Duration;

use consensus::{Entry, Payload, Position};
use disk::{Native, Wal};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use standin::SERVICE;
use system::{System, plan, run, send};
use tokio::time::sleep;

const ROUND_PERIOD: Duration = Duration::from_millis(300);

/// Heartbeats as pairs of a server id and a body.
fn odd_heartbeats() -> Vec<(String, String)> {
    let body = |field: &str, value: &str| {
        let mut fields = vec![
            ("service", format!("\"{SERVICE}\"")),
            ("address", "\"127.9.9.9:8080\"".to_owned()),
            ("zone", "\"d0\"".to_owned()),
            ("slots", "5".to_owned()),
            ("state", "\"ready\"".to_owned()),
            ("database_role", "\"primary\"".to_owned()),
            ("sequence", "1".to_owned()),
            ("born", "9".to_owned()),
        ];
        for (name, present) in &mut fields {
            if *name == field {
                value.clone_into(present);
            }
        }
        let fields = fields
            .iter()
            .map(|(name, value)| format!("\"{name}\":{value}"));
        format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
    };
    let long = "x".repeat(300);
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let values = [
        ("service", format!("\"{long}\"")),
        ("service", "\"two words\"".to_owned()),
        ("service", "\"unknown\"".to_owned()),
        ("service", nested),
        ("address", "\"10.0.0.1:99999\"".to_owned()),
        ("address", "\"10.0.0.1:0\"".to_owned()),
        ("address", "\"0.0.0.0:80\"".to_owned()),
        ("address", "\"239.1.1.1:80\"".to_owned()),
        ("zone", "7".to_owned()),
        ("slots", "99999999999".to_owned()),
        ("sequence", "1e40".to_owned()),
        ("born", "18446744073709551615".to_owned()),
        ("state", "\"asleep\"".to_owned()),
        ("database_role", "\"witness\"".to_owned()),
    ];
    let values = values.iter().enumerate();
    let mut heartbeats: Vec<(String, String)> = values
        .map(|(index, (field, value))| (format!("odd-{index}"), body(field, value)))
        .collect();
    heartbeats.push((long, body("", "")));
    heartbeats.push(("odd-bytes".to_owned(), "{\"service\":\u{0}".to_owned()));
    heartbeats
}

// Guards against an entry that the endpoint accepts and the log can't read: every coordinator ended
// at the commit, and again after each restart.
#[test]
fn odd_entries_stop_neither_changes_nor_service() {
    run(|| async {
        let mut system = System::start().await;
        system.put_plan(1, 1000).await;
        let mut caller = system.open_session().await;
        for version in 2..4 {
            for (id, body) in odd_heartbeats() {
                let path = format!("/-/instances/{id}");
                let (status, _) = send(&system.http_addresses(), "PUT", &path, &body).await;
                assert!(status == 200 || status == 400, "status {status} for {body}");
            }
            system.put_plan(version, 1000).await;
            caller
                .run_until(&format!("WRITE egg {version}"), "ok I")
                .await;
            sleep(ROUND_PERIOD).await;
        }
        for index in 0..3 {
            assert!(!system.has_ended(index), "coordinator {index} has ended");
        }
        // The state is read from the log and the snapshot.
        for index in 0..3 {
            system.coordinators[index].process = None;
            system.start_coordinator(index, false);
        }
        system.put_plan(4, 1000).await;
        caller.run_until("WRITE egg 4", "ok I").await;
        let calls = system.platform.calls.borrow();
        assert!(calls.is_empty(), "the primary was replaced: {calls:?}");
    });
}

// An earlier build has committed an order that no instance can read. Its data folders must still
// start, and changes must go on.
#[test]
fn starts_on_a_log_with_an_unreadable_order() {
    run(|| async {
        let mut system = System::start().await;
        system.put_plan(1, 1000).await;
        // Idle time after which a snapshot is taken; all logs then end at the same index.
        sleep(Duration::from_secs(1)).await;
        for coordinator in &mut system.coordinators {
            coordinator.process = None;
        }
        let unreadable = wire::Order::Register(wire::Server {
            id: "x".repeat(300),
            service: SERVICE.to_owned(),
            address: "127.9.9.9:8080".to_owned(),
            domain: "d0".to_owned(),
            slots: 5,
            draining: false,
            role: wire::Role::Replica,
            born: 9,
            sequence: 1,
        });
        let mut data = Vec::new();
        wire::encode(&unreadable, &mut data).unwrap();
        for index in 0..3 {
            let mut rng = SmallRng::seed_from_u64(1);
            let folder = system.data_folder(index);
            let (mut wal, opened) = Wal::open(Native, &folder, &mut rng).unwrap();
            let last = opened.saved.entries.last();
            let last = last.map_or(opened.saved.snapshot.position, |entry| entry.position);
            let orders = [Payload::Data(data.clone()), Payload::Data(vec![0xff; 9])];
            let entries = (last.index + 1..)
                .zip(orders)
                .map(|(index, payload)| Entry {
                    position: Position::new(last.epoch, index),
                    payload,
                });
            wal.append(&entries.collect::<Vec<_>>()).unwrap();
            wal.sync().unwrap();
        }
        for index in 0..3 {
            system.start_coordinator(index, false);
        }
        system.put_plan(2, 900).await;
        let plans = system.plans().await;
        assert!(
            plans.iter().all(|found| *found == plan(2, 900)),
            "{plans:?}"
        );
        for index in 0..3 {
            assert!(!system.has_ended(index), "coordinator {index} has ended");
        }
    });
}
